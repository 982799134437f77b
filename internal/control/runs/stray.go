package runs

import (
	"maps"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// stray is a run that counts as ended and that a worker lists: its start order was carried out late, or its worker was out of reach for
// longer than its lease. Until it has ended, its task doesn't start, its workspace is charged for it, and its worker gets no task.
type stray struct {
	worker    *worker
	workspace string
	amount    pj.Resources  // that it uses; zero if it has ended
	listedAt  time.Duration // when the worker last listed it
}

// stopStray stops a run that a worker lists and that isn't recorded as live.
func (c *Controller) stopStray(now time.Duration, w *worker, id pj.RunID) {
	c.options.Events.Record("stray_run", "worker", w.ID, "run", id.Task, "number", id.Run)
	c.options.Orders.Stop(w.PolledWorker, id, w.fence, func(int64, error) {})
	w.strayAt = max(now, 1)
	c.holdStray(now, w, id, true)
}

// holdStray keeps the task of a stray run, or of one whose end as done isn't committed yet, from starting until the worker no longer lists it.
func (c *Controller) holdStray(now time.Duration, w *worker, id pj.RunID, running bool) {
	if w.runs[id] != nil || !c.unfinished(id) {
		return
	}
	for _, s := range c.strays[id.Task] {
		if s.worker == w {
			s.listedAt = now
			return
		}
	}
	r := c.options.State.Record(id.Task.Workflow)
	s := &stray{worker: w, workspace: r.Workflow.Workspace, listedAt: now}
	if running {
		s.amount = r.Workflow.Steps[id.Task.Step].Reservation()
	}
	c.strays[id.Task] = append(c.strays[id.Task], s)
	w.strays++
	c.ledger.Charge(s.workspace, s.amount)
}

// holdListed holds the tasks of stray runs, and of those that ended as done, in an answer that isn't reconciled, because the poll was meant for
// another incarnation.
func (c *Controller) holdListed(w *worker, response *pj.PollResponse) {
	now := c.options.Clock.Now()
	for i := range response.Running {
		c.holdStray(now, w, response.Running[i].Run, true)
	}
	for i := range response.Finished {
		if end := &response.Finished[i]; c.lateDone(end) {
			c.holdStray(now, w, end.Run, false)
		}
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

// clearStrays ends what holdStray keeps from starting because of a worker, but for tasks of which it still lists a run in its answer to a
// poll that was sent at the given time.
func (c *Controller) clearStrays(w *worker, sent time.Duration, response *pj.PollResponse) {
	if w.strays == 0 {
		return
	}
	for task, strays := range c.strays {
		remaining := slices.DeleteFunc(strays, func(s *stray) bool {
			gone := s.worker == w && sent >= s.listedAt && !listsStray(response, task)
			if gone {
				w.strays--
				c.ledger.Refund(s.workspace, s.amount)
				c.dirty = true
			}
			return gone
		})
		c.strays[task] = remaining
		if len(remaining) == 0 {
			delete(c.strays, task)
		}
	}
}

// listsStray reports whether an answer lists a run of a task that goes on or has ended as done.
func listsStray(response *pj.PollResponse, task pj.TaskID) bool {
	return slices.ContainsFunc(response.Running, func(r pj.RunStatus) bool { return r.Run.Task == task }) ||
		slices.ContainsFunc(response.Finished, func(e pj.EndedRun) bool { return e.Run.Task == task && e.Outcome == pj.EndDone })
}

// mayHaveStray reports whether a worker that this leader hasn't heard yet may list a stray run of a task, which an earlier leader was stopping there.
// A worker that stays silent delays the task no longer than one that falls silent under the same leader.
func (c *Controller) mayHaveStray(now time.Duration, t workflow.Task) bool {
	w := c.workers[t.LostOn]
	return w != nil && !w.polled && now < c.electedAt+unresponsiveAfter
}

// holdStrays takes the tasks that have stray runs, or may have, out of the pending ones, and returns the function that puts them back.
func (c *Controller) holdStrays(now time.Duration, ts *taskSet) (putBack func()) {
	step := ts.record.Step(ts.id)
	if len(c.strays) == 0 && now >= c.electedAt+unresponsiveAfter || step == nil {
		return func() {}
	}
	var held []int
	ts.pending = slices.DeleteFunc(ts.pending, func(index int) bool {
		_, stray := c.strays[pj.TaskID{StepID: ts.id, Index: index}]
		stray = stray || c.mayHaveStray(now, step.Task(index))
		if stray {
			held = append(held, index)
		}
		return stray
	})
	return func() { ts.pending = append(ts.pending, held...) }
}

// lateDone reports whether an end as done of a run that counted as ended otherwise finishes its task.
func (c *Controller) lateDone(end *pj.EndedRun) bool {
	return end.Outcome == pj.EndDone && c.unfinished(end.Run) &&
		!c.options.State.Record(end.Run.Task.Workflow).Workflow.Steps[end.Run.Task.Step].LongRunning
}

// lateDoneCommitted follows the commit of such an end: a later run of its task isn't needed.
func (c *Controller) lateDoneCommitted(id pj.RunID) {
	delete(c.unrecordedStarts, id.Task.Workflow)
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
	if step := r.Step(id.Task.StepID); step != nil && step.Done() {
		c.enqueueDependents(r, id.Task.StepID)
	}
}
