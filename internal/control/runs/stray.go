package runs

import (
	"maps"
	"slices"

	pj "papayajunction"
)

// A run that counts as ended may still be on a worker, or may have ended there as done: its start order was carried out late, or its
// worker was out of reach for longer than its lease.

// stopStray stops a run that a worker lists and that isn't recorded as live. Until it has ended, no task starts on the worker, where it uses
// capacity, and its own task starts nowhere.
func (c *Controller) stopStray(w *worker, id pj.RunID) {
	c.options.Events.Record("stray_run", "worker", w.ID, "run", id.Task, "number", id.Run)
	c.options.Orders.Stop(w.PolledWorker, id, w.fence, func(int64, error) {})
	w.strays++
	c.holdStray(w, id)
}

// holdStray keeps the task of a stray run from starting until the worker no longer lists it.
func (c *Controller) holdStray(w *worker, id pj.RunID) {
	if w.runs[id] == nil && c.unfinished(id) {
		c.strays[id.Task] = w
	}
}

// unfinished reports whether a run is of a task that may have to run again.
func (c *Controller) unfinished(id pj.RunID) bool {
	r := c.options.State.Record(id.Task.Workflow)
	if r == nil || r.State().Final() {
		return false
	}
	task := r.Task(id.Task)
	return task != nil && !task.Done && id.Run <= task.LastRun
}

// clearStrays ends what holdStray keeps from starting because of a worker, but for the runs that are still listed there.
func (c *Controller) clearStrays(w *worker, listed map[pj.RunID]struct{}) {
	for task, at := range c.strays {
		if at == w && !listsTask(listed, task) {
			delete(c.strays, task)
			c.dirty = true
		}
	}
}

func listsTask(listed map[pj.RunID]struct{}, task pj.TaskID) bool {
	for id := range listed {
		if id.Task == task {
			return true
		}
	}
	return false
}

// holdStrays takes the tasks with a stray run out of the pending ones, and returns the function that puts them back.
func (c *Controller) holdStrays(ts *taskSet) (putBack func()) {
	if len(c.strays) == 0 {
		return func() {}
	}
	var held []int
	ts.pending = slices.DeleteFunc(ts.pending, func(index int) bool {
		_, stray := c.strays[pj.TaskID{StepID: ts.id, Index: index}]
		if stray {
			held = append(held, index)
		}
		return stray
	})
	return func() { ts.pending = append(ts.pending, held...) }
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
