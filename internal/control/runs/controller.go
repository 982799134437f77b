// Package runs is what only the leader of a cell of called workers does: it looks at the workers,
// renews their leases, chooses where tasks run, starts and stops them and commits how they end.
//
// It lives from one election to the next. Everything that must survive it is in the replicated state.
package runs

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/blame"
	"papayajunction/internal/control/fairness"
	"papayajunction/internal/control/workflow"
)

// Group is the cell's replicated group as its leader uses it.
type Group interface {
	pj.Committer
	Serving() bool // this VM leads and holds the leader's lease
}

// Orders sends orders and questions without waiting. done is called once, on the control goroutine.
// Errors other than a pj.RefusedError leave the outcome open.
type Orders interface {
	Start(w pj.CalledWorker, o pj.StartOrder, done func(clockMS int64, err error))
	Stop(w pj.CalledWorker, run pj.RunID, fence uint64, done func(clockMS int64, err error))
	Hold(w pj.CalledWorker, o pj.HoldOrder, done func(pj.HoldAnswer, error))
	Pace(w pj.CalledWorker, run pj.RunID, percent int, fence uint64, done func(clockMS int64, err error))
	Advise(vm string, step pj.StepID, workers []string, timeout time.Duration, done func(pj.Advice, error))
}

// Events is told what was decided and why, for logs and metrics.
type Events interface {
	Decided(event string, keyvals ...any)
	Waited(w *pj.Workflow, wait time.Duration)   // from when a task could start until it was told to
	Finished(w *pj.Workflow, took time.Duration) // from acceptance to the final state
	Count(event string)
}

// Options configure a Controller.
type Options struct {
	Term   uint64
	State  *workflow.State
	Group  Group
	Clock  pj.Clock
	Unix   func() int64 // wall clock in milliseconds
	Orders Orders
	Events Events
	Lease  time.Duration // of a worker; the same on all VMs of a system; 0 for DefaultLease
	Keep   time.Duration // how long callers may ask for workflows in a final state; 0 for DefaultKeep
}

// Times of leases and records.
const (
	DefaultLease  = 6 * time.Second        // a new leader is elected and has looked at every worker well within it
	longestLease  = 12 * time.Second       // no worker holds a lease for longer, whatever an order says and however slow its clock is
	clockSlack    = 0.97                   // least rate of a worker's clock against this VM's
	leaseMargin   = 100 * time.Millisecond // after the end of a lease, until its tasks count as ended
	DefaultKeep   = 20 * time.Minute
	keepSlack     = 30 * time.Second // wall clocks of leaders differ, and may jump by seconds
	retentionStep = time.Second
	forgetMost    = 1000 // workflows forgotten in one command: more than callers hand in during a step
)

// Controller is the leader's working memory. Its methods must be called on the control goroutine.
type Controller struct {
	options Options
	since   time.Duration // when this VM was elected
	closed  bool
	deposed bool // a worker has heard a newer leader

	ledger    *fairness.Ledger
	blame     *blame.Record
	demand    *demand
	durations durations
	version   int64 // of the rules that the ledger was set from

	workers map[string]*worker
	sorted  []*worker // the same in order of their ids
	units   map[pj.StepID]*unit

	byWorkflow map[string][]*unit
	begun      map[string]struct{} // workflows with a run that was seen and of which no end is recorded
	ready      []*unit             // units with tasks to start, in the order in which they are served
	timed      []*unit             // units whose time hasn't come
	askers     map[string]*asker
	shares     map[string]float64 // part of the workers that a queue's policy allows, as seen so far

	batch batch
	dirty bool // something changed since the last decision

	decisions  uint64        // so far
	decideFrom time.Duration // when the next one may be made
	forgotAt   time.Duration
}

// batch is what the next command will hold.
type batch struct {
	ends    []ending
	acks    map[*worker]int64
	starts  []*run
	workers []announcement
}

type ending struct {
	run   *run
	how   pj.EndHow
	saved string
}

type announcement struct {
	worker pj.CalledWorker
	done   func(error)
}

// New returns the controller of a leader that was just elected.
func New(options Options) *Controller {
	options.Lease = cmp.Or(options.Lease, DefaultLease)
	options.Keep = cmp.Or(options.Keep, DefaultKeep)
	c := &Controller{
		options:   options,
		since:     options.Clock.Now(),
		ledger:    fairness.New(),
		blame:     blame.New(),
		demand:    newDemand(),
		durations: make(durations),
		workers:   make(map[string]*worker),
		units:     make(map[pj.StepID]*unit),

		byWorkflow: make(map[string][]*unit),
		begun:      make(map[string]struct{}),
		askers:     make(map[string]*asker),
		shares:     make(map[string]float64),
	}
	c.refreshRules()
	options.State.Workers(func(w pj.CalledWorker) { c.addWorker(w) })
	options.State.Records(c.adopt)
	return c
}

// adopt takes in a recorded workflow with the runs that may be on workers.
func (c *Controller) adopt(r *workflow.Record) {
	for k := range r.Occurrences {
		for i := range r.Occurrences[k] {
			c.adoptStep(r, pj.StepID{Workflow: r.Workflow.ID, Occurrence: k, Step: i})
		}
	}
	if r.State().Final() {
		c.stopAll(r, "the workflow is "+string(r.State()))
	}
}

func (c *Controller) adoptStep(r *workflow.Record, id pj.StepID) {
	step := r.Step(id)
	for index, t := range step.Tasks {
		if t.Worker != "" {
			c.adoptRun(c.unit(r, id), index, t)
		}
	}
	if !r.State().Final() && !step.Done() && r.Ready(id) {
		c.enqueue(c.unit(r, id))
	}
}

func (c *Controller) adoptRun(u *unit, index int, t workflow.Task) {
	w := c.workers[t.Worker]
	if w == nil {
		// The worker has left, so nothing is known of its clock: its lease runs out first.
		w = c.addWorker(pj.CalledWorker{ID: t.Worker})
		w.leftAt = c.since
	}
	v := &run{
		id:   pj.RunID{Task: pj.TaskID{StepID: u.id, Index: index}, Run: t.Run},
		unit: u, worker: w, phase: phaseStarted, settledAt: c.since, startedAt: c.since, adopted: true,
	}
	c.occupy(v)
}

// refreshRules sets weights and limits of workspaces.
func (c *Controller) refreshRules() {
	rules := c.options.State.Rules()
	c.version = rules.Version
	for i := range rules.Teams {
		t := &rules.Teams[i]
		c.ledger.SetWeight(t.Name, t.Share)
		c.ledger.SetLimit(t.Name, t.Limit)
	}
	c.dirty = true
}

// Tick advances time.
func (c *Controller) Tick() {
	if c.closed || !c.options.Group.Serving() {
		return
	}
	now := c.options.Clock.Now()
	if c.version != c.options.State.Rules().Version {
		c.refreshRules()
	}
	c.tickWorkers(now)
	c.wakeTimed()
	c.forgetOld(now)
	c.dirty = true
}

// Flush decides and commits what has gathered since the last call.
func (c *Controller) Flush() {
	if c.closed || c.deposed || !c.options.Group.Serving() {
		return
	}
	if now := c.options.Clock.Now(); c.dirty && now >= c.decideFrom {
		c.dirty = false
		c.decide(now)
	}
	c.commitBatch()
}

func (c *Controller) commitBatch() {
	b := c.batch
	if len(b.ends)+len(b.starts)+len(b.workers) == 0 {
		c.applyAcks(b.acks)
		c.batch = batch{}
		return
	}
	c.batch = batch{}
	var command workflow.Command
	for _, e := range b.ends {
		command.End = append(command.End, workflow.RunEnd{RunID: e.run.id, How: e.how, Saved: e.saved})
	}
	for _, v := range b.starts {
		command.Start = append(command.Start, workflow.RunStart{RunID: v.id, Worker: v.worker.ID})
	}
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
			c.announced(a.worker)
		}
		for _, e := range b.ends {
			c.ended(e)
		}
		c.applyAcks(b.acks)
		for i, v := range b.starts {
			c.startCommitted(v, i < len(r.Accepted) && r.Accepted[i])
		}
	})
}

// applyAcks lets the next look at a worker acknowledge ends that are committed now.
func (c *Controller) applyAcks(acks map[*worker]int64) {
	for w, number := range acks {
		if c.workers[w.ID] == w {
			w.acked = max(w.acked, number)
			w.nextLook = 0
			c.look(w)
		}
	}
}

func (c *Controller) commit(command workflow.Command, done func(workflow.Result, error)) {
	command.At = c.options.Unix()
	data, err := json.Marshal(command)
	if err != nil {
		done(workflow.Result{}, fmt.Errorf("write command: %w", err))
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

// forgetOld drops workflows that ended long ago.
func (c *Controller) forgetOld(now time.Duration) {
	if now < c.forgotAt+retentionStep {
		return
	}
	c.forgotAt = now
	limit := c.options.Unix() - (c.options.Keep + keepSlack).Milliseconds()
	if old := c.options.State.EndedBefore(limit, forgetMost); len(old) > 0 {
		c.commit(workflow.Command{Forget: old}, func(workflow.Result, error) {})
	}
}

// Close ends the controller; what it has sent may still be carried out.
func (c *Controller) Close() {
	c.closed = true
	for _, a := range c.batch.workers {
		a.done(pj.Refuse(pj.CodeNotLeader, "this VM does not lead any more"))
	}
	c.batch = batch{}
}
