package runs

import (
	"cmp"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// taskSet is the scheduling state of one step of one occurrence of a workflow: its pending tasks and its runs.
type taskSet struct {
	id          pj.StepID
	record      *workflow.Record
	spec        *pj.Step
	amount      pj.Resources // resources of one task
	class       *class       // while it waits
	pending     []int        // task indexes
	live        map[int]*run // by task index
	onWorker    map[string]int
	queued      bool
	delayed     bool          // in Controller.delayed
	selectedIn  uint64        // last pass that considered it
	readySince  time.Duration // when its tasks could first start
	objectiveAt time.Duration // when the workflow should be complete
	deadline    time.Duration // when the result of the workflow is of no use any more
	remaining   time.Duration // estimated time of this step and of those that depend on it
	runTime     time.Duration // expected run time of a task, as of the current pass
	stalls      map[int]int   // number of stalled runs, by task index

	limitHold  hold // of the rest of its workspace's upper limit
	workerHold hold // of free workers

	limitLogged bool                // the event held_by_limit was recorded
	querying    map[string]struct{} // workers named in queries in flight
	queried     map[string]bool     // workers that were part of an answered query
	ticketFor   map[string]*ticket  // by worker
	tickets     []*ticket           // in order of arrival
}

// taskSet returns the task set of a step, creating it if necessary.
func (c *Controller) taskSet(r *workflow.Record, id pj.StepID) *taskSet {
	if ts := c.taskSets[id]; ts != nil {
		return ts
	}
	spec := &r.Workflow.Steps[id.Step]
	now := c.options.Clock.Now()
	objective := c.durations.objective(&r.Workflow)
	accepted := now - time.Duration(c.options.UnixMilli()-r.Workflow.AcceptedAt)*time.Millisecond
	ts := &taskSet{
		id: id, record: r, spec: spec, amount: spec.Reservation(), readySince: now,
		live: make(map[int]*run), onWorker: make(map[string]int),
		objectiveAt: accepted + objective, deadline: accepted + deadlineFactor*objective, remaining: c.durations.criticalPath(&r.Workflow, id.Step),
		querying: make(map[string]struct{}), queried: make(map[string]bool), ticketFor: make(map[string]*ticket),
	}
	c.taskSets[id] = ts
	c.byWorkflow[id.Workflow] = append(c.byWorkflow[id.Workflow], ts)
	return ts
}

// dropTaskSet drops a task set that is neither queued nor has runs.
func (c *Controller) dropTaskSet(ts *taskSet) {
	if len(ts.live) > 0 || ts.queued || ts.delayed {
		return
	}
	delete(c.taskSets, ts.id)
	others := slices.DeleteFunc(c.byWorkflow[ts.id.Workflow], func(o *taskSet) bool { return o == ts })
	if len(others) == 0 {
		delete(c.byWorkflow, ts.id.Workflow)
		return
	}
	c.byWorkflow[ts.id.Workflow] = others
}

// matches reports whether the tasks may run on a worker, apart from its free capacity and the queue's policy.
func (ts *taskSet) matches(w *worker, avoided map[string]struct{}) bool {
	if w.Pool != ts.record.Workflow.Pool || (ts.spec.Label != "" && !slices.Contains(w.Labels, ts.spec.Label)) {
		return false
	}
	_, avoid := avoided[w.ID]
	return !avoid
}

// compare orders by priority, then by objective.
func (ts *taskSet) compare(o *taskSet) int {
	return cmp.Or(
		cmp.Compare(ts.record.Workflow.Priority, o.record.Workflow.Priority),
		cmp.Compare(ts.objectiveAt, o.objectiveAt),
		cmp.Compare(ts.id.Workflow, o.id.Workflow),
		cmp.Compare(ts.id.Occurrence, o.id.Occurrence),
		cmp.Compare(ts.id.Step, o.id.Step),
	)
}

// enqueue adds a task set to those that wait, with all tasks that neither run nor are done. If its scheduled start time lies ahead,
// because the wall clock was set back, the task set is delayed instead.
func (c *Controller) enqueue(ts *taskSet) {
	if ts.queued || ts.delayed {
		return
	}
	if startAt := ts.record.Workflow.EarliestStartMS(ts.id.Occurrence); startAt > c.options.UnixMilli() {
		c.delayed = append(c.delayed, ts)
		ts.delayed = true
		return
	}
	ts.pending = ts.pending[:0]
	step := ts.record.Step(ts.id)
	for i := range step.Size() {
		if !step.Task(i).Done && ts.live[i] == nil {
			ts.pending = append(ts.pending, i)
		}
	}
	if len(ts.pending) == 0 || (ts.spec.Gang && len(ts.live) > 0) {
		return
	}
	c.waiting.add(ts)
	ts.queued = true
	c.waitingChanged(ts, 1)
	c.dirty = true
}

// requeue makes one task pending again.
func (c *Controller) requeue(ts *taskSet, index int) {
	switch {
	case ts.record.State().Final():
		c.finishWorkflow(ts.record)
		c.dropTaskSet(ts)
	case ts.record.Step(ts.id).Task(index).Done:
	case ts.spec.Gang || !ts.queued:
		c.enqueue(ts)
	default:
		ts.pending = append(ts.pending, index)
		c.dirty = true
	}
}

func (c *Controller) dequeue(ts *taskSet) {
	if ts.delayed {
		ts.delayed = false
		c.delayed = slices.DeleteFunc(c.delayed, func(o *taskSet) bool { return o == ts })
	}
	if !ts.queued {
		return
	}
	ts.queued = false
	c.waiting.remove(ts)
	c.waitingChanged(ts, -1)
}

// enqueueDelayed enqueues the task sets whose scheduled start time has passed.
func (c *Controller) enqueueDelayed() {
	delayed := c.delayed
	c.delayed = nil
	for _, ts := range delayed {
		ts.delayed = false
		c.enqueue(ts) // delays it again if its start time lies ahead
	}
}

// enqueueDependents enqueues the steps that became ready when a step was done.
func (c *Controller) enqueueDependents(r *workflow.Record, done pj.StepID) {
	for i := range r.Workflow.Steps {
		id := pj.StepID{Workflow: done.Workflow, Occurrence: done.Occurrence, Step: i}
		if slices.Contains(r.Workflow.Steps[i].DependsOn, done.Step) && r.Ready(id) && !r.Step(id).Done() {
			c.enqueue(c.taskSet(r, id))
		}
	}
}

// checkpoint returns the checkpoint from which a task resumes. The members of a gang share one.
func (ts *taskSet) checkpoint(t *workflow.Task) string {
	if !ts.spec.Gang {
		return t.Checkpoint
	}
	step := ts.record.Step(ts.id)
	for i := range step.Size() {
		member := step.Task(i)
		if member.Checkpoint != "" {
			return member.Checkpoint
		}
	}
	return ""
}

// nextRun returns the number of the next run of a task. The members of a gang share it.
func (ts *taskSet) nextRun(index int) int {
	step := ts.record.Step(ts.id)
	if !ts.spec.Gang {
		return step.Task(index).LastRun + 1
	}
	last := 0
	for i := range step.Size() {
		last = max(last, step.Task(i).LastRun)
	}
	return last + 1
}
