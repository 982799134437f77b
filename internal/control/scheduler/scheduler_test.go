package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/estimate"
	"papayajunction/internal/control/quarantine"
	"papayajunction/internal/control/scheduler"
)

// testCell is a small cell with the decisions that the scheduler made.
type testCell struct {
	s       *scheduler.Scheduler
	tracker *quarantine.Tracker
	now     time.Duration
	plan    pj.Plan // all starts, and the preemptions that were not carried out yet
	jobs    map[string]*pj.Job
}

// unlimited is a limit above the capacity of any test cell.
var unlimited = pj.NewResources(1000, 1000, 100, 0)

// newCell returns a cell of workers with 8 cores in racks of two; the first accelerated ones have 2
// accelerators each.
func newCell(workers, accelerated int) *testCell {
	c := &testCell{tracker: quarantine.New(), now: time.Hour, jobs: make(map[string]*pj.Job)}
	c.s = scheduler.New(scheduler.WithEstimator(estimate.New()), scheduler.WithAvoidedWorkers(c.tracker.AvoidedWorkers))
	var total pj.Resources
	for i := range workers {
		capacity := pj.NewResources(8, 16, 0, 0)
		if i < accelerated {
			capacity[pj.Accelerators] = 2
		}
		total = total.Add(capacity)
		c.s.SetWorker(pj.Worker{Name: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i/2), Capacity: capacity})
	}
	c.s.SetFleetCapacity(total)
	for _, name := range []string{"a", "b"} {
		c.s.SetWorkspace(name, 1, unlimited)
	}
	return c
}

func (c *testCell) submit(id, workspace string, kind pj.Kind, urgency pj.Urgency, tasks int, task pj.Resources) {
	job := &pj.Job{
		ID: id, Workspace: workspace, Queue: workspace + string(kind), Kind: kind, Urgency: urgency, Repeatable: true,
		Tasks: tasks, Task: task, RunTime: pj.Duration(time.Minute),
	}
	c.jobs[id] = job
	pending := make([]int, tasks)
	for i := range pending {
		pending[i] = i
	}
	c.s.Submit(c.now, pj.PendingJob{Job: job, Tasks: pending, Since: c.now})
	c.decide()
}

func (c *testCell) decide() {
	plan := c.s.Next(c.now, 256)
	c.plan.Starts = append(c.plan.Starts, plan.Starts...)
	c.plan.Preemptions = append(c.plan.Preemptions, plan.Preemptions...)
}

// advance advances the clock in steps of one second, with a decision after each.
func (c *testCell) advance(seconds int) {
	for range seconds {
		c.now += time.Second
		c.decide()
	}
}

// fill occupies all workers: workspace a uses 28 of 32 cores and b the others.
func (c *testCell) fill() {
	c.submit("busy", "a", pj.KindBatch, pj.Normal, 7, fourCores)
	c.submit("other", "b", pj.KindBatch, pj.Normal, 1, fourCores)
}

// starts returns the workers on which a job's tasks started.
func (c *testCell) starts(job string) []string {
	var workers []string
	for _, st := range c.plan.Starts {
		if st.Job == job {
			workers = append(workers, st.Worker)
		}
	}
	return workers
}

// requeuePreempted ends the preempted tasks and submits them again.
func (c *testCell) requeuePreempted() {
	for _, p := range c.plan.Preemptions {
		c.s.Ended(c.now, p.Job, p.Task)
		c.s.Submit(c.now, pj.PendingJob{Job: c.jobs[p.Job], Tasks: []int{p.Task}, Since: c.now})
	}
	c.plan.Preemptions = nil
	c.decide()
}

func distinct(names []string) int {
	set := make(map[string]struct{})
	for _, n := range names {
		set[n] = struct{}{}
	}
	return len(set)
}

// Resource requests of tasks. A task of wholeWorker needs all cores of a worker.
var (
	twoCores    = pj.NewResources(2, 2, 0, 0)
	fourCores   = pj.NewResources(4, 4, 0, 0)
	wholeWorker = pj.NewResources(8, 8, 0, 0)
)

// TestDecisions checks placement, preemption, reservations and limits for each kind of work.
func TestDecisions(t *testing.T) {
	tests := map[string]func(is *is.I, c *testCell){
		"batch tasks are packed on one worker": func(is *is.I, c *testCell) {
			c.submit("j", "a", pj.KindBatch, pj.Normal, 4, twoCores)
			is.Equal(distinct(c.starts("j")), 1)
		},
		"services are spread over racks": func(is *is.I, c *testCell) {
			c.submit("j", "a", pj.KindService, pj.Normal, 2, twoCores)
			workers := c.starts("j")
			is.Equal(len(workers), 2)
			is.True(c.s.Index().Rack(workers[0]) != c.s.Index().Rack(workers[1]))
		},
		"a gang starts all tasks or none": func(is *is.I, c *testCell) {
			c.submit("busy", "a", pj.KindBatch, pj.Normal, 3, wholeWorker)
			c.submit("gang", "b", pj.KindGang, pj.Normal, 2, wholeWorker)
			is.Equal(len(c.starts("gang")), 0)
			c.s.Ended(c.now, "busy", 0)
			c.decide()
			is.Equal(len(c.starts("gang")), 2)
		},
		"a gang starts in one rack if it fits": func(is *is.I, c *testCell) {
			c.submit("j", "a", pj.KindBatch, pj.Normal, 1, twoCores)
			c.submit("gang", "b", pj.KindGang, pj.Normal, 2, wholeWorker)
			workers := c.starts("gang")
			is.Equal(c.s.Index().Rack(workers[0]), c.s.Index().Rack(workers[1]))
		},
		"small tasks don't delay a pending gang": func(is *is.I, c *testCell) {
			c.submit("busy", "a", pj.KindBatch, pj.Normal, 4, wholeWorker)
			c.submit("gang", "b", pj.KindGang, pj.Normal, 4, wholeWorker)
			for i := range 4 {
				c.submit(fmt.Sprint("small", i), "a", pj.KindBatch, pj.Normal, 1, twoCores)
				c.s.Ended(c.now, "busy", i)
				c.advance(1)
			}
			c.advance(1)
			c.requeuePreempted() // backfilled tasks are preempted as soon as the gang could start
			is.Equal(len(c.starts("gang")), 4)
		},
		"short work is backfilled before a gang": func(is *is.I, c *testCell) {
			c.submit("busy", "a", pj.KindBatch, pj.Normal, 3, wholeWorker)
			c.submit("gang", "b", pj.KindGang, pj.Normal, 4, wholeWorker)
			job := &pj.Job{ID: "short", Workspace: "a", Queue: "short", Kind: pj.KindBatch, Repeatable: true, Tasks: 1, Task: twoCores, RunTime: pj.Duration(time.Second)}
			c.s.Submit(c.now, pj.PendingJob{Job: job, Tasks: []int{0}, Since: c.now})
			c.decide()
			is.Equal(len(c.starts("short")), 1)
		},
		"urgent work preempts on a full fleet, once": func(is *is.I, c *testCell) {
			c.fill()
			c.advance(20)
			c.plan.Preemptions = nil
			c.submit("quick", "b", pj.KindBatch, pj.Urgent, 1, fourCores)
			is.Equal(len(c.plan.Preemptions), 1)
			c.advance(3) // the victim has not stopped yet; no second one is chosen
			is.Equal(len(c.plan.Preemptions), 1)
			c.requeuePreempted()
			is.Equal(len(c.starts("quick")), 1)
			is.Equal(len(c.starts("busy")), 7) // the victim is pending and preempts nothing itself
			c.advance(3)
			is.Equal(len(c.plan.Preemptions), 0)
		},
		"urgent work of a workspace above its fair share preempts nothing": func(is *is.I, c *testCell) {
			c.submit("own", "b", pj.KindBatch, pj.Urgent, 5, fourCores)
			c.submit("busy", "a", pj.KindBatch, pj.Normal, 3, fourCores)
			c.advance(20)
			c.plan.Preemptions = nil
			c.submit("more", "b", pj.KindBatch, pj.Urgent, 1, fourCores)
			is.Equal(len(c.plan.Preemptions), 0)
		},
		"work that may not be repeated is never preempted": func(is *is.I, c *testCell) {
			for i := range 8 {
				workspace := "a"
				if i == 7 {
					workspace = "b"
				}
				job := &pj.Job{ID: fmt.Sprint("unrepeatable", i), Workspace: workspace, Queue: "unrepeatable", Kind: pj.KindBatch, Tasks: 1, Task: fourCores}
				c.s.Submit(c.now, pj.PendingJob{Job: job, Tasks: []int{0}, Since: c.now})
				c.decide()
			}
			c.advance(20)
			is.Equal(c.s.RunningCount(), 8)
			c.submit("quick", "b", pj.KindBatch, pj.Urgent, 1, fourCores)
			is.Equal(len(c.plan.Preemptions), 0)
		},
		"a job that failed on a worker starts on another one": func(is *is.I, c *testCell) {
			c.submit("j", "a", pj.KindBatch, pj.Normal, 1, twoCores)
			first := c.starts("j")[0]
			c.tracker.RecordFailure(c.now, "j", first)
			c.s.Ended(c.now, "j", 0)
			setOthersUsable := func(usable bool) {
				for i := range 4 {
					if name := fmt.Sprint("w", i); name != first {
						c.s.SetUsable(name, usable)
					}
				}
			}
			setOthersUsable(false)
			c.s.Submit(c.now, pj.PendingJob{Job: c.jobs["j"], Tasks: []int{0}, Since: c.now})
			c.advance(2)
			is.Equal(len(c.starts("j")), 1) // stays pending rather than start on the same worker
			setOthersUsable(true)
			c.advance(2)
			is.True(c.starts("j")[1] != first)
		},
		"a workspace stays within its limit": func(is *is.I, c *testCell) {
			c.s.SetWorkspace("a", 1, pj.NewResources(4, 100, 0, 0))
			c.submit("j", "a", pj.KindBatch, pj.Normal, 4, twoCores)
			is.Equal(len(c.starts("j")), 2)
			is.Equal(c.s.PendingReason("j"), "workspace a has reached its limit in this cell (4 cores, 100 GiB)")
		},
		"a job that fits on no worker can never run": func(is *is.I, c *testCell) {
			is.Equal(c.s.CanEverRun(&pj.Job{Kind: pj.KindBatch, Tasks: 1, Task: pj.NewResources(9, 1, 0, 0)}), false)
			is.Equal(c.s.CanEverRun(&pj.Job{Kind: pj.KindGang, Tasks: 5, Task: wholeWorker}), false)
			is.True(c.s.CanEverRun(&pj.Job{Kind: pj.KindGang, Tasks: 4, Task: wholeWorker}))
		},
		"cancelled work never starts": func(is *is.I, c *testCell) {
			c.fill()
			c.submit("j", "b", pj.KindBatch, pj.Normal, 3, fourCores)
			c.s.Cancel("j")
			c.s.Ended(c.now, "busy", 0)
			c.advance(2)
			is.Equal(len(c.starts("j")), 0)
		},
		"deferred work is served like normal work after ten minutes": func(is *is.I, c *testCell) {
			c.fill()
			c.submit("deferred", "a", pj.KindBatch, pj.Deferred, 1, fourCores)
			c.advance(601)
			c.submit("normal", "a", pj.KindBatch, pj.Normal, 1, fourCores)
			c.s.Ended(c.now, "busy", 0)
			c.s.Ended(c.now, "busy", 1)
			c.advance(1)
			is.Equal(len(c.starts("deferred")), 1)
			is.Equal(len(c.starts("normal")), 0)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(is.New(t), newCell(4, 0)) })
	}
}

// TestAccelerators checks that tasks without accelerators leave enough cores and memory on accelerated
// workers for tasks that need accelerators.
func TestAccelerators(t *testing.T) {
	is := is.New(t)
	c := newCell(2, 2)
	c.submit("plain", "a", pj.KindBatch, pj.Normal, 8, twoCores)
	is.Equal(len(c.starts("plain")), 4) // half of the cores of each worker
	c.s.SetWorkspace("b", 9, unlimited)
	c.submit("model", "b", pj.KindBatch, pj.Normal, 4, pj.NewResources(2, 2, 1, 0))
	is.Equal(len(c.starts("model")), 4) // every accelerator is in use
}

// TestFailureAttribution checks that failures of one job on several workers are attributed to the job,
// and failures of several jobs on one worker to the worker, which is quarantined and then probed.
func TestFailureAttribution(t *testing.T) {
	is := is.New(t)
	tracker := quarantine.New()
	for i, worker := range []string{"w1", "w2", "w3"} {
		jobAtFault, quarantined := tracker.RecordFailure(0, "poison", worker)
		is.Equal(jobAtFault, i == 2)
		is.Equal(quarantined, false)
	}
	for i, job := range []string{"j1", "j2", "j3"} {
		jobAtFault, quarantined := tracker.RecordFailure(0, job, "faulty")
		is.Equal(jobAtFault, false)
		is.Equal(quarantined, i == 2)
	}
	is.True(tracker.Quarantined(29*time.Second, "faulty"))
	is.Equal(tracker.Quarantined(30*time.Second, "faulty"), false)
	is.True(tracker.RecordStart("faulty"))                                    // one task as a probe
	is.True(tracker.Quarantined(30*time.Second, "faulty"))                    // and no second one until it ends
	_, requarantined := tracker.RecordFailure(31*time.Second, "j4", "faulty") // the probe fails: quarantined again
	is.True(requarantined)
	is.True(tracker.Quarantined(90*time.Second, "faulty")) // for twice as long
	is.Equal(len(tracker.AvoidedWorkers("j1")), 0)         // the failures are not attributed to the jobs
}
