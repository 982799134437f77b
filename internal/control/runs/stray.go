package runs

import (
	"maps"
	"slices"

	pj "papayajunction"
)

// A run that counts as ended may have ended as done: its worker was out of reach for longer than its lease.

// unfinished reports whether a run is of a task that may have to run again.
func (c *Controller) unfinished(id pj.RunID) bool {
	r := c.options.State.Record(id.Task.Workflow)
	if r == nil || r.State().Final() {
		return false
	}
	task := r.Task(id.Task)
	return task != nil && !task.Done && id.Run <= task.LastRun
}

// lateDoneCommitted follows the commit of an end as done of a run that counted as ended otherwise: a later run of its task isn't needed.
func (c *Controller) lateDoneCommitted(id pj.RunID) {
	r := c.options.State.Record(id.Task.Workflow)
	ts := c.taskSets[id.Task.StepID]
	if r == nil || ts == nil {
		return
	}
	c.options.Events.Record("run_done_late", "workflow", id.Task.Workflow, "task", id.Task, "run", id.Run)
	for _, index := range slices.Sorted(maps.Keys(ts.live)) {
		v := ts.live[index]
		if t := ts.record.Task(v.id.Task); t == nil || t.Done {
			c.stop(v, "an earlier run of the task is done")
		}
	}
	ts.pending = slices.DeleteFunc(ts.pending, func(index int) bool { return index == id.Task.Index || ts.spec.Gang })
	if len(ts.pending) == 0 {
		c.dequeue(ts)
	}
	if r.State().Final() {
		c.finishWorkflow(r)
	}
	c.dropTaskSet(ts)
	if r.Step(id.Task.StepID) != nil && r.Step(id.Task.StepID).Done() {
		c.enqueueDependents(r, id.Task.StepID)
	}
}
