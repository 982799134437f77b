package runs_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/runs"
)

// TestEndedWorkflowsAreForgotten guards against the class of incident SHORT: the state held every workflow of the last 20 minutes, whatever
// callers were promised, and snapshots and elections grew with it.
func TestEndedWorkflowsAreForgotten(t *testing.T) {
	const promised = 2 * time.Minute
	tests := map[string]struct {
		keep  time.Duration
		after time.Duration
		known bool
	}{
		"before the promised time is over":  {keep: promised, after: promised, known: true},
		"some time after it":                {keep: promised, after: promised + time.Minute},
		"nothing is promised: kept, longer": {after: promised + time.Minute, known: true},
		"nothing is promised: not forever":  {after: runs.DefaultRetention + time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newCell(t, 1)
			x.retention = test.keep
			x.elect(2)
			x.c.Submit(pj.Workflow{ID: "a", Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{oneTask()}, MaxAttempts: 1}, func(err error) { is.NoErr(err) })
			x.c.Cancel("a", "team", func(err error) { is.NoErr(err) })
			x.clock.now += test.after
			x.advance(2 * time.Second)
			is.Equal(x.group.state.Record("a") != nil, test.known)
		})
	}
}
