package runs_test

import (
	"errors"
	"strings"
	"testing"
	"time"

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
	scheduled := func(w *pj.Workflow) { w.ScheduledOccurrences, w.StartAtMS, w.IntervalMS = 2, 5000, 6000 }
	tests := map[string]struct {
		first   func(w *pj.Workflow) // changes the workflow that is submitted first
		second  pj.Workflow
		refused bool
		unknown bool // whether the second submission's work has run can't be told
	}{
		"the same again":                   {second: submitted(func(*pj.Workflow) {})},
		"an empty list, which is nil":      {second: submitted(func(w *pj.Workflow) { w.Steps[0].DependsOn = []int{} })},
		"by a newer policy":                {second: submitted(func(w *pj.Workflow) { w.Queue, w.Priority, w.RulesVersion = "renamed", 2, 9 })},
		"after its key was withdrawn":      {second: submitted(func(w *pj.Workflow) { w.Workspace = "" })},
		"by another workspace":             {second: submitted(func(w *pj.Workflow) { w.Workspace = "other" }), unknown: true},
		"another specification":            {second: submitted(func(w *pj.Workflow) { w.Spec = "t" }), refused: true},
		"another number of tasks":          {second: submitted(func(w *pj.Workflow) { w.Steps[0].Tasks = 2 }), refused: true},
		"times without a schedule":         {second: submitted(func(w *pj.Workflow) { w.StartAtMS, w.IntervalMS = 9, 9 })},
		"the same schedule":                {first: scheduled, second: submitted(scheduled)},
		"another start":                    {first: scheduled, second: submitted(func(w *pj.Workflow) { scheduled(w); w.StartAtMS++ }), refused: true},
		"another interval":                 {first: scheduled, second: submitted(func(w *pj.Workflow) { scheduled(w); w.IntervalMS++ }), refused: true},
		"another one by another workspace": {second: submitted(func(w *pj.Workflow) { w.Spec, w.Workspace = "t", "other" }), refused: true},
		"a schedule":                       {second: submitted(func(w *pj.Workflow) { w.ScheduledOccurrences = 2 }), refused: true},
		"a further step":                   {second: submitted(func(w *pj.Workflow) { w.Steps = append(w.Steps, oneTask()) }), refused: true},
		"other dependencies":               {second: submitted(func(w *pj.Workflow) { w.Steps[0].DependsOn = []int{0} }), refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, commitPending := range []bool{false, true} {
				x := newCell(t, 1)
				x.group.paused = commitPending
				first := submitted(func(*pj.Workflow) {})
				if test.first != nil {
					test.first(&first)
				}
				x.c.Submit(first, func(err error) { x.is.NoErr(err) })
				result := errNoAnswer
				x.c.Submit(test.second, func(err error) { result = err })
				x.group.resume()
				var conflict *pj.Error
				x.is.Equal(errors.As(result, &conflict), test.refused || test.unknown)
				if conflict == nil {
					x.is.NoErr(result)
					continue
				}
				x.is.Equal(conflict.NotRun, test.refused)
				x.is.Equal(conflict.Code, pj.CodeConflict)
			}
		})
	}
}

// TestRepetitionOfEndedWorkflow guards against a refusal of work that has run: a repetition whose workflow had ended was taken for
// another workflow, because only the definition was compared, which an ended workflow no longer has.
func TestRepetitionOfEndedWorkflow(t *testing.T) {
	end := func(outcome pj.RunOutcome) func(*cell, *order) {
		return func(x *cell, start *order) {
			x.advance(100 * time.Millisecond)
			x.answerPolls(map[string]pj.PollResponse{"w0": {Finished: []pj.EndedRun{{Number: 1, Run: start.run, Outcome: outcome}}}})
		}
	}
	cancel := func(x *cell, _ *order) {
		x.c.Cancel("a", ofTeam, func(err error) { x.is.NoErr(err) })
	}
	restart := func(before func(*cell, *order)) func(*cell, *order) {
		return func(x *cell, start *order) {
			before(x, start)
			snapshot, err := x.group.state.Snapshot()
			x.is.NoErr(err)
			x.is.NoErr(x.group.state.Restore(snapshot))
			x.elect(2)
		}
	}
	tests := map[string]struct {
		before func(x *cell, start *order) // what happens between the submissions
		state  pj.WorkflowState
	}{
		"running":                     {before: func(*cell, *order) {}, state: pj.WorkflowRunning},
		"complete":                    {before: end(pj.EndDone), state: pj.WorkflowComplete},
		"failed":                      {before: end(pj.EndFailed), state: pj.WorkflowFailed},
		"cancelled, a run is live":    {before: cancel, state: pj.WorkflowCancelled},
		"cancelled, no run is live":   {before: func(x *cell, o *order) { cancel(x, o); end(pj.EndStopped)(x, o) }, state: pj.WorkflowCancelled},
		"running, leader restarted":   {before: restart(func(*cell, *order) {}), state: pj.WorkflowRunning},
		"complete, leader restarted":  {before: restart(end(pj.EndDone)), state: pj.WorkflowComplete},
		"cancelled, leader restarted": {before: restart(cancel), state: pj.WorkflowCancelled},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			w := pj.Workflow{ID: "a", Queue: "q", Workspace: "team", Pool: "pool", Spec: "s", Steps: []pj.Step{oneTask()}, MaxAttempts: 1}
			x.submitWorkflow(w)
			start := x.orders.take("start")[0]
			start.answer(nil)
			test.before(x, start)
			x.is.Equal(x.state("a"), test.state)

			result := errNoAnswer
			x.c.Submit(w, func(err error) { result = err })
			x.is.NoErr(result)
			w.Spec = "another"
			var refused *pj.Error
			x.c.Submit(w, func(err error) { result = err })
			x.is.True(errors.As(result, &refused))
			x.is.Equal(refused.Code, pj.CodeConflict)
			x.is.True(refused.NotRun)
		})
	}
}

// TestRecordOfOlderVersion guards against a refusal of work that has run, after an update of the program: the record of a workflow that
// had ended before has neither its definition nor a fingerprint, so nothing can be said about a submission under its id.
func TestRecordOfOlderVersion(t *testing.T) {
	tests := map[string]struct {
		ended   bool
		unknown bool
	}{
		"not ended": {},
		"ended":     {ended: true, unknown: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			w := pj.Workflow{ID: "a", Queue: "q", Workspace: "team", Pool: "pool", Spec: "s", Steps: []pj.Step{oneTask()}, MaxAttempts: 1}
			x.submitWorkflow(w)
			if test.ended {
				start := x.orders.take("start")[0]
				x.advance(100 * time.Millisecond)
				x.answerPolls(map[string]pj.PollResponse{"w0": {Finished: []pj.EndedRun{{Number: 1, Run: start.run, Outcome: pj.EndDone}}}})
			}
			snapshot, err := x.group.state.Snapshot()
			x.is.NoErr(err)
			older := strings.Replace(string(snapshot), `"fingerprint"`, `"unused"`, 1)
			x.is.True(older != string(snapshot))
			x.is.NoErr(x.group.state.Restore([]byte(older)))
			x.elect(2)

			result := errNoAnswer
			x.c.Submit(w, func(err error) { result = err })
			var conflict *pj.Error
			x.is.Equal(errors.As(result, &conflict), test.unknown)
			if conflict == nil {
				x.is.NoErr(result)
				return
			}
			x.is.True(!conflict.NotRun)
		})
	}
}
