package runs

import (
	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// Submit makes a workflow durable and calls done once it is.
func (c *Controller) Submit(w pj.Workflow, done func(error)) {
	if c.options.State.Record(w.ID) != nil {
		done(nil) // the same workflow was accepted before
		return
	}
	w.AcceptedAt = c.options.Unix()
	c.commit(workflow.Command{Submit: &w}, func(r workflow.Result, err error) {
		if err != nil {
			done(err)
			return
		}
		if r.New && !c.closed {
			c.options.Events.Decided("workflow_accepted", "workflow", w.ID, "queue", w.Queue, "workspace", w.Workspace,
				"steps", len(w.Steps), "priority", w.Priority)
			c.queueNew(r.Record)
		}
		done(nil)
	})
}

func (c *Controller) queueNew(r *workflow.Record) {
	for k := range r.Workflow.Occurrences() {
		for i := range r.Workflow.Steps {
			if id := (pj.StepID{Workflow: r.Workflow.ID, Occurrence: k, Step: i}); r.Ready(id) {
				c.enqueue(c.unit(r, id))
			}
		}
	}
}

// Cancel ends a workflow and calls done once that is durable.
func (c *Controller) Cancel(id, workspace string, done func(error)) {
	r := c.options.State.Record(id)
	if r == nil || (workspace != "" && r.Workflow.Workspace != workspace) {
		done(pj.Refuse(pj.CodeUnknownJob, "workflow %s is not known", id))
		return
	}
	if r.State().Final() {
		done(nil)
		return
	}
	c.commit(workflow.Command{Cancel: id}, func(_ workflow.Result, err error) {
		if err == nil && !c.closed {
			delete(c.begun, id)
			c.options.Events.Decided("workflow_cancelled", "workflow", id, "live", r.Live())
			c.finished(r)
		}
		done(err)
	})
}

// Status returns the state of a workflow.
func (c *Controller) Status(id, workspace string) (pj.WorkflowState, error) {
	r := c.options.State.Record(id)
	if r == nil || (workspace != "" && r.Workflow.Workspace != workspace) {
		return "", pj.Refuse(pj.CodeUnknownJob, "workflow %s is not known", id)
	}
	return r.State(), nil
}

// Configure puts rules into force unless the rules in force have the same or a higher version, and
// calls done with the version in force.
func (c *Controller) Configure(rules pj.Ruleset, done func(version int64, err error)) {
	c.commit(workflow.Command{Configure: &rules}, func(r workflow.Result, err error) {
		if err == nil {
			c.options.Events.Decided("rules_published", "version", rules.Version, "in_force", r.Version)
		}
		done(r.Version, err)
	})
}

// Waiting returns how many workflows of a queue have not begun: none of their runs was seen on a worker.
func (c *Controller) Waiting(queue string) int {
	waiting := c.options.State.Waiting(queue)
	for id := range c.begun {
		if r := c.options.State.Record(id); r != nil && r.Workflow.Queue == queue {
			waiting--
		}
	}
	return waiting
}

// settle notes that a worker has a run, or surely hasn't. What is known stays known: looks are compared with when it first was.
func (c *Controller) settle(v *run, seen bool) {
	if v.settledAt == 0 {
		v.settledAt = max(c.options.Clock.Now(), 1)
	}
	r := v.unit.record
	if seen && !r.Started && r.Workflow.Times == 0 && !r.State().Final() {
		c.begun[r.Workflow.ID] = struct{}{}
	}
}
