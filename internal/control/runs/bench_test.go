package runs_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	pj "papayajunction"
)

// benchFleet is a cell whose workers carry out their orders, for benchmarks of the leader's computing time.
type benchFleet struct {
	*cell

	rand    *rand.Rand
	running map[string][]*benchTask
	lastEnd map[string]int64
	started int // number of starts so far
	next    int // number of the last submitted workflow
}

type benchTask struct {
	run    pj.RunID
	endsAt time.Duration
}

// benchQueue is a queue and the workflows that callers submit to it.
type benchQueue struct {
	name      string
	priority  int
	perSecond float64
	tasks     int
	cores     float64
	runTime   time.Duration
	advice    pj.AdvicePolicy
	allowed   float64 // fraction of the workers that the policy allows
}

var benchQueues = []benchQueue{
	{name: "long", priority: 1, perSecond: 4.3, tasks: 20, cores: 18, runTime: 5 * time.Second, advice: pj.AdvicePolicy{DecisionMS: 430, PerWorkerMS: 6.2, ValidityMS: 2500}, allowed: 0.35},
	{name: "middle", priority: 2, perSecond: 7.2, tasks: 37, cores: 6.9, runTime: 3400 * time.Millisecond, advice: pj.AdvicePolicy{DecisionMS: 130, PerWorkerMS: 1.8, ValidityMS: 2500}, allowed: 0.45},
	{name: "short", priority: 0, perSecond: 125, tasks: 3, cores: 9.9, runTime: 640 * time.Millisecond, advice: pj.AdvicePolicy{DecisionMS: 7.2, PerWorkerMS: 0.1, ValidityMS: 2500}, allowed: 0.7},
}

const benchWorkspaces = 20

func newFleet(workers int) *benchFleet {
	x := newCellOf(func(i int) pj.PolledWorker {
		w := testWorker(fmt.Sprintf("w%d", i))
		w.Capacity = pj.NewResources(64, 128, 0, 0)
		return w
	}, workers)
	f := &benchFleet{cell: x, rand: rand.New(rand.NewPCG(1, 2)), running: make(map[string][]*benchTask), lastEnd: make(map[string]int64)}
	shares := make(map[string]float64)
	for i := range benchWorkspaces {
		shares[fmt.Sprintf("team-%d", i)] = 1
	}
	f.publishShares(shares)
	vms := make([]string, 38)
	for i := range vms {
		vms[i] = fmt.Sprintf("vm-%d", i)
	}
	f.c.SetAdvisors(vms)
	return f
}

// advance advances the clock in steps of 5 ms. Callers submit load times the rates of benchQueues.
func (f *benchFleet) advance(span time.Duration, load float64) {
	const step = 5 * time.Millisecond
	for range int(span / step) {
		f.clock.now += step
		for i := range benchQueues {
			if f.rand.Float64() < benchQueues[i].perSecond*load*step.Seconds() {
				f.submitTo(&benchQueues[i])
			}
		}
		f.answerOrders()
		if f.clock.now%(60*time.Millisecond) == 0 {
			f.c.Tick()
		}
		f.flush()
	}
}

func (f *benchFleet) submitTo(q *benchQueue) {
	f.next++
	policy := q.advice
	w := pj.Workflow{
		ID: fmt.Sprintf("%016x", f.next), Queue: q.name, Workspace: fmt.Sprintf("team-%d", f.rand.IntN(benchWorkspaces)), Pool: "pool",
		Spec: "s", Priority: q.priority, MaxAttempts: 3, Stretch: 2, ObjectiveMS: 400, Advice: &policy,
		Steps: []pj.Step{{Tasks: 1 + f.rand.IntN(2*q.tasks-1), Task: pj.NewResources(q.cores*(0.5+f.rand.Float64()), 10, 0, 0), EstimateMS: q.runTime.Milliseconds()}},
	}
	f.c.Submit(w, func(error) {})
}

// answerOrders carries out the orders that were sent, and answers the polls of workers on which a run has ended.
func (f *benchFleet) answerOrders() {
	sent := f.orders.sent
	f.orders.sent = nil
	for _, o := range sent {
		switch o.kind {
		case "start":
			f.started++
			f.running[o.worker] = append(f.running[o.worker], &benchTask{run: o.run, endsAt: f.clock.now + time.Duration((0.5+f.rand.Float64())*float64(f.runTime(o.run)))})
			o.answer(nil)
		case "advise":
			f.advise(o)
		case "poll":
			if !f.answerPoll(o) {
				f.orders.sent = append(f.orders.sent, o)
			}
		}
	}
}

func (f *benchFleet) runTime(id pj.RunID) time.Duration {
	r := f.group.state.Record(id.Task.Workflow)
	return time.Duration(r.Workflow.Steps[id.Task.Step].EstimateMS) * time.Millisecond
}

func (f *benchFleet) advise(o *order) {
	allowed := 0.5
	for i := range benchQueues {
		if r := f.group.state.Record(o.step.Workflow); r != nil && r.Workflow.Queue == benchQueues[i].name {
			allowed = benchQueues[i].allowed
		}
	}
	var a pj.Advice
	for _, name := range o.workers {
		if f.rand.Float64() < allowed {
			a.Tickets = append(a.Tickets, pj.Ticket{Worker: name, Ticket: "t"})
		}
	}
	o.answerAdvice(a, nil)
}

// answerPoll answers a poll if a run has ended on the worker or the poll must not wait, and one waiting poll in 300.
func (f *benchFleet) answerPoll(o *order) bool {
	a := pj.PollResponse{Incarnation: testIncarnation, ClockMS: f.clock.now.Milliseconds() + 1}
	remaining := f.running[o.worker][:0]
	for _, t := range f.running[o.worker] {
		if f.clock.now < t.endsAt {
			remaining = append(remaining, t)
			a.Running = append(a.Running, pj.RunStatus{Run: t.run, Progress: int(f.clock.now / (100 * time.Millisecond) % 100)})
			continue
		}
		f.lastEnd[o.worker]++
		a.Finished = append(a.Finished, pj.EndedRun{Number: f.lastEnd[o.worker], Run: t.run, Outcome: pj.EndDone})
	}
	f.running[o.worker] = remaining
	if len(a.Finished) == 0 && o.poll.MaxWait > 0 && f.rand.IntN(300) > 0 {
		return false
	}
	o.answerPoll(a, nil)
	return true
}

// BenchmarkTrafficSecond measures the leader's computing time for one second of a fleet's traffic, at the usual load and at
// three times that load, which is more than the fleet can serve.
func BenchmarkTrafficSecond(b *testing.B) {
	for _, load := range []float64{1, 3} {
		for _, workers := range []int{35, 350, 1400} {
			b.Run(fmt.Sprintf("workers=%d/load=%v", workers, load), func(b *testing.B) {
				f := newFleet(workers)
				rate := load * float64(workers) / 350
				f.advance(10*time.Second, rate)
				startedBefore := f.started
				b.ResetTimer()
				for b.Loop() {
					f.advance(time.Second, rate)
				}
				b.ReportMetric(float64(f.started-startedBefore)/float64(b.N), "starts/op")
			})
		}
	}
}
