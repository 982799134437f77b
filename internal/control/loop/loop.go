// Package loop runs all code that accesses control state on one goroutine, the control goroutine.
package loop

import (
	"context"
	"errors"
	"time"
)

const (
	queueSize      = 4096 // events
	maxBatchEvents = 512  // maximum of queued events handled after the first one of a batch, before the flush
)

// ErrClosed is returned by Do if the loop has stopped.
var ErrClosed = errors.New("the control loop has stopped")

// Loop is the control goroutine's queue of events.
type Loop struct {
	events chan func()
	done   chan struct{}
	usage  Usage // since the last TakeUsage; belongs to the control goroutine
}

// Usage is the load of the control goroutine in a period.
type Usage struct {
	Busy    time.Duration // time spent on events, ticks and flushes
	Longest time.Duration // longest time of one batch with its flush
	Events  int
}

// New returns a loop that is not running yet.
func New() *Loop {
	return &Loop{events: make(chan func(), queueSize), done: make(chan struct{})}
}

// Post queues an event, and blocks while the queue is full. After the loop has stopped the event is dropped.
func (l *Loop) Post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Do queues an event and waits until it has been handled.
func (l *Loop) Do(ctx context.Context, event func()) error {
	handled := make(chan struct{})
	l.Post(func() {
		event()
		close(handled)
	})
	select {
	case <-handled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return ErrClosed
	}
}

// Done returns a channel that is closed once Run has returned and nothing runs on the control goroutine any more.
func (l *Loop) Done() <-chan struct{} {
	return l.done
}

// After queues an event after a delay.
func (l *Loop) After(delay time.Duration, event func()) {
	time.AfterFunc(delay, func() { l.Post(event) })
}

// TakeUsage returns the usage since the last call. It must be called on the control goroutine.
func (l *Loop) TakeUsage() Usage {
	taken := l.usage
	l.usage = Usage{}
	return taken
}

// Run handles events until ctx is done. It calls tick at the given interval, and flush after every batch of events and
// every tick.
func (l *Loop) Run(ctx context.Context, interval time.Duration, tick, flush func()) {
	defer close(l.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.runBatch(tick, flush)
		case event := <-l.events:
			l.runBatch(func() {
				l.handle(event)
				l.handleQueued()
			}, flush)
		}
	}
}

// runBatch runs work and then flush, and adds the time that they take to the usage.
func (l *Loop) runBatch(work, flush func()) {
	started := time.Now()
	work()
	flush()
	elapsed := time.Since(started)
	l.usage.Busy += elapsed
	l.usage.Longest = max(l.usage.Longest, elapsed)
}

func (l *Loop) handle(event func()) {
	event()
	l.usage.Events++
}

// handleQueued handles events that are already queued, so that their effects are flushed together.
func (l *Loop) handleQueued() {
	for range maxBatchEvents {
		select {
		case event := <-l.events:
			l.handle(event)
		default:
			return
		}
	}
}
