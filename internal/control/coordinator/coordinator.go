// Package coordinator implements the leader of a cell: it grants task leases, starts and stops tasks,
// grants request slots, and is the only component that accounts for a zone's resources.
//
// Its state lasts for one term of the leader. Everything that must survive a change of leader is in
// the cell's replicated state.
package coordinator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/cell"
	"papayajunction/internal/control/estimate"
	"papayajunction/internal/control/fairness"
	"papayajunction/internal/control/inflight"
	"papayajunction/internal/control/quarantine"
	"papayajunction/internal/control/scheduler"
	"papayajunction/internal/control/slots"
)

// Lease times and limits. A worker stops its tasks when its lease has expired by its own clock; the
// leader waits a tenth longer by its clock before it treats the lease as expired.
const (
	TaskLease           = 8 * time.Second
	taskLeaseExpiry     = TaskLease + TaskLease/10
	reportTimeout       = 4500 * time.Millisecond // a worker that has not reported for this long gets no new tasks
	maxReportHold       = 2 * time.Second         // how long the reply to a report may be held (long poll)
	maxStartsPerCommand = 256                     // task starts in one replicated command
	jobRetention        = 24 * time.Hour          // how long ended jobs are kept
	pruneInterval       = 30 * time.Second
	maxEndedJobs        = 20000 // beyond this number the oldest ended jobs are removed early
)

// Group is the leader's interface to the cell's replicated group.
type Group interface {
	pj.Committer
	Serving() bool // this VM is the leader and holds the leader lease
}

// Events receives task and worker events for logs and metrics.
type Events interface {
	TaskStarted(job *pj.Job, start pj.Start)
	TaskEnded(job *pj.Job, end cell.EndAttempt, run time.Duration)
	WorkerChanged(worker, state, detail string)
}

// Options configure a Coordinator.
type Options struct {
	Zone      string
	Term      uint64
	State     *cell.State
	Group     Group
	Clock     pj.Clock
	UnixMilli func() int64 // wall clock in Unix milliseconds, for timestamps that people read
	Rand      pj.Rand
	Config    func() pj.Configuration
	Events    Events
}

// Coordinator is the leader's in-memory state of one cell. Its methods must be called on the control
// goroutine.
type Coordinator struct {
	options    Options
	ledger     *fairness.Ledger
	scheduler  *scheduler.Scheduler
	estimator  *estimate.Estimator
	quarantine *quarantine.Tracker
	slotTable  *slots.Table

	workers           map[string]*workerView
	attempts          map[pj.AttemptID]*attemptView
	waiters           map[string][]*jobWaiter // by job id
	submissions       inflight.Submissions
	pendingAllotments map[string]pj.Allotment     // by workspace: allotments whose commit is in flight
	overAllotments    map[string]int              // by workspace: number of consecutive allotments below its current usage
	temporaryLimits   map[string]temporaryLimit   // by workspace, while its tasks are being preempted
	heldAnnouncements map[string]heldAnnouncement // by endpoint
	workspaces        map[string]struct{}         // workspaces that have a weight and limit in the ledger
	configVersion     uint64                      // version of the configuration applied to the ledger
	endedJobs         []string                    // ids of ended jobs, oldest first
	prunedAt          time.Duration
	electedAt         time.Duration // when this VM was elected
	closed            bool
}

// New returns the state of a leader that was just elected. Every recorded attempt counts as running
// until its worker reports or its lease has certainly expired.
func New(options Options) *Coordinator {
	now := options.Clock.Now()
	ledger := fairness.New()
	c := &Coordinator{
		options:           options,
		electedAt:         now,
		ledger:            ledger,
		estimator:         estimate.New(),
		quarantine:        quarantine.New(),
		slotTable:         slots.New(now, options.Term, ledger, options.Rand),
		workers:           make(map[string]*workerView),
		attempts:          make(map[pj.AttemptID]*attemptView),
		waiters:           make(map[string][]*jobWaiter),
		pendingAllotments: make(map[string]pj.Allotment),
		overAllotments:    make(map[string]int),
		temporaryLimits:   make(map[string]temporaryLimit),
		heldAnnouncements: make(map[string]heldAnnouncement),
		workspaces:        make(map[string]struct{}),
	}
	c.scheduler = scheduler.New(
		scheduler.WithLedger(ledger),
		scheduler.WithEstimator(c.estimator),
		scheduler.WithAvoidedWorkers(c.quarantine.AvoidedWorkers),
		scheduler.WithStartCallback(c.quarantine.RecordStart),
	)
	c.refreshWorkspaces()
	c.options.State.Jobs(func(r *cell.Record) { c.adoptJob(now, r) })
	slices.SortStableFunc(c.endedJobs, func(a, b string) int {
		return cmp.Compare(endedAt(options.State.Job(a)), endedAt(options.State.Job(b)))
	})
	return c
}

// endedAt returns when an ended job ended. Earlier versions didn't record it for a job that was cancelled while it waited.
func endedAt(r *cell.Record) int64 {
	return cmp.Or(r.EndedAt, r.Job.SubmittedAt)
}

func (c *Coordinator) adoptJob(now time.Duration, r *cell.Record) {
	if r.Ended() {
		c.endedJobs = append(c.endedJobs, r.Job.ID)
		return
	}
	for i, t := range r.Tasks {
		if t.LiveAttempt == nil {
			continue
		}
		w := c.workers[t.LiveAttempt.Worker]
		if w == nil {
			w = c.expectWorker(now, t.LiveAttempt)
		}
		id := pj.AttemptID{Job: r.Job.ID, Task: i, Number: t.AttemptCount}
		c.attempts[id] = &attemptView{id: id, record: r, worker: w, incarnation: t.LiveAttempt.Incarnation, since: now, startSent: true}
		w.attempts[id] = c.attempts[id]
		c.scheduler.Adopt(pj.RunningTask{
			Job: &r.Job, Task: i, Worker: w.name, Reservation: t.LiveAttempt.Reservation, Started: now,
		})
	}
	c.submitPending(now, r)
}

// submitPending submits the pending tasks of a job to the scheduler. A gang is submitted only once
// none of its tasks is live.
func (c *Coordinator) submitPending(now time.Duration, r *cell.Record) {
	pending := r.PendingTasks()
	if len(pending) == 0 || (r.Job.Kind == pj.KindGang && r.LiveAttempts() > 0) {
		return
	}
	waited := time.Duration(c.options.UnixMilli()-r.Job.SubmittedAt) * time.Millisecond
	c.scheduler.Submit(now, pj.PendingJob{Job: &r.Job, Tasks: pending, Since: now - max(waited, 0)})
}

// refreshWorkspaces sets the scheduler's weights and limits from the configuration and the allotments.
func (c *Coordinator) refreshWorkspaces() {
	config := c.options.Config()
	c.configVersion = config.Version
	for name := range config.Workspaces {
		c.workspaces[name] = struct{}{}
	}
	for name := range c.workspaces {
		c.refreshWorkspace(config, name)
	}
}

func (c *Coordinator) refreshWorkspace(config pj.Configuration, name string) {
	limit := c.options.State.Allotment(name).Value
	if pending, ok := c.pendingAllotments[name]; ok {
		limit = limit.Min(pending.Value)
	}
	if temporary, ok := c.temporaryLimits[name]; ok {
		limit = limit.Min(temporary.value)
	}
	c.scheduler.SetWorkspace(name, config.Workspaces[name].Share, limit)
}

// Tick handles leases, held replies and waiters whose time has expired, removes ended jobs, and then
// runs a scheduling pass.
func (c *Coordinator) Tick() {
	now := c.options.Clock.Now()
	if c.options.Config().Version != c.configVersion {
		c.refreshWorkspaces()
	}
	c.expireTemporaryLimits(now)
	for _, w := range c.quarantine.Expire(now) {
		c.scheduler.Retry(w)
	}
	c.tickWorkers(now)
	c.slotTable.Tick(now)
	c.tickAnnouncements(now)
	c.tickWaiters(now)
	c.pruneEndedJobs(now)
	c.Schedule()
}

// Schedule runs a scheduling pass, commits its starts and requests its preemptions.
func (c *Coordinator) Schedule() {
	if c.closed || !c.options.Group.Serving() {
		return
	}
	now := c.options.Clock.Now()
	plan := c.scheduler.Next(now, maxStartsPerCommand)
	c.preempt(plan.Preemptions)
	if len(plan.Starts) == 0 {
		return
	}
	starts := make([]cell.StartAttempt, 0, len(plan.Starts))
	for _, st := range plan.Starts {
		starts = append(starts, c.prepareStart(now, st))
	}
	c.commit(cell.Command{Start: starts}, func(r pj.CommitResult) {
		accepted, _ := r.Value.([]bool)
		for i, st := range plan.Starts {
			c.startCommitted(starts[i], st, r.Err == nil && i < len(accepted) && accepted[i])
		}
	})
}

func (c *Coordinator) prepareStart(now time.Duration, st pj.Start) cell.StartAttempt {
	r := c.options.State.Job(st.Job)
	w := c.workers[st.Worker]
	id := pj.AttemptID{Job: st.Job, Task: st.Task, Number: r.Tasks[st.Task].AttemptCount + 1}
	c.attempts[id] = &attemptView{
		id: id, record: r, worker: w, incarnation: w.incarnation, since: now, proposed: true,
	}
	w.attempts[id] = c.attempts[id]
	return cell.StartAttempt{
		Attempt: id, Worker: st.Worker, Rack: w.rack, Incarnation: w.incarnation,
		Reservation: st.Reservation, WaitedMS: st.Waited.Milliseconds(),
	}
}

// startCommitted handles the result of committing a start. A start that was not accepted is never
// sent to a worker.
func (c *Coordinator) startCommitted(attempt cell.StartAttempt, st pj.Start, accepted bool) {
	if c.closed {
		return
	}
	v := c.attempts[attempt.Attempt]
	if v == nil {
		return
	}
	if !accepted {
		c.quarantine.RecordStop(v.worker.name)
		c.dropAttempt(v)
		c.requeue(v.record)
		return
	}
	v.proposed = false
	c.options.Events.TaskStarted(&v.record.Job, st)
	if v.isForFormer() {
		c.endFormerAttempt(v)
		return
	}
	if v.record.Stopping() {
		v.pendingVerb = pj.VerbStop
	}
	c.notifyWorker(v.worker)
	c.notifyJob(v.record.Job.ID)
}

func (c *Coordinator) requeue(r *cell.Record) {
	if r.Stopping() {
		c.scheduler.Cancel(r.Job.ID)
		return
	}
	if r.Job.Kind == pj.KindGang {
		c.stopLiveAttempts(r)
	}
	c.submitPending(c.options.Clock.Now(), r)
}

func (c *Coordinator) dropAttempt(v *attemptView) {
	delete(c.attempts, v.id)
	delete(v.worker.attempts, v.id)
	c.scheduler.Ended(c.options.Clock.Now(), v.id.Job, v.id.Task)
}

func (c *Coordinator) preempt(preemptions []pj.Preemption) {
	for _, p := range preemptions {
		w := c.workers[p.Worker]
		if w == nil {
			continue
		}
		for id, v := range w.attempts {
			if id.Job == p.Job && id.Task == p.Task {
				v.pendingVerb = p.Verb
			}
		}
		c.notifyWorker(w)
	}
}

func (c *Coordinator) commit(command cell.Command, done func(pj.CommitResult)) {
	data, err := json.Marshal(command)
	if err != nil {
		done(pj.CommitResult{Err: fmt.Errorf("encode cell command: %w", err)})
		return
	}
	c.options.Group.Commit(data, done)
}

// pruneEndedJobs removes jobs that ended longer than jobRetention ago, and the oldest ones beyond
// maxEndedJobs.
func (c *Coordinator) pruneEndedJobs(now time.Duration) {
	if now < c.prunedAt+pruneInterval || !c.options.Group.Serving() {
		return
	}
	c.prunedAt = now
	cutoff := c.options.UnixMilli() - jobRetention.Milliseconds()
	var expired []string
	for _, id := range c.endedJobs {
		r := c.options.State.Job(id)
		tooMany := len(c.endedJobs)-len(expired) > maxEndedJobs
		if r != nil && endedAt(r) > cutoff && !tooMany {
			break
		}
		expired = append(expired, id)
	}
	if len(expired) == 0 {
		return
	}
	c.endedJobs = c.endedJobs[len(expired):]
	c.commit(cell.Command{Delete: expired}, func(pj.CommitResult) {})
}

// Close fails all waiting requests, held replies and job waiters with CodeNotLeader, because this VM
// no longer leads the cell.
func (c *Coordinator) Close() {
	c.closed = true
	err := pj.Refuse(pj.CodeNotLeader, "this VM no longer leads zone %s", c.options.Zone)
	c.slotTable.FailWaiting(err)
	for _, w := range c.workers {
		w.sendHeldReply(pj.WorkerReportReply{}, err)
	}
	for _, held := range c.heldAnnouncements {
		held.reply(pj.EndpointAnnouncementReply{}, err)
	}
	for _, list := range c.waiters {
		for _, jw := range list {
			jw.reply(pj.JobStatus{}, err)
		}
	}
	c.waiters = nil
}
