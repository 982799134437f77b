package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	pj "papayajunction"
)

// Parameters of an entry's adaptive limit of concurrent calls to the leader (additive increase, multiplicative decrease).
// Without a limit, entries would retry calls that an overloaded leader answers late, and the retries would keep the leader
// from answering any call.
const (
	initialLimit        = 16
	minLimit            = 1
	maxLimit            = 64
	limitIncrease       = 2.0                     // added to the limit after as many timely calls as the limit allows at once
	limitDecreaseFactor = 0.5                     // factor applied to the limit after a slow call
	minDecreaseInterval = 200 * time.Millisecond  // minimum time between two decreases, so that concurrent slow calls count once
	slowCallThreshold   = 400 * time.Millisecond  // a call that takes longer indicates that the leader is overloaded or unreachable
	maxQueueTime        = 1200 * time.Millisecond // maximum time for which a call is queued; an election and the first polls of the new leader take less
	maxQueuedCalls      = 256                     // further calls are refused at once
)

// limiter adapts the limit of concurrent calls to their latency and queues further calls. The workspaces with queued calls take turns, and
// when the queue is full, the one with the most calls gives a place to another, so that no workspace's calls wait behind all calls of
// another one. Within a workspace, calls are admitted first in, first out. It is safe for concurrent use.
type limiter struct {
	clock pj.Clock

	mu          sync.Mutex
	limit       float64
	inFlight    int
	queued      int                      // calls in queues
	queues      map[string][]*queuedCall // by workspace, none of them empty
	turns       []string                 // workspaces with queued calls; the first one's call is admitted next
	decreasedAt time.Duration
}

// queuedCall is a call that waits for its admission.
type queuedCall struct {
	done chan bool // receives whether the call is admitted; false if another call took its place
}

func newLimiter(clock pj.Clock) *limiter {
	return &limiter{clock: clock, limit: initialLimit, queues: make(map[string][]*queuedCall)}
}

// do runs a call on behalf of a workspace as soon as the limit allows. A call that is not admitted in time is certainly not made.
func (l *limiter) do(ctx context.Context, workspace string, call func() error) error {
	if err := l.acquire(ctx, workspace); err != nil {
		return err
	}
	started := l.clock.Now()
	defer func() { l.release(l.clock.Now() > started+slowCallThreshold) }()
	return call()
}

func (l *limiter) acquire(ctx context.Context, workspace string) error {
	call, err := l.enqueue(workspace)
	if call == nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, maxQueueTime)
	defer cancel()
	admitted := false
	select {
	case admitted = <-call.done:
	case <-ctx.Done():
		admitted = !l.withdraw(workspace, call) && <-call.done
	}
	if !admitted {
		return leaderOverloaded()
	}
	return nil
}

// enqueue admits a call, in which case it returns nothing, or queues or refuses it.
func (l *limiter) enqueue(workspace string) (*queuedCall, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight < int(l.limit) && l.queued == 0 {
		l.inFlight++
		return nil, nil
	}
	if l.queued >= maxQueuedCalls && !l.displace(workspace) {
		return nil, leaderOverloaded()
	}
	call := &queuedCall{done: make(chan bool, 1)}
	if len(l.queues[workspace]) == 0 {
		l.turns = append(l.turns, workspace)
	}
	l.queues[workspace] = append(l.queues[workspace], call)
	l.queued++
	return call, nil
}

// displace refuses the newest call of the workspace with the most queued calls, and reports false if the given workspace would then have as
// many.
func (l *limiter) displace(workspace string) bool {
	longest := l.turns[0]
	for _, other := range l.turns {
		if len(l.queues[other]) > len(l.queues[longest]) {
			longest = other
		}
	}
	calls := l.queues[longest]
	if len(l.queues[workspace])+1 >= len(calls) {
		return false
	}
	newest := calls[len(calls)-1]
	l.remove(longest, len(calls)-1)
	newest.done <- false
	return true
}

// withdraw removes a call that is still queued, and reports false if it isn't.
func (l *limiter) withdraw(workspace string, call *queuedCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.queues[workspace], call)
	if i < 0 {
		return false
	}
	l.remove(workspace, i)
	return true
}

// remove removes a workspace's queued call by its index.
func (l *limiter) remove(workspace string, index int) {
	l.queued--
	calls := slices.Delete(l.queues[workspace], index, index+1)
	if len(calls) > 0 {
		l.queues[workspace] = calls
		return
	}
	delete(l.queues, workspace)
	l.turns = slices.DeleteFunc(l.turns, func(other string) bool { return other == workspace })
}

// release ends a call, adapts the limit and admits queued calls.
func (l *limiter) release(slow bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	now := l.clock.Now()
	switch {
	case !slow:
		l.limit = min(l.limit+limitIncrease/l.limit, maxLimit)
	case now >= l.decreasedAt+minDecreaseInterval:
		l.limit = max(l.limit*limitDecreaseFactor, minLimit)
		l.decreasedAt = now
	}
	for l.inFlight < int(l.limit) && l.queued > 0 {
		l.inFlight++
		l.admitNext()
	}
}

// admitNext admits the first call of the workspace whose turn it is.
func (l *limiter) admitNext() {
	workspace := l.turns[0]
	call := l.queues[workspace][0]
	if len(l.queues[workspace]) > 1 {
		l.turns = append(l.turns[1:], workspace)
	}
	l.remove(workspace, 0)
	call.done <- true
}

func leaderOverloaded() error {
	e := pj.Refuse(pj.CodeOverloaded, "the leader is overloaded or unreachable, and too many calls are queued for it")
	e.RetryAfter = pj.Duration(time.Second)
	return e
}
