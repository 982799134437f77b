// Package accountant is what only a cell's leader does: it hands out leases, starts and stops
// tasks, and grants request slots, and is the one place where a zone's resources are counted.
//
// It lives from one election to the next. Everything that must survive it is in the cell's
// replicated state.
package accountant

import (
	"encoding/json"
	"fmt"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/blame"
	"papayajunction/internal/control/cell"
	"papayajunction/internal/control/estimate"
	"papayajunction/internal/control/fairness"
	"papayajunction/internal/control/scheduler"
	"papayajunction/internal/control/slots"
)

// Times of leases. A worker stops its tasks when its lease has run out by its own clock; the
// leader waits for a tenth longer by its own.
const (
	TaskLease     = 8 * time.Second
	taskLeaseEnd  = TaskLease + TaskLease/10
	workerQuiet   = 4500 * time.Millisecond // without a report a worker gets no new task
	reportHold    = 2 * time.Second         // how long the answer to a report may be held back
	decideMost    = 256                     // starts in one command
	retention     = 24 * time.Hour          // how long ended jobs are kept
	retentionStep = 30 * time.Second
	retentionMost = 20000 // ended jobs kept at most
)

// Group is the cell's replicated group as its leader uses it.
type Group interface {
	pj.Committer
	Serving() bool // this VM leads and holds the leader's lease
}

// Events is told what happened, for logs and metrics.
type Events interface {
	TaskStarted(job *pj.Job, start pj.Start)
	TaskEnded(job *pj.Job, end cell.EndAttempt, run time.Duration)
	WorkerChanged(worker, state, detail string)
}

// Options configure an Accountant.
type Options struct {
	Zone   string
	Term   uint64
	State  *cell.State
	Group  Group
	Clock  pj.Clock
	Unix   func() int64 // wall clock in milliseconds, for what people read
	Rand   pj.Rand
	Config func() pj.Configuration
	Events Events
}

// Accountant is the leader's working memory of one cell. Its methods must be called on the
// control goroutine.
type Accountant struct {
	options   Options
	ledger    *fairness.Ledger
	scheduler *scheduler.Scheduler
	estimates *estimate.Estimates
	blame     *blame.Record
	table     *slots.Table

	workers   map[string]*workerView
	attempts  map[pj.AttemptID]*attemptView
	waiters   map[string][]*jobWaiter
	pending   map[string]pj.Allotment // allotments that are being committed
	over      map[string]int          // allotments in a row that are smaller than what is in use
	caps      map[string]limitCap     // of workspaces whose tasks have to give way
	announced map[string]heldAnnouncement
	known     map[string]struct{} // workspaces with a setting in the ledger
	version   uint64              // configuration that the ledger was set from
	ended     []string            // ended jobs, oldest first
	forgotAt  time.Duration
	since     time.Duration // when this VM was elected
	closed    bool
}

// New returns the accountant of a leader that was just elected. It counts every recorded attempt
// as running until its worker reports or its lease has surely run out.
func New(options Options) *Accountant {
	now := options.Clock.Now()
	ledger := fairness.New()
	a := &Accountant{
		options:   options,
		since:     now,
		ledger:    ledger,
		estimates: estimate.New(),
		blame:     blame.New(),
		table:     slots.New(now, options.Term, ledger, options.Rand),
		workers:   make(map[string]*workerView),
		attempts:  make(map[pj.AttemptID]*attemptView),
		waiters:   make(map[string][]*jobWaiter),
		pending:   make(map[string]pj.Allotment),
		over:      make(map[string]int),
		caps:      make(map[string]limitCap),
		announced: make(map[string]heldAnnouncement),
		known:     make(map[string]struct{}),
	}
	a.scheduler = scheduler.New(
		scheduler.WithLedger(ledger),
		scheduler.WithEstimator(a.estimates),
		scheduler.WithAvoid(a.blame.Avoid),
		scheduler.WithStarted(a.blame.Started),
	)
	a.refreshWorkspaces()
	a.options.State.Jobs(func(r *cell.Record) { a.adoptJob(now, r) })
	return a
}

func (a *Accountant) adoptJob(now time.Duration, r *cell.Record) {
	if r.Ended() {
		a.ended = append(a.ended, r.Job.ID)
		return
	}
	for i, t := range r.Tasks {
		if t.Live == nil {
			continue
		}
		w := a.workers[t.Live.Worker]
		if w == nil {
			w = a.expectWorker(now, t.Live)
		}
		id := pj.AttemptID{Job: r.Job.ID, Task: i, Number: t.Number}
		a.attempts[id] = &attemptView{id: id, record: r, worker: w, since: now, sent: true}
		w.attempts[id] = a.attempts[id]
		a.scheduler.Adopt(pj.RunningTask{
			Job: &r.Job, Task: i, Worker: w.name, Reservation: t.Live.Reservation, Started: now,
		})
	}
	a.submitPending(now, r)
}

// submitPending hands the tasks that are to start to the scheduler; a gang only once none of it
// runs any more.
func (a *Accountant) submitPending(now time.Duration, r *cell.Record) {
	pending := r.Pending()
	if len(pending) == 0 || (r.Job.Kind == pj.KindGang && r.Live() > 0) {
		return
	}
	waited := time.Duration(a.options.Unix()-r.Job.SubmittedAt) * time.Millisecond
	a.scheduler.Submit(now, pj.Work{Job: &r.Job, Pending: pending, Since: now - max(waited, 0)})
}

// refreshWorkspaces sets weights and limits from the configuration and the allotments.
func (a *Accountant) refreshWorkspaces() {
	config := a.options.Config()
	a.version = config.Version
	for name := range config.Workspaces {
		a.known[name] = struct{}{}
	}
	for name := range a.known {
		a.refreshWorkspace(config, name)
	}
}

func (a *Accountant) refreshWorkspace(config pj.Configuration, name string) {
	limit := a.options.State.Allotment(name).Value
	if p, ok := a.pending[name]; ok {
		limit = limit.Min(p.Value)
	}
	if c, ok := a.caps[name]; ok {
		limit = limit.Min(c.value)
	}
	a.scheduler.SetWorkspace(name, config.Workspaces[name].Share, limit)
}

// Tick advances time: leases, deadlines, decisions.
func (a *Accountant) Tick() {
	now := a.options.Clock.Now()
	if a.options.Config().Version != a.version {
		a.refreshWorkspaces()
	}
	a.dropCaps(now)
	a.tickWorkers(now)
	a.table.Tick(now)
	a.tickAnnouncements(now)
	a.tickWaiters(now)
	a.forgetOld(now)
	a.Decide()
}

// Decide starts and preempts what the scheduler says.
func (a *Accountant) Decide() {
	if a.closed || !a.options.Group.Serving() {
		return
	}
	now := a.options.Clock.Now()
	plan := a.scheduler.Next(now, decideMost)
	a.preempt(plan.Preempts)
	if len(plan.Starts) == 0 {
		return
	}
	starts := make([]cell.StartAttempt, 0, len(plan.Starts))
	for _, st := range plan.Starts {
		starts = append(starts, a.prepareStart(now, st))
	}
	a.commit(cell.Command{Start: starts}, func(r pj.CommitResult) {
		accepted, _ := r.Value.([]bool)
		for i, st := range plan.Starts {
			a.started(starts[i], st, r.Err == nil && i < len(accepted) && accepted[i])
		}
	})
}

func (a *Accountant) prepareStart(now time.Duration, st pj.Start) cell.StartAttempt {
	r := a.options.State.Job(st.Job)
	w := a.workers[st.Worker]
	id := pj.AttemptID{Job: st.Job, Task: st.Task, Number: r.Tasks[st.Task].Number + 1}
	a.attempts[id] = &attemptView{
		id: id, record: r, worker: w, since: now, proposed: true,
	}
	w.attempts[id] = a.attempts[id]
	return cell.StartAttempt{
		Attempt: id, Worker: st.Worker, Rack: w.rack, Incarnation: w.incarnation,
		Reservation: st.Reservation, WaitedMS: st.Waited.Milliseconds(),
	}
}

// started handles the result of committing a start. A start that wasn't accepted never reaches
// a worker.
func (a *Accountant) started(attempt cell.StartAttempt, st pj.Start, accepted bool) {
	if a.closed {
		return
	}
	v := a.attempts[attempt.Attempt]
	if v == nil {
		return
	}
	if !accepted {
		a.dropAttempt(v)
		a.resubmit(v.record)
		return
	}
	v.proposed = false
	a.options.Events.TaskStarted(&v.record.Job, st)
	if v.record.Stopping() {
		v.verb = pj.VerbStop
	}
	a.wake(v.worker)
	a.notifyJob(v.record.Job.ID)
}

func (a *Accountant) resubmit(r *cell.Record) {
	if r.Stopping() {
		a.scheduler.Cancel(r.Job.ID)
		return
	}
	if r.Job.Kind == pj.KindGang {
		a.stopLive(r)
	}
	a.submitPending(a.options.Clock.Now(), r)
}

func (a *Accountant) dropAttempt(v *attemptView) {
	delete(a.attempts, v.id)
	delete(v.worker.attempts, v.id)
	a.scheduler.Ended(a.options.Clock.Now(), v.id.Job, v.id.Task)
}

func (a *Accountant) preempt(preempts []pj.Preempt) {
	for _, p := range preempts {
		w := a.workers[p.Worker]
		if w == nil {
			continue
		}
		for id, v := range w.attempts {
			if id.Job == p.Job && id.Task == p.Task {
				v.verb = p.Verb
			}
		}
		a.wake(w)
	}
}

func (a *Accountant) commit(c cell.Command, done func(pj.CommitResult)) {
	data, err := json.Marshal(c)
	if err != nil {
		done(pj.CommitResult{Err: fmt.Errorf("write cell command: %w", err)})
		return
	}
	a.options.Group.Commit(data, done)
}

// forgetOld drops jobs that ended long ago.
func (a *Accountant) forgetOld(now time.Duration) {
	if now < a.forgotAt+retentionStep || !a.options.Group.Serving() {
		return
	}
	a.forgotAt = now
	limit := a.options.Unix() - retention.Milliseconds()
	var old []string
	for _, id := range a.ended {
		r := a.options.State.Job(id)
		tooMany := len(a.ended)-len(old) > retentionMost
		if r != nil && r.EndedAt > limit && !tooMany {
			break
		}
		old = append(old, id)
	}
	if len(old) == 0 {
		return
	}
	a.ended = a.ended[len(old):]
	a.commit(cell.Command{Forget: old}, func(pj.CommitResult) {})
}

// Close ends everything that waits for this leader, with an error that names the cause.
func (a *Accountant) Close() {
	a.closed = true
	err := pj.Refuse(pj.CodeNotLeader, "this VM does not lead zone %s any more", a.options.Zone)
	a.table.Fail(err)
	for _, w := range a.workers {
		w.answer(pj.Directive{}, err)
	}
	for _, held := range a.announced {
		held.reply(pj.AnnouncementReply{}, err)
	}
	for _, list := range a.waiters {
		for _, jw := range list {
			jw.reply(pj.JobStatus{}, err)
		}
	}
	a.waiters = nil
}
