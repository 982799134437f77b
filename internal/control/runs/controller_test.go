package runs_test

import (
	"testing"
	"time"

	pj "papayajunction"
)

func oneTask() pj.Step {
	return pj.Step{Tasks: 1, Task: pj.NewResources(4, 8, 0, 0), EstimateMS: 1000}
}

// TestEndIsCommittedBeforeAcknowledged: a look that lists an end again while its commit is under way must
// not acknowledge it, because the commit may be lost with the power.
func TestEndIsCommittedBeforeAcknowledged(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	starts := x.orders.take("start")
	x.is.Equal(len(starts), 1)
	starts[0].answer(nil)
	x.group.holding = true
	ended := map[string]pj.HoldAnswer{"w0": {Finished: []pj.EndRow{{Number: 1, Run: starts[0].run, How: pj.EndDone}}}}
	x.pass(100 * time.Millisecond)
	x.lookAll(ended)
	for range 3 {
		x.pass(100 * time.Millisecond)
		for _, o := range x.orders.sent {
			x.is.Equal(o.hold.Ack, int64(0)) // not committed yet
		}
		x.lookAll(ended)
	}
	x.group.release()
	x.lookAll(ended)
	x.pass(100 * time.Millisecond)
	looks := x.orders.take("hold")
	x.is.Equal(len(looks), 1)
	x.is.Equal(looks[0].hold.Ack, int64(1))
	x.is.Equal(x.state("a"), pj.WorkflowComplete)
}

// TestWaitingUntilSeen: a workflow waits until one of its runs was seen on a worker, not merely ordered there.
func TestWaitingUntilSeen(t *testing.T) {
	tests := map[string]struct {
		answer  func(x *cell, start *order)
		waiting int
	}{
		"ordered":               {answer: func(*cell, *order) {}, waiting: 1},
		"not answered":          {answer: func(_ *cell, start *order) { start.answer(errUnanswered) }, waiting: 1},
		"answered":              {answer: func(_ *cell, start *order) { start.answer(nil) }, waiting: 0},
		"refused":               {answer: func(_ *cell, start *order) { start.answer(&pj.RefusedError{Reason: pj.RefusedRoom}) }, waiting: 1},
		"listed without answer": {answer: listed, waiting: 0},
		"ended": {answer: func(x *cell, start *order) {
			start.answer(nil)
			x.pass(100 * time.Millisecond)
			x.lookAll(map[string]pj.HoldAnswer{"w0": {Finished: []pj.EndRow{{Number: 1, Run: start.run, How: pj.EndFailed}}}})
		}, waiting: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			x.submit("a", oneTask())
			start := x.orders.take("start")[0]
			tc.answer(x, start)
			x.c.Flush()
			x.is.Equal(x.c.Waiting("q"), tc.waiting)
		})
	}
}

func listed(x *cell, start *order) {
	start.answer(errUnanswered)
	x.pass(100 * time.Millisecond)
	x.lookAll(map[string]pj.HoldAnswer{"w0": {Running: []pj.RunningRow{{Run: start.run}}}})
}
