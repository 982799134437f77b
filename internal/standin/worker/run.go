package worker

import (
	"context"
	"time"

	"papayajunction/internal/client/entry"
)

const (
	reportTimeout = 3500 * time.Millisecond
	reportGap     = 20 * time.Millisecond // between the answer to a report and the next one
	failureGap    = 200 * time.Millisecond
)

// Run reports to the entry VMs until ctx ends.
func (w *Worker) Run(ctx context.Context, client *entry.Client) {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	for ctx.Err() == nil {
		sent := now()
		report := w.Report(sent)
		ended := make(chan struct{})
		requestCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		interrupted := w.interrupt(requestCtx, cancel, now, ended)
		directive, err := client.Report(requestCtx, report)
		close(ended)
		<-interrupted
		cancel()
		if err == nil {
			w.Handle(now(), sent, directive)
			client.Prefer(directive.Entry)
		}
		gap := reportGap
		if err != nil && requestCtx.Err() == nil {
			gap = failureGap
		}
		select {
		case <-ctx.Done():
		case <-time.After(gap):
		}
	}
}

// interrupt ends a report that the leader holds back as soon as a task ends, so that the end is
// reported at once. The returned channel is closed when it no longer touches the worker.
func (w *Worker) interrupt(ctx context.Context, cancel func(), now func() time.Duration, ended <-chan struct{}) <-chan struct{} {
	done := make(chan struct{})
	at, ok := w.NextEvent()
	go func() {
		defer close(done)
		if !ok {
			return
		}
		select {
		case <-ctx.Done():
		case <-ended:
		case <-time.After(at - now()):
			cancel()
		}
	}()
	return done
}
