package runs

import (
	"errors"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// Times after an order that a worker refused.
const (
	unhealthyFor = time.Second
	forgetAfter  = 30 * time.Second // a silent worker without runs is forgotten
)

type runPhase uint8

const (
	phaseProposed runPhase = iota // the start is being committed; no worker has heard of it
	phaseStarted                  // it may be on its worker
)

// run is one run that holds capacity on a worker.
type run struct {
	id         pj.RunID
	unit       *unit
	worker     *worker
	phase      runPhase
	startedAt  time.Duration
	settledAt  time.Duration // since then it is known whether the worker has the run; 0 if it isn't
	adopted    bool          // an earlier leader recorded it, and no worker has listed it to this one
	unanswered bool          // the start had no answer
	ending     bool          // its end is being committed
	stopping   string        // why it is to be stopped
	stopSentAt time.Duration
	saved      string
	progress   int
	movedAt    time.Duration // when progress last changed
	ticket     string
}

// occupy counts a run on its worker, its workspace and its unit.
func (c *Controller) occupy(v *run) {
	u := v.unit
	v.worker.runs[v.id] = v
	v.worker.free = v.worker.free.Sub(u.amount)
	u.live[v.id.Task.Index] = v
	u.onWorker[v.worker.ID]++
	c.ledger.Charge(u.record.Workflow.Workspace, u.amount)
	c.demand.add(c.options.Clock.Now(), u.record.Workflow.Workspace, u.record.Workflow.Priority, u.amount)
}

func (c *Controller) release(v *run) {
	u := v.unit
	delete(v.worker.runs, v.id)
	v.worker.free = v.worker.free.Add(u.amount)
	delete(u.live, v.id.Task.Index)
	u.onWorker[v.worker.ID]--
	c.ledger.Refund(u.record.Workflow.Workspace, u.amount)
	c.demand.add(c.options.Clock.Now(), u.record.Workflow.Workspace, u.record.Workflow.Priority, pj.Resources{}.Sub(u.amount))
	c.dirty = true
}

// startCommitted sends the start of a run that was recorded, or drops it.
func (c *Controller) startCommitted(v *run, accepted bool) {
	if !accepted {
		c.release(v)
		c.requeue(v.unit, v.id.Task.Index)
		return
	}
	v.phase = phaseStarted
	if v.stopping != "" || v.unit.record.State().Final() {
		c.end(v, pj.EndNotStarted, "")
		return
	}
	c.sendStart(v)
}

func (c *Controller) sendStart(v *run) {
	now := c.options.Clock.Now()
	w := v.worker
	if c.deposed || !c.options.Group.Serving() {
		c.settle(v, false) // nothing was sent, so a look that doesn't list the run proves that it isn't there
		c.options.Events.Decided("start_not_sent", "workflow", v.id.Task.Workflow, "task", v.id.Task, "run", v.id.Run, "worker", w.ID, "deposed", c.deposed)
		return
	}
	task := v.unit.record.Task(v.id.Task)
	order := pj.StartOrder{
		Run: v.id, Spec: v.unit.record.Workflow.Spec, UntilMS: c.leaseEnd(now, w), Fence: c.options.Term,
		Checkpoint: v.unit.checkpoint(task), Ticket: v.ticket,
	}
	v.startedAt, v.movedAt = now, now
	c.options.Events.Decided("run_started", "workflow", v.id.Task.Workflow, "task", v.id.Task, "run", v.id.Run,
		"worker", w.ID, "waited", now-v.unit.since, "until_ms", order.UntilMS, "resumed", order.Checkpoint != "")
	c.options.Events.Waited(&v.unit.record.Workflow, now-v.unit.since)
	c.options.Orders.Start(w.CalledWorker, order, func(clockMS int64, err error) {
		if c.closed || w.runs[v.id] != v {
			return
		}
		c.startAnswered(v, clockMS, err)
	})
}

func (c *Controller) startAnswered(v *run, _ int64, err error) {
	now := c.options.Clock.Now()
	if err == nil {
		c.settle(v, true)
		return
	}
	var refused *pj.RefusedError
	if !errors.As(err, &refused) {
		v.unanswered = true
		c.options.Events.Decided("start_unanswered", "workflow", v.id.Task.Workflow, "task", v.id.Task, "run", v.id.Run, "worker", v.worker.ID, "err", err)
		v.worker.nextLook = 0
		c.look(v.worker)
		return
	}
	c.options.Events.Decided("start_refused", "workflow", v.id.Task.Workflow, "task", v.id.Task, "run", v.id.Run, "worker", v.worker.ID, "reason", refused.Reason)
	c.startRefused(now, v, refused.Reason)
}

func (c *Controller) startRefused(now time.Duration, v *run, reason pj.OrderRefusal) {
	switch reason {
	case pj.RefusedFence:
		c.depose(v.worker, "start")
		return
	case pj.RefusedOld:
		c.settle(v, false) // the worker lists how it ended, or never ran it
		return
	case pj.RefusedTicket:
		v.unit.dropTicket(v.worker.ID)
	case pj.RefusedRoom, pj.RefusedUnhealthy, pj.RefusedInvalid:
		v.worker.unhealthy = now + unhealthyFor
	case pj.RefusedLate, pj.RefusedOtherLife:
		v.worker.nextLook = 0
		v.worker.heard = false
		c.look(v.worker)
	}
	c.end(v, pj.EndNotStarted, "")
}

// stop makes a run end as soon as possible.
func (c *Controller) stop(v *run, why string) {
	if v.stopping == "" {
		v.stopping = why
	}
	if v.phase == phaseStarted && !v.ending {
		c.sendStop(v)
	}
}

func (c *Controller) sendStop(v *run) {
	now := c.options.Clock.Now()
	if c.deposed || !c.options.Group.Serving() {
		return
	}
	v.stopSentAt = now
	c.options.Events.Decided("run_stopping", "workflow", v.id.Task.Workflow, "task", v.id.Task, "run", v.id.Run, "worker", v.worker.ID, "why", v.stopping)
	c.options.Orders.Stop(v.worker.CalledWorker, v.id, c.options.Term, func(_ int64, err error) {
		if c.closed || v.worker.runs[v.id] != v {
			return
		}
		var refused *pj.RefusedError
		switch {
		case err == nil:
			c.settle(v, false) // a start that is still on its way will be refused
		case errors.As(err, &refused) && refused.Reason == pj.RefusedFence:
			c.depose(v.worker, "stop")
		}
	})
}

// end commits that a run has certainly ended.
func (c *Controller) end(v *run, how pj.EndHow, saved string) {
	if v.ending || v.phase == phaseProposed {
		return
	}
	v.ending = true
	c.batch.ends = append(c.batch.ends, ending{run: v, how: how, saved: saved})
}

// ended goes on after an end was committed.
func (c *Controller) ended(e ending) {
	v := e.run
	now := c.options.Clock.Now()
	c.release(v)
	r := v.unit.record
	if r.Started || r.State().Final() {
		delete(c.begun, r.Workflow.ID)
	}
	c.options.Events.Decided("run_ended", "workflow", v.id.Task.Workflow, "task", v.id.Task, "run", v.id.Run,
		"worker", v.worker.ID, "how", e.how, "ran", now-v.startedAt, "why", v.stopping)
	c.judge(now, v, e.how)
	if r.State().Final() {
		c.finished(r)
		c.forget(v.unit)
		return
	}
	step := r.Step(v.unit.id)
	if step.Done() {
		c.dequeue(v.unit)
		c.forget(v.unit)
		c.enqueueDependents(r, v.unit.id)
		return
	}
	if v.unit.spec.Gang {
		c.gangEnded(v, e.how)
		return
	}
	if task := r.Task(v.id.Task); !task.Done {
		c.requeue(v.unit, v.id.Task.Index)
	}
}

// judge puts a failure on the worker or on the workflow.
func (c *Controller) judge(now time.Duration, v *run, how pj.EndHow) {
	switch how {
	case pj.EndDone:
		if usual := c.durations[v.unit.record.Workflow.Queue]; usual > 0 && v.id.Run == 1 {
			v.worker.learnSpeed(float64(now-v.startedAt) / float64(usual))
		}
		c.durations.observe(v.unit.record.Workflow.Queue, now-v.startedAt)
		c.blame.Finished(v.startedAt, v.id.Task.Workflow, v.worker.ID)
	case pj.EndFailed:
		if _, quarantined := c.blame.Failed(now, v.id.Task.Workflow, v.worker.ID); quarantined {
			c.setUsable(now, v.worker)
		}
	default:
		c.blame.Stopped(v.worker.ID)
	}
}

// gangEnded ends the other members of a gang of which one has ended, and starts it anew once none is left.
func (c *Controller) gangEnded(v *run, how pj.EndHow) {
	for _, other := range v.unit.live {
		if other.stopping == "" && other.id.Run == v.id.Run {
			c.stop(other, "a member of the gang ended as "+string(how))
		}
	}
	if len(v.unit.live) == 0 {
		c.enqueue(v.unit)
	}
}

// finished stops what still runs of a workflow in a final state, and reports it once.
func (c *Controller) finished(r *workflow.Record) {
	known := len(c.byWorkflow[r.Workflow.ID]) > 0
	if r.State() == pj.WorkflowComplete {
		c.dropUnits(r) // what still runs are members of gangs, which end together
	} else {
		c.stopAll(r, "the workflow is "+string(r.State()))
	}
	if known && r.Live() == 0 {
		c.options.Events.Decided("workflow_ended", "workflow", r.Workflow.ID, "queue", r.Workflow.Queue,
			"workspace", r.Workflow.Workspace, "state", r.State(), "reason", r.Failed)
		c.options.Events.Finished(&r.Workflow, time.Duration(c.options.Unix()-r.Workflow.AcceptedAt)*time.Millisecond)
		c.blame.Forget(r.Workflow.ID)
	}
}

// stopAll takes a workflow out of the queues and stops its runs.
func (c *Controller) stopAll(r *workflow.Record, why string) {
	for _, u := range c.byWorkflow[r.Workflow.ID] {
		for _, v := range u.live {
			if v.stopping == "" {
				c.stop(v, why)
			}
		}
	}
	c.dropUnits(r)
}

// dropUnits takes a workflow out of the queues.
func (c *Controller) dropUnits(r *workflow.Record) {
	for _, u := range slices.Clone(c.byWorkflow[r.Workflow.ID]) {
		c.dequeue(u)
		c.forget(u)
	}
}
