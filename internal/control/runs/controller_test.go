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
