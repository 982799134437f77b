package polledworker_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/standin/polledworker"
)

const (
	runTime  = time.Second
	leaseEnd = int64(60_000)
)

func runOf(workflow string, number int) pj.RunID {
	return pj.RunID{Task: pj.TaskID{StepID: pj.StepID{Workflow: workflow}}, Run: number}
}

// TestAttempts covers when a start breaks the promise that no task runs twice: whatever incarnation runs the earlier attempt, and also if
// the earlier one has ended without the leader having been told.
func TestAttempts(t *testing.T) {
	w0, w1 := &pj.PolledWorker{ID: "w0"}, &pj.PolledWorker{ID: "w1"}
	start := func(t *testing.T, f pj.WorkerClient, w *pj.PolledWorker, number int) {
		_, err := f.Start(t.Context(), w, pj.StartRequest{Run: runOf("a", number), LeaseUntilMS: leaseEnd})
		is.New(t).NoErr(err)
	}
	poll := func(t *testing.T, f pj.WorkerClient, w *pj.PolledWorker, ack int64) {
		_, err := f.Poll(t.Context(), w, pj.PollRequest{Ack: ack})
		is.New(t).NoErr(err)
	}
	tests := map[string]struct {
		play       func(t *testing.T, f *polledworker.Fleet)
		violations int
	}{
		"another worker": {violations: 1, play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w0, 1)
			start(t, f, w1, 2)
		}},
		"the same worker": {violations: 1, play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w0, 1)
			start(t, f, w0, 2)
		}},
		"the first of three still runs": {violations: 2, play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w0, 1)
			start(t, f, w1, 2)
			_, err := f.Stop(t.Context(), w1, runOf("a", 2), 0)
			is.New(t).NoErr(err)
			start(t, f, w1, 3)
		}},
		"repeated order": {play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w0, 1)
			start(t, f, w0, 1)
		}},
		"the worker restarted": {play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w0, 1)
			f.Restart("w0", 2, 1)
			start(t, f, w1, 2)
		}},
		"the same run on the next incarnation, after another one": {violations: 1, play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w0, 1)
			f.Restart("w0", 2, 1)
			start(t, f, w1, 2)
			start(t, f.Unanswered(), w0, 1)
		}},
		"stopped": {play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w0, 1)
			_, err := f.Stop(t.Context(), w0, runOf("a", 1), 0)
			is.New(t).NoErr(err)
			start(t, f, w1, 2)
		}},
		"finished, nobody told": {violations: 1, play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w0, 1)
			time.Sleep(2 * runTime)
			poll(t, f.Unanswered(), w0, 0)
			start(t, f, w1, 2)
		}},
		"finished, told, started again": {violations: 1, play: func(t *testing.T, f *polledworker.Fleet) { // finished twice
			start(t, f, w0, 1)
			time.Sleep(2 * runTime)
			poll(t, f, w0, 0)
			start(t, f, w1, 2)
			time.Sleep(2 * runTime)
			poll(t, f, w1, 0)
		}},
		"finished, nobody told, lease over": {play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w0, 1)
			time.Sleep(2 * runTime)
			poll(t, f.Unanswered(), w0, 0)
			time.Sleep(time.Duration(leaseEnd) * time.Millisecond)
			_, err := f.Start(t.Context(), w1, pj.StartRequest{Run: runOf("a", 2), LeaseUntilMS: 2 * leaseEnd})
			is.New(t).NoErr(err)
			time.Sleep(2 * runTime)
			poll(t, f, w1, 0)
		}},
		"finished, lost by a restart": {play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w0, 1)
			time.Sleep(2 * runTime)
			poll(t, f, w0, 0)
			f.Restart("w0", 2, 1)
			start(t, f, w1, 2)
			time.Sleep(2 * runTime)
			poll(t, f, w1, 0)
		}},
		"finished, acknowledged": {violations: 2, play: func(t *testing.T, f *polledworker.Fleet) { // started again, finished twice
			start(t, f, w0, 1)
			time.Sleep(2 * runTime)
			poll(t, f, w0, 0)
			poll(t, f, w0, 1)
			start(t, f, w1, 2)
			time.Sleep(2 * runTime)
			poll(t, f, w1, 0)
		}},
		"finished, started again, acknowledged later": {violations: 2, play: func(t *testing.T, f *polledworker.Fleet) { // started unread, noted later
			start(t, f, w0, 1)
			time.Sleep(2 * runTime)
			start(t, f, w1, 2)
			poll(t, f, w0, 0)
			poll(t, f, w0, 1)
		}},
		"finished, lease over, acknowledged, started again": {play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w0, 1)
			time.Sleep(time.Duration(leaseEnd) * time.Millisecond * 2)
			poll(t, f, w0, 0)
			poll(t, f, w0, 1)
			_, err := f.Start(t.Context(), w1, pj.StartRequest{Run: runOf("a", 2), LeaseUntilMS: 3 * leaseEnd})
			is.New(t).NoErr(err)
			time.Sleep(2 * runTime)
			poll(t, f, w1, 0)
		}},
		"finished, lease over, next lease, started again": {play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w0, 1)
			time.Sleep(time.Duration(leaseEnd) * time.Millisecond * 2)
			_, err := f.Unanswered().Poll(t.Context(), w0, pj.PollRequest{LeaseUntilMS: 3 * leaseEnd})
			is.New(t).NoErr(err)
			_, err = f.Start(t.Context(), w1, pj.StartRequest{Run: runOf("a", 2), LeaseUntilMS: 3 * leaseEnd})
			is.New(t).NoErr(err)
		}},
		"finished, acknowledged unread": {violations: 1, play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w0, 1)
			time.Sleep(2 * runTime)
			poll(t, f.Unanswered(), w0, 1)
			start(t, f, w1, 2)
		}},
		"finished, acknowledged, started late on the next incarnation": {violations: 1, play: func(t *testing.T, f *polledworker.Fleet) {
			start(t, f, w1, 2)
			time.Sleep(2 * runTime)
			poll(t, f, w1, 0)
			poll(t, f, w1, 1)
			f.Restart("w0", 2, 1)
			start(t, f.Unanswered(), w0, 1)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := polledworker.New([]pj.PolledWorker{{ID: "w0", Incarnation: 1}, {ID: "w1", Incarnation: 1}}, runTime)
				test.play(t, fleet)
				t.Log(fleet.Violations())
				is.New(t).Equal(len(fleet.Violations()), test.violations)
			})
		})
	}
}

// TestLateRequests: a request that names no incarnation reaches the one that is there, unless that has seen a higher fencing token; it says by
// the measures of another one what is a violation, unless such requests are only counted.
func TestLateRequests(t *testing.T) {
	const limit, clock = 6 * time.Second, 5_000
	request := pj.PollRequest{Fence: 7, LeaseUntilMS: 8_000_000, Ack: 57}
	tests := map[string]struct {
		incarnation int64
		seen        uint64 // highest fencing token that the incarnation has seen
		counts      bool
		reason      pj.RefusalReason
		violations  int
		misread     polledworker.Misread
	}{
		"any incarnation":     {violations: 2},
		"counted":             {counts: true, misread: polledworker.Misread{LongLeases: 1, UnknownAcks: 1}},
		"named incarnation":   {incarnation: 1, reason: pj.RefusedRestarted},
		"higher token":        {seen: 8, reason: pj.RefusedStaleFence},
		"same token":          {seen: 7, violations: 2},
		"higher, and counted": {seen: 8, counts: true, reason: pj.RefusedStaleFence},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fleet := polledworker.New([]pj.PolledWorker{{ID: "w0", Incarnation: 1}}, runTime)
			fleet.LimitLeases(limit)
			if test.counts {
				fleet.CountMisread()
			}
			fleet.Restart("w0", 2, clock)
			_, err := fleet.Poll(t.Context(), &pj.PolledWorker{ID: "w0"}, pj.PollRequest{Fence: test.seen})
			is.NoErr(err)
			response, err := fleet.Poll(t.Context(), &pj.PolledWorker{ID: "w0", Incarnation: test.incarnation}, request)
			var refused *pj.RefusedError
			is.Equal(errors.As(err, &refused), test.reason != "")
			if refused != nil {
				is.Equal(refused.Reason, test.reason)
			} else {
				is.Equal(response.Incarnation, int64(2))
			}
			is.Equal(fleet.RemainingLease("w0") > limit, refused == nil)
			is.Equal(len(fleet.Violations()), test.violations)
			is.Equal(fleet.Misread(), test.misread)
		})
	}
}

// TestWaitingPoll covers what may happen while a poll waits for an end.
func TestWaitingPoll(t *testing.T) {
	w := &pj.PolledWorker{ID: "w0"}
	tests := map[string]struct {
		meanwhile func(t *testing.T, f *polledworker.Fleet)
		answered  bool
	}{
		"a run ends": {answered: true, meanwhile: func(*testing.T, *polledworker.Fleet) {}},
		"a higher fencing token arrives": {answered: true, meanwhile: func(t *testing.T, f *polledworker.Fleet) {
			_, err := f.Pace(t.Context(), w, runOf("b", 1), 50, 9)
			is.New(t).NoErr(err)
		}},
		"the worker restarts":        {meanwhile: func(_ *testing.T, f *polledworker.Fleet) { f.Restart("w0", 2, 1) }},
		"the worker stops to answer": {meanwhile: func(_ *testing.T, f *polledworker.Fleet) { f.SetUnresponsive("w0", true) }},
		"the worker restarts, and runs": {meanwhile: func(t *testing.T, f *polledworker.Fleet) {
			f.Restart("w0", 2, 1)
			_, err := f.Start(t.Context(), w, pj.StartRequest{Run: runOf("b", 1), LeaseUntilMS: leaseEnd})
			is.New(t).NoErr(err)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := polledworker.New([]pj.PolledWorker{{ID: "w0", Incarnation: 1}}, runTime)
				_, err := fleet.Start(t.Context(), w, pj.StartRequest{Run: runOf("a", 1), LeaseUntilMS: leaseEnd})
				is.NoErr(err)
				ctx, cancel := context.WithTimeout(t.Context(), 10*runTime)
				defer cancel()
				time.AfterFunc(runTime/2, func() { test.meanwhile(t, fleet) })
				response, err := fleet.Poll(ctx, w, pj.PollRequest{MaxWait: 5 * runTime})
				is.Equal(err == nil, test.answered)
				if test.answered {
					is.Equal(response.Incarnation, int64(1))
					is.Equal(response.Finished, []pj.EndedRun{{Number: 1, Run: runOf("a", 1), Outcome: pj.EndDone}})
				} else {
					is.True(errors.Is(err, context.DeadlineExceeded))
				}
			})
		})
	}
}

// TestRunTimeWithoutRequests: what became of a run doesn't depend on when the worker is called next.
func TestRunTimeWithoutRequests(t *testing.T) {
	w := &pj.PolledWorker{ID: "w0"}
	tests := map[string]struct {
		lease   time.Duration
		outcome pj.RunOutcome
	}{
		"the lease is longer":  {lease: 3 * runTime, outcome: pj.EndDone},
		"the lease is shorter": {lease: runTime / 2, outcome: pj.EndLeaseExpired},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := polledworker.New([]pj.PolledWorker{{ID: "w0", Incarnation: 1}}, runTime)
				_, err := fleet.Start(t.Context(), w, pj.StartRequest{Run: runOf("a", 1), LeaseUntilMS: test.lease.Milliseconds()})
				is.NoErr(err)
				time.Sleep(5 * runTime)
				response, err := fleet.Poll(t.Context(), w, pj.PollRequest{})
				is.NoErr(err)
				is.Equal(response.Finished, []pj.EndedRun{{Number: 1, Run: runOf("a", 1), Outcome: test.outcome}})
			})
		})
	}
}
