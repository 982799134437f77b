// Package runs implements the leader of a cell of polled workers: it polls the workers, renews their
// leases, places tasks, starts and stops runs and commits their outcomes.
//
// A Controller lasts for one term. Everything that must survive the term is in the replicated state.
package runs

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/fairness"
	"papayajunction/internal/control/inflight"
	"papayajunction/internal/control/quarantine"
	"papayajunction/internal/control/workflow"
)

// Group is the leader's interface to the cell's replicated group.
type Group interface {
	pj.Committer
	Serving() bool // this VM is the leader and holds the leader lease
}

// Orders sends orders to workers and advice queries to VMs without blocking. done is called once, on the control goroutine.
// After an error other than a pj.RefusedError, the outcome of an order is unknown.
type Orders interface {
	Start(w pj.PolledWorker, o pj.StartRequest, done func(clockMS int64, err error))
	Stop(w pj.PolledWorker, run pj.RunID, fence uint64, done func(clockMS int64, err error))
	Poll(w pj.PolledWorker, o pj.PollRequest, done func(pj.PollResponse, error))
	Pace(w pj.PolledWorker, run pj.RunID, percent int, fence uint64, done func(clockMS int64, err error))
	Advise(vm string, step pj.StepID, workers []string, timeout time.Duration, done func(pj.Advice, error))
}

// Events records decisions, with their reasons, for logs and metrics.
type Events interface {
	Record(event string, keyvals ...any)
	TaskStarted(w *pj.Workflow, wait time.Duration)      // from when a task could start until its start order was sent
	WorkflowFinished(w *pj.Workflow, took time.Duration) // from acceptance to the final state
	Count(event string)
}

// Options configure a Controller.
type Options struct {
	Term      uint64
	State     *workflow.State
	Group     Group
	Clock     pj.Clock
	UnixMilli func() int64 // wall clock in milliseconds
	Orders    Orders
	Events    Events
	Lease     time.Duration // of a worker; the same on all VMs of a system; 0 for DefaultLease
	MaxLease  time.Duration // longest time, on its own clock, for which a worker holds a lease whatever end an order sets; 0 for DefaultMaxLease
	Retention time.Duration // how long the status of workflows in a final state stays available; 0 for DefaultRetention

	StateBudget          int64 // estimated memory in bytes that workflows may take, see workflow.Footprint; 0 for DefaultStateBudget
	WorkspaceStateBudget int64 // of it, in bytes, for the workflows of one workspace; 0 for no maximum of its own
}

// Durations and limits of worker leases and of workflow retention.
const (
	DefaultLease      = 6 * time.Second        // a new leader is elected and has polled every worker well within it
	DefaultMaxLease   = 12 * time.Second       // on the worker's own clock
	minClockRate      = 0.97                   // minimum rate of a worker's clock relative to this VM's
	leaseMargin       = 100 * time.Millisecond // after the end of a lease, before its tasks count as ended
	DefaultRetention  = 20 * time.Minute
	retentionMargin   = 30 * time.Second // the wall clocks of leaders differ and may jump by seconds
	retentionInterval = time.Second
	maxPruneBatch     = 1000 // workflows removed by one command: more than are submitted in one interval
)

// FencesPerTerm is the number of fencing tokens of one term. Terms are multiples of it: a leader sends its term as the token, and
// a higher one once earlier calls to a worker must have no effect any more.
const FencesPerTerm = 1 << 32

// Controller is the leader's in-memory scheduling state. Its methods must be called on the control goroutine.
type Controller struct {
	options   Options
	electedAt time.Duration // when this VM was elected
	closed    bool
	deposed   bool   // a worker refused an order because of a newer term
	fence     uint64 // highest fencing token in use

	ledger       *fairness.Ledger
	quarantine   *quarantine.Tracker
	usage        *usageTracker
	durations    durations
	rulesVersion int64 // of the rules from which the ledger's weights and limits were set

	workers       map[string]*worker
	sortedWorkers []*worker // sorted by ID
	taskSets      map[pj.StepID]*taskSet

	strays            map[pj.TaskID][]*stray
	byWorkflow        map[string][]*taskSet
	byWorkspace       map[string]map[*run]struct{} // runs that hold capacity
	submissions       inflight.Submissions
	unrecordedStarts  map[string]struct{}  // workflows with a run that was observed on a worker, but without a committed end of a run
	waiting           waitingSets          // task sets with pending tasks
	delayed           []*taskSet           // task sets of occurrences that have run, and whose scheduled start time lies ahead again since the wall clock was set back
	schedules         map[string]*schedule // by workflow, while not all its occurrences were enqueued
	dueSchedules      scheduleHeap
	proposed          workflow.Footprint // of the submissions that are being committed
	advisors          map[string]*advisor
	allowedShares     map[string]float64 // by queue: moving average of the fraction of workers that its policy allows
	blocked           []Blocked          // see Load
	blockedReportedAt time.Duration

	openStarts int // see startRoom
	liveRuns   int // runs that hold capacity

	batch batch
	dirty bool // something changed since the last scheduling pass

	passes      uint64        // number of scheduling passes so far
	passWorkers []*worker     // memory for the workers of the next pass
	nextPassAt  time.Duration // when the next pass may run
	queryOffset int           // starting point of the last query in the list of workers, so that queries name different ones among equals
	prunedAt    time.Duration
}

// batch collects what the next command commits.
type batch struct {
	ends     []runEnd
	lateDone []pj.RunID // runs that counted as ended otherwise, see workflow.Command
	acks     map[*worker]int64
	starts   []*run
	workers  []announcement
	settled  []workflow.WorkerIncarnation
}

type runEnd struct {
	run        *run
	outcome    pj.RunOutcome
	checkpoint string
}

type announcement struct {
	worker pj.PolledWorker
	done   func(error)
}

// New returns the controller of a leader that was just elected.
func New(options Options) *Controller {
	options.Lease = cmp.Or(options.Lease, DefaultLease)
	options.MaxLease = cmp.Or(options.MaxLease, DefaultMaxLease)
	options.Retention = cmp.Or(options.Retention, DefaultRetention)
	options.StateBudget = cmp.Or(options.StateBudget, DefaultStateBudget)
	c := &Controller{
		options:    options,
		electedAt:  options.Clock.Now(),
		fence:      options.Term,
		ledger:     fairness.New(),
		quarantine: quarantine.New(quarantine.WithQuarantine(minQuarantine, maxQuarantine)),
		usage:      newUsageTracker(),
		durations:  make(durations),
		workers:    make(map[string]*worker),
		taskSets:   make(map[pj.StepID]*taskSet),

		strays:           make(map[pj.TaskID][]*stray),
		byWorkflow:       make(map[string][]*taskSet),
		byWorkspace:      make(map[string]map[*run]struct{}),
		unrecordedStarts: make(map[string]struct{}),
		advisors:         make(map[string]*advisor),
		schedules:        make(map[string]*schedule),
		allowedShares:    make(map[string]float64),
	}
	c.refreshRules()
	options.State.Workers(func(w pj.PolledWorker) {
		if err := w.Check(); err != nil { // an earlier version has stored it
			options.Events.Record("worker_ignored", "worker", w.ID, "err", err)
			return
		}
		c.addWorker(w)
	})
	options.State.Records(c.adopt)
	return c
}

// adopt restores a recorded workflow, with the runs that may be on workers.
func (c *Controller) adopt(r *workflow.Record) {
	for _, k := range slices.Sorted(maps.Keys(r.Open)) {
		for i := range r.Workflow.Steps {
			c.adoptStep(r, pj.StepID{Workflow: r.Workflow.ID, Occurrence: k, Step: i})
		}
	}
	switch {
	case r.State().Final():
		c.stopWorkflow(r, "the workflow is "+string(r.State()))
	case r.Workflow.ScheduledOccurrences > 0:
		c.addSchedule(r)
	case len(r.Open) == 0:
		c.enqueueSubmitted(r)
	}
}

func (c *Controller) adoptStep(r *workflow.Record, id pj.StepID) {
	step := r.Step(id)
	for index, t := range step.Tasks {
		if t.Worker != "" {
			c.adoptRun(c.taskSet(r, id), index, t)
		}
	}
	scheduled := r.Workflow.ScheduledOccurrences > 0 && len(r.Workflow.Steps[id.Step].DependsOn) == 0 // addSchedule enqueues it
	if !scheduled && !r.State().Final() && !step.Done() && r.Ready(id) {
		c.enqueue(c.taskSet(r, id))
	}
}

func (c *Controller) adoptRun(ts *taskSet, index int, t workflow.Task) {
	w := c.workers[t.Worker]
	if w == nil {
		// The worker has left and its clock is unknown: its runs are lost only after a full lease.
		w = c.addWorker(pj.PolledWorker{ID: t.Worker})
		w.retiring = true
	}
	v := &run{
		id:      pj.RunID{Task: pj.TaskID{StepID: ts.id, Index: index}, Run: t.LastRun},
		taskSet: ts, worker: w, phase: phaseCommitted, resolvedAt: c.electedAt, startedAt: c.electedAt, progressedAt: c.electedAt,
	}
	c.occupy(v)
}

// refreshRules updates the weights and limits of workspaces from the rules in force.
func (c *Controller) refreshRules() {
	rules := c.options.State.Rules()
	c.rulesVersion = rules.Version
	c.ledger.EachWorkspace(func(name string, _, _ pj.Resources) {
		if rules.Workspace(name) == nil {
			c.ledger.SetWeight(name, 0)
		}
	})
	for i := range rules.Workspaces {
		w := &rules.Workspaces[i]
		weight := w.Share
		if weight <= 0 {
			weight = 1
		}
		c.ledger.SetWeight(w.Name, weight)
		c.ledger.SetLimit(w.Name, w.Limit)
	}
	c.dirty = true
}

// Tick runs the periodic work: polls, evictions, delayed starts and retention.
func (c *Controller) Tick() {
	if c.closed || !c.options.Group.Serving() {
		return
	}
	now := c.options.Clock.Now()
	if c.rulesVersion != c.options.State.Rules().Version {
		c.refreshRules()
	}
	c.expireAvoidance(now)
	c.tickWorkers(now)
	c.enqueueDelayed()
	c.enqueueDue()
	c.pruneWorkflows(now)
	c.dirty = true
}

// Flush runs a scheduling pass if one is due, and commits the batch.
func (c *Controller) Flush() {
	if c.closed || c.deposed || !c.options.Group.Serving() {
		return
	}
	c.enqueueDue()
	if now := c.options.Clock.Now(); c.dirty && now >= c.nextPassAt {
		c.dirty = false
		c.schedule(now)
	}
	c.commitBatch()
}

func (c *Controller) commitBatch() {
	b := c.batch
	if len(b.ends)+len(b.lateDone)+len(b.starts)+len(b.workers)+len(b.settled) == 0 {
		c.applyAcks(b.acks)
		c.batch = batch{}
		return
	}
	c.batch = batch{}
	var command workflow.Command
	for _, e := range b.ends {
		command.End = append(command.End, workflow.RunEnd{RunID: e.run.id, Outcome: e.outcome, Checkpoint: e.checkpoint})
	}
	for _, v := range b.starts {
		command.Start = append(command.Start, workflow.RunStart{RunID: v.id, Worker: v.worker.ID})
	}
	command.Settled, command.LateDone = b.settled, b.lateDone
	for _, a := range b.workers {
		command.Workers = append(command.Workers, a.worker)
	}
	c.commit(command, func(r workflow.Result, err error) {
		for _, a := range b.workers {
			a.done(err)
		}
		if err != nil || c.closed {
			return
		}
		for _, a := range b.workers {
			c.announcementCommitted(a.worker)
		}
		for _, e := range b.ends {
			c.endCommitted(e)
		}
		for _, id := range b.lateDone {
			c.lateDoneCommitted(id)
		}
		c.applyAcks(b.acks)
		for i, v := range b.starts {
			c.startCommitted(v, i < len(r.Accepted) && r.Accepted[i])
		}
	})
}

// applyAcks polls the workers of newly committed ends, which acknowledges these ends.
func (c *Controller) applyAcks(acks map[*worker]int64) {
	for w, number := range acks {
		if c.workers[w.ID] == w {
			w.acked = max(w.acked, number)
			w.nextPollAt = 0
			c.poll(w)
		}
	}
}

func (c *Controller) commit(command workflow.Command, done func(workflow.Result, error)) {
	command.At = c.options.UnixMilli()
	data, err := json.Marshal(command)
	if err != nil {
		done(workflow.Result{}, fmt.Errorf("encode workflow command: %w", err))
		return
	}
	c.options.Group.Commit(data, func(r pj.CommitResult) {
		result, _ := r.Value.(workflow.Result)
		if r.Err == nil && result.Err != nil {
			r.Err = result.Err
		}
		done(result, r.Err)
	})
}

// pruneWorkflows removes workflows whose retention has passed.
func (c *Controller) pruneWorkflows(now time.Duration) {
	if now < c.prunedAt+retentionInterval {
		return
	}
	c.prunedAt = now
	endedBefore := c.options.UnixMilli() - (c.options.Retention + retentionMargin).Milliseconds()
	if expired := c.options.State.EndedBefore(endedBefore, maxPruneBatch); len(expired) > 0 {
		c.commit(workflow.Command{Delete: expired}, func(workflow.Result, error) {})
	}
}

// Close stops the controller. Orders that were already sent may still be carried out.
func (c *Controller) Close() {
	c.closed = true
	for _, a := range c.batch.workers {
		a.done(pj.Refuse(pj.CodeNotLeader, "this VM no longer leads the cell"))
	}
	c.batch = batch{}
}
