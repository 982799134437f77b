package runs

import (
	"fmt"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// Submit commits a workflow and then calls done. Submitting the same workflow again has no effect; another one under its id is refused.
func (c *Controller) Submit(w pj.Workflow, done func(error)) {
	if r := c.options.State.Record(w.ID); r != nil {
		done(c.checkRepetition(r, &w))
		return
	}
	if c.submissions.Await(w.ID, func() { c.Submit(w, done) }, done) {
		return
	}
	if err := c.checkBudget(&w); err != nil {
		done(err)
		return
	}
	w.AcceptedAt = c.options.UnixMilli()
	c.submissions.Begin(w.ID)
	bytes := workflow.NewWorkflowFootprint(&w)
	c.proposed.Add(w.Workspace, bytes)
	c.commit(workflow.Command{Submit: &w}, func(r workflow.Result, err error) {
		c.proposed.Add(w.Workspace, -bytes)
		defer c.submissions.End(w.ID, err)
		if err != nil {
			done(err)
			return
		}
		if !r.New {
			done(c.checkRepetition(r.Record, &w))
			return
		}
		if !c.closed {
			c.options.Events.Record("workflow_accepted", "workflow", w.ID, "queue", w.Queue, "workspace", w.Workspace,
				"steps", len(w.Steps), "priority", w.Priority, "rules_version", w.RulesVersion)
			c.enqueueSubmitted(r.Record)
		}
		done(nil)
	})
}

// checkRepetition returns nil if a workflow with the id of a recorded one is that workflow, submitted again, maybe by other rules: its queue's
// name and policy may have changed, and its key may have been withdrawn. The error has NotRun only if it is certainly another one.
func (c *Controller) checkRepetition(r *workflow.Record, w *pj.Workflow) error {
	fingerprint, err := w.Fingerprint()
	if err != nil {
		return fmt.Errorf("compare with the recorded workflow: %w", err)
	}
	sameOwner := r.Workflow.Workspace == w.Workspace || r.Workflow.Workspace == "" || w.Workspace == ""
	differs := ""
	switch {
	case r.Fingerprint == "":
		differs, err = "unknown", pj.Fail(pj.CodeConflict, "the id %s belongs to a workflow that has ended and can't be compared", w.ID)
	case r.Fingerprint != fingerprint:
		differs, err = "definition", pj.Refuse(pj.CodeConflict, "the id %s belongs to another workflow", w.ID)
	case !sameOwner:
		// The key may have moved to another workspace since the first submission.
		differs, err = "workspace", pj.Fail(pj.CodeConflict, "the id %s belongs to a workflow of another workspace", w.ID)
	}
	c.options.Events.Record("workflow_resubmitted", "workflow", w.ID, "state", r.State(), "live", r.LiveRuns(), "differs", differs,
		"workspace", w.Workspace, "recorded_workspace", r.Workflow.Workspace)
	return err
}

// enqueueSubmitted enqueues the steps of a workflow that has not run, or schedules its occurrences.
func (c *Controller) enqueueSubmitted(r *workflow.Record) {
	if r.Workflow.ScheduledOccurrences > 0 {
		c.addSchedule(r)
		return
	}
	for i := range r.Workflow.Steps {
		if id := (pj.StepID{Workflow: r.Workflow.ID, Step: i}); r.Ready(id) {
			c.enqueue(c.taskSet(r, id))
		}
	}
}

// Cancel cancels a workflow and calls done once that is committed.
func (c *Controller) Cancel(id string, reach pj.Reach, done func(error)) {
	if c.submissions.Await(id, func() { c.Cancel(id, reach, done) }, done) {
		return
	}
	r := c.options.State.Record(id)
	if r == nil || !reach.Includes(&r.Workflow) {
		done(pj.Refuse(pj.CodeUnknownJob, "workflow %s is not known", id))
		return
	}
	if r.State().Final() {
		done(nil)
		return
	}
	c.commit(workflow.Command{Cancel: id}, func(_ workflow.Result, err error) {
		if err == nil && !c.closed {
			delete(c.unrecordedStarts, id)
			c.options.Events.Record("workflow_cancelled", "workflow", id, "live", r.LiveRuns())
			c.finishWorkflow(r)
		}
		done(err)
	})
}

// Status returns the state of a workflow. While its submission is being committed, it is not known whether there is one.
func (c *Controller) Status(id string, reach pj.Reach) (pj.WorkflowState, error) {
	if c.submissions.Contains(id) {
		return "", pj.Fail(pj.CodeOutcomeUnknown, "the submission of workflow %s is being committed", id)
	}
	r := c.options.State.Record(id)
	if r == nil || !reach.Includes(&r.Workflow) {
		return "", pj.Refuse(pj.CodeUnknownJob, "workflow %s is not known", id)
	}
	return r.State(), nil
}

// Configure puts rules into force unless the rules in force have the same or a higher version, and
// calls done with the version in force.
func (c *Controller) Configure(rules pj.Ruleset, done func(version int64, err error)) {
	c.commit(workflow.Command{Configure: &rules}, func(r workflow.Result, err error) {
		if err == nil {
			c.options.Events.Record("rules_published", "version", rules.Version, "in_force", r.Version)
		}
		done(r.Version, err)
	})
}

// WaitingWorkflows returns how many workflows of a queue have not started: none of their runs was observed on a worker.
func (c *Controller) WaitingWorkflows(queue string) int {
	waiting := c.options.State.WaitingWorkflows(queue)
	for id := range c.unrecordedStarts {
		if r := c.options.State.Record(id); r != nil && r.Workflow.Queue == queue {
			waiting--
		}
	}
	return waiting
}

// resolveStart records that the outcome of a start order is known: the worker has the run or will certainly not have it.
// The first time is kept, because polls are compared with it.
func (c *Controller) resolveStart(v *run, observed bool) {
	if v.resolvedAt == 0 {
		v.resolvedAt = max(c.options.Clock.Now(), 1)
	}
	r := v.taskSet.record
	if observed && !r.Started && r.Workflow.ScheduledOccurrences == 0 && !r.State().Final() {
		c.unrecordedStarts[r.Workflow.ID] = struct{}{}
	}
}
