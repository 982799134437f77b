package cluster

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
)

type testClock struct{ now time.Duration }

func (c *testClock) Now() time.Duration { return c.now }

// queueCalls queues up to n calls of a workspace and returns those that weren't refused.
func queueCalls(l *limiter, workspace string, n int) []*queuedCall {
	var calls []*queuedCall
	for range n {
		if call, err := l.enqueue(workspace); err == nil {
			calls = append(calls, call)
		}
	}
	return calls
}

func admitted(call *queuedCall) bool {
	select {
	case ok := <-call.done:
		return ok
	default:
		return false
	}
}

// TestLimiter covers the adaptive limit of an entry's concurrent calls to the leader. It guards against callers who are refused for the calls
// of another workspace: all waited in one queue of 256.
func TestLimiter(t *testing.T) {
	tests := map[string]func(is *is.I, l *limiter, c *testClock){
		"slow calls lower the limit, and concurrent slow calls count once": func(is *is.I, l *limiter, c *testClock) {
			for range 8 {
				is.NoErr(l.acquire(t.Context(), "team"))
			}
			c.now = time.Second
			for range 8 {
				l.release(true)
			}
			is.Equal(int(l.limit), initialLimit/2)
		},
		"limit does not drop below the minimum": func(is *is.I, l *limiter, c *testClock) {
			for range 20 {
				c.now += time.Second
				is.NoErr(l.do(t.Context(), "team", func() error { c.now += time.Second; return nil }))
			}
			is.Equal(int(l.limit), minLimit)
		},
		"timely calls raise the limit up to the maximum": func(is *is.I, l *limiter, _ *testClock) {
			for range 5000 {
				is.NoErr(l.do(t.Context(), "team", func() error { return nil }))
			}
			is.Equal(int(l.limit), maxLimit)
		},
		"call that is not admitted is not made": func(is *is.I, l *limiter, _ *testClock) {
			for range initialLimit {
				is.NoErr(l.acquire(t.Context(), "team"))
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			err := l.do(ctx, "team", func() error { return errors.New("the call was made") })
			is.Equal(pj.AsError(err).Code, pj.CodeOverloaded)
			is.True(pj.AsError(err).NotRun)
			is.Equal(l.queued, 0)
		},
		"queued call is admitted when another ends": func(is *is.I, l *limiter, _ *testClock) {
			for range initialLimit {
				is.NoErr(l.acquire(t.Context(), "team"))
			}
			acquired := make(chan error)
			go func() { acquired <- l.acquire(t.Context(), "team") }()
			for queued := 0; queued == 0; {
				l.mu.Lock()
				queued = l.queued
				l.mu.Unlock()
			}
			l.release(false)
			is.NoErr(<-acquired)
		},
		"call beyond the queue limit is refused at once": func(is *is.I, l *limiter, _ *testClock) {
			l.inFlight = initialLimit
			queueCalls(l, "team", maxQueuedCalls)
			is.Equal(pj.AsError(l.acquire(t.Context(), "team")).Code, pj.CodeOverloaded)
		},
		"workspaces take turns": func(is *is.I, l *limiter, _ *testClock) {
			l.inFlight = initialLimit
			team := queueCalls(l, "team", 100)
			other := queueCalls(l, "other", 2)
			for range 4 {
				l.release(false)
			}
			is.True(admitted(team[0]) && admitted(other[0]) && admitted(team[1]) && admitted(other[1]))
			is.True(!admitted(team[3]))
		},
		"a full queue of one workspace has a place for another": func(is *is.I, l *limiter, _ *testClock) {
			l.inFlight = initialLimit
			team := queueCalls(l, "team", maxQueuedCalls)
			other := queueCalls(l, "other", maxQueuedCalls)
			is.Equal(len(other), maxQueuedCalls/2) // until both have as many
			is.Equal(l.queued, maxQueuedCalls)
			is.Equal(<-team[maxQueuedCalls-1].done, false) // the newest call is refused at once
			is.Equal(len(team[0].done), 0)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &testClock{}
			test(is.New(t), newLimiter(c), c)
		})
	}
}
