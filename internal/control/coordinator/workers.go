package coordinator

import (
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/cell"
	"papayajunction/internal/control/incarnation"
)

// workerView is the leader's view of a worker.
type workerView struct {
	name            string
	rack            string
	incarnation     string
	capacity        pj.Resources
	reported        bool          // has reported to this leader
	leaseUntil      time.Duration // until then the worker may run tasks that it hasn't reported to this leader
	lastReport      time.Duration // when the last report was received
	sequence        uint64        // of the last report
	draining        bool
	contacts        incarnation.Contacts
	nextIncarnation string // incarnation that is to replace the present one when the lease of that has expired
	attempts        map[pj.AttemptID]*attemptView
	acks            []pj.AttemptID // ends to acknowledge in the next reply
	state           string         // as shown to operators; new tasks start only on a worker whose state is "working"

	heldReply func(pj.WorkerReportReply, error)
	heldUntil time.Duration
	hasUpdate bool // there is something new for the worker, so the reply must not be held
}

// attemptView is the leader's view of an attempt that is recorded as live. record is nil for an orphan:
// a task that the worker reports but that isn't recorded as live on it.
type attemptView struct {
	id              pj.AttemptID
	record          *cell.Record
	worker          *workerView
	incarnation     string        // of the worker, for which the start was decided
	since           time.Duration // when it was proposed, adopted or first reported as running
	proposed        bool          // the start is not committed yet, so it must not be sent to a worker
	startSent       bool          // the start may have been sent to the worker
	running         bool          // the worker reported it
	ending          bool          // the end is being committed
	pendingVerb     pj.Verb
	throttlePending bool
	peak            pj.Resources // peak of the reported usage
}

// isForFormer reports whether another incarnation of the worker has replaced the one for which the attempt was decided.
func (v *attemptView) isForFormer() bool {
	return v.incarnation != v.worker.incarnation
}

// expectWorker adds a worker that has recorded attempts but hasn't reported to this leader yet. It is
// unusable until it reports.
func (c *Coordinator) expectWorker(now time.Duration, live *cell.Attempt) *workerView {
	w := &workerView{
		name: live.Worker, rack: live.Rack, incarnation: live.Incarnation,
		leaseUntil: now + taskLeaseExpiry, lastReport: now,
		attempts: make(map[pj.AttemptID]*attemptView), state: "expected",
	}
	c.workers[w.name] = w
	c.scheduler.SetWorker(pj.Worker{Name: w.name, Rack: w.rack})
	c.scheduler.SetUsable(w.name, false)
	return w
}

// Report processes a worker's report. reply is called once: immediately if the report is refused or
// there are actions or acknowledgements for the worker, otherwise after at most maxReportHold.
func (c *Coordinator) Report(r pj.WorkerReport, reply func(pj.WorkerReportReply, error)) {
	if !c.options.Group.Serving() {
		reply(pj.WorkerReportReply{}, pj.Refuse(pj.CodeNotLeader, "this VM is not the leader of zone %s or has no quorum", c.options.Zone))
		return
	}
	if err := checkReport(r, c.options.Zone); err != nil {
		reply(pj.WorkerReportReply{}, err)
		return
	}
	now := c.options.Clock.Now()
	w := c.workers[r.Worker]
	if w == nil {
		w = &workerView{name: r.Worker, lastReport: now, attempts: make(map[pj.AttemptID]*attemptView), state: "expected"}
		c.workers[r.Worker] = w
	}
	// Without a lease and without work: the report proves no more than that the worker may be alive, or the earlier
	// incarnation may still run tasks.
	termOnly := pj.WorkerReportReply{Incarnation: r.Incarnation, Sequence: r.Sequence, Term: c.options.Term}
	message := incarnation.Message{Incarnation: r.Incarnation, Sequence: r.Sequence, Term: r.Term}
	if !w.contacts.IsCurrent(message, c.options.Term) {
		reply(termOnly, nil)
		return
	}
	if w.isFormer(r.Incarnation) {
		reply(pj.WorkerReportReply{}, pj.Refuse(pj.CodeConflict, "another incarnation of worker %s has taken its place", r.Worker))
		return
	}
	if !c.acceptIncarnation(now, w, r) {
		reply(termOnly, nil)
		return
	}
	if w.reported && r.Sequence <= w.sequence {
		reply(pj.WorkerReportReply{}, pj.Refuse(pj.CodeConflict, "worker %s already sent a report with this or a later sequence number", r.Worker))
		return
	}
	w.sequence = r.Sequence
	w.sendHeldReply(pj.WorkerReportReply{}, supersededError(w.name)) // the worker waits for the reply to this report only
	c.updateWorker(now, w, r)
	c.reconcileTasks(now, w, r)
	w.heldReply = reply
	w.heldUntil = now + maxReportHold
	if w.hasUpdate || len(w.acks) > 0 || c.hasActions(w) {
		c.sendReportReply(now, w)
	}
	c.Schedule()
}

func supersededError(worker string) *pj.Error {
	return pj.Refuse(pj.CodeConflict, "worker %s has sent a later report", worker)
}

func checkReport(r pj.WorkerReport, zone string) *pj.Error {
	switch {
	case r.Worker == "" || r.Incarnation == "":
		return pj.Refuse(pj.CodeBadRequest, "a report needs a worker and an incarnation")
	case r.Zone != zone:
		return pj.Refuse(pj.CodeBadRequest, "worker %s of zone %q reported to zone %s", r.Worker, r.Zone, zone)
	case !(pj.Resources{}).Fits(r.Capacity) || r.Capacity[pj.Slots] != 0:
		return pj.Refuse(pj.CodeBadRequest, "worker %s reported an invalid capacity: %v", r.Worker, r.Capacity)
	}
	return nil
}

// isFormer reports whether a later incarnation of the worker has replaced the given one or is about to.
func (w *workerView) isFormer(name string) bool {
	latest := w.incarnation
	if w.nextIncarnation != "" {
		latest = w.nextIncarnation
	}
	return name != latest && (name == w.incarnation || w.contacts.Precedes(name, latest))
}

// acceptIncarnation reports whether the reporting incarnation, which is not a former one, may act now. It may replace the
// earlier one once that has no attempts left or its lease has certainly expired; until then no lease is renewed.
func (c *Coordinator) acceptIncarnation(now time.Duration, w *workerView, r pj.WorkerReport) bool {
	if w.incarnation == r.Incarnation {
		return true
	}
	w.sendHeldReply(pj.WorkerReportReply{}, supersededError(w.name))
	if len(w.attempts) > 0 && now < w.leaseUntil {
		w.nextIncarnation = r.Incarnation
		c.updateState(now, w)
		return false
	}
	for _, v := range w.attempts {
		c.endFormerAttempt(v)
	}
	w.incarnation = r.Incarnation
	w.nextIncarnation = ""
	w.reported = false
	return true
}

// endFormerAttempt ends an attempt for a former incarnation, whose lease has certainly expired.
func (c *Coordinator) endFormerAttempt(v *attemptView) {
	c.endAttempt(v, cell.EndAttempt{Attempt: v.id, Phase: pj.PhaseStopped, Reason: "the worker restarted"}, true)
}

func (c *Coordinator) updateWorker(now time.Duration, w *workerView, r pj.WorkerReport) {
	if !w.reported || w.capacity != r.Capacity || w.rack != r.Rack {
		c.options.Events.WorkerChanged(w.name, "reporting", r.Capacity.String())
	}
	w.reported = true
	w.lastReport = now
	w.rack = r.Rack
	w.capacity = r.Capacity
	w.draining = r.Draining
	c.scheduler.SetWorker(pj.Worker{Name: w.name, Rack: w.rack, Capacity: w.capacity})
	c.updateState(now, w)
}

func (c *Coordinator) updateState(now time.Duration, w *workerView) {
	state := "working"
	switch {
	case !w.reported:
		state = "expected"
	case w.nextIncarnation != "":
		state = "restarting"
	case now > w.lastReport+reportTimeout:
		state = "silent"
	case w.draining || c.options.State.Drained(pj.DrainTarget{Kind: pj.DrainWorker, Name: w.name}):
		state = "draining"
	case c.quarantine.Quarantined(now, w.name):
		state = "quarantined after failures"
	}
	if state != w.state {
		w.state = state
		c.options.Events.WorkerChanged(w.name, state, "")
	}
	c.scheduler.SetUsable(w.name, state == "working")
}

// reconcileTasks compares the tasks that the worker reported with the recorded attempts.
func (c *Coordinator) reconcileTasks(now time.Duration, w *workerView, r pj.WorkerReport) {
	seen := make(map[pj.AttemptID]struct{}, len(r.Tasks))
	for _, t := range r.Tasks {
		seen[t.Attempt] = struct{}{}
		v := c.attempts[t.Attempt]
		switch {
		case v == nil || v.worker != w:
			c.stopOrphan(w, t)
		case t.Phase.Ended():
			c.taskEnded(now, v, t)
		default:
			c.taskRunning(now, v, t)
		}
	}
	for id, v := range w.attempts {
		_, ok := seen[id]
		switch {
		case v.isForFormer(): // and its end could not be committed yet
			c.endFormerAttempt(v)
		case !ok && v.running && !v.ending:
			// The task ran and is missing from the report although its end was never acknowledged.
			c.endAttempt(v, cell.EndAttempt{Attempt: id, Phase: pj.PhaseStopped, Reason: "the worker lost the task"}, true)
		}
	}
}

// stopOrphan stops a task that isn't recorded as live on the worker, and acknowledges it once it has
// ended.
func (c *Coordinator) stopOrphan(w *workerView, t pj.TaskReport) {
	if t.Phase.Ended() {
		w.acks = append(w.acks, t.Attempt)
		if v := w.attempts[t.Attempt]; v != nil && v.record == nil {
			delete(w.attempts, t.Attempt)
		}
		return
	}
	w.hasUpdate = true
	w.attempts[t.Attempt] = &attemptView{id: t.Attempt, worker: w, incarnation: w.incarnation, pendingVerb: pj.VerbStop, running: true}
}

func (c *Coordinator) taskRunning(now time.Duration, v *attemptView, t pj.TaskReport) {
	if v.record == nil {
		return
	}
	if !v.running {
		v.running = true
		v.since = now
		c.notifyJob(v.id.Job)
	}
	c.quarantine.RecordRunning(now, v.since, v.worker.name)
	v.peak = v.peak.Max(t.Usage)
	c.checkUsage(v, t)
}

// checkUsage raises the reservation of a task that uses more than it reserved, and throttles the
// task. If the worker's reservations then exceed its capacity, its least urgent tasks are
// preempted: checkpointed and stopped.
func (c *Coordinator) checkUsage(v *attemptView, t pj.TaskReport) {
	reserved, ok := c.scheduler.Reservation(v.id.Job, v.id.Task)
	if !ok || t.Usage.Fits(reserved) {
		return
	}
	v.throttlePending = true
	job := &v.record.Job
	c.estimator.Observe(job.Queue, v.peak, 0)
	c.scheduler.Reestimate(job.Workspace, job.Queue)
	c.scheduler.RaiseReservation(v.id.Job, v.id.Task, t.Usage)
	v.worker.hasUpdate = true
	c.preempt(c.scheduler.PreemptOvercommitted(v.worker.name))
}

func (c *Coordinator) taskEnded(now time.Duration, v *attemptView, t pj.TaskReport) {
	if v.record == nil {
		delete(v.worker.attempts, v.id)
		v.worker.acks = append(v.worker.acks, v.id)
		return
	}
	if v.ending || v.proposed {
		return
	}
	end := cell.EndAttempt{Attempt: v.id, Phase: t.Phase, Result: t.Result, Reason: t.Reason}
	v.peak = v.peak.Max(t.Usage)
	switch t.Phase {
	case pj.PhaseFinished:
		c.quarantine.RecordSuccess(v.since, v.id.Job, v.worker.name)
		c.estimator.Observe(v.record.Job.Queue, v.peak, time.Duration(t.RunMS)*time.Millisecond)
	case pj.PhaseFailed:
		c.attributeFailure(now, v, &end)
	case pj.PhaseStopped, pj.PhaseRunning:
		c.quarantine.RecordStop(v.worker.name)
	}
	c.endAttempt(v, end, false)
}

// attributeFailure decides whether the job or the worker caused a failure.
func (c *Coordinator) attributeFailure(now time.Duration, v *attemptView, end *cell.EndAttempt) {
	jobAtFault, quarantined := c.quarantine.RecordFailure(now, v.id.Job, v.worker.name)
	end.CountsAsFailure = !quarantined
	if quarantined {
		c.updateState(now, v.worker)
	}
	if jobAtFault {
		end.Fatal = true
		end.Reason = "failed on several workers, so the job is at fault: " + end.Reason
	}
	if !v.record.Job.Repeatable {
		end.Fatal = true
	}
}

// endAttempt commits the end of an attempt. With outcomeUnknown the attempt may or may not have run
// to its end, so the task of a job that isn't repeatable fails instead of being retried.
func (c *Coordinator) endAttempt(v *attemptView, end cell.EndAttempt, outcomeUnknown bool) {
	if v.record == nil {
		delete(v.worker.attempts, v.id)
		return
	}
	if v.ending || v.proposed {
		return
	}
	v.ending = true
	if end.Phase == pj.PhaseStopped {
		c.quarantine.RecordStop(v.worker.name)
	}
	end.EndedAt = c.options.UnixMilli()
	if outcomeUnknown && !v.record.Job.Repeatable && (v.startSent || v.running) {
		end.Fatal = true
		end.Reason = "outcome unknown: " + end.Reason + ", and the job is not repeatable"
	}
	run := c.options.Clock.Now() - v.since
	c.commit(cell.Command{End: []cell.EndAttempt{end}}, func(r pj.CommitResult) {
		if c.closed {
			return
		}
		v.ending = false
		if r.Err != nil {
			return
		}
		c.dropAttempt(v)
		v.worker.acks = append(v.worker.acks, v.id)
		c.options.Events.TaskEnded(&v.record.Job, end, run)
		c.advanceJob(v.record, v.id.Task)
		c.notifyWorker(v.worker)
	})
}

// advanceJob continues a job after one of its attempts has ended: it finishes the job, stops its
// remaining attempts, or resubmits its pending tasks.
func (c *Coordinator) advanceJob(r *cell.Record, task int) {
	switch {
	case r.Ended():
		c.scheduler.Cancel(r.Job.ID)
		c.quarantine.RemoveJob(r.Job.ID)
		c.endedJobs = append(c.endedJobs, r.Job.ID)
	case r.Stopping():
		c.scheduler.Cancel(r.Job.ID)
		c.stopLiveAttempts(r)
	case r.Job.Kind == pj.KindGang && len(r.PendingTasks()) > 0:
		c.stopLiveAttempts(r)
		c.submitPending(c.options.Clock.Now(), r)
	case !r.Tasks[task].Done:
		now := c.options.Clock.Now()
		c.scheduler.Submit(now, pj.PendingJob{Job: &r.Job, Tasks: []int{task}, Since: now})
	}
	c.notifyJob(r.Job.ID)
	c.Schedule()
}

// stopLiveAttempts makes the workers stop the live attempts of a job.
func (c *Coordinator) stopLiveAttempts(r *cell.Record) {
	for i, t := range r.Tasks {
		if t.LiveAttempt == nil {
			continue
		}
		v := c.attempts[pj.AttemptID{Job: r.Job.ID, Task: i, Number: t.AttemptCount}]
		if v != nil && v.pendingVerb != pj.VerbStop {
			v.pendingVerb = pj.VerbStop
			c.notifyWorker(v.worker)
		}
	}
}

func (c *Coordinator) hasActions(w *workerView) bool {
	for _, v := range w.attempts {
		if !v.proposed && !v.ending && !v.isForFormer() && (!v.running || v.pendingVerb != "") {
			return true
		}
	}
	return false
}

// buildReportReply builds the reply to a worker's report and renews the worker's lease. Actions are repeated
// until a report shows their effect; all of them are idempotent.
func (c *Coordinator) buildReportReply(now time.Duration, w *workerView) pj.WorkerReportReply {
	reply := pj.WorkerReportReply{
		Incarnation: w.incarnation, Sequence: w.sequence,
		Term: c.options.Term, LeaseMS: TaskLease.Milliseconds(), Acknowledged: w.acks,
	}
	w.leaseUntil = now + taskLeaseExpiry
	for _, v := range w.attempts {
		switch {
		case v.proposed || v.ending || v.isForFormer():
		case v.pendingVerb != "":
			reply.Actions = append(reply.Actions, pj.Action{Verb: v.pendingVerb, Attempt: v.id})
		case !v.running:
			v.startSent = true
			reply.Actions = append(reply.Actions, startAction(v))
		case v.throttlePending:
			reply.Actions = append(reply.Actions, pj.Action{Verb: pj.VerbThrottle, Attempt: v.id, Reservation: c.reservation(v)})
			v.throttlePending = false
		}
	}
	slices.SortFunc(reply.Actions, func(x, y pj.Action) int { return actionOrder(x.Verb) - actionOrder(y.Verb) })
	return reply
}

// actionOrder sorts actions that free resources before those that use them.
func actionOrder(v pj.Verb) int {
	if v == pj.VerbStart {
		return 1
	}
	return 0
}

func (c *Coordinator) reservation(v *attemptView) pj.Resources {
	reserved, _ := c.scheduler.Reservation(v.id.Job, v.id.Task)
	return reserved
}

func startAction(v *attemptView) pj.Action {
	job := v.record.Job
	return pj.Action{
		Verb: pj.VerbStart, Attempt: v.id, Queue: job.Queue, Kind: job.Kind, Workspace: job.Workspace,
		Reservation: v.record.Tasks[v.id.Task].LiveAttempt.Reservation, Payload: job.Payload, RunTime: job.RunTime,
	}
}

// notifyWorker replies to a worker's held report at once, because there is something new for the worker.
func (c *Coordinator) notifyWorker(w *workerView) {
	w.hasUpdate = true
	if w.heldReply != nil && c.options.Group.Serving() {
		c.sendReportReply(c.options.Clock.Now(), w)
	}
}

func (c *Coordinator) sendReportReply(now time.Duration, w *workerView) {
	reply := c.buildReportReply(now, w)
	w.acks = nil
	w.hasUpdate = false
	w.sendHeldReply(reply, nil)
}

// sendHeldReply replies to the held report, if any.
func (w *workerView) sendHeldReply(reply pj.WorkerReportReply, err error) {
	if w.heldReply == nil {
		return
	}
	send := w.heldReply
	w.heldReply = nil
	send(reply, err)
}

// tickWorkers replies to reports that were held for maxReportHold, and ends the attempts of workers
// whose lease has certainly expired and removes these workers.
func (c *Coordinator) tickWorkers(now time.Duration) {
	for _, w := range c.workers {
		if w.heldReply != nil && now >= w.heldUntil && c.options.Group.Serving() {
			c.sendReportReply(now, w)
		}
		c.updateState(now, w)
		if now <= w.leaseUntil || now <= w.lastReport+reportTimeout || !c.options.Group.Serving() {
			continue
		}
		for _, v := range w.attempts {
			c.endAttempt(v, cell.EndAttempt{Attempt: v.id, Phase: pj.PhaseStopped, Reason: "the worker stopped reporting"}, true)
		}
		if len(w.attempts) == 0 && w.heldReply == nil {
			c.scheduler.RemoveWorker(w.name)
			delete(c.workers, w.name)
			c.options.Events.WorkerChanged(w.name, "gone", "")
		}
	}
}
