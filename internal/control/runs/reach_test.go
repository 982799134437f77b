package runs_test

import (
	"errors"
	"testing"

	pj "papayajunction"
)

// TestReach guards against a caller of an open queue without a key who reads and cancels the workflows of any queue and workspace, and
// against a caller who is told that a workflow of its own doesn't exist because its queue has become an open one, or no longer is.
func TestReach(t *testing.T) {
	const here, elsewhere = "jobs.example/q/", "jobs.example/other/"
	tests := map[string]struct {
		workspace, origin string // of the workflow
		caller            pj.Reach
		reached           bool
	}{
		"its workspace":                                  {workspace: "team", origin: here, caller: pj.Reach{Workspace: "team", Origin: here}, reached: true},
		"its workspace, the queue has moved":             {workspace: "team", origin: here, caller: pj.Reach{Workspace: "team", Origin: elsewhere}, reached: true},
		"another workspace":                              {workspace: "team", origin: here, caller: pj.Reach{Workspace: "other", Origin: here}},
		"no key, another queue":                          {workspace: "team", origin: here, caller: pj.Reach{Origin: elsewhere}},
		"no key, the queue has become open":              {workspace: "team", origin: here, caller: pj.Reach{Origin: here}, reached: true},
		"submitted without a key":                        {origin: here, caller: pj.Reach{Origin: here}, reached: true},
		"submitted without a key, another queue":         {origin: here, caller: pj.Reach{Origin: elsewhere}},
		"submitted without a key, no longer open":        {origin: here, caller: pj.Reach{Workspace: "team", Origin: here}, reached: true},
		"with a key, submitted without at another queue": {origin: here, caller: pj.Reach{Workspace: "team", Origin: elsewhere}},
		"of an earlier version":                          {workspace: "team", caller: pj.Reach{Origin: here}, reached: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			x.submitWorkflow(pj.Workflow{
				ID: "a", Queue: "q", Workspace: test.workspace, Origin: test.origin, Pool: "pool", Steps: []pj.Step{oneTask()}, MaxAttempts: 1,
			})
			_, err := x.c.Status("a", test.caller)
			x.is.Equal(err == nil, test.reached)
			result := errNoAnswer
			x.c.Cancel("a", test.caller, func(err error) { result = err })
			x.is.Equal(result == nil, test.reached)
			var unknown *pj.Error
			if errors.As(result, &unknown) {
				x.is.Equal(unknown.Code, pj.CodeUnknownJob)
			}
		})
	}
}
