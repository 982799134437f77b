package runs

import (
	"cmp"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// unit is what is to be started and what runs of one step of one occurrence.
type unit struct {
	id       pj.StepID
	record   *workflow.Record
	spec     *pj.Step
	amount   pj.Resources // what one task takes
	pending  []int        // indexes of the tasks to start
	live     map[int]*run // by index
	onWorker map[string]int
	queued   bool
	since    time.Duration // when its tasks could first start
	due      time.Duration // when the workflow should be complete
	useless  time.Duration // when it is of no use any more
	rest     time.Duration // how long this step and those after it take

	limited bool // the workspace's upper limit has held it back
	asking  bool
	asked   map[string]bool    // workers that the policy was asked about
	good    map[string]*ticket // by worker
	tickets []*ticket          // the same in order of arrival
}

// unit returns the unit of a step and makes it if there is none.
func (c *Controller) unit(r *workflow.Record, id pj.StepID) *unit {
	if u := c.units[id]; u != nil {
		return u
	}
	spec := &r.Workflow.Steps[id.Step]
	now := c.options.Clock.Now()
	objective := c.durations.objective(&r.Workflow)
	accepted := now - time.Duration(c.options.Unix()-r.Workflow.AcceptedAt)*time.Millisecond
	u := &unit{
		id: id, record: r, spec: spec, amount: spec.Reserved(), since: now,
		live: make(map[int]*run), onWorker: make(map[string]int),
		due: accepted + objective, useless: accepted + lateFactor*objective, rest: c.durations.chain(&r.Workflow, id.Step),
		asked: make(map[string]bool), good: make(map[string]*ticket),
	}
	c.units[id] = u
	c.byWorkflow[id.Workflow] = append(c.byWorkflow[id.Workflow], u)
	return u
}

// forget drops a unit that is done and of which nothing runs.
func (c *Controller) forget(u *unit) {
	if len(u.live) > 0 || u.queued {
		return
	}
	delete(c.units, u.id)
	rest := slices.DeleteFunc(c.byWorkflow[u.id.Workflow], func(o *unit) bool { return o == u })
	if len(rest) == 0 {
		delete(c.byWorkflow, u.id.Workflow)
		return
	}
	c.byWorkflow[u.id.Workflow] = rest
}

// suits reports whether the unit's tasks may run on a worker, whatever its room and the queue's policy.
func (u *unit) suits(w *worker, avoided map[string]struct{}) bool {
	if w.Pool != u.record.Workflow.Pool || (u.spec.Label != "" && !slices.Contains(w.Labels, u.spec.Label)) {
		return false
	}
	_, avoid := avoided[w.ID]
	return !avoid
}

// compare puts urgent work first, then what is due first.
func (u *unit) compare(o *unit) int {
	return cmp.Or(
		cmp.Compare(u.record.Workflow.Priority, o.record.Workflow.Priority),
		cmp.Compare(u.due, o.due),
		cmp.Compare(u.id.Workflow, o.id.Workflow),
		cmp.Compare(u.id.Occurrence, o.id.Occurrence),
		cmp.Compare(u.id.Step, o.id.Step),
	)
}

// enqueue makes all tasks of a unit that neither run nor are done wait for their start, once the
// unit's time has come.
func (c *Controller) enqueue(u *unit) {
	if u.queued {
		return
	}
	if due := u.record.Workflow.DueAt(u.id.Occurrence); due > c.options.Unix() {
		c.timed = append(c.timed, u)
		return
	}
	u.pending = u.pending[:0]
	for i, t := range u.record.Step(u.id).Tasks {
		if !t.Done && u.live[i] == nil {
			u.pending = append(u.pending, i)
		}
	}
	if len(u.pending) == 0 || (u.spec.Gang && len(u.live) > 0) {
		return
	}
	at, _ := slices.BinarySearchFunc(c.ready, u, (*unit).compare)
	c.ready = slices.Insert(c.ready, at, u)
	u.queued = true
	c.dirty = true
}

// requeue makes one task wait for its start again.
func (c *Controller) requeue(u *unit, index int) {
	switch {
	case u.record.State().Final():
		c.finished(u.record)
		c.forget(u)
	case u.spec.Gang || !u.queued:
		c.enqueue(u)
	default:
		u.pending = append(u.pending, index)
		c.dirty = true
	}
}

func (c *Controller) dequeue(u *unit) {
	c.timed = slices.DeleteFunc(c.timed, func(o *unit) bool { return o == u })
	if !u.queued {
		return
	}
	u.queued = false
	if at, ok := slices.BinarySearchFunc(c.ready, u, (*unit).compare); ok {
		c.ready = slices.Delete(c.ready, at, at+1)
	}
}

// wakeTimed queues the units whose time has come.
func (c *Controller) wakeTimed() {
	waiting := c.timed
	c.timed = nil
	for _, u := range waiting {
		c.enqueue(u) // puts it back if its time hasn't come
	}
}

// enqueueDependents queues the steps that waited for the one that is done.
func (c *Controller) enqueueDependents(r *workflow.Record, done pj.StepID) {
	for i := range r.Workflow.Steps {
		id := pj.StepID{Workflow: done.Workflow, Occurrence: done.Occurrence, Step: i}
		if slices.Contains(r.Workflow.Steps[i].DependsOn, done.Step) && r.Ready(id) && !r.Step(id).Done() {
			c.enqueue(c.unit(r, id))
		}
	}
}

// checkpoint returns what a task goes on from; the members of a gang share one.
func (u *unit) checkpoint(t *workflow.Task) string {
	if !u.spec.Gang {
		return t.Saved
	}
	for _, member := range u.record.Step(u.id).Tasks {
		if member.Saved != "" {
			return member.Saved
		}
	}
	return ""
}

// nextRun returns the number of the next run of a task; the members of a gang share it.
func (u *unit) nextRun(index int) int {
	step := u.record.Step(u.id)
	if !u.spec.Gang {
		return step.Tasks[index].Run + 1
	}
	highest := 0
	for _, t := range step.Tasks {
		highest = max(highest, t.Run)
	}
	return highest + 1
}
