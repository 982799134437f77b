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

// TestWindow covers how many calls an entry has under way at the leader.
func TestWindow(t *testing.T) {
	tests := map[string]func(is *is.I, w *window, c *testClock){
		"late answers narrow it, but those that are late together count once": func(is *is.I, w *window, c *testClock) {
			for range 8 {
				is.NoErr(w.enter(t.Context()))
			}
			c.now = time.Second
			for range 8 {
				w.leave(true)
			}
			is.Equal(int(w.limit), windowFirst/2)
		},
		"it never closes": func(is *is.I, w *window, c *testClock) {
			for range 20 {
				c.now += time.Second
				is.NoErr(w.do(t.Context(), func() error { c.now += time.Second; return nil }))
			}
			is.Equal(int(w.limit), windowLeast)
		},
		"good answers widen it up to a bound": func(is *is.I, w *window, _ *testClock) {
			for range 5000 {
				is.NoErr(w.do(t.Context(), func() error { return nil }))
			}
			is.Equal(int(w.limit), windowMost)
		},
		"a call that gets no turn was not made": func(is *is.I, w *window, _ *testClock) {
			for range windowFirst {
				is.NoErr(w.enter(t.Context()))
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			err := w.do(ctx, func() error { return errors.New("it was made") })
			is.Equal(pj.AsError(err).Code, pj.CodeOverloaded)
			is.True(pj.AsError(err).NotRun)
			is.Equal(len(w.waiting), 0)
		},
		"the first that waits goes next": func(is *is.I, w *window, _ *testClock) {
			for range windowFirst {
				is.NoErr(w.enter(t.Context()))
			}
			entered := make(chan error)
			go func() { entered <- w.enter(t.Context()) }()
			for waits := 0; waits == 0; {
				w.mu.Lock()
				waits = len(w.waiting)
				w.mu.Unlock()
			}
			w.leave(false)
			is.NoErr(<-entered)
		},
		"more than can wait are refused at once": func(is *is.I, w *window, _ *testClock) {
			w.busy = windowFirst
			w.waiting = make([]chan struct{}, windowWaiters)
			is.Equal(pj.AsError(w.enter(t.Context())).Code, pj.CodeOverloaded)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &testClock{}
			test(is.New(t), newWindow(c), c)
		})
	}
}
