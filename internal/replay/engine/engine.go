// Package engine simulates a trace on a virtual clock, with a scheduler that makes the decisions.
package engine

import (
	"cmp"
	"container/heap"
	"runtime"
	"slices"
	"strings"
	"time"

	pj "papayajunction"
	"papayajunction/internal/replay/trace"
)

// Parameters of the simulation that a trace doesn't contain.
const (
	tickInterval   = 100 * time.Millisecond
	startDelay     = 10 * time.Millisecond // from the decision to the start on the worker
	stopDelay      = 150 * time.Millisecond
	failDelay      = time.Second // from the decision to the failure of a task on a failing worker
	maxStarts      = 256         // of one call of the policy
	sampleInterval = time.Second
	sampleOffset   = 7 * time.Millisecond // so that jobs submitted at the same moment don't count as waiting
)

// Policy is a scheduler that is also informed of finished and failed tasks. TaskFailed reports whether the job fails with its
// task. Tick is called every tickInterval.
type Policy interface {
	pj.Scheduler
	TaskFinished(now time.Duration, job *pj.Job, worker string, peak pj.Resources, run time.Duration)
	TaskFailed(now time.Duration, job *pj.Job, worker string) (jobFails bool)
	Tick(now time.Duration)
}

// Wait is the time that one task waited for its first start.
type Wait struct {
	Workspace string
	Urgency   pj.Urgency
	Kind      pj.Kind
	Waited    time.Duration
}

// Sample is the state of the fleet at one time.
type Sample struct {
	At       time.Duration
	Capacity pj.Resources
	Reserved pj.Resources
	Waiting  bool                    // whether any task is waiting
	Usage    map[string]pj.Resources // by workspace
	Backlog  map[string]bool         // workspaces with waiting tasks
}

// Result holds the raw results of a simulation.
type Result struct {
	Waits           []Wait
	Samples         []Sample
	Shares          map[string]float64 // weight by workspace
	Starts          int
	Preemptions     int
	Finished        int
	Failed          int           // attempts that failed
	JobsFailed      int           // jobs that the policy failed, although only workers cause failures
	Unfinished      int           // tasks that neither finished nor were cancelled
	Overcommitted   int           // number of times that a sample shows a worker with more reserved than its capacity
	DuplicateStarts int           // starts of a task that was running or had finished
	DecisionTime    time.Duration // wall-clock time of the policy's decisions
	AllocatedBytes  uint64        // allocated by the whole simulation
}

// event is a function to run at a time; events of the same time run in the order in which they were scheduled.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

type taskKey struct {
	job  string
	task int
}

// attempt is one run of a task.
type attempt struct {
	number      int
	worker      string
	reservation pj.Resources
	started     time.Duration
	stopping    bool // a stop is scheduled
}

// job is a job of the trace with its progress.
type job struct {
	event     trace.Event
	job       *pj.Job
	remaining []time.Duration // run time left of each task
	done      []bool
	started   []bool
	cancelled bool
	waiting   int // number of waiting tasks
}

type engine struct {
	policy     Policy
	now        time.Duration
	events     eventHeap
	lastOrder  int
	jobs       map[string]*job
	running    map[taskKey]*attempt
	lastNumber int
	failing    map[string]bool
	workers    map[string]pj.Resources
	capacity   pj.Resources
	reserved   map[string]pj.Resources // by worker
	usage      map[string]pj.Resources // by workspace
	backlog    map[string]int          // waiting tasks by workspace
	result     Result
}

// Run simulates a trace until drainTime after its last event.
func Run(policy Policy, events []trace.Event, drainTime time.Duration) Result {
	e := &engine{
		policy: policy, jobs: make(map[string]*job), running: make(map[taskKey]*attempt),
		failing: make(map[string]bool), workers: make(map[string]pj.Resources), reserved: make(map[string]pj.Resources),
		usage: make(map[string]pj.Resources), backlog: make(map[string]int),
		result: Result{Shares: make(map[string]float64)},
	}
	end := drainTime
	for _, te := range events {
		at := time.Duration(te.AtMS) * time.Millisecond
		e.schedule(at, func() { e.applyTraceEvent(te) })
		end = max(end, at+drainTime)
	}
	for at := time.Duration(0); at <= end; at += tickInterval {
		e.schedule(at, func() { e.policy.Tick(e.now) })
	}
	for at := sampleInterval + sampleOffset; at <= end; at += sampleInterval {
		e.schedule(at, e.sample)
	}
	e.runEvents(end)
	e.countUnfinished()
	return e.result
}

func (e *engine) schedule(at time.Duration, run func()) {
	e.lastOrder++
	heap.Push(&e.events, event{at: at, order: e.lastOrder, run: run})
}

func (e *engine) runEvents(end time.Duration) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for len(e.events) > 0 && e.events[0].at <= end {
		e.now = e.events[0].at
		for len(e.events) > 0 && e.events[0].at == e.now {
			next, _ := heap.Pop(&e.events).(event)
			next.run()
		}
		e.runDecisions()
	}
	runtime.ReadMemStats(&after)
	e.result.AllocatedBytes = after.TotalAlloc - before.TotalAlloc
}

// timed runs a decision of the policy and adds its wall-clock time to the result.
func (e *engine) timed(run func()) {
	started := time.Now()
	run()
	e.result.DecisionTime += time.Since(started)
}

func (e *engine) applyTraceEvent(te trace.Event) {
	switch te.Kind {
	case trace.KindWorkspace:
		e.result.Shares[te.Workspace] = te.Share
		e.policy.SetWorkspace(te.Workspace, te.Share, te.Limit)
	case trace.KindWorker:
		e.workers[te.Worker] = te.Capacity
		e.capacity = e.capacity.Add(te.Capacity)
		e.policy.SetWorker(pj.Worker{Name: te.Worker, Rack: te.Rack, Capacity: te.Capacity})
	case trace.KindWorkerLost:
		e.removeWorker(te.Worker)
	case trace.KindWorkerFailing:
		e.failing[te.Worker] = true
	case trace.KindSubmit:
		e.submit(te)
	case trace.KindCancel:
		e.cancel(te.Job)
	case trace.KindEndpoint, trace.KindRequests:
	}
}

func (e *engine) submit(te trace.Event) {
	j := &job{event: te, job: te.ToJob()}
	j.remaining = make([]time.Duration, j.job.Tasks)
	j.done = make([]bool, j.job.Tasks)
	j.started = make([]bool, j.job.Tasks)
	pending := make([]int, j.job.Tasks)
	for i := range pending {
		pending[i] = i
		j.remaining[i] = time.Duration(te.RunMS) * time.Millisecond
	}
	e.jobs[te.Job] = j
	e.enqueue(j, pending, e.now)
}

// enqueue submits pending tasks of a job to the policy.
func (e *engine) enqueue(j *job, tasks []int, since time.Duration) {
	if len(tasks) == 0 || j.cancelled {
		return
	}
	j.waiting += len(tasks)
	e.backlog[j.job.Workspace] += len(tasks)
	e.timed(func() { e.policy.Submit(e.now, pj.PendingJob{Job: j.job, Tasks: tasks, Since: since}) })
}

func (e *engine) cancel(id string) {
	j := e.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	e.backlog[j.job.Workspace] -= j.waiting
	j.waiting = 0
	e.timed(func() { e.policy.Cancel(id) })
	for i := range j.done {
		e.stop(taskKey{job: id, task: i}, stopDelay)
	}
}

// stop stops a running task after a delay; the task counts as not finished.
func (e *engine) stop(key taskKey, delay time.Duration) {
	a := e.running[key]
	if a == nil || a.stopping {
		return
	}
	a.stopping = true
	e.schedule(e.now+delay, func() { e.stopped(key, a) })
}

// stopped ends an attempt and requeues its task. The task keeps its progress, as with a checkpoint.
func (e *engine) stopped(key taskKey, a *attempt) {
	if e.running[key] != a {
		return
	}
	j := e.jobs[key.job]
	j.remaining[key.task] -= min(e.now-a.started, j.remaining[key.task])
	e.release(key, a)
	e.requeue(j, key.task)
}

// requeue queues a task again. A gang is queued as a whole, once none of its tasks runs any more.
func (e *engine) requeue(j *job, task int) {
	if j.job.Kind != pj.KindGang {
		e.enqueue(j, []int{task}, e.now)
		return
	}
	var pending []int
	for i := range j.done {
		if e.running[taskKey{job: j.job.ID, task: i}] != nil {
			e.stop(taskKey{job: j.job.ID, task: i}, stopDelay)
			return
		}
		if !j.done[i] {
			pending = append(pending, i)
		}
	}
	if j.waiting == 0 {
		e.enqueue(j, pending, e.now)
	}
}

// release frees the reservation of an ended attempt.
func (e *engine) release(key taskKey, a *attempt) {
	delete(e.running, key)
	workspace := e.jobs[key.job].job.Workspace
	e.reserved[a.worker] = e.reserved[a.worker].Sub(a.reservation)
	e.usage[workspace] = e.usage[workspace].Sub(a.reservation)
	e.timed(func() { e.policy.Ended(e.now, key.job, key.task) })
}

// removeWorker requeues the running tasks of a worker that leaves the fleet, and removes it.
func (e *engine) removeWorker(worker string) {
	var lost []taskKey
	for key, a := range e.running {
		if a.worker == worker {
			lost = append(lost, key)
		}
	}
	slices.SortFunc(lost, func(a, b taskKey) int {
		return cmp.Or(strings.Compare(a.job, b.job), cmp.Compare(a.task, b.task))
	})
	for _, key := range lost {
		e.stopped(key, e.running[key])
	}
	e.capacity = e.capacity.Sub(e.workers[worker])
	delete(e.workers, worker)
	e.policy.RemoveWorker(worker)
}

// runDecisions applies the policy's decisions until it has no more for now.
func (e *engine) runDecisions() {
	for {
		var plan pj.Plan
		e.timed(func() { plan = e.policy.Next(e.now, maxStarts) })
		for _, p := range plan.Preemptions {
			e.result.Preemptions++
			e.stop(taskKey{job: p.Job, task: p.Task}, stopDelay)
		}
		for _, st := range plan.Starts {
			e.start(st)
		}
		if len(plan.Starts) < maxStarts {
			return
		}
	}
}

func (e *engine) start(st pj.Start) {
	j := e.jobs[st.Job]
	key := taskKey{job: st.Job, task: st.Task}
	if e.running[key] != nil || j.done[st.Task] {
		e.result.DuplicateStarts++
		return
	}
	e.result.Starts++
	e.lastNumber++
	a := &attempt{number: e.lastNumber, worker: st.Worker, reservation: st.Reservation, started: e.now + startDelay}
	e.running[key] = a
	e.reserved[st.Worker] = e.reserved[st.Worker].Add(st.Reservation)
	e.usage[j.job.Workspace] = e.usage[j.job.Workspace].Add(st.Reservation)
	j.waiting--
	e.backlog[j.job.Workspace]--
	if !j.started[st.Task] {
		j.started[st.Task] = true
		e.result.Waits = append(e.result.Waits, Wait{
			Workspace: j.job.Workspace, Urgency: j.job.Urgency, Kind: j.job.Kind,
			Waited: a.started - time.Duration(j.event.AtMS)*time.Millisecond,
		})
	}
	if e.failing[st.Worker] {
		e.schedule(e.now+failDelay, func() { e.failed(key, a) })
		return
	}
	e.schedule(a.started+j.remaining[st.Task], func() { e.finished(key, a) })
}

func (e *engine) finished(key taskKey, a *attempt) {
	if e.running[key] != a {
		return
	}
	j := e.jobs[key.job]
	j.done[key.task] = true
	e.result.Finished++
	peak := j.job.Task
	if !j.event.ActualUsage.IsZero() {
		peak = j.event.ActualUsage
	}
	e.policy.TaskFinished(e.now, j.job, a.worker, peak, e.now-a.started)
	e.release(key, a)
}

func (e *engine) failed(key taskKey, a *attempt) {
	if e.running[key] != a {
		return
	}
	e.result.Failed++
	j := e.jobs[key.job]
	jobFails := e.policy.TaskFailed(e.now, j.job, a.worker)
	e.release(key, a)
	if jobFails {
		e.result.JobsFailed++
		e.cancel(key.job)
		return
	}
	e.requeue(j, key.task)
}

func (e *engine) sample() {
	s := Sample{
		At: e.now, Capacity: e.capacity,
		Usage: make(map[string]pj.Resources, len(e.usage)), Backlog: make(map[string]bool),
	}
	for workspace, amount := range e.usage {
		s.Usage[workspace] = amount
	}
	for workspace, n := range e.backlog {
		s.Backlog[workspace] = n > 0
		s.Waiting = s.Waiting || n > 0
	}
	for worker, amount := range e.reserved {
		s.Reserved = s.Reserved.Add(amount)
		if capacity, ok := e.workers[worker]; ok && !amount.Fits(capacity) {
			e.result.Overcommitted++
		}
	}
	e.result.Samples = append(e.result.Samples, s)
}

func (e *engine) countUnfinished() {
	for _, j := range e.jobs {
		for i := range j.done {
			if !j.done[i] && !j.cancelled {
				e.result.Unfinished++
			}
		}
	}
}
