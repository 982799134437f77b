package worker

import (
	"context"
	"time"

	"papayajunction/internal/client/entry"
)

const (
	reportTimeout    = 3500 * time.Millisecond
	reportDelay      = 20 * time.Millisecond // from the reply to a report to the next report
	reportRetryDelay = 200 * time.Millisecond
)

// Run reports to the entry VMs until ctx ends.
func (w *Worker) Run(ctx context.Context, client *entry.Client) {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	for ctx.Err() == nil {
		report := w.Report(now())
		replied := make(chan struct{})
		requestCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		interruptDone := w.interrupt(requestCtx, cancel, now, replied)
		reply, err := client.Report(requestCtx, report)
		close(replied)
		<-interruptDone
		cancel()
		if err == nil {
			w.Handle(now(), reply)
			client.Prefer(reply.NextEntry)
		}
		delay := reportDelay
		if err != nil && requestCtx.Err() == nil {
			delay = reportRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// interrupt cancels a report (a long poll) as soon as a task ends, so that the next report carries the end at once.
// The returned channel is closed when its goroutine has stopped.
func (w *Worker) interrupt(ctx context.Context, cancel func(), now func() time.Duration, replied <-chan struct{}) <-chan struct{} {
	done := make(chan struct{})
	at, ok := w.NextEvent()
	go func() {
		defer close(done)
		if !ok {
			return
		}
		select {
		case <-ctx.Done():
		case <-replied:
		case <-time.After(at - now()):
			cancel()
		}
	}()
	return done
}
