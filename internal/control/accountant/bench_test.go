package accountant_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/accountant"
	"papayajunction/internal/control/cell"
	"papayajunction/internal/standin/worker"
)

// fakeGroup commits commands when the test says so. All leaders of a bench share one state.
type fakeGroup struct {
	bench   *bench
	serving bool
	queue   []func()
}

// Commit is part of accountant.Group.
func (g *fakeGroup) Commit(command []byte, done func(pj.CommitResult)) {
	g.queue = append(g.queue, func() {
		if !g.serving {
			done(pj.CommitResult{Err: pj.Fail(pj.CodeOutcomeUnknown, "lost")})
			return
		}
		g.bench.index++
		done(pj.CommitResult{Value: g.bench.state.Apply(g.bench.index, command)})
	})
}

// Serving is part of accountant.Group.
func (g *fakeGroup) Serving() bool { return g.serving }

// host is a worker VM: its agent, the answers on their way to it, and its clock's rate.
type host struct {
	agent   *worker.Worker
	name    string
	rack    string
	count   int
	rate    float64
	paused  bool // nothing of it goes on
	cut     bool // its tasks go on, and nothing reaches it or comes from it
	answers []answer
}

type answer struct {
	sent      time.Duration
	directive pj.Directive
}

// bench is a cell's leader with stand-in workers on a virtual clock.
type bench struct {
	now      time.Duration
	index    uint64
	term     uint64
	state    *cell.State
	group    *fakeGroup
	leader   *accountant.Accountant
	config   pj.Configuration
	hosts    []*host
	capacity pj.Resources
	usage    pj.Resources
	fail     float64
	statuses map[string]pj.JobStatus
	refused  map[string]*pj.Error
	started  []pj.Start
}

// Now is part of pj.Clock.
func (b *bench) Now() time.Duration { return b.now }

// Int64N is part of pj.Rand.
func (b *bench) Int64N(int64) int64 { return 0 }

// TaskStarted is part of accountant.Events.
func (b *bench) TaskStarted(_ *pj.Job, st pj.Start) { b.started = append(b.started, st) }

// TaskEnded is part of accountant.Events.
func (b *bench) TaskEnded(*pj.Job, cell.EndAttempt, time.Duration) {}

// WorkerChanged is part of accountant.Events.
func (b *bench) WorkerChanged(string, string, string) {}

// newBench returns a bench with workers of 8 cores and workspaces a and b that may use all of them.
func newBench(workers int) *bench {
	b := &bench{
		state: cell.NewState(), capacity: pj.NewResources(8, 16, 0, 0),
		statuses: make(map[string]pj.JobStatus), refused: make(map[string]*pj.Error),
	}
	all := b.capacity.Times(int64(workers))
	all[pj.Slots] = 100
	b.config = pj.Configuration{Version: 1, Workspaces: map[string]pj.Workspace{}, Queues: map[string]pj.Queue{}}
	for _, name := range []string{"a", "b"} {
		b.config.Workspaces[name] = pj.Workspace{Name: name, Share: 1, Limit: all}
		b.allot(name, all)
	}
	for i := range workers {
		h := &host{name: fmt.Sprintf("w%d", i), rack: fmt.Sprintf("r%d", i/2), rate: 0.95 + 0.1*float64(i%2)}
		b.hosts = append(b.hosts, h)
		b.restart(h)
	}
	b.elect()
	return b
}

func (b *bench) allot(workspace string, value pj.Resources) {
	a := b.state.Allotment(workspace)
	command, err := json.Marshal(cell.Command{Allot: []cell.AllotCommit{{Allotment: pj.Allotment{
		Workspace: workspace, Seq: a.Seq + 1, Value: value,
	}}}})
	if err != nil {
		panic(err)
	}
	b.index++
	b.state.Apply(b.index, command)
}

// restart gives the host a new agent that knows nothing of earlier tasks.
func (b *bench) restart(h *host) {
	h.count++
	h.answers = nil
	h.agent = worker.New(worker.Options{
		Name: h.name, Zone: "z", Rack: h.rack, Incarnation: fmt.Sprint(h.count), Capacity: b.capacity,
		Run: 3 * time.Second, Usage: b.usage, FailRate: b.fail, Random: func() float64 { return 0.5 },
	})
}

// replace starts a second agent under the host's name; the first goes on, cut off.
func (b *bench) replace(h *host) {
	old := *h
	old.cut = true
	b.hosts = append(b.hosts, &old)
	b.restart(h)
}

// elect replaces the leader. The old one goes on in ignorance, but can't commit or renew any more.
func (b *bench) elect() {
	if b.group != nil {
		b.group.serving = false
	}
	b.term++
	b.group = &fakeGroup{bench: b, serving: true}
	b.leader = accountant.New(accountant.Options{
		Zone: "z", Term: b.term, State: b.state, Group: b.group, Clock: b, Rand: b, Events: b,
		Unix:   func() int64 { return b.now.Milliseconds() },
		Config: func() pj.Configuration { return b.config },
	})
}

// commit ends the commits that wait.
func (b *bench) commit() {
	for g := b.group; len(g.queue) > 0; {
		next := g.queue[0]
		g.queue = g.queue[1:]
		next()
	}
}

func (b *bench) local(h *host) time.Duration {
	return time.Duration(float64(b.now) * h.rate)
}

// report sends a host's report; the answer waits in h.answers until it is taken.
func (b *bench) report(h *host) {
	if h.paused || h.cut {
		return
	}
	sent := b.local(h)
	agent := h.agent
	b.leader.Report(agent.Report(sent), func(d pj.Directive, err error) {
		if err == nil && agent == h.agent {
			h.answers = append(h.answers, answer{sent: sent, directive: d})
		}
	})
}

// take hands the answer at place i to the host.
func (b *bench) take(h *host, i int) {
	if h.paused || h.cut || i >= len(h.answers) {
		return
	}
	a := h.answers[i]
	h.answers = slices.Delete(h.answers, i, i+1)
	h.agent.Handle(b.local(h), a.sent, a.directive)
}

// run lets everything go well for some time.
func (b *bench) run(span time.Duration) {
	const step = 100 * time.Millisecond
	for end := b.now + span; b.now < end; {
		b.now += step
		b.leader.Tick()
		b.commit()
		for _, h := range b.hosts {
			b.report(h)
			b.commit()
			for len(h.answers) > 0 && !h.paused && !h.cut {
				b.take(h, 0)
			}
		}
	}
}

func (b *bench) submit(job pj.Job) {
	if job.Tasks == 0 {
		job.Tasks = 1
	}
	if job.MaxAttempts == 0 {
		job.MaxAttempts = 3
	}
	if job.Kind == "" {
		job.Kind = pj.KindBatch
	}
	if job.Task.IsZero() {
		job.Task = pj.NewResources(2, 2, 0, 0)
	}
	job.Queue = job.Workspace + "-" + string(job.Kind)
	b.leader.Submit(job, func(st pj.JobStatus, err error) {
		if err != nil {
			b.refused[job.ID] = pj.AsError(err)
			return
		}
		b.statuses[job.ID] = st
	})
	b.commit()
}

func (b *bench) status(id string) pj.JobStatus {
	var st pj.JobStatus
	b.leader.Status(id, "", 0, func(got pj.JobStatus, _ error) { st = got })
	return st
}

// running returns where each task runs at this moment. Hosts that are paused do nothing; when they
// go on, they look at their lease first.
func (b *bench) running() map[string][]string {
	where := make(map[string][]string)
	for _, h := range b.hosts {
		if h.paused {
			continue
		}
		h.agent.Tick(b.local(h))
		for _, id := range h.agent.Running() {
			key := fmt.Sprintf("%s/%d", id.Job, id.Task)
			where[key] = append(where[key], h.name)
		}
	}
	return where
}

// fault returns which rule is broken at this moment, or "".
func (b *bench) fault() string {
	for task, hosts := range b.running() {
		if len(hosts) > 1 {
			return fmt.Sprintf("task %s runs on %v at %v", task, hosts, b.now)
		}
	}
	use := make(map[string]pj.Resources)
	for _, h := range b.hosts {
		if !h.agent.Reserved().Fits(b.capacity) {
			return fmt.Sprintf("worker %s has %v reserved at %v", h.name, h.agent.Reserved(), b.now)
		}
		for _, id := range h.agent.Running() {
			if r := b.state.Job(id.Job); r != nil {
				use[r.Job.Workspace] = use[r.Job.Workspace].Add(r.Job.Task)
			}
		}
	}
	for name, u := range use {
		if limit := b.config.Workspaces[name].Limit; !u.FitsWhereUsed(limit) {
			return fmt.Sprintf("workspace %s has %v running, its limit is %v, at %v", name, u, limit, b.now)
		}
	}
	return ""
}

func mustHold(t *testing.T, b *bench) {
	t.Helper()
	if fault := b.fault(); fault != "" {
		t.Fatal(fault)
	}
}
