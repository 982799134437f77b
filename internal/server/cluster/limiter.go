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

// limiter adapts the limit of concurrent calls to their latency and queues further calls first in, first out. It is safe
// for concurrent use.
type limiter struct {
	clock pj.Clock

	mu          sync.Mutex
	limit       float64
	inFlight    int
	queue       []chan struct{} // one channel for each queued call, closed when the call is admitted
	decreasedAt time.Duration
}

func newLimiter(clock pj.Clock) *limiter {
	return &limiter{clock: clock, limit: initialLimit}
}

// do runs a call as soon as the limit allows. A call that is not admitted in time is certainly not made.
func (l *limiter) do(ctx context.Context, call func() error) error {
	if err := l.acquire(ctx); err != nil {
		return err
	}
	started := l.clock.Now()
	defer func() { l.release(l.clock.Now() > started+slowCallThreshold) }()
	return call()
}

func (l *limiter) acquire(ctx context.Context) error {
	l.mu.Lock()
	if l.inFlight < int(l.limit) && len(l.queue) == 0 {
		l.inFlight++
		l.mu.Unlock()
		return nil
	}
	if len(l.queue) >= maxQueuedCalls {
		l.mu.Unlock()
		return leaderOverloaded()
	}
	admitted := make(chan struct{})
	l.queue = append(l.queue, admitted)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, maxQueueTime)
	defer cancel()
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.queue, admitted); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
		return leaderOverloaded()
	}
	return nil // admitted at the same moment
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
	for l.inFlight < int(l.limit) && len(l.queue) > 0 {
		l.inFlight++
		close(l.queue[0])
		l.queue = l.queue[1:]
	}
}

func leaderOverloaded() error {
	e := pj.Refuse(pj.CodeOverloaded, "the leader is overloaded or unreachable, and too many calls are queued for it")
	e.RetryAfter = pj.Duration(time.Second)
	return e
}
