package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	pj "papayajunction"
)

// Bounds of an entry's calls to the leader. A leader that has more to do than it can answers late, entries would try again, and
// the tries would keep it from answering anything; so each entry learns how many calls it may have under way.
const (
	windowFirst   = 16
	windowLeast   = 1
	windowMost    = 64
	windowGrowth  = 2.0                     // calls more after as many good answers as the window is wide
	windowShrink  = 0.5                     // part that is left after a late answer
	windowPause   = 200 * time.Millisecond  // least time between two shrinks: calls that were late together count once
	windowLate    = 400 * time.Millisecond  // an answer that took longer shows that the leader is busy or lost
	windowWait    = 1200 * time.Millisecond // for which a call may wait for its turn: an election and the first looks take less
	windowWaiters = 256                     // calls that wait; more are refused at once
)

// window bounds the calls that are under way. It is safe for use by many goroutines.
type window struct {
	clock pj.Clock

	mu       sync.Mutex
	limit    float64
	busy     int
	waiting  []chan struct{} // closed when it is a call's turn
	shrunkAt time.Duration
}

func newWindow(clock pj.Clock) *window {
	return &window{clock: clock, limit: windowFirst}
}

// do runs a call when it is its turn. A call that doesn't get its turn in time was surely not made.
func (w *window) do(ctx context.Context, call func() error) error {
	if err := w.enter(ctx); err != nil {
		return err
	}
	started := w.clock.Now()
	defer func() { w.leave(w.clock.Now() > started+windowLate) }()
	return call()
}

func (w *window) enter(ctx context.Context) error {
	w.mu.Lock()
	if w.busy < int(w.limit) && len(w.waiting) == 0 {
		w.busy++
		w.mu.Unlock()
		return nil
	}
	if len(w.waiting) >= windowWaiters {
		w.mu.Unlock()
		return busyLeader()
	}
	turn := make(chan struct{})
	w.waiting = append(w.waiting, turn)
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, windowWait)
	defer cancel()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if i := slices.Index(w.waiting, turn); i >= 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
		return busyLeader()
	}
	return nil // its turn came just now
}

// leave ends a call and lets others in.
func (w *window) leave(late bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
	now := w.clock.Now()
	switch {
	case !late:
		w.limit = min(w.limit+windowGrowth/w.limit, windowMost)
	case now >= w.shrunkAt+windowPause:
		w.limit = max(w.limit*windowShrink, windowLeast)
		w.shrunkAt = now
	}
	for w.busy < int(w.limit) && len(w.waiting) > 0 {
		w.busy++
		close(w.waiting[0])
		w.waiting = w.waiting[1:]
	}
}

func busyLeader() error {
	e := pj.Refuse(pj.CodeOverloaded, "the leader is busy or lost, and too many calls wait for it")
	e.RetryAfter = pj.Duration(time.Second)
	return e
}
