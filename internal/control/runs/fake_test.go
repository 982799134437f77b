package runs_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/runs"
	"papayajunction/internal/control/workflow"
)

// clock is a clock that tests advance. Each reading takes some time, by default none.
type clock struct {
	now     time.Duration
	reading time.Duration
}

func (c *clock) Now() time.Duration {
	c.now += c.reading
	return c.now
}

// group commits commands at once, or while paused queues them until resume.
type group struct {
	state   *workflow.State
	index   uint64
	queued  []func()
	paused  bool
	serving bool
}

func (g *group) Serving() bool { return g.serving }

func (g *group) Commit(command []byte, done func(pj.CommitResult)) {
	run := func() {
		g.index++
		done(pj.CommitResult{Value: g.state.Apply(g.index, command)})
	}
	if g.paused {
		g.queued = append(g.queued, run)
		return
	}
	run()
}

func (g *group) resume() {
	queued := g.queued
	g.queued, g.paused = nil, false
	for _, run := range queued {
		run()
	}
}

// order is an order or an advice query of the controller, which the test answers.
type order struct {
	kind    string
	worker  string
	run     pj.RunID
	start   pj.StartRequest
	poll    pj.PollRequest
	step    pj.StepID
	workers []string
	fence   uint64 // of stops

	incarnation int64 // of the worker; for polls

	answer       func(error)
	answerPoll   func(pj.PollResponse, error)
	answerAdvice func(pj.Advice, error)
}

// orders records what the controller sends.
type orders struct{ sent []*order }

func (o *orders) Start(w pj.PolledWorker, s pj.StartRequest, done func(int64, error)) {
	o.sent = append(o.sent, &order{kind: "start", worker: w.ID, run: s.Run, start: s, answer: func(err error) { done(0, err) }})
}

func (o *orders) Stop(w pj.PolledWorker, run pj.RunID, fence uint64, done func(int64, error)) {
	o.sent = append(o.sent, &order{kind: "stop", worker: w.ID, run: run, fence: fence, answer: func(err error) { done(0, err) }})
}

func (o *orders) Poll(w pj.PolledWorker, request pj.PollRequest, done func(pj.PollResponse, error)) {
	o.sent = append(o.sent, &order{kind: "poll", worker: w.ID, incarnation: w.Incarnation, poll: request, answerPoll: done})
}

func (o *orders) Pace(w pj.PolledWorker, run pj.RunID, _ int, _ uint64, done func(int64, error)) {
	o.sent = append(o.sent, &order{kind: "pace", worker: w.ID, run: run, answer: func(err error) { done(0, err) }})
}

func (o *orders) Advise(_ string, step pj.StepID, workers []string, _ time.Duration, done func(pj.Advice, error)) {
	o.sent = append(o.sent, &order{kind: "advise", step: step, workers: workers, answerAdvice: done})
}

// take removes and returns the orders of a kind.
func (o *orders) take(kind string) []*order {
	var taken, remaining []*order
	for _, s := range o.sent {
		if s.kind == kind {
			taken = append(taken, s)
		} else {
			remaining = append(remaining, s)
		}
	}
	o.sent = remaining
	return taken
}

type events struct{}

func (events) Record(string, ...any)                        {}
func (events) TaskStarted(*pj.Workflow, time.Duration)      {}
func (events) WorkflowFinished(*pj.Workflow, time.Duration) {}
func (events) Count(string)                                 {}

// cell is a controller with fakes of what it depends on.
type cell struct {
	is     *is.I
	clock  *clock
	group  *group
	orders *orders
	c      *runs.Controller

	version   int64         // of the last published rules
	retention time.Duration // of workflows in a final state
}

const (
	testIncarnation = int64(1000)
	testTime        = int64(1_700_000_000_000)
)

// ofTeam is what callers with a key of the workspace may reach.
var ofTeam = pj.Reach{Workspace: "team"}

var errNoAnswer = errors.New("no answer")

// newCell returns a cell with workers of 8 cores each that have answered their first poll.
func newCell(t *testing.T, workers int) *cell {
	t.Helper()
	x := newCellOf(func(i int) pj.PolledWorker { return testWorker(fmt.Sprintf("w%d", i)) }, workers)
	x.is = is.New(t)
	return x
}

// newCellOf returns a cell with the given number of workers, which describe returns.
func newCellOf(describe func(int) pj.PolledWorker, workers int) *cell {
	state := workflow.NewState()
	x := &cell{clock: &clock{now: time.Second}, group: &group{state: state, serving: true}, orders: &orders{}}
	rules := pj.Ruleset{
		Version: 1, Document: []byte("{}"), Pools: []string{"pool"},
		Workspaces: []pj.KeyedWorkspace{{Workspace: pj.Workspace{Name: "team", Share: 1, Limit: pj.NewResources(1000, 1000, 10, 0)}}},
	}
	rules.BuildIndex()
	x.elect(1)
	x.version = rules.Version
	x.c.Configure(rules, func(int64, error) {})
	for i := range workers {
		x.c.Announce(describe(i), func(error) {})
	}
	x.c.Flush()
	x.c.Tick()
	x.answerPolls(nil)
	return x
}

func testWorker(id string) pj.PolledWorker {
	return pj.PolledWorker{
		ID: id, Incarnation: testIncarnation, Sequence: 1, Pool: "pool", Address: "10.0.0.1:1", Zone: "zone-1", Rack: "r1",
		Capacity: pj.NewResources(8, 64, 0, 0),
	}
}

// elect starts the controller of a new term.
func (x *cell) elect(term uint64) {
	x.electWith(term, runs.Options{})
}

// electWith starts the controller of a new term with some options.
func (x *cell) electWith(term uint64, options runs.Options) {
	x.orders.sent = nil
	options.Term, options.State, options.Group, options.Clock = term, x.group.state, x.group, x.clock
	options.UnixMilli = func() int64 { return testTime + x.clock.now.Milliseconds() }
	options.Orders, options.Events, options.Retention = x.orders, events{}, x.retention
	x.c = runs.New(options)
}

// advance advances the clock in steps of at most 50 ms, each with a Tick and a Flush.
func (x *cell) advance(span time.Duration) {
	const step = 50 * time.Millisecond
	for span > 0 {
		x.clock.now += min(span, step)
		span -= step
		x.c.Tick()
		x.c.Flush()
	}
}

// answerPolls answers all polls with the given responses by worker.
func (x *cell) answerPolls(responses map[string]pj.PollResponse) {
	for _, o := range x.orders.take("poll") {
		response := responses[o.worker]
		response.Incarnation, response.ClockMS = testIncarnation, x.clock.now.Milliseconds()+1
		o.answerPoll(response, nil)
	}
	x.flush()
}

// flush flushes twice, as the control goroutine does: the second call schedules what the first one committed.
func (x *cell) flush() {
	x.c.Flush()
	x.c.Flush()
}

// answerPollsOf answers the polls of one worker with an empty list of runs. The polls of other workers fail.
func (x *cell) answerPollsOf(worker string) {
	for _, o := range x.orders.take("poll") {
		if o.worker == worker {
			o.answerPoll(pj.PollResponse{Incarnation: testIncarnation, ClockMS: x.clock.now.Milliseconds() + 1}, nil)
			continue
		}
		o.answerPoll(pj.PollResponse{}, errNoAnswer)
	}
	x.c.Flush()
}

// answerPollsReplaced answers all polls; those of one worker are answered by another worker at its address.
func (x *cell) answerPollsReplaced(worker string) {
	for _, o := range x.orders.take("poll") {
		if o.worker == worker {
			o.answerPoll(pj.PollResponse{}, &pj.RefusedError{Reason: pj.RefusedIncarnation})
			continue
		}
		o.answerPoll(pj.PollResponse{Incarnation: testIncarnation, ClockMS: x.clock.now.Milliseconds() + 1}, nil)
	}
	x.flush()
}

// answerPollsRunning answers all polls with the given runs.
func (x *cell) answerPollsRunning(starts []*order) {
	responses := make(map[string]pj.PollResponse)
	for _, s := range starts {
		response := responses[s.worker]
		response.Running = append(response.Running, pj.RunStatus{Run: s.run, Progress: int(x.clock.now / (200 * time.Millisecond))})
		responses[s.worker] = response
	}
	x.answerPolls(responses)
}

// publishLimit publishes an upper limit for the workspace.
func (x *cell) publishLimit(limit pj.Resources) {
	x.publish(pj.KeyedWorkspace{Workspace: pj.Workspace{Name: "team", Share: 1, Limit: limit}})
}

// publishShares publishes workspaces with their shares.
func (x *cell) publishShares(shares map[string]float64) {
	var workspaces []pj.KeyedWorkspace
	for name, share := range shares {
		workspaces = append(workspaces, pj.KeyedWorkspace{Workspace: pj.Workspace{Name: name, Share: share, Limit: pj.NewResources(1000, 1000, 10, 0)}})
	}
	x.publish(workspaces...)
}

func (x *cell) publish(workspaces ...pj.KeyedWorkspace) {
	x.version++
	x.c.Configure(pj.Ruleset{Version: x.version, Document: []byte("{}"), Pools: []string{"pool"}, Workspaces: workspaces}, func(int64, error) {})
	x.c.Tick()
}

// submit submits a workflow of one step.
func (x *cell) submit(id string, step pj.Step) {
	x.submitWorkflow(pj.Workflow{ID: id, Queue: "q", Workspace: "team", Pool: "pool", Spec: "s", Steps: []pj.Step{step}, MaxAttempts: 2})
}

func (x *cell) submitWorkflow(w pj.Workflow) {
	x.c.Submit(w, func(err error) { x.is.NoErr(err) })
	x.c.Flush()
}

func (x *cell) state(id string) pj.WorkflowState {
	s, err := x.c.Status(id, ofTeam)
	x.is.NoErr(err)
	return s
}

func runID(id string, index, run int) pj.RunID {
	return pj.RunID{Task: pj.TaskID{StepID: pj.StepID{Workflow: id}, Index: index}, Run: run}
}

func oneTask() pj.Step {
	return pj.Step{Tasks: 1, Task: pj.NewResources(4, 8, 0, 0), EstimateMS: 1000}
}
