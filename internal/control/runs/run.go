package runs

import (
	"errors"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/quarantine"
	"papayajunction/internal/control/workflow"
)

const (
	unhealthyBackoff = time.Second     // after a worker refused an order, or after the start of a probe, it receives no new task for this long
	minQuarantine    = 4 * time.Second // of a worker that fails all its tasks; doubles with each further one
	maxQuarantine    = time.Minute
	removeAfter      = 30 * time.Second // a worker without runs that has not answered for this long is removed
)

type runPhase uint8

const (
	phaseProposed  runPhase = iota // the start is being committed; nothing was sent to the worker
	phaseCommitted                 // the start is committed; the worker may have the run
)

// run is one run that holds capacity on a worker.
type run struct {
	id           pj.RunID
	taskSet      *taskSet
	worker       *worker
	incarnation  int64 // of the worker for which the start was proposed; unset for adopted runs
	phase        runPhase
	startedAt    time.Duration
	resolvedAt   time.Duration // since when the outcome of the start order is known; 0 while it is unknown
	fence        uint64        // fencing token of the start order; 0 for adopted runs and before it is sent
	confirmed    bool          // the current incarnation of the worker has listed it to this leader
	unansweredAt time.Duration // since when it is known that the start order got no answer; 0 if it got one or may still get it
	open         bool          // its start counts in Controller.openStarts
	ending       bool          // its end is being committed
	stopReason   string        // why the run is to be stopped; empty if it isn't
	stopSentAt   time.Duration
	checkpoint   string
	progress     int
	progressedAt time.Duration // when progress last changed
	ticket       string
}

// occupy charges a run to its worker, its workspace and its task set.
func (c *Controller) occupy(v *run) {
	ts := v.taskSet
	c.liveRuns++
	v.worker.runs[v.id] = v
	v.worker.free = v.worker.free.Sub(ts.amount)
	ts.live[v.id.Task.Index] = v
	ts.onWorker[v.worker.ID]++
	c.ledger.Charge(ts.record.Workflow.Workspace, ts.amount)
	c.usage.add(c.options.Clock.Now(), ts.record.Workflow.Workspace, ts.record.Workflow.Priority, ts.amount)
	c.runsOf(ts.record.Workflow.Workspace)[v] = struct{}{}
}

func (c *Controller) release(v *run) {
	ts := v.taskSet
	c.liveRuns--
	c.startClosed(v)
	delete(v.worker.runs, v.id)
	v.worker.free = v.worker.free.Add(ts.amount)
	delete(ts.live, v.id.Task.Index)
	ts.onWorker[v.worker.ID]--
	c.ledger.Refund(ts.record.Workflow.Workspace, ts.amount)
	c.usage.add(c.options.Clock.Now(), ts.record.Workflow.Workspace, ts.record.Workflow.Priority, pj.Resources{}.Sub(ts.amount))
	delete(c.runsOf(ts.record.Workflow.Workspace), v)
	c.dirty = true
}

// runsOf returns the runs of a workspace that hold capacity.
func (c *Controller) runsOf(workspace string) map[*run]struct{} {
	live := c.byWorkspace[workspace]
	if live == nil {
		live = make(map[*run]struct{})
		c.byWorkspace[workspace] = live
	}
	return live
}

// startCommitted sends the start order of a run whose start was accepted by the state machine; otherwise it requeues the task.
func (c *Controller) startCommitted(v *run, accepted bool) {
	if !accepted {
		c.release(v)
		c.quarantine.RecordStop(v.worker.ID)
		c.requeue(v.taskSet, v.id.Task.Index)
		return
	}
	v.phase = phaseCommitted
	if v.stopReason != "" || v.taskSet.record.State().Final() || v.incarnation != v.worker.Incarnation || len(c.strays[v.id.Task]) > 0 {
		c.startClosed(v)
		c.end(v, pj.EndNotStarted, "")
		return
	}
	c.sendStart(v)
}

func (c *Controller) sendStart(v *run) {
	now := c.options.Clock.Now()
	w := v.worker
	if c.deposed || !c.options.Group.Serving() {
		c.startClosed(v)
		c.resolveStart(v, false) // nothing was sent, so a later poll that doesn't list the run proves that the worker doesn't have it
		c.options.Events.Record("start_not_sent", "workflow", v.id.Task.Workflow, "task", v.id.Task, "run", v.id.Run, "worker", w.ID, "deposed", c.deposed)
		return
	}
	task := v.taskSet.record.Task(v.id.Task)
	v.fence = c.startFence(w)
	order := pj.StartRequest{
		Run: v.id, Spec: v.taskSet.record.Workflow.Spec, LeaseUntilMS: c.grantLease(now, w), Fence: v.fence,
		Checkpoint: v.taskSet.checkpoint(task), Ticket: v.ticket,
	}
	v.startedAt, v.progressedAt = now, now
	c.options.Events.Record("run_started", "workflow", v.id.Task.Workflow, "task", v.id.Task, "run", v.id.Run,
		"worker", w.ID, "waited", now-v.taskSet.readySince, "until_ms", order.LeaseUntilMS, "resumed", order.Checkpoint != "")
	c.options.Events.TaskStarted(&v.taskSet.record.Workflow, now-v.taskSet.readySince)
	c.options.Orders.Start(w.PolledWorker, order, func(clockMS int64, err error) {
		c.startClosed(v)
		if c.closed || w.runs[v.id] != v {
			return
		}
		c.startAnswered(v, clockMS, err)
	})
}

func (c *Controller) startAnswered(v *run, _ int64, err error) {
	now := c.options.Clock.Now()
	if err == nil {
		c.resolveStart(v, true)
		if v.taskSet.spec.LongRunning {
			v.worker.nextPollAtOnce = 0
			c.pollAtOnce(v.worker)
		}
		return
	}
	var refused *pj.RefusedError
	if !errors.As(err, &refused) {
		v.unansweredAt = max(now, 1)
		v.worker.unansweredAt = max(now, 1)
		c.options.Events.Record("start_unanswered", "workflow", v.id.Task.Workflow, "task", v.id.Task, "run", v.id.Run, "worker", v.worker.ID, "err", err)
		v.worker.nextPollAt = 0
		c.poll(v.worker)
		c.pollAtOnce(v.worker)
		return
	}
	c.options.Events.Record("start_refused", "workflow", v.id.Task.Workflow, "task", v.id.Task, "run", v.id.Run, "worker", v.worker.ID, "reason", refused.Reason)
	c.startRefused(now, v, refused)
}

func (c *Controller) startRefused(now time.Duration, v *run, refused *pj.RefusedError) {
	switch refused.Reason {
	case pj.RefusedStaleFence:
		if !c.refusedByFence(v.worker, v.fence, "start") {
			return
		}
	case pj.RefusedStaleRun:
		c.resolveStart(v, false) // the worker reports the end of the run in a poll, or never ran it
		return
	case pj.RefusedTicket:
		v.taskSet.expireTicket(v.worker.ID)
	case pj.RefusedNoCapacity, pj.RefusedUnhealthy, pj.RefusedInvalid:
		v.worker.unhealthyUntil = now + unhealthyBackoff
	case pj.RefusedLeaseExpired, pj.RefusedIncarnation:
		v.worker.nextPollAt = 0
		v.worker.polled = false
		c.poll(v.worker)
	case pj.RefusedRestarted:
		c.refusedRestarted(now, v.worker, refused)
	case pj.RefusedUnreachable:
		v.worker.unansweredAt = max(now, 1)
		v.worker.unhealthyUntil = max(v.worker.unhealthyUntil, now+pollRetryDelay)
		c.pollAtOnce(v.worker)
	}
	c.end(v, pj.EndNotStarted, "")
}

// stop requests the end of a run. The stop order is sent now if the start is committed.
func (c *Controller) stop(v *run, why string) {
	if v.stopReason == "" {
		v.stopReason = why
	}
	if v.phase == phaseCommitted && !v.ending {
		c.sendStop(v)
	}
}

func (c *Controller) sendStop(v *run) {
	now := c.options.Clock.Now()
	if c.deposed || !c.options.Group.Serving() {
		return
	}
	v.stopSentAt = now
	c.options.Events.Record("run_stopping", "workflow", v.id.Task.Workflow, "task", v.id.Task, "run", v.id.Run, "worker", v.worker.ID, "why", v.stopReason)
	fence := v.worker.fence
	c.options.Orders.Stop(v.worker.PolledWorker, v.id, fence, func(_ int64, err error) {
		if c.closed || v.worker.runs[v.id] != v {
			return
		}
		var refused *pj.RefusedError
		switch {
		case err == nil:
			c.resolveStart(v, false) // the worker will refuse a start order that is still in transit
			if v.unansweredAt != 0 {
				v.worker.nextPollAtOnce = 0
				c.pollAtOnce(v.worker)
			}
		case errors.As(err, &refused) && refused.Reason == pj.RefusedStaleFence:
			c.refusedByFence(v.worker, fence, "stop")
		case errors.As(err, &refused) && refused.Reason == pj.RefusedRestarted:
			c.refusedRestarted(c.options.Clock.Now(), v.worker, refused)
		}
	})
}

// end adds the end of a run to the batch. The run must certainly have ended.
func (c *Controller) end(v *run, outcome pj.RunOutcome, checkpoint string) {
	if v.ending || v.phase == phaseProposed {
		return
	}
	v.ending = true
	c.batch.ends = append(c.batch.ends, runEnd{run: v, outcome: outcome, checkpoint: checkpoint})
}

// endCommitted frees the capacity of an ended run, and requeues its task or enqueues the dependent steps.
func (c *Controller) endCommitted(e runEnd) {
	v := e.run
	now := c.options.Clock.Now()
	c.release(v)
	r := v.taskSet.record
	if r.Started || r.State().Final() {
		delete(c.unrecordedStarts, r.Workflow.ID)
	}
	c.options.Events.Record("run_ended", "workflow", v.id.Task.Workflow, "task", v.id.Task, "run", v.id.Run,
		"worker", v.worker.ID, "how", e.outcome, "ran", now-v.startedAt, "why", v.stopReason)
	c.recordOutcome(now, v, e.outcome)
	if r.State().Final() {
		c.finishWorkflow(r)
		c.dropTaskSet(v.taskSet)
		return
	}
	step := r.Step(v.taskSet.id)
	if step.Done() {
		c.dequeue(v.taskSet)
		c.dropTaskSet(v.taskSet)
		c.enqueueDependents(r, v.taskSet.id)
		return
	}
	if v.taskSet.spec.Gang {
		c.gangMemberEnded(v, e.outcome)
		return
	}
	if task := r.Task(v.id.Task); !task.Done {
		c.requeue(v.taskSet, v.id.Task.Index)
	}
}

// recordOutcome updates run times and the worker's slowness, and attributes a failure to the worker or the workflow.
func (c *Controller) recordOutcome(now time.Duration, v *run, outcome pj.RunOutcome) {
	switch outcome {
	case pj.EndDone:
		if mean := c.durations[v.taskSet.record.Workflow.Queue]; mean > 0 && v.id.Run == 1 {
			v.worker.updateSlowness(float64(now-v.startedAt) / float64(mean))
		}
		c.durations.observe(v.taskSet.record.Workflow.Queue, now-v.startedAt)
		c.quarantine.RecordSuccess(v.startedAt, v.id.Task.Workflow, v.worker.ID)
	case pj.EndFailed:
		avoidFor := quarantine.AvoidLimitedAttempts
		if v.taskSet.spec.LongRunning {
			avoidFor = quarantine.AvoidUnlimitedAttempts
		}
		_, quarantined := c.quarantine.RecordFailureAvoiding(now, v.id.Task.Workflow, v.worker.ID, avoidFor)
		if quarantined {
			c.updateUsable(now, v.worker)
		}
		c.options.Events.Record("worker_avoided", "workflow", v.id.Task.Workflow, "worker", v.worker.ID, "avoid_for", avoidFor, "quarantined", quarantined)
	default:
		c.quarantine.RecordStop(v.worker.ID)
	}
}

// expireAvoidance lets workflows use workers again on which they failed, because no other worker may be left for them.
func (c *Controller) expireAvoidance(now time.Duration) {
	for _, w := range c.quarantine.Expire(now) {
		c.options.Events.Record("worker_avoidance_over", "worker", w)
	}
}

// gangMemberEnded stops the other members of a gang after one has ended, and enqueues the gang again once all have ended.
func (c *Controller) gangMemberEnded(v *run, outcome pj.RunOutcome) {
	c.stopGang(v, "a member of the gang ended as "+string(outcome))
	if len(v.taskSet.live) == 0 {
		c.enqueue(v.taskSet)
	}
}

// stopGang stops the other members of a run's gang.
func (c *Controller) stopGang(v *run, why string) {
	for _, other := range v.taskSet.live {
		if other != v && other.stopReason == "" && other.id.Run == v.id.Run {
			c.stop(other, why)
		}
	}
}

// finishWorkflow stops the remaining runs of a workflow in a final state. Once none is live, it records the end of the
// workflow, unless that was already done.
func (c *Controller) finishWorkflow(r *workflow.Record) {
	tracked := len(c.byWorkflow[r.Workflow.ID]) > 0 || c.schedules[r.Workflow.ID] != nil
	if r.State() == pj.WorkflowComplete {
		c.dropTaskSets(r) // the remaining runs are gang members, which end together
	} else {
		c.stopWorkflow(r, "the workflow is "+string(r.State()))
	}
	if tracked && r.LiveRuns() == 0 {
		c.options.Events.Record("workflow_ended", "workflow", r.Workflow.ID, "queue", r.Workflow.Queue,
			"workspace", r.Workflow.Workspace, "state", r.State(), "reason", r.Failed)
		c.options.Events.WorkflowFinished(&r.Workflow, time.Duration(c.options.UnixMilli()-r.Workflow.AcceptedAt)*time.Millisecond)
		c.quarantine.RemoveJob(r.Workflow.ID)
	}
}

// stopWorkflow stops the runs of a workflow and dequeues its task sets.
func (c *Controller) stopWorkflow(r *workflow.Record, why string) {
	for _, ts := range c.byWorkflow[r.Workflow.ID] {
		for _, v := range ts.live {
			if v.stopReason == "" {
				c.stop(v, why)
			}
		}
	}
	c.dropTaskSets(r)
}

// dropTaskSets dequeues the task sets of a workflow, and drops those without runs.
func (c *Controller) dropTaskSets(r *workflow.Record) {
	c.dropSchedule(r.Workflow.ID)
	sets := c.byWorkflow[r.Workflow.ID]
	live := slices.DeleteFunc(sets, func(ts *taskSet) bool {
		c.dequeue(ts)
		if len(ts.live) > 0 {
			return false
		}
		delete(c.taskSets, ts.id)
		return true
	})
	if len(live) == 0 {
		delete(c.byWorkflow, r.Workflow.ID)
		return
	}
	c.byWorkflow[r.Workflow.ID] = live
}
