package accountant

import (
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/cell"
)

// workerView is what the leader knows of a worker.
type workerView struct {
	name        string
	rack        string
	incarnation string
	capacity    pj.Resources
	known       bool          // reported to this leader
	leaseUntil  time.Duration // until then tasks may run that this leader can't see
	heard       time.Duration
	sequence    uint64
	draining    bool
	replaced    string // incarnation that reported while an earlier one's lease still ran
	attempts    map[pj.AttemptID]*attemptView
	acks        []pj.AttemptID
	state       string

	parked      func(pj.Directive, error)
	parkedUntil time.Duration
	changed     bool // something new is to be told
}

// attemptView is what the leader knows of an attempt that is recorded as live.
type attemptView struct {
	id        pj.AttemptID
	record    *cell.Record
	worker    *workerView
	since     time.Duration
	proposed  bool // the start is not committed yet, so no worker may hear of it
	sent      bool // the worker may have been told to start it
	running   bool // the worker reported it
	ending    bool // the end is being committed
	verb      pj.Verb
	throttled bool
	peak      pj.Resources
}

// expectWorker adds a worker that has recorded attempts and hasn't reported to this leader.
func (a *Accountant) expectWorker(now time.Duration, live *cell.Attempt) *workerView {
	w := &workerView{
		name: live.Worker, rack: live.Rack, incarnation: live.Incarnation,
		leaseUntil: now + taskLeaseEnd, heard: now,
		attempts: make(map[pj.AttemptID]*attemptView), state: "expected",
	}
	a.workers[w.name] = w
	a.scheduler.SetWorker(pj.Worker{Name: w.name, Rack: w.rack})
	a.scheduler.SetUsable(w.name, false)
	return w
}

// Report takes in a worker's report. reply is called once: at once if there is something to tell,
// else after a short time.
func (a *Accountant) Report(r pj.Report, reply func(pj.Directive, error)) {
	if !a.options.Group.Serving() {
		reply(pj.Directive{}, pj.Refuse(pj.CodeNotLeader, "zone %s has no leader with a quorum here", a.options.Zone))
		return
	}
	if err := checkReport(r, a.options.Zone); err != nil {
		reply(pj.Directive{}, err)
		return
	}
	now := a.options.Clock.Now()
	w := a.workers[r.Worker]
	if w == nil {
		w = &workerView{name: r.Worker, incarnation: r.Incarnation, attempts: make(map[pj.AttemptID]*attemptView)}
		a.workers[r.Worker] = w
	}
	if !a.acceptIncarnation(now, w, r) {
		// The earlier incarnation may still run tasks: no lease, no work until it can't.
		reply(pj.Directive{Term: a.options.Term}, nil)
		return
	}
	if w.known && r.Sequence <= w.sequence {
		reply(pj.Directive{}, pj.Refuse(pj.CodeConflict, "a later report of worker %s came first", r.Worker))
		return
	}
	w.sequence = r.Sequence
	if w.parked != nil {
		a.answerWorker(now, w)
	}
	a.updateWorker(now, w, r)
	a.readTasks(now, w, r)
	w.parked = reply
	w.parkedUntil = now + reportHold
	if w.changed || len(w.acks) > 0 || a.hasActions(w) {
		a.answerWorker(now, w)
	}
	a.Decide()
}

func checkReport(r pj.Report, zone string) *pj.Error {
	switch {
	case r.Worker == "" || r.Incarnation == "":
		return pj.Refuse(pj.CodeBadRequest, "a report needs worker and incarnation")
	case r.Zone != zone:
		return pj.Refuse(pj.CodeBadRequest, "worker %s is in zone %q and reported to zone %s", r.Worker, r.Zone, zone)
	case !(pj.Resources{}).Fits(r.Capacity) || r.Capacity[pj.Slots] != 0:
		return pj.Refuse(pj.CodeBadRequest, "the capacity of worker %s is not possible: %v", r.Worker, r.Capacity)
	}
	return nil
}

// acceptIncarnation reports whether the reporting incarnation may take the worker's place. It may
// once the lease of an earlier one has surely run out.
func (a *Accountant) acceptIncarnation(now time.Duration, w *workerView, r pj.Report) bool {
	if w.incarnation == r.Incarnation {
		return true
	}
	if len(w.attempts) > 0 && now < w.leaseUntil {
		w.replaced = r.Incarnation
		a.scheduler.SetUsable(w.name, false)
		return false
	}
	for _, v := range w.attempts {
		a.endAttempt(v, cell.EndAttempt{Attempt: v.id, Phase: pj.PhaseStopped, Reason: "the worker started anew"}, true)
	}
	w.incarnation = r.Incarnation
	w.replaced = ""
	w.known = false
	return true
}

func (a *Accountant) updateWorker(now time.Duration, w *workerView, r pj.Report) {
	if !w.known || w.capacity != r.Capacity || w.rack != r.Rack {
		a.options.Events.WorkerChanged(w.name, "reporting", r.Capacity.String())
	}
	w.known = true
	w.heard = now
	w.rack = r.Rack
	w.capacity = r.Capacity
	w.draining = r.Draining
	a.scheduler.SetWorker(pj.Worker{Name: w.name, Rack: w.rack, Capacity: w.capacity})
	a.setUsable(now, w)
}

func (a *Accountant) setUsable(now time.Duration, w *workerView) {
	state := "working"
	switch {
	case !w.known:
		state = "expected"
	case w.replaced != "":
		state = "restarting"
	case now > w.heard+workerQuiet:
		state = "silent"
	case w.draining || a.options.State.Drained(pj.DrainTarget{Kind: pj.DrainWorker, Name: w.name}):
		state = "draining"
	case a.blame.Quarantined(now, w.name):
		state = "quarantined after failures"
	}
	if state != w.state {
		w.state = state
		a.options.Events.WorkerChanged(w.name, state, "")
	}
	a.scheduler.SetUsable(w.name, state == "working")
}

// readTasks compares what the worker says with what is recorded.
func (a *Accountant) readTasks(now time.Duration, w *workerView, r pj.Report) {
	seen := make(map[pj.AttemptID]struct{}, len(r.Tasks))
	for _, t := range r.Tasks {
		seen[t.Attempt] = struct{}{}
		v := a.attempts[t.Attempt]
		switch {
		case v == nil || v.worker != w:
			a.strayTask(w, t)
		case t.Phase.Ended():
			a.taskEnded(now, v, t)
		default:
			a.taskRuns(now, v, t)
		}
	}
	for id, v := range w.attempts {
		if _, ok := seen[id]; !ok && v.running && !v.ending {
			// It ran and is not held any more, though its end was never acknowledged.
			a.endAttempt(v, cell.EndAttempt{Attempt: id, Phase: pj.PhaseStopped, Reason: "the worker lost the task"}, true)
		}
	}
}

// strayTask handles a task that isn't recorded as live on the worker: it is to be stopped, and
// forgotten once it has.
func (a *Accountant) strayTask(w *workerView, t pj.TaskReport) {
	if t.Phase.Ended() {
		w.acks = append(w.acks, t.Attempt)
		if v := w.attempts[t.Attempt]; v != nil && v.record == nil {
			delete(w.attempts, t.Attempt)
		}
		return
	}
	w.changed = true
	w.attempts[t.Attempt] = &attemptView{id: t.Attempt, worker: w, verb: pj.VerbStop, running: true}
}

func (a *Accountant) taskRuns(now time.Duration, v *attemptView, t pj.TaskReport) {
	if v.record == nil {
		return
	}
	if !v.running {
		v.running = true
		v.since = now
		a.notifyJob(v.id.Job)
	}
	v.peak = v.peak.Max(t.Usage)
	a.checkUsage(v, t)
}

// checkUsage raises the reservation of a task to what it uses; a worker that is then over its
// capacity has its least urgent tasks throttled and checkpointed.
func (a *Accountant) checkUsage(v *attemptView, t pj.TaskReport) {
	reserved, ok := a.scheduler.Reservation(v.id.Job, v.id.Task)
	if !ok || t.Usage.Fits(reserved) {
		return
	}
	v.throttled = true
	job := &v.record.Job
	a.estimates.Observe(job.Queue, v.peak, 0)
	a.scheduler.Reestimate(job.Workspace, job.Queue)
	a.scheduler.Grow(v.id.Job, v.id.Task, t.Usage)
	v.worker.changed = true
	a.preempt(a.scheduler.Evict(v.worker.name))
}

func (a *Accountant) taskEnded(now time.Duration, v *attemptView, t pj.TaskReport) {
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
		a.blame.Finished(v.since, v.id.Job, v.worker.name)
		a.estimates.Observe(v.record.Job.Queue, v.peak, time.Duration(t.RunMS)*time.Millisecond)
	case pj.PhaseFailed:
		a.judge(now, v, &end)
	case pj.PhaseStopped, pj.PhaseRunning:
		a.blame.Stopped(v.worker.name)
	}
	a.endAttempt(v, end, false)
}

// judge decides whether a failure is the job's fault or the worker's.
func (a *Accountant) judge(now time.Duration, v *attemptView, end *cell.EndAttempt) {
	jobAtFault, quarantined := a.blame.Failed(now, v.id.Job, v.worker.name)
	end.Blame = !quarantined
	if quarantined {
		a.setUsable(now, v.worker)
	}
	if jobAtFault {
		end.Fatal = true
		end.Reason = "failed on several workers, so the fault is the job's: " + end.Reason
	}
	if !v.record.Job.Repeatable {
		end.Fatal = true
	}
}

// endAttempt commits that an attempt has ended. unclear says that nobody knows how far it got, so
// work that may not be repeated fails.
func (a *Accountant) endAttempt(v *attemptView, end cell.EndAttempt, unclear bool) {
	if v.record == nil {
		delete(v.worker.attempts, v.id)
		return
	}
	if v.ending || v.proposed {
		return
	}
	v.ending = true
	end.EndedAt = a.options.Unix()
	if unclear && !v.record.Job.Repeatable && (v.sent || v.running) {
		end.Fatal = true
		end.Reason = "outcome unknown: " + end.Reason + ", and the work may not be repeated"
	}
	run := a.options.Clock.Now() - v.since
	a.commit(cell.Command{End: []cell.EndAttempt{end}}, func(r pj.CommitResult) {
		if a.closed {
			return
		}
		v.ending = false
		if r.Err != nil {
			return
		}
		a.dropAttempt(v)
		v.worker.acks = append(v.worker.acks, v.id)
		a.options.Events.TaskEnded(&v.record.Job, end, run)
		a.afterEnd(v.record, v.id.Task)
		a.wake(v.worker)
	})
}

// afterEnd goes on with a job of which an attempt has ended.
func (a *Accountant) afterEnd(r *cell.Record, task int) {
	switch {
	case r.Ended():
		a.scheduler.Cancel(r.Job.ID)
		a.blame.Forget(r.Job.ID)
		a.ended = append(a.ended, r.Job.ID)
	case r.Stopping():
		a.scheduler.Cancel(r.Job.ID)
		a.stopLive(r)
	case r.Job.Kind == pj.KindGang && len(r.Pending()) > 0:
		a.stopLive(r)
		a.submitPending(a.options.Clock.Now(), r)
	case !r.Tasks[task].Done:
		now := a.options.Clock.Now()
		a.scheduler.Submit(now, pj.Work{Job: &r.Job, Pending: []int{task}, Since: now})
	}
	a.notifyJob(r.Job.ID)
	a.Decide()
}

// stopLive tells the workers to stop what still runs of a job.
func (a *Accountant) stopLive(r *cell.Record) {
	for i, t := range r.Tasks {
		if t.Live == nil {
			continue
		}
		v := a.attempts[pj.AttemptID{Job: r.Job.ID, Task: i, Number: t.Number}]
		if v != nil && v.verb != pj.VerbStop {
			v.verb = pj.VerbStop
			a.wake(v.worker)
		}
	}
}

func (a *Accountant) hasActions(w *workerView) bool {
	for _, v := range w.attempts {
		if !v.proposed && !v.ending && (!v.running || v.verb != "") {
			return true
		}
	}
	return false
}

// directive returns what the worker is to do. Actions are repeated until a report shows their
// effect; all of them are idempotent.
func (a *Accountant) directive(now time.Duration, w *workerView) pj.Directive {
	d := pj.Directive{Term: a.options.Term, LeaseMS: TaskLease.Milliseconds(), Acknowledged: w.acks}
	w.leaseUntil = now + taskLeaseEnd
	for _, v := range w.attempts {
		switch {
		case v.proposed || v.ending:
		case v.verb != "":
			d.Actions = append(d.Actions, pj.Action{Verb: v.verb, Attempt: v.id})
		case !v.running:
			v.sent = true
			d.Actions = append(d.Actions, startAction(v))
		case v.throttled:
			d.Actions = append(d.Actions, pj.Action{Verb: pj.VerbThrottle, Attempt: v.id, Reservation: a.reservation(v)})
			v.throttled = false
		}
	}
	slices.SortFunc(d.Actions, func(x, y pj.Action) int { return rankOf(x.Verb) - rankOf(y.Verb) })
	return d
}

// rankOf puts actions that free resources before those that take them.
func rankOf(v pj.Verb) int {
	if v == pj.VerbStart {
		return 1
	}
	return 0
}

func (a *Accountant) reservation(v *attemptView) pj.Resources {
	reserved, _ := a.scheduler.Reservation(v.id.Job, v.id.Task)
	return reserved
}

func startAction(v *attemptView) pj.Action {
	job := v.record.Job
	return pj.Action{
		Verb: pj.VerbStart, Attempt: v.id, Queue: job.Queue, Kind: job.Kind, Workspace: job.Workspace,
		Reservation: v.record.Tasks[v.id.Task].Live.Reservation, Payload: job.Payload, RunTime: job.RunTime,
	}
}

// wake answers a worker's held report, because there is something to tell.
func (a *Accountant) wake(w *workerView) {
	w.changed = true
	if w.parked != nil && a.options.Group.Serving() {
		a.answerWorker(a.options.Clock.Now(), w)
	}
}

func (a *Accountant) answerWorker(now time.Duration, w *workerView) {
	d := a.directive(now, w)
	w.acks = nil
	w.changed = false
	w.answer(d, nil)
}

// answer replies to the held report, if there is one.
func (w *workerView) answer(d pj.Directive, err error) {
	if w.parked == nil {
		return
	}
	reply := w.parked
	w.parked = nil
	reply(d, err)
}

// tickWorkers answers reports that were held long enough and gives up workers whose lease has
// surely run out.
func (a *Accountant) tickWorkers(now time.Duration) {
	for _, w := range a.workers {
		if w.parked != nil && now >= w.parkedUntil && a.options.Group.Serving() {
			a.answerWorker(now, w)
		}
		a.setUsable(now, w)
		if now <= w.leaseUntil || now <= w.heard+workerQuiet || !a.options.Group.Serving() {
			continue
		}
		for _, v := range w.attempts {
			a.endAttempt(v, cell.EndAttempt{Attempt: v.id, Phase: pj.PhaseStopped, Reason: "the worker fell silent"}, true)
		}
		if len(w.attempts) == 0 && w.parked == nil {
			a.scheduler.RemoveWorker(w.name)
			delete(a.workers, w.name)
			a.options.Events.WorkerChanged(w.name, "gone", "")
		}
	}
}
