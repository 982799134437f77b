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

// TestLimiter covers the adaptive limit of an entry's concurrent calls to the leader.
func TestLimiter(t *testing.T) {
	tests := map[string]func(is *is.I, l *limiter, c *testClock){
		"slow calls lower the limit, and concurrent slow calls count once": func(is *is.I, l *limiter, c *testClock) {
			for range 8 {
				is.NoErr(l.acquire(t.Context()))
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
				is.NoErr(l.do(t.Context(), func() error { c.now += time.Second; return nil }))
			}
			is.Equal(int(l.limit), minLimit)
		},
		"timely calls raise the limit up to the maximum": func(is *is.I, l *limiter, _ *testClock) {
			for range 5000 {
				is.NoErr(l.do(t.Context(), func() error { return nil }))
			}
			is.Equal(int(l.limit), maxLimit)
		},
		"call that is not admitted is not made": func(is *is.I, l *limiter, _ *testClock) {
			for range initialLimit {
				is.NoErr(l.acquire(t.Context()))
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			err := l.do(ctx, func() error { return errors.New("the call was made") })
			is.Equal(pj.AsError(err).Code, pj.CodeOverloaded)
			is.True(pj.AsError(err).NotRun)
			is.Equal(len(l.queue), 0)
		},
		"queued call is admitted when another ends": func(is *is.I, l *limiter, _ *testClock) {
			for range initialLimit {
				is.NoErr(l.acquire(t.Context()))
			}
			acquired := make(chan error)
			go func() { acquired <- l.acquire(t.Context()) }()
			for queued := 0; queued == 0; {
				l.mu.Lock()
				queued = len(l.queue)
				l.mu.Unlock()
			}
			l.release(false)
			is.NoErr(<-acquired)
		},
		"call beyond the queue limit is refused at once": func(is *is.I, l *limiter, _ *testClock) {
			l.inFlight = initialLimit
			l.queue = make([]chan struct{}, maxQueuedCalls)
			is.Equal(pj.AsError(l.acquire(t.Context())).Code, pj.CodeOverloaded)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &testClock{}
			test(is.New(t), newLimiter(c), c)
		})
	}
}
