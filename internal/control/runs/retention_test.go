package runs_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/runs"
)

// TestEndedWorkflowsArePruned guards against snapshots and elections that take longer as the state grows: the state kept
// every workflow of the last 20 minutes, regardless of the configured retention.
func TestEndedWorkflowsArePruned(t *testing.T) {
	const configured = 2 * time.Minute
	tests := map[string]struct {
		retention time.Duration
		after     time.Duration
		kept      bool
	}{
		"within the retention":           {retention: configured, after: configured, kept: true},
		"after the retention":            {retention: configured, after: configured + time.Minute},
		"default retention: kept longer": {after: configured + time.Minute, kept: true},
		"default retention: pruned":      {after: runs.DefaultRetention + time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newCell(t, 1)
			x.retention = test.retention
			x.elect(2)
			x.c.Submit(pj.Workflow{ID: "a", Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{oneTask()}, MaxAttempts: 1}, func(err error) { is.NoErr(err) })
			x.c.Cancel("a", ofTeam, func(err error) { is.NoErr(err) })
			x.clock.now += test.after
			x.advance(2 * time.Second)
			is.Equal(x.group.state.Record("a") != nil, test.kept)
		})
	}
}
