// Package worker is a stand-in for a VM that runs tasks: it follows the protocol of reports and leases, and its tasks
// only wait for their run time.
package worker

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	pj "papayajunction"
	"papayajunction/internal/standin/tally"
)

const defaultRunTime = 300 * time.Millisecond

// Options configure a stand-in worker.
type Options struct {
	Name        string
	Zone        string
	Rack        string
	Incarnation string
	Capacity    pj.Resources
	TaskRunTime time.Duration // run time of tasks that declare none; 0 means defaultRunTime
	FailRate    float64       // fraction of tasks that fail
	Usage       pj.Resources  // of each task; zero means defaultUsageRatio of its reservation; accelerators are always as reserved
	Random      func() float64
	Tally       *tally.Tally
}

// defaultUsageRatio is the fraction of its reservation that a task reports as usage.
const defaultUsageRatio = 0.8

// Worker is a stand-in worker. It is not safe for concurrent use.
type Worker struct {
	options            Options
	term               uint64
	sequence           uint64        // of the last report
	sentAt             time.Duration // when the last report was sent
	awaiting           bool          // the last report has not been answered
	leaseUntil         time.Duration
	tasks              map[pj.AttemptID]*task
	stoppedBeforeStart map[pj.AttemptID]struct{} // until acknowledged; a later start of them is ignored
	draining           bool
}

type task struct {
	action   pj.Action
	phase    pj.Phase
	reason   string
	result   string
	started  time.Duration
	end      time.Duration // 0 for a service
	willFail bool
}

// New returns a worker without tasks.
func New(options Options) *Worker {
	if options.Random == nil {
		options.Random = func() float64 { return 1 }
	}
	return &Worker{
		options:            options,
		tasks:              make(map[pj.AttemptID]*task),
		stoppedBeforeStart: make(map[pj.AttemptID]struct{}),
	}
}

// Drain makes the worker report that it accepts no new tasks.
func (w *Worker) Drain() {
	w.draining = true
}

// Report returns the next report, which must be sent at once. Replies to earlier reports are ignored from now on.
func (w *Worker) Report(now time.Duration) pj.WorkerReport {
	w.Tick(now)
	w.sequence++
	w.sentAt = now
	w.awaiting = true
	r := pj.WorkerReport{
		Worker: w.options.Name, Zone: w.options.Zone, Rack: w.options.Rack, Incarnation: w.options.Incarnation,
		Sequence: w.sequence, Term: w.term, Capacity: w.options.Capacity, Draining: w.draining,
	}
	ids := slices.SortedFunc(maps.Keys(w.tasks), func(a, b pj.AttemptID) int {
		return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
	})
	for _, id := range ids {
		r.Tasks = append(r.Tasks, w.tasks[id].report(now, id, w.options.Usage))
	}
	return r
}

func (t *task) report(now time.Duration, id pj.AttemptID, usage pj.Resources) pj.TaskReport {
	report := pj.TaskReport{Attempt: id, Phase: t.phase, Reason: t.reason, Result: t.result}
	if t.phase == pj.PhaseRunning {
		report.Usage = usage
		if usage.IsZero() {
			for d, reserved := range t.action.Reservation {
				report.Usage[d] = int64(float64(reserved) * defaultUsageRatio)
			}
		}
		report.Usage[pj.Accelerators] = t.action.Reservation[pj.Accelerators]
		return report
	}
	if t.end > 0 {
		report.RunMS = (min(now, t.end) - t.started).Milliseconds()
	}
	return report
}

// Handle processes a reply. It ignores one of an older term, and one that doesn't answer the last report.
func (w *Worker) Handle(now time.Duration, reply pj.WorkerReportReply) {
	w.Tick(now)
	if !w.awaiting || reply.Incarnation != w.options.Incarnation || reply.Sequence != w.sequence || reply.Term < w.term {
		return
	}
	w.awaiting = false
	w.term = reply.Term
	if reply.LeaseMS > 0 {
		w.leaseUntil = max(w.leaseUntil, w.sentAt+time.Duration(reply.LeaseMS)*time.Millisecond)
	}
	for _, id := range reply.Acknowledged {
		delete(w.stoppedBeforeStart, id)
		if t := w.tasks[id]; t != nil && t.phase.Ended() {
			delete(w.tasks, id)
		}
	}
	for _, a := range reply.Actions {
		w.execute(now, a)
	}
}

func (w *Worker) execute(now time.Duration, a pj.Action) {
	t := w.tasks[a.Attempt]
	switch a.Verb {
	case pj.VerbStart:
		if _, stopped := w.stoppedBeforeStart[a.Attempt]; t == nil && !stopped && now < w.leaseUntil {
			w.start(now, a)
		}
	case pj.VerbStop, pj.VerbCheckpoint:
		if t == nil {
			w.stoppedBeforeStart[a.Attempt] = struct{}{}
			w.tasks[a.Attempt] = &task{action: a, phase: pj.PhaseStopped, reason: "stopped before it was started"}
			return
		}
		w.end(a.Attempt, t, pj.PhaseStopped, "ended by action "+string(a.Verb))
	case pj.VerbThrottle:
	}
}

func (w *Worker) start(now time.Duration, a pj.Action) {
	t := &task{action: a, phase: pj.PhaseRunning, started: now}
	if a.Kind != pj.KindService {
		t.end = now + cmp.Or(a.RunTime.Std(), w.options.TaskRunTime, defaultRunTime)
	}
	t.willFail = w.options.Random() < w.options.FailRate
	w.tasks[a.Attempt] = t
	if w.options.Tally != nil {
		w.options.Tally.TaskStarted(a.Attempt.Job, a.Attempt.Task, w.options.Name+"/"+w.options.Incarnation)
	}
}

func (w *Worker) end(id pj.AttemptID, t *task, phase pj.Phase, reason string) {
	if t.phase.Ended() {
		return
	}
	t.phase = phase
	t.reason = reason
	if w.options.Tally != nil {
		w.options.Tally.TaskEnded(id.Job, id.Task, w.options.Name+"/"+w.options.Incarnation, phase == pj.PhaseFinished)
	}
}

// Tick ends the tasks whose run time is over, and all tasks once the lease has expired. It reports whether any task ended.
func (w *Worker) Tick(now time.Duration) bool {
	ended := false
	for id, t := range w.tasks {
		if t.phase.Ended() {
			continue
		}
		switch {
		case t.end > 0 && now >= t.end && t.end < w.leaseUntil:
			w.finish(id, t)
		case now >= w.leaseUntil:
			w.end(id, t, pj.PhaseStopped, "lease expired")
		default:
			continue
		}
		ended = true
	}
	return ended
}

func (w *Worker) finish(id pj.AttemptID, t *task) {
	if t.willFail {
		w.end(id, t, pj.PhaseFailed, "exit status 1")
		return
	}
	t.result = "done by " + w.options.Name + ": " + t.action.Payload
	w.end(id, t, pj.PhaseFinished, "")
}

// NextEvent returns the time at which the next task ends by its run time or the lease, or false if no task runs.
func (w *Worker) NextEvent() (at time.Duration, ok bool) {
	for _, t := range w.tasks {
		if t.phase.Ended() {
			continue
		}
		end := w.leaseUntil
		if t.end > 0 {
			end = min(end, t.end)
		}
		if !ok || end < at {
			at, ok = end, true
		}
	}
	return at, ok
}

// Running returns the running attempts.
func (w *Worker) Running() []pj.AttemptID {
	var ids []pj.AttemptID
	for id, t := range w.tasks {
		if !t.phase.Ended() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Reserved returns the sum of the reservations of the running tasks.
func (w *Worker) Reserved() pj.Resources {
	var sum pj.Resources
	for _, t := range w.tasks {
		if !t.phase.Ended() {
			sum = sum.Add(t.action.Reservation)
		}
	}
	return sum
}
