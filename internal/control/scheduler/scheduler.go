// Package scheduler decides which tasks start on which workers: urgent work first, then the workspace
// with the smallest weighted dominant share. Each kind of work has its own placement policy.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/fairness"
	"papayajunction/internal/control/placement"
)

// rankCount is the number of urgency ranks: 0 for urgent work, 1 for normal and 2 for deferred.
const rankCount = 3

// headroomDivisor sets the headroom: workspaces above their fair share must leave 1/headroomDivisor
// of the cell free, so that those within their fair share needn't wait for a task to end.
const headroomDivisor = 50

// Scheduler is a pj.Scheduler for one cell. Its methods must be called from one goroutine.
type Scheduler struct {
	ledger         *fairness.Ledger
	index          *placement.Index
	estimator      pj.Estimator
	avoidedWorkers func(job string) map[string]struct{} // workers on which a job must not be placed
	onStart        func(worker string) (exclusive bool)

	workspaces         map[string]*workspace
	ready              [rankCount]workspaceHeap // by rank
	entries            map[string]*entry
	running            map[taskKey]*runningTask
	runningByWorker    map[string]map[taskKey]*runningTask
	reservations       []*reservation
	freedWorkers       map[string]struct{} // workers that gained free resources since the last call of Next that did not reach maxStarts
	unschedulable      map[blockedShape]*classHeap
	unschedulableOrder []*classHeap // the heaps of unschedulable, oldest first
	agedAt             time.Duration
	retriedAt          time.Duration
	reviewedAt         time.Duration
	backfilledCount    int // number of running tasks that were backfilled
	victimCursor       int // index of the rack at which the last search for victims started, modulo the number of racks
	rebalancedAt       time.Duration
}

type taskKey struct {
	job  string
	task int
}

func (k taskKey) compare(o taskKey) int {
	return cmp.Or(cmp.Compare(k.job, o.job), cmp.Compare(k.task, o.task))
}

// entry is a job that has pending or running tasks.
type entry struct {
	job             *pj.Job
	amount          pj.Resources // reserved for each task that starts
	pending         []int
	pendingSince    time.Duration
	class           *equivClass
	reservation     *reservation
	preemptions     int
	runningByRack   map[string]int // running tasks by rack, to spread services
	runningCount    int
	preemptFailedAt time.Duration
}

type runningTask struct {
	key        taskKey
	entry      *entry
	worker     string
	reserved   pj.Resources
	started    time.Duration
	backfilled bool
	preempting bool
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithLedger sets a ledger that is shared with other components.
func WithLedger(l *fairness.Ledger) Option {
	return func(s *Scheduler) { s.ledger = l }
}

// WithEstimator makes the scheduler reserve the estimator's amounts instead of the declared ones.
func WithEstimator(e pj.Estimator) Option {
	return func(s *Scheduler) { s.estimator = e }
}

// WithAvoidedWorkers sets a function that returns the workers on which a job must not be placed.
func WithAvoidedWorkers(avoid func(job string) map[string]struct{}) Option {
	return func(s *Scheduler) { s.avoidedWorkers = avoid }
}

// WithStartCallback sets a callback for each start of a task. If it returns true, the worker gets no
// more tasks until SetUsable makes it usable again.
func WithStartCallback(onStart func(worker string) (exclusive bool)) Option {
	return func(s *Scheduler) { s.onStart = onStart }
}

// New returns a scheduler without workers.
func New(options ...Option) *Scheduler {
	s := &Scheduler{
		ledger:          fairness.New(),
		index:           placement.New(),
		workspaces:      make(map[string]*workspace),
		entries:         make(map[string]*entry),
		running:         make(map[taskKey]*runningTask),
		runningByWorker: make(map[string]map[taskKey]*runningTask),
		freedWorkers:    make(map[string]struct{}),
		unschedulable:   make(map[blockedShape]*classHeap),
	}
	for r := range s.ready {
		s.ready[r].rank = r
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Ledger returns the resource usage of the workspaces.
func (s *Scheduler) Ledger() *fairness.Ledger {
	return s.ledger
}

// Index returns the workers and their free resources.
func (s *Scheduler) Index() *placement.Index {
	return s.index
}

// SetWorker adds a worker or changes its capacity.
func (s *Scheduler) SetWorker(w pj.Worker) {
	if s.index.Set(w.Name, w.Rack, w.Capacity) {
		s.freedWorkers[w.Name] = struct{}{}
	}
}

// SetUsable sets whether new tasks may be placed on a worker.
func (s *Scheduler) SetUsable(worker string, usable bool) {
	if s.index.Usable(worker) == usable {
		return
	}
	s.index.SetUsable(worker, usable)
	if usable {
		s.freedWorkers[worker] = struct{}{}
	}
}

// Retry considers a worker again for work that could not be placed there, because jobs no longer avoid it.
func (s *Scheduler) Retry(worker string) {
	s.freedWorkers[worker] = struct{}{}
}

// RemoveWorker removes a worker. Ended must have been called for all its tasks.
func (s *Scheduler) RemoveWorker(worker string) {
	for _, r := range slices.Clone(s.reservations) {
		if _, ok := r.holds[worker]; ok {
			s.dropReservation(r)
		}
	}
	s.index.Remove(worker)
}

// SetWorkspace sets the weight of a workspace and its limit in this cell.
func (s *Scheduler) SetWorkspace(workspace string, weight float64, limit pj.Resources) {
	before := s.ledger.Limit(workspace)
	s.ledger.SetWeight(workspace, weight)
	s.ledger.SetLimit(workspace, limit)
	ws := s.workspace(workspace)
	if before != limit {
		ws.unblock(blockedByLimit)
	}
	s.updateShare(ws)
}

// SetRemoteUsage sets a workspace's usage in other cells.
func (s *Scheduler) SetRemoteUsage(workspace string, usage pj.Resources) {
	s.ledger.SetRemoteUsage(workspace, usage)
	s.updateShare(s.workspace(workspace))
}

// SetFleetCapacity sets the capacity of the whole fleet, relative to which shares are computed.
func (s *Scheduler) SetFleetCapacity(total pj.Resources) {
	if s.ledger.Capacity() == total {
		return
	}
	s.ledger.SetCapacity(total)
	for _, ws := range s.workspaces {
		s.updateShare(ws)
	}
}

// Submit adds the pending tasks of a job. Tasks that are already pending or running are ignored.
func (s *Scheduler) Submit(_ time.Duration, pending pj.PendingJob) {
	e := s.entries[pending.Job.ID]
	added := make([]int, 0, len(pending.Tasks))
	for _, task := range pending.Tasks {
		_, isRunning := s.running[taskKey{job: pending.Job.ID, task: task}]
		if !isRunning && (e == nil || !slices.Contains(e.pending, task)) {
			added = append(added, task)
		}
	}
	if len(added) == 0 {
		return
	}
	if e == nil {
		e = s.newEntry(pending.Job, pending.Since)
	}
	e.pending = append(e.pending, added...)
	if e.class == nil {
		s.enqueue(e, e.job.Urgency.Rank(), e.runningCount > 0 || e.preemptions > 0)
	} else {
		e.class.pendingTasks += len(added)
	}
}

func (s *Scheduler) newEntry(job *pj.Job, since time.Duration) *entry {
	amount := job.Task
	if s.estimator != nil {
		amount = s.estimator.Reservation(job.Queue, job.Task)
	}
	if _, fits := s.fitsAnyWorker(amount); !fits {
		amount = job.Task
	}
	e := &entry{job: job, amount: amount, pendingSince: since, runningByRack: make(map[string]int)}
	s.entries[job.ID] = e
	return e
}

// Cancel drops the pending tasks of a job in constant time. Running tasks are removed by Ended.
func (s *Scheduler) Cancel(job string) {
	e := s.entries[job]
	if e == nil {
		return
	}
	s.clearPending(e)
	s.removeIfIdle(e)
}

// clearPending removes an entry from its class lazily: peek skips it later.
func (s *Scheduler) clearPending(e *entry) {
	if e.class != nil {
		e.class.pendingTasks -= len(e.pending)
		c := e.class
		e.class = nil
		c.activeJobs--
		s.refreshClass(c)
	}
	e.pending = nil
	s.dropReservation(e.reservation)
}

func (s *Scheduler) removeIfIdle(e *entry) {
	if len(e.pending) == 0 && e.runningCount == 0 {
		delete(s.entries, e.job.ID)
	}
}

// Adopt adds a task that is already running.
func (s *Scheduler) Adopt(t pj.RunningTask) {
	e := s.entries[t.Job.ID]
	if e == nil {
		e = s.newEntry(t.Job, t.Started)
	}
	s.addRunning(e, t.Task, t.Worker, t.Reservation, t.Started)
}

func (s *Scheduler) addRunning(e *entry, task int, worker string, reserved pj.Resources, started time.Duration) *runningTask {
	key := taskKey{job: e.job.ID, task: task}
	r := &runningTask{key: key, entry: e, worker: worker, reserved: reserved, started: started}
	s.running[key] = r
	s.workspace(e.job.Workspace).running[key] = r
	if s.runningByWorker[worker] == nil {
		s.runningByWorker[worker] = make(map[taskKey]*runningTask)
	}
	s.runningByWorker[worker][key] = r
	e.runningCount++
	e.runningByRack[s.index.Rack(worker)]++
	s.index.Reserve(worker, reserved)
	s.ledger.Charge(e.job.Workspace, reserved)
	s.updateShare(s.workspace(e.job.Workspace))
	return r
}

// Ended removes a running task and frees its resources.
func (s *Scheduler) Ended(_ time.Duration, job string, task int) {
	key := taskKey{job: job, task: task}
	r := s.running[key]
	if r == nil {
		return
	}
	delete(s.running, key)
	if r.backfilled {
		s.backfilledCount--
	}
	delete(s.runningByWorker[r.worker], key)
	if len(s.runningByWorker[r.worker]) == 0 {
		delete(s.runningByWorker, r.worker)
	}
	e := r.entry
	e.runningCount--
	e.runningByRack[s.index.Rack(r.worker)]--
	s.index.Release(r.worker, r.reserved)
	s.ledger.Refund(e.job.Workspace, r.reserved)
	ws := s.workspace(e.job.Workspace)
	delete(ws.running, key)
	ws.unblock(blockedByLimit)
	s.updateShare(ws)
	s.freedWorkers[r.worker] = struct{}{}
	s.removeIfIdle(e)
}

// RaiseReservation raises the resources reserved for a running task to the given amount, its observed
// usage.
func (s *Scheduler) RaiseReservation(job string, task int, amount pj.Resources) {
	r := s.running[taskKey{job: job, task: task}]
	if r == nil {
		return
	}
	increase := amount.Max(r.reserved).Sub(r.reserved)
	if increase.IsZero() {
		return
	}
	r.reserved = r.reserved.Add(increase)
	s.index.Reserve(r.worker, increase)
	s.ledger.Charge(r.entry.job.Workspace, increase)
	s.updateShare(s.workspace(r.entry.job.Workspace))
}

// Reservation returns the resources reserved for a running task.
func (s *Scheduler) Reservation(job string, task int) (pj.Resources, bool) {
	r := s.running[taskKey{job: job, task: task}]
	if r == nil {
		return pj.Resources{}, false
	}
	return r.reserved, true
}

// RunningCount returns the number of running tasks.
func (s *Scheduler) RunningCount() int {
	return len(s.running)
}

func (s *Scheduler) placementRequest(e *entry) pj.PlacementRequest {
	request := pj.PlacementRequest{Kind: e.job.Kind, Amount: e.amount, Spread: e.runningByRack}
	if s.avoidedWorkers != nil {
		request.Exclude = s.avoidedWorkers(e.job.ID)
	}
	return request
}

func (s *Scheduler) startOne(now time.Duration, e *entry, plan *pj.Plan) bool {
	request := s.placementRequest(e)
	if worker, ok := s.claimReserved(e, request); ok {
		s.start(now, e, worker, plan)
		return true
	}
	if worker, ok := s.index.Place(request); ok {
		s.start(now, e, worker, plan)
		return true
	}
	return s.startBackfilled(now, e, plan)
}

// startBackfilled starts the next task on resources that are reserved for other work, if backfillWorker
// finds any.
func (s *Scheduler) startBackfilled(now time.Duration, e *entry, plan *pj.Plan) bool {
	worker, ok := s.backfillWorker(now, e, s.placementRequest(e))
	if !ok {
		return false
	}
	s.start(now, e, worker, plan).backfilled = true
	s.backfilledCount++
	return true
}

func (s *Scheduler) start(now time.Duration, e *entry, worker string, plan *pj.Plan) *runningTask {
	task := e.pending[0]
	e.pending = e.pending[1:]
	if e.class != nil {
		e.class.pendingTasks--
	}
	r := s.addRunning(e, task, worker, e.amount, now)
	plan.Starts = append(plan.Starts, pj.Start{
		Job: e.job.ID, Task: task, Worker: worker, Reservation: e.amount, Waited: now - e.pendingSince,
	})
	if len(e.pending) == 0 {
		s.clearPending(e)
	}
	if s.onStart != nil && s.onStart(worker) {
		s.index.SetUsable(worker, false)
	}
	return r
}
