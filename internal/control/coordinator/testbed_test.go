package coordinator_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/cell"
	"papayajunction/internal/control/coordinator"
	"papayajunction/internal/standin/worker"
)

// fakeGroup commits commands only when the test calls testbed.commit. All leaders of a testbed share
// one replicated state.
type fakeGroup struct {
	testbed *testbed
	serving bool
	queue   []func()
}

// Commit implements coordinator.Group.
func (g *fakeGroup) Commit(command []byte, done func(pj.CommitResult)) {
	g.queue = append(g.queue, func() {
		if !g.serving {
			done(pj.CommitResult{Err: pj.Fail(pj.CodeOutcomeUnknown, "leadership lost")})
			return
		}
		g.testbed.index++
		done(pj.CommitResult{Value: g.testbed.state.Apply(g.testbed.index, command)})
	})
}

// Serving implements coordinator.Group.
func (g *fakeGroup) Serving() bool { return g.serving }

// host is a worker VM: its agent, the replies in flight to it, and the rate of its clock.
type host struct {
	agent       *worker.Worker
	name        string
	rack        string
	incarnation int
	clockRate   float64
	paused      bool                   // neither the agent nor its tasks make progress
	partitioned bool                   // its tasks continue, but no message reaches it or leaves it
	replies     []pj.WorkerReportReply // in flight, also those to reports of former agents
	delayed     []pj.WorkerReport      // sent but not received yet, also those of former agents
	pending     pendingReport
}

// pendingReport is the last report of a host.
type pendingReport struct {
	leader   *coordinator.Coordinator
	sentAt   time.Duration // by the testbed's clock
	running  int           // tasks
	answered bool
}

// testbed runs a cell's leader and stand-in workers on a virtual clock.
type testbed struct {
	now      time.Duration
	index    uint64
	term     uint64
	state    *cell.State
	group    *fakeGroup
	leader   *coordinator.Coordinator
	config   pj.Configuration
	hosts    []*host
	capacity pj.Resources
	usage    pj.Resources
	failRate float64
	statuses map[string]pj.JobStatus
	refused  map[string]*pj.Error
	started  []pj.Start
}

// Now implements pj.Clock.
func (b *testbed) Now() time.Duration { return b.now }

// Int64N implements pj.Rand.
func (b *testbed) Int64N(int64) int64 { return 0 }

// TaskStarted implements coordinator.Events.
func (b *testbed) TaskStarted(_ *pj.Job, st pj.Start) { b.started = append(b.started, st) }

// TaskEnded implements coordinator.Events.
func (b *testbed) TaskEnded(*pj.Job, cell.EndAttempt, time.Duration) {}

// WorkerChanged implements coordinator.Events.
func (b *testbed) WorkerChanged(string, string, string) {}

// newTestbed returns a testbed with workers of 8 cores and workspaces a and b whose limit is the whole
// cell.
func newTestbed(workers int) *testbed {
	b := &testbed{
		state: cell.NewState(), capacity: pj.NewResources(8, 16, 0, 0),
		statuses: make(map[string]pj.JobStatus), refused: make(map[string]*pj.Error),
	}
	all := b.capacity.Mul(int64(workers))
	all[pj.Slots] = 100
	b.config = pj.Configuration{Version: 1, Workspaces: map[string]pj.Workspace{}, Queues: map[string]pj.Queue{}}
	for _, name := range []string{"a", "b"} {
		b.config.Workspaces[name] = pj.Workspace{Name: name, Share: 1, Limit: all}
		b.allot(name, all)
	}
	for i := range workers {
		h := &host{name: fmt.Sprintf("w%d", i), rack: fmt.Sprintf("r%d", i/2), clockRate: 0.95 + 0.1*float64(i%2)}
		b.hosts = append(b.hosts, h)
		b.restart(h)
	}
	b.elect()
	return b
}

func (b *testbed) allot(workspace string, value pj.Resources) {
	current := b.state.Allotment(workspace)
	command, err := json.Marshal(cell.Command{Allot: []cell.AllotmentCommit{{Allotment: pj.Allotment{
		Workspace: workspace, Seq: current.Seq + 1, Value: value,
	}}}})
	if err != nil {
		panic(err)
	}
	b.index++
	b.state.Apply(b.index, command)
}

// restart gives the host a new agent, which has no record of earlier tasks.
func (b *testbed) restart(h *host) {
	h.incarnation++
	h.pending = pendingReport{}
	h.agent = worker.New(worker.Options{
		Name: h.name, Zone: "z", Rack: h.rack, Incarnation: fmt.Sprint(h.incarnation), Capacity: b.capacity,
		TaskRunTime: 3 * time.Second, Usage: b.usage, FailRate: b.failRate, Random: func() float64 { return 0.5 },
	})
}

// startDuplicate starts a second agent under the host's name; the first keeps running, partitioned.
func (b *testbed) startDuplicate(h *host) {
	old := *h
	old.partitioned = true
	b.hosts = append(b.hosts, &old)
	b.restart(h)
}

// elect replaces the leader. The old one is not notified, but can no longer commit or renew leases.
func (b *testbed) elect() {
	if b.group != nil {
		b.group.serving = false
	}
	b.term++
	b.group = &fakeGroup{testbed: b, serving: true}
	b.leader = b.newLeader(b.group)
}

func (b *testbed) newLeader(group coordinator.Group) *coordinator.Coordinator {
	return coordinator.New(coordinator.Options{
		Zone: "z", Term: b.term, State: b.state, Group: group, Clock: b, Rand: b, Events: b,
		UnixMilli: func() int64 { return b.now.Milliseconds() },
		Config:    func() pj.Configuration { return b.config },
	})
}

// commit completes the pending commits.
func (b *testbed) commit() {
	for g := b.group; len(g.queue) > 0; {
		next := g.queue[0]
		g.queue = g.queue[1:]
		next()
	}
}

func (b *testbed) localTime(h *host) time.Duration {
	return time.Duration(float64(b.now) * h.clockRate)
}

// report sends a host's report; the reply stays in h.replies until it is delivered.
func (b *testbed) report(h *host) {
	if h.paused || h.partitioned {
		return
	}
	pending := pendingReport{leader: b.leader, sentAt: b.now, running: len(h.agent.Running())}
	h.pending = pending
	b.leader.Report(h.agent.Report(b.localTime(h)), func(reply pj.WorkerReportReply, err error) {
		if h.pending == pending {
			h.pending.answered = true
		}
		if err == nil {
			h.replies = append(h.replies, reply)
		}
	})
}

// delayReport makes the host's agent send a report that the leader receives later or never.
func (b *testbed) delayReport(h *host) {
	if !h.paused && !h.partitioned {
		h.delayed = append(h.delayed, h.agent.Report(b.localTime(h)))
	}
}

// sendDelayedReport passes the delayed report at index i to the present leader.
func (b *testbed) sendDelayedReport(h *host, i int) {
	if h.partitioned || i >= len(h.delayed) {
		return
	}
	r := h.delayed[i]
	h.delayed = slices.Delete(h.delayed, i, i+1)
	b.leader.Report(r, func(reply pj.WorkerReportReply, err error) {
		if err == nil {
			h.replies = append(h.replies, reply)
		}
	})
}

// reportDue reports whether the host's agent would send a report now: the last one was answered, can't be answered any
// more or has timed out, or a task has ended since.
func (b *testbed) reportDue(h *host) bool {
	const reportTimeout = 3500 * time.Millisecond
	p := h.pending
	h.agent.Tick(b.localTime(h))
	return p.answered || p.leader != b.leader || b.now >= p.sentAt+reportTimeout || len(h.agent.Running()) != p.running
}

// deliver passes the reply at index i to the host.
func (b *testbed) deliver(h *host, i int) {
	if h.paused || h.partitioned || i >= len(h.replies) {
		return
	}
	reply := h.replies[i]
	h.replies = slices.Delete(h.replies, i, i+1)
	h.agent.Handle(b.localTime(h), reply)
}

// run advances the clock by span without new faults: every step ticks the leader, completes commits
// and exchanges reports with the reachable hosts.
func (b *testbed) run(span time.Duration) {
	const step = 100 * time.Millisecond
	for end := b.now + span; b.now < end; {
		b.now += step
		b.leader.Tick()
		b.commit()
		for _, h := range b.hosts {
			if !h.paused && b.reportDue(h) {
				b.report(h)
			}
			b.commit()
			for len(h.replies) > 0 && !h.paused && !h.partitioned {
				b.deliver(h, 0)
			}
		}
	}
}

func (b *testbed) submit(job pj.Job) {
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

func (b *testbed) status(id string) pj.JobStatus {
	var st pj.JobStatus
	b.leader.Status(id, "", 0, func(got pj.JobStatus, _ error) { st = got })
	return st
}

// running returns the hosts on which each task runs now. Paused hosts are left out: when they resume,
// they check their lease before their tasks continue.
func (b *testbed) running() map[string][]string {
	where := make(map[string][]string)
	for _, h := range b.hosts {
		if h.paused {
			continue
		}
		h.agent.Tick(b.localTime(h))
		for _, id := range h.agent.Running() {
			key := fmt.Sprintf("%s/%d", id.Job, id.Task)
			where[key] = append(where[key], h.name)
		}
	}
	return where
}

// violation describes the invariant that is violated now, or returns "".
func (b *testbed) violation() string {
	for task, hosts := range b.running() {
		if len(hosts) > 1 {
			return fmt.Sprintf("task %s runs on %v at %v", task, hosts, b.now)
		}
	}
	usage := make(map[string]pj.Resources)
	for _, h := range b.hosts {
		if !h.agent.Reserved().Fits(b.capacity) {
			return fmt.Sprintf("worker %s has %v reserved at %v", h.name, h.agent.Reserved(), b.now)
		}
		for _, id := range h.agent.Running() {
			r := b.state.Job(id.Job)
			if r != nil && r.Tasks[id.Task].LiveAttempt != nil {
				live := r.Tasks[id.Task].LiveAttempt
				if live.Number == id.Number && (live.Worker != h.name || live.Incarnation != fmt.Sprint(h.incarnation)) {
					return fmt.Sprintf("%v runs on %s/%d, recorded for %s/%s, at %v", id, h.name, h.incarnation, live.Worker, live.Incarnation, b.now)
				}
			}
			if r != nil {
				usage[r.Job.Workspace] = usage[r.Job.Workspace].Add(r.Job.Task)
			}
		}
	}
	for name, u := range usage {
		if limit := b.config.Workspaces[name].Limit; !u.FitsWhereUsed(limit) {
			return fmt.Sprintf("workspace %s has %v running, its limit is %v, at %v", name, u, limit, b.now)
		}
	}
	return ""
}

func requireInvariants(t *testing.T, b *testbed) {
	t.Helper()
	if violation := b.violation(); violation != "" {
		t.Fatal(violation)
	}
}
