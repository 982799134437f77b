// Package loop runs everything that touches control state on one goroutine.
package loop

import (
	"context"
	"errors"
	"time"
)

const (
	queueSize = 4096
	batchMost = 512 // events handled before what they caused is flushed
)

// ErrClosed is returned once the loop has ended.
var ErrClosed = errors.New("the control loop has ended")

// Loop is the control goroutine's queue of events.
type Loop struct {
	events chan func()
	done   chan struct{}
	usage  Usage // since the last TakeUsage; belongs to the control goroutine
}

// Usage says what the control goroutine did in some time.
type Usage struct {
	Busy    time.Duration // spent on events and flushes
	Longest time.Duration // of one batch of events with its flush
	Events  int
}

// New returns a loop that is not running yet.
func New() *Loop {
	return &Loop{events: make(chan func(), queueSize), done: make(chan struct{})}
}

// Post queues an event; it is dropped once the loop has ended.
func (l *Loop) Post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Do queues an event and waits until it was handled.
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

// Ended is closed once Run has returned, so that nothing runs on the control goroutine any more.
func (l *Loop) Ended() <-chan struct{} {
	return l.done
}

// After queues an event after some time.
func (l *Loop) After(wait time.Duration, event func()) {
	time.AfterFunc(wait, func() { l.Post(event) })
}

// TakeUsage returns the usage since the last call. It must be called on the control goroutine.
func (l *Loop) TakeUsage() Usage {
	taken := l.usage
	l.usage = Usage{}
	return taken
}

// Run handles events until ctx ends: tick is called regularly, flush after every batch.
func (l *Loop) Run(ctx context.Context, interval time.Duration, tick, flush func()) {
	defer close(l.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.batch(tick, flush)
		case event := <-l.events:
			l.batch(func() {
				l.handle(event)
				l.drain()
			}, flush)
		}
	}
}

// batch runs work and the flush after it, and counts the time that they take.
func (l *Loop) batch(work, flush func()) {
	started := time.Now()
	work()
	flush()
	took := time.Since(started)
	l.usage.Busy += took
	l.usage.Longest = max(l.usage.Longest, took)
}

func (l *Loop) handle(event func()) {
	event()
	l.usage.Events++
}

// drain handles the events that are queued already, so that their effects are flushed together.
func (l *Loop) drain() {
	for range batchMost {
		select {
		case event := <-l.events:
			l.handle(event)
		default:
			return
		}
	}
}
