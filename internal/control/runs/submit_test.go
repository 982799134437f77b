package runs_test

import (
	"errors"
	"testing"

	pj "papayajunction"
)

// TestIDOfAnotherWorkflow guards against work that is acknowledged and never runs: a workflow under an id in use was taken for that one,
// whatever it was and whoever submitted it.
func TestIDOfAnotherWorkflow(t *testing.T) {
	submitted := func(change func(w *pj.Workflow)) pj.Workflow {
		w := pj.Workflow{ID: "a", Queue: "q", Workspace: "team", Pool: "pool", Spec: "s", Steps: []pj.Step{oneTask()}, MaxAttempts: 2}
		change(&w)
		return w
	}
	tests := map[string]struct {
		second  pj.Workflow
		refused bool
	}{
		"the same again":              {second: submitted(func(*pj.Workflow) {})},
		"an empty list, which is nil": {second: submitted(func(w *pj.Workflow) { w.Steps[0].DependsOn = []int{} })},
		"by a newer policy":           {second: submitted(func(w *pj.Workflow) { w.Queue, w.Priority, w.RulesVersion = "renamed", 2, 9 })},
		"after its key was withdrawn": {second: submitted(func(w *pj.Workflow) { w.Workspace = "" })},
		"by another workspace":        {second: submitted(func(w *pj.Workflow) { w.Workspace = "other" }), refused: true},
		"another specification":       {second: submitted(func(w *pj.Workflow) { w.Spec = "t" }), refused: true},
		"another number of tasks":     {second: submitted(func(w *pj.Workflow) { w.Steps[0].Tasks = 2 }), refused: true},
		"a schedule":                  {second: submitted(func(w *pj.Workflow) { w.ScheduledOccurrences = 2 }), refused: true},
		"a further step":              {second: submitted(func(w *pj.Workflow) { w.Steps = append(w.Steps, oneTask()) }), refused: true},
		"other dependencies":          {second: submitted(func(w *pj.Workflow) { w.Steps[0].DependsOn = []int{0} }), refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, commitPending := range []bool{false, true} {
				x := newCell(t, 1)
				x.group.paused = commitPending
				x.c.Submit(submitted(func(*pj.Workflow) {}), func(err error) { x.is.NoErr(err) })
				result := errNoAnswer
				x.c.Submit(test.second, func(err error) { result = err })
				x.group.resume()
				var refused *pj.Error
				x.is.Equal(errors.As(result, &refused), test.refused)
				if test.refused {
					x.is.True(refused.NotRun)
					x.is.Equal(refused.Code, pj.CodeConflict)
				} else {
					x.is.NoErr(result)
				}
			}
		})
	}
}
