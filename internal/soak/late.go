package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	pj "papayajunction"
	"papayajunction/internal/standin/polledworker"
)

// Parameters of calls that are carried out late.
const (
	lateStream     = 8 // of the random numbers for these calls
	lateShare      = 0.3
	minLateDelay   = 500 * time.Millisecond
	maxLateDelay   = 6 * time.Second
	lateCallBudget = 50 * time.Millisecond // a worker that is unresponsive by then doesn't carry out the call
)

// lateCalls decides which calls to workers get no answer and are carried out later, by the incarnation that is there then.
type lateCalls struct {
	mu         sync.Mutex
	rand       *rand.Rand
	workers    map[string]int // number of WorkerLate faults by worker
	lateStarts bool           // starts are carried out by a later incarnation, too
	held       int            // calls that got no answer
	refused    int            // of these, calls that were refused or lost when they should have been carried out
}

func newLateCalls(seed uint64, lateStarts bool) *lateCalls {
	return &lateCalls{lateStarts: lateStarts, rand: rand.New(rand.NewPCG(seed, lateStream)), workers: make(map[string]int)} //nolint:gosec // not for secrets
}

// setClocks lets the clocks of the first incarnations of workers start anywhere, like those of the later ones.
func (l *lateCalls) setClocks(fleet *polledworker.Fleet, workers []pj.PolledWorker) {
	for _, w := range workers {
		fleet.Restart(w.ID, w.Incarnation, 1+l.rand.Int64N(maxStartClock))
	}
}

// begin starts a WorkerLate fault of a worker and returns the function that ends it.
func (l *lateCalls) begin(id string) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workers[id]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.workers[id]--
	}
}

// delay returns after which time a call to a worker is carried out without an answer; 0 if it is carried out at once.
func (l *lateCalls) delay(id string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.workers[id] == 0 || l.rand.Float64() >= lateShare {
		return 0
	}
	l.held++
	return minLateDelay + time.Duration(l.rand.Int64N(int64(maxLateDelay-minLateDelay)))
}

func (l *lateCalls) countRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
}

// counts returns how many calls got no answer, and how many of them were not carried out later either.
func (l *lateCalls) counts() (held, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held, l.refused
}

// delayingClient carries out some of the calls late. Their callers wait until they give up.
type delayingClient struct {
	pj.WorkerClient
	unanswered pj.WorkerClient // for calls that are carried out late
	calls      *lateCalls
	fleet      *polledworker.Fleet
}

// carryOut calls the worker, now or after the caller has given up.
func carryOut[R any](ctx context.Context, c *delayingClient, id string, carriesOut func() bool, call func(context.Context, pj.WorkerClient) (R, error)) (R, error) {
	delay := c.calls.delay(id)
	if delay == 0 {
		return call(ctx, c.WorkerClient)
	}
	time.AfterFunc(delay, func() {
		if !carriesOut() {
			c.calls.countRefused()
			return
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateCallBudget)
		defer cancel()
		if _, err := call(ctx, c.unanswered); err != nil {
			c.calls.countRefused()
		}
	})
	<-ctx.Done()
	var none R
	return none, fmt.Errorf("call worker %s: %w", id, ctx.Err())
}

func always() bool { return true }

// Start implements pj.WorkerClient. A start is not carried out by a later incarnation, unless that is asked for: before a call of the leader has reached it,
// nothing keeps it from that, and the task may run elsewhere.
func (c *delayingClient) Start(ctx context.Context, w *pj.PolledWorker, r pj.StartRequest) (int64, error) {
	incarnation := c.fleet.Incarnation(w.ID)
	carriesOut := func() bool { return c.calls.lateStarts || c.fleet.Incarnation(w.ID) == incarnation }
	return carryOut(ctx, c, w.ID, carriesOut, func(ctx context.Context, to pj.WorkerClient) (int64, error) { return to.Start(ctx, w, r) })
}

// Stop implements pj.WorkerClient.
func (c *delayingClient) Stop(ctx context.Context, w *pj.PolledWorker, run pj.RunID, fence uint64) (int64, error) {
	return carryOut(ctx, c, w.ID, always, func(ctx context.Context, to pj.WorkerClient) (int64, error) { return to.Stop(ctx, w, run, fence) })
}

// Pace implements pj.WorkerClient.
func (c *delayingClient) Pace(ctx context.Context, w *pj.PolledWorker, run pj.RunID, percent int, fence uint64) (int64, error) {
	return carryOut(ctx, c, w.ID, always, func(ctx context.Context, to pj.WorkerClient) (int64, error) {
		return to.Pace(ctx, w, run, percent, fence)
	})
}

// Poll implements pj.WorkerClient.
func (c *delayingClient) Poll(ctx context.Context, w *pj.PolledWorker, r pj.PollRequest) (pj.PollResponse, error) {
	return carryOut(ctx, c, w.ID, always, func(ctx context.Context, to pj.WorkerClient) (pj.PollResponse, error) { return to.Poll(ctx, w, r) })
}
