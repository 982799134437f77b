// Package scheduler decides which tasks start where: urgent work first, then the workspace with
// the smallest weighted share, each class of work placed by its own policy.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/fairness"
	"papayajunction/internal/control/placement"
)

const ranks = 3

// sparePart is the part of the cell, one in sparePart, that workspaces beyond their share leave
// free, so that those within their share needn't wait for a task to end.
const sparePart = 50

// Scheduler is a pj.Scheduler for one cell. Its methods must be called from one goroutine.
type Scheduler struct {
	ledger    *fairness.Ledger
	index     *placement.Index
	estimates pj.Estimator
	avoid     func(job string) map[string]struct{}
	started   func(worker string) (enough bool)

	spaces       map[string]*space
	ready        [ranks]spaceHeap
	entries      map[string]*entry
	running      map[taskKey]*running
	onWorker     map[string]map[taskKey]*running
	reservations []*reservation
	dirty        map[string]struct{} // workers that gained free resources
	parked       map[shapeKey]*laneHeap
	shapes       []*laneHeap // those of parked, oldest first
	agedAt       time.Duration
	retriedAt    time.Duration
	reviewedAt   time.Duration
	backfilled   int // running tasks that were backfilled
	victimCursor int
	rebalancedAt time.Duration
}

type taskKey struct {
	job  string
	task int
}

func (k taskKey) compare(o taskKey) int {
	return cmp.Or(cmp.Compare(k.job, o.job), cmp.Compare(k.task, o.task))
}

// entry is a job with pending tasks or with running ones.
type entry struct {
	job         *pj.Job
	amount      pj.Resources
	pending     []int
	since       time.Duration
	lane        *lane
	reservation *reservation
	preempted   int
	racks       map[string]int // running tasks by rack, for services
	runningNow  int
	urgentTried time.Duration
}

type running struct {
	key         taskKey
	entry       *entry
	worker      string
	reservation pj.Resources
	started     time.Duration
	backfilled  bool
	preempting  bool
}

// Option changes a Scheduler at its construction.
type Option func(*Scheduler)

// WithLedger makes the scheduler share an account with others.
func WithLedger(l *fairness.Ledger) Option {
	return func(s *Scheduler) { s.ledger = l }
}

// WithEstimator makes the scheduler reserve what the estimator says.
func WithEstimator(e pj.Estimator) Option {
	return func(s *Scheduler) { s.estimates = e }
}

// WithAvoid sets which workers a job must not be placed on.
func WithAvoid(avoid func(job string) map[string]struct{}) Option {
	return func(s *Scheduler) { s.avoid = avoid }
}

// WithStarted sets a function that hears of each start and says whether the worker gets no more
// tasks until it is made usable again.
func WithStarted(started func(worker string) (enough bool)) Option {
	return func(s *Scheduler) { s.started = started }
}

// New returns a scheduler without workers.
func New(options ...Option) *Scheduler {
	s := &Scheduler{
		ledger:   fairness.New(),
		index:    placement.New(),
		spaces:   make(map[string]*space),
		entries:  make(map[string]*entry),
		running:  make(map[taskKey]*running),
		onWorker: make(map[string]map[taskKey]*running),
		dirty:    make(map[string]struct{}),
		parked:   make(map[shapeKey]*laneHeap),
	}
	for r := range s.ready {
		s.ready[r].rank = r
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Ledger returns the account of workspaces.
func (s *Scheduler) Ledger() *fairness.Ledger {
	return s.ledger
}

// Index returns the account of workers.
func (s *Scheduler) Index() *placement.Index {
	return s.index
}

// SetWorker adds a worker or changes its capacity.
func (s *Scheduler) SetWorker(w pj.Worker) {
	if s.index.Set(w.Name, w.Rack, w.Capacity) {
		s.dirty[w.Name] = struct{}{}
	}
}

// SetUsable says whether new tasks may be placed on a worker.
func (s *Scheduler) SetUsable(worker string, usable bool) {
	if s.index.Usable(worker) == usable {
		return
	}
	s.index.SetUsable(worker, usable)
	if usable {
		s.dirty[worker] = struct{}{}
	}
}

// RemoveWorker forgets a worker. Its tasks must have been ended before.
func (s *Scheduler) RemoveWorker(worker string) {
	for _, r := range slices.Clone(s.reservations) {
		if _, ok := r.holds[worker]; ok {
			s.dropReservation(r)
		}
	}
	s.index.Remove(worker)
}

// SetWorkspace sets weight and limit of a workspace in this cell.
func (s *Scheduler) SetWorkspace(workspace string, weight float64, limit pj.Resources) {
	before := s.ledger.Limit(workspace)
	s.ledger.SetWeight(workspace, weight)
	s.ledger.SetLimit(workspace, limit)
	sp := s.space(workspace)
	if before != limit {
		sp.unblock(blockedByLimit)
	}
	s.reorder(sp)
}

// SetRemote sets what a workspace uses in other cells.
func (s *Scheduler) SetRemote(workspace string, use pj.Resources) {
	s.ledger.SetRemote(workspace, use)
	s.reorder(s.space(workspace))
}

// SetFleetCapacity sets the capacity that shares are parts of.
func (s *Scheduler) SetFleetCapacity(total pj.Resources) {
	if s.ledger.Capacity() == total {
		return
	}
	s.ledger.SetCapacity(total)
	for _, sp := range s.spaces {
		s.reorder(sp)
	}
}

// Submit adds tasks of a job that are to be started. Tasks that wait or run already are left out.
func (s *Scheduler) Submit(_ time.Duration, work pj.Work) {
	e := s.entries[work.Job.ID]
	fresh := make([]int, 0, len(work.Pending))
	for _, task := range work.Pending {
		_, runs := s.running[taskKey{job: work.Job.ID, task: task}]
		if !runs && (e == nil || !slices.Contains(e.pending, task)) {
			fresh = append(fresh, task)
		}
	}
	if len(fresh) == 0 {
		return
	}
	if e == nil {
		e = s.newEntry(work.Job, work.Since)
	}
	e.pending = append(e.pending, fresh...)
	if e.lane == nil {
		s.enqueue(e, e.job.Urgency.Rank(), e.runningNow > 0 || e.preempted > 0)
	} else {
		e.lane.waiting += len(fresh)
	}
}

func (s *Scheduler) newEntry(job *pj.Job, since time.Duration) *entry {
	amount := job.Task
	if s.estimates != nil {
		amount = s.estimates.Reservation(job.Queue, job.Task)
	}
	if _, can := s.fitsSomewhere(amount); !can {
		amount = job.Task
	}
	e := &entry{job: job, amount: amount, since: since, racks: make(map[string]int)}
	s.entries[job.ID] = e
	return e
}

// Cancel drops the pending tasks of a job at constant cost. Running ones end by Ended.
func (s *Scheduler) Cancel(job string) {
	e := s.entries[job]
	if e == nil {
		return
	}
	s.clearPending(e)
	s.forgetIfIdle(e)
}

// clearPending takes an entry out of its lane; the lane skips it later.
func (s *Scheduler) clearPending(e *entry) {
	if e.lane != nil {
		e.lane.waiting -= len(e.pending)
		l := e.lane
		e.lane = nil
		l.live--
		s.refreshLane(l)
	}
	e.pending = nil
	s.dropReservation(e.reservation)
}

func (s *Scheduler) forgetIfIdle(e *entry) {
	if len(e.pending) == 0 && e.runningNow == 0 {
		delete(s.entries, e.job.ID)
	}
}

// Adopt takes in a task that runs already.
func (s *Scheduler) Adopt(t pj.RunningTask) {
	e := s.entries[t.Job.ID]
	if e == nil {
		e = s.newEntry(t.Job, t.Started)
	}
	s.occupy(e, t.Task, t.Worker, t.Reservation, t.Started)
}

func (s *Scheduler) occupy(e *entry, task int, worker string, reservation pj.Resources, started time.Duration) *running {
	key := taskKey{job: e.job.ID, task: task}
	r := &running{key: key, entry: e, worker: worker, reservation: reservation, started: started}
	s.running[key] = r
	s.space(e.job.Workspace).running[key] = r
	if s.onWorker[worker] == nil {
		s.onWorker[worker] = make(map[taskKey]*running)
	}
	s.onWorker[worker][key] = r
	e.runningNow++
	e.racks[s.index.Rack(worker)]++
	s.index.Reserve(worker, reservation)
	s.ledger.Charge(e.job.Workspace, reservation)
	s.reorder(s.space(e.job.Workspace))
	return r
}

// Ended frees what a running task held.
func (s *Scheduler) Ended(_ time.Duration, job string, task int) {
	key := taskKey{job: job, task: task}
	r := s.running[key]
	if r == nil {
		return
	}
	delete(s.running, key)
	if r.backfilled {
		s.backfilled--
	}
	delete(s.onWorker[r.worker], key)
	if len(s.onWorker[r.worker]) == 0 {
		delete(s.onWorker, r.worker)
	}
	e := r.entry
	e.runningNow--
	e.racks[s.index.Rack(r.worker)]--
	s.index.Release(r.worker, r.reservation)
	s.ledger.Refund(e.job.Workspace, r.reservation)
	sp := s.space(e.job.Workspace)
	delete(sp.running, key)
	sp.unblock(blockedByLimit)
	s.reorder(sp)
	s.dirty[r.worker] = struct{}{}
	s.forgetIfIdle(e)
}

// Grow raises what is reserved for a running task to what it was seen to use.
func (s *Scheduler) Grow(job string, task int, reservation pj.Resources) {
	r := s.running[taskKey{job: job, task: task}]
	if r == nil {
		return
	}
	more := reservation.Max(r.reservation).Sub(r.reservation)
	if more.IsZero() {
		return
	}
	r.reservation = r.reservation.Add(more)
	s.index.Reserve(r.worker, more)
	s.ledger.Charge(r.entry.job.Workspace, more)
	s.reorder(s.space(r.entry.job.Workspace))
}

// Reservation returns what is reserved for a running task.
func (s *Scheduler) Reservation(job string, task int) (pj.Resources, bool) {
	r := s.running[taskKey{job: job, task: task}]
	if r == nil {
		return pj.Resources{}, false
	}
	return r.reservation, true
}

// RunningCount returns the number of tasks that hold resources.
func (s *Scheduler) RunningCount() int {
	return len(s.running)
}

func (s *Scheduler) shape(e *entry) pj.Shape {
	shape := pj.Shape{Kind: e.job.Kind, Amount: e.amount, Spread: e.racks}
	if s.avoid != nil {
		shape.Avoid = s.avoid(e.job.ID)
	}
	return shape
}

func (s *Scheduler) startOne(now time.Duration, e *entry, plan *pj.Plan) bool {
	shape := s.shape(e)
	if worker, ok := s.claimHeld(e, shape); ok {
		s.start(now, e, worker, plan)
		return true
	}
	if worker, ok := s.index.Place(shape); ok {
		s.start(now, e, worker, plan)
		return true
	}
	return s.startBackfilled(now, e, plan)
}

// startBackfilled starts the next task on room that is kept for other work, if it will end in time.
func (s *Scheduler) startBackfilled(now time.Duration, e *entry, plan *pj.Plan) bool {
	worker, ok := s.backfill(now, e, s.shape(e))
	if !ok {
		return false
	}
	s.start(now, e, worker, plan).backfilled = true
	s.backfilled++
	return true
}

func (s *Scheduler) start(now time.Duration, e *entry, worker string, plan *pj.Plan) *running {
	task := e.pending[0]
	e.pending = e.pending[1:]
	if e.lane != nil {
		e.lane.waiting--
	}
	r := s.occupy(e, task, worker, e.amount, now)
	plan.Starts = append(plan.Starts, pj.Start{
		Job: e.job.ID, Task: task, Worker: worker, Reservation: e.amount, Waited: now - e.since,
	})
	if len(e.pending) == 0 {
		s.clearPending(e)
	}
	if s.started != nil && s.started(worker) {
		s.index.SetUsable(worker, false)
	}
	return r
}
