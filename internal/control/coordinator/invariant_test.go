package coordinator_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pj "papayajunction"
)

// TestMain fixes the seed of the random schedules unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_, _ = fmt.Fprintln(os.Stderr, "seed of random schedules:", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

func job(id, workspace string) pj.Job {
	return pj.Job{ID: "z." + id, Workspace: workspace, Repeatable: true, RunTime: pj.Duration(3 * time.Second)}
}

// maxLease is longer than any task lease, measured by any clock.
const maxLease = 11 * time.Second

// TestInvariantTaskOnOneWorker injects failures of leaders and workers that could make a task run on
// two workers at once.
func TestInvariantTaskOnOneWorker(t *testing.T) {
	long := func(id string) pj.Job {
		j := job(id, "a")
		j.RunTime = pj.Duration(time.Minute)
		return j
	}
	tests := map[string]struct {
		fault   func(b *testbed, h *host)
		wait    time.Duration
		moved   bool // the task must run elsewhere afterwards
		running bool // the task must run somewhere afterwards
	}{
		"a paused worker's task moves only after its lease has expired": {
			fault: func(_ *testbed, h *host) { h.paused = true }, wait: maxLease, moved: true, running: true,
		},
		"a worker that is paused for one second keeps its task": {
			fault: func(b *testbed, h *host) { h.paused = true; b.run(time.Second); h.paused = false }, wait: time.Second, running: true,
		},
		"a restarted worker loses its tasks": {
			fault: func(b *testbed, h *host) { b.restart(h) }, wait: maxLease, running: true,
		},
		"a new leader adopts running tasks": {
			fault: func(b *testbed, _ *host) { b.elect() }, wait: time.Second, running: true,
		},
		"a new leader waits for the lease of a worker that has not reported to it": {
			fault: func(b *testbed, h *host) { b.elect(); h.paused = true }, wait: 7 * time.Second,
		},
		"a worker resumes after its task was moved": {
			fault: func(b *testbed, h *host) { h.paused = true; b.run(maxLease); h.paused = false }, wait: time.Second, moved: true, running: true,
		},
		"a report received out of order changes nothing": {
			fault: func(b *testbed, h *host) {
				old := h.agent.Report(b.localTime(h))
				old.Tasks = nil // as if it had been sent before the task started
				b.report(h)
				b.leader.Report(old, func(pj.WorkerReportReply, error) {})
				b.commit()
				h.partitioned = true
			}, wait: 2 * time.Second, running: true,
		},
		"a partitioned worker's task moves only after its lease has expired": {
			fault: func(_ *testbed, h *host) { h.partitioned = true }, wait: maxLease, moved: true, running: true,
		},
		"a second agent uses the worker's name": {
			fault: func(b *testbed, h *host) { b.startDuplicate(h) }, wait: maxLease, running: true,
		},
		"two leader changes and a worker restart at once": {
			fault: func(b *testbed, h *host) { b.elect(); b.elect(); b.restart(h) }, wait: 2 * maxLease, running: true,
		},
		"a partitioned leader renews no leases and starts nothing": {
			fault: func(b *testbed, _ *host) { b.group.serving = false; b.run(maxLease) }, wait: time.Second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(4)
			b.run(time.Second)
			b.submit(long("one"))
			b.run(time.Second)
			first := b.running()["z.one/0"]
			is.Equal(len(first), 1)
			h := b.hostNamed(first[0])
			test.fault(b, h)
			for end := b.now + test.wait; b.now < end; {
				b.run(100 * time.Millisecond)
				requireInvariants(t, b)
			}
			after := b.running()["z.one/0"]
			is.Equal(len(after) == 1, test.running) // the task runs, or must not be reported as running by any worker
			if test.moved {
				is.True(after[0] != first[0])
			}
		})
	}
}

func (b *testbed) hostNamed(name string) *host {
	for _, h := range b.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// TestInvariantNoOvercommit fills the workers while task usage, the leader or a worker changes.
func TestInvariantNoOvercommit(t *testing.T) {
	tests := map[string]struct {
		usage pj.Resources // of each task; zero means no usage, less than declared
		fault func(b *testbed)
	}{
		"more work than capacity":             {},
		"tasks use less than declared":        {usage: pj.NewResources(0.5, 0.5, 0, 0)},
		"tasks use twice the declared amount": {usage: pj.NewResources(4, 4, 0, 0)},
		"the leader changes":                  {fault: func(b *testbed) { b.elect() }},
		"a worker restarts":                   {fault: func(b *testbed) { b.restart(b.hosts[0]) }},
		"replies arrive late and out of order": {fault: func(b *testbed) {
			for _, h := range b.hosts {
				b.report(h)
			}
			b.elect()
			for _, h := range b.hosts {
				for len(h.replies) > 0 {
					b.deliver(h, len(h.replies)-1)
				}
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(3)
			b.usage = test.usage
			for _, h := range b.hosts {
				b.restart(h)
			}
			b.run(time.Second)
			for i := range 40 {
				b.submit(job(fmt.Sprint("job", i), "a"))
			}
			b.run(time.Second)
			if test.fault != nil {
				test.fault(b)
			}
			for range 60 {
				b.run(time.Second)
				requireInvariants(t, b)
				for _, h := range b.hosts {
					is.True(test.usage.Mul(int64(len(h.agent.Running()))).Fits(b.capacity)) // the actual usage fits
					st := b.workerStatus(h.name)
					if test.usage.Fits(pj.NewResources(2, 2, 0, 0)) {
						is.True(st.Reserved.Fits(b.capacity)) // so do the leader's reservations
					}
				}
			}
			for i := range 40 {
				is.Equal(b.status(fmt.Sprint("z.job", i)).State, pj.JobFinished)
			}
		})
	}
}

func (b *testbed) workerStatus(name string) pj.WorkerStatus {
	for _, w := range b.leader.CellStatus().Workers {
		if w.Name == name {
			return w
		}
	}
	return pj.WorkerStatus{}
}

// TestInvariantUpperLimit submits more work than a workspace's limit allows while limits and leaders
// change.
func TestInvariantUpperLimit(t *testing.T) {
	lowered := pj.NewResources(4, 8, 0, 0)
	lower := func(b *testbed) {
		ws := b.config.Workspaces["a"]
		ws.Limit = lowered
		b.config.Workspaces["a"] = ws
		b.config.Version++
	}
	tests := map[string]struct {
		limit pj.Resources
		fault func(b *testbed)
		after time.Duration // time until the limit must hold
	}{
		"a workspace submits more than its limit": {limit: pj.NewResources(6, 16, 0, 0)},
		"the leader changes":                      {limit: pj.NewResources(6, 16, 0, 0), fault: func(b *testbed) { b.elect() }},
		"the allotment grows and shrinks": {limit: pj.NewResources(12, 24, 0, 0), fault: func(b *testbed) {
			for _, cores := range []float64{4, 12, 2, 12} {
				b.leader.ApplyAllotmentReply(b.allotmentReply("a", pj.NewResources(cores, 24, 0, 0)))
				b.run(400 * time.Millisecond)
			}
		}},
		"the limit is lowered below current usage": {limit: pj.NewResources(16, 32, 0, 0), after: 10 * time.Second, fault: func(b *testbed) {
			lower(b)
			for range 8 {
				b.leader.ApplyAllotmentReply(b.allotmentReply("a", lowered))
				b.run(time.Second)
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(3)
			ws := b.config.Workspaces["a"]
			ws.Limit = test.limit
			b.config.Workspaces["a"] = ws
			b.allot("a", test.limit)
			b.config.Version++
			b.run(time.Second)
			for i := range 12 {
				j := job(fmt.Sprint("job", i), "a")
				j.RunTime = pj.Duration(20 * time.Second)
				b.submit(j)
			}
			b.run(3 * time.Second)
			is.True(len(b.running()) > 0)
			requireInvariants(t, b)
			if test.fault != nil {
				test.fault(b)
			}
			b.run(test.after)
			for range 30 {
				b.run(time.Second)
				requireInvariants(t, b)
			}
		})
	}
}

func (b *testbed) allotmentReply(workspace string, value pj.Resources) pj.AllotmentReply {
	return pj.AllotmentReply{Capacity: b.capacity.Mul(3), Targets: []pj.Allotment{{
		Workspace: workspace, Seq: b.state.Allotment(workspace).Seq + 1, Value: value,
	}}}
}

// TestRandomFailures injects random failures of the leader and its workers and checks after every
// step that no task runs twice, no worker is overcommitted and no limit is exceeded. At the end every
// accepted job must have finished.
func TestRandomFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestbed(4)
		b.run(time.Second)
		jobs := 0
		for range rapid.IntRange(30, 150).Draw(rt, "steps") {
			h := b.hosts[rapid.IntRange(0, 3).Draw(rt, "host")]
			switch rapid.IntRange(0, 13).Draw(rt, "step") {
			case 0, 1:
				jobs++
				j := job(fmt.Sprint("job", jobs), rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "workspace"))
				j.Tasks = rapid.IntRange(1, 4).Draw(rt, "tasks")
				j.Kind = rapid.SampledFrom([]pj.Kind{pj.KindBatch, pj.KindGang}).Draw(rt, "kind")
				j.Urgency = rapid.SampledFrom(pj.Urgencies()).Draw(rt, "urgency")
				b.submit(j)
			case 2, 3:
				b.report(h)
			case 4, 5:
				b.deliver(h, rapid.IntRange(0, 3).Draw(rt, "reply"))
			case 6:
				b.commit()
			case 7:
				b.now += time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond
				b.leader.Tick()
			case 8:
				b.run(time.Duration(rapid.IntRange(100, 2000).Draw(rt, "run ms")) * time.Millisecond)
			case 9:
				if rapid.Bool().Draw(rt, "partition") {
					h.partitioned = !h.partitioned
				} else {
					h.paused = !h.paused
				}
			case 10:
				b.restart(h)
			case 11:
				b.elect()
			case 12:
				b.delayReport(h)
			case 13:
				b.sendDelayedReport(h, rapid.IntRange(0, 3).Draw(rt, "report"))
			}
			if violation := b.violation(); violation != "" {
				rt.Fatal(violation)
			}
		}
		for _, h := range b.hosts {
			h.paused, h.partitioned = false, false
		}
		for range 120 {
			b.run(2 * time.Second)
			if violation := b.violation(); violation != "" {
				rt.Fatal(violation)
			}
		}
		for id := range b.statuses {
			if st := b.status(id); st.State != pj.JobFinished {
				rt.Fatalf("job %s is %s at the end: %s %v", id, st.State, st.Reason, st.Tasks)
			}
		}
	})
}
