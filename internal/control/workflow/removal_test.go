package workflow_test

import (
	"testing"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// TestRemovedWorkersAreRemembered: a worker that comes back soon after its removal is unsettled, whatever was removed and however often the state was restored since.
func TestRemovedWorkersAreRemembered(t *testing.T) {
	announce := func(id string, incarnation int64) workflow.Command {
		return workflow.Command{Workers: []pj.PolledWorker{{ID: id, Incarnation: incarnation, Sequence: 1}}}
	}
	remove := func(id string, at time.Duration) workflow.Command {
		return workflow.Command{RemoveWorkers: []workflow.WorkerIncarnation{{ID: id, Incarnation: 1}}, At: at.Milliseconds()}
	}
	f := newFixture(t)
	for _, c := range []workflow.Command{announce("w", 1), announce("v", 1), remove("w", time.Hour), remove("v", time.Hour+time.Second)} {
		f.apply(c)
	}
	data, err := f.state.Snapshot()
	f.is.NoErr(err)
	f.is.NoErr(f.state.Restore(data))
	f.apply(announce("w", 2))
	f.is.True(f.state.Unsettled("w"))
	f.apply(workflow.Command{Settled: []workflow.WorkerIncarnation{{ID: "w", Incarnation: 2}}})
	f.is.True(!f.state.Unsettled("w"))
	f.apply(workflow.Command{Workers: []pj.PolledWorker{{ID: "w", Incarnation: 2, Sequence: 2}}})
	f.is.True(!f.state.Unsettled("w")) // settled once, for good
}
