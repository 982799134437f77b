package runs_test

import (
	"testing"

	pj "papayajunction"
)

// TestCancelBeforeCommit guards against a workflow that runs although its cancelling was answered with "no such workflow": a disk or a link
// is slow, the submission is proposed and not yet committed, its caller got no answer and cancels it.
func TestCancelBeforeCommit(t *testing.T) {
	x := newCell(t, 1)
	x.group.paused = true
	submitted, cancelled := errNoAnswer, errNoAnswer
	w := pj.Workflow{ID: "a", Queue: "q", Workspace: "team", Pool: "pool", Spec: "s", Steps: []pj.Step{oneTask()}, MaxAttempts: 1}
	x.c.Submit(w, func(err error) { submitted = err })
	x.c.Cancel("a", ofTeam, func(err error) { cancelled = err })
	x.group.resume()
	x.flush()
	x.is.NoErr(submitted)
	unknown := cancelled != nil && pj.AsError(cancelled).Code == pj.CodeUnknownJob
	x.is.True(cancelled == nil || unknown)         // cancelled, or answered as unknown
	x.is.Equal(x.state("a"), pj.WorkflowCancelled) // whichever it was, the workflow must not run
	x.is.Equal(len(x.orders.take("start")), 0)
}

// TestWorkflowWithoutWorkspace guards against "no such workflow" for one that runs: it was submitted by an open route, without a key, and the
// route has needed a key since. A submission under its id is taken for the same workflow then, so the other calls must find it too.
func TestWorkflowWithoutWorkspace(t *testing.T) {
	x := newCell(t, 1)
	w := pj.Workflow{ID: "a", Queue: "q", Pool: "pool", Spec: "s", Steps: []pj.Step{oneTask()}, MaxAttempts: 1}
	x.submitWorkflow(w)
	w.Workspace = "team"
	x.submitWorkflow(w) // accepted as a repetition
	_, err := x.c.Status("a", ofTeam)
	x.is.NoErr(err)
	x.c.Cancel("a", ofTeam, func(err error) { x.is.NoErr(err) })
	state, err := x.c.Status("a", pj.Reach{})
	x.is.NoErr(err)
	x.is.Equal(state, pj.WorkflowCancelled)
}
