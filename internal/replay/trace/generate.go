package trace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"

	pj "papayajunction"
)

// Names returns the names of the traces that Generate knows.
func Names() []string {
	return []string{
		"diallo_peak", "lakeshore_peak", "one_large_workspace", "one_large_workspace_alone", "wave_of_cancellations",
		"wrong_sizes", "failing_workers", "gangs_and_services", "zone_lost",
	}
}

// generator writes one trace.
type generator struct {
	rand   *rand.Rand
	events []Event
	jobs   int
	length time.Duration
}

// stream is a kind of job that arrives at random.
type stream struct {
	workspace, queue string
	kind             pj.Kind
	urgency          pj.Urgency
	every            time.Duration // mean time between arrivals
	tasks            int
	task             pj.Resources
	run              time.Duration // mean
	from, until      time.Duration
	wrong            float64 // part of the jobs with wrong declarations
}

const (
	traceLength    = 8 * time.Minute
	workersARack   = 8
	fleetWorkers   = 48
	workersAZone   = 16
	dialloMemoryGB = 128
	lakeMemoryGB   = 256
	usuallyWrong   = 0.1 // part of the jobs with wrong declarations
	halfWrong      = 0.5
)

// Generate returns the named trace. The same name and seed always give the same trace.
func Generate(name string, seed uint64) ([]Event, error) {
	g := &generator{rand: rand.New(rand.NewPCG(seed, uint64(len(name)))), length: traceLength} //nolint:gosec // not for secrets
	switch name {
	case "diallo_peak":
		g.diallo(usuallyWrong)
	case "lakeshore_peak":
		g.lakeshore()
	case "one_large_workspace":
		g.oneLarge(true)
	case "one_large_workspace_alone":
		g.oneLarge(false)
	case "wave_of_cancellations":
		g.cancellations()
	case "wrong_sizes":
		g.diallo(halfWrong)
	case "failing_workers":
		g.failing()
	case "gangs_and_services":
		g.gangs()
	case "zone_lost":
		g.zoneLost()
	default:
		return nil, trace.NotFound("trace %q is not one of %v", name, Names())
	}
	slices.SortStableFunc(g.events, func(a, b Event) int { return int(min(max(a.At-b.At, -1), 1)) })
	return g.events, nil
}

func (g *generator) add(at time.Duration, e Event) {
	e.At = at.Milliseconds()
	g.events = append(g.events, e)
}

func (g *generator) workers(memoryGB float64, accelerated int) {
	for i := range fleetWorkers {
		capacity := pj.NewResources(64, memoryGB, 0, 0)
		if i < accelerated {
			capacity[pj.Accelerators] = 4
		}
		g.add(0, Event{Kind: KindWorker, Worker: workerName(i), Rack: fmt.Sprintf("rack-%d", i/workersARack), Capacity: capacity})
	}
}

func workerName(i int) string {
	return fmt.Sprintf("zone-%d-worker-%02d", i/workersAZone, i%workersAZone)
}

func (g *generator) workspace(name string, share float64, limit pj.Resources) {
	g.add(0, Event{Kind: KindWorkspace, Workspace: name, Share: share, Limit: limit})
}

func (g *generator) workspaces(limit pj.Resources, list ...Event) {
	for _, e := range list {
		g.workspace(e.Workspace, e.Share, limit)
	}
}

// span returns a random time with the given mean, never far from it.
func (g *generator) span(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + g.rand.Float64()))
}

func (g *generator) jobsOf(s stream) {
	until := s.until
	if until == 0 {
		until = g.length
	}
	for at := s.from + time.Duration(g.rand.ExpFloat64()*float64(s.every)); at < until; at += time.Duration(g.rand.ExpFloat64() * float64(s.every)) {
		g.submit(at, s)
	}
}

func (g *generator) submit(at time.Duration, s stream) string {
	g.jobs++
	run := g.span(s.run)
	e := Event{
		Kind: KindSubmit, Job: fmt.Sprintf("z.job-%05d", g.jobs), Workspace: s.workspace, Queue: s.queue, JobKind: s.kind,
		Urgency: s.urgency, Repeatable: true, Tasks: s.tasks, Task: s.task, DeclaredMS: s.run.Milliseconds(), RunMS: run.Milliseconds(),
	}
	if s.kind == pj.KindService {
		e.DeclaredMS = 0
	}
	if g.rand.Float64() < s.wrong {
		factor := []float64{0.4, 0.6, 1.5, 2}[g.rand.IntN(4)]
		for _, d := range []pj.Dimension{pj.Cores, pj.Memory} {
			e.Uses[d] = int64(float64(s.task[d]) * factor)
		}
		e.RunMS = int64(float64(e.RunMS) * []float64{0.2, 0.5, 2, 4}[g.rand.IntN(4)])
	}
	g.add(at, e)
	return e.Job
}

func everything(memoryGB float64) pj.Resources {
	return pj.NewResources(64*fleetWorkers, memoryGB*fleetWorkers, 4*fleetWorkers, 384)
}

// diallo is Diallo Frères at peak: two factories and the training runs keep the fleet full, urgent
// sizing for installers on the telephone comes in between.
func (g *generator) diallo(wrong float64) {
	all := everything(dialloMemoryGB)
	g.workers(dialloMemoryGB, 0)
	g.workspaces(all, Event{Workspace: "installers", Share: 30}, Event{Workspace: "factory-thies", Share: 30},
		Event{Workspace: "factory-dakar", Share: 20}, Event{Workspace: "training", Share: 5},
		Event{Workspace: "catalogue", Share: 10}, Event{Workspace: "partners", Share: 5})
	small, large := pj.NewResources(4, 8, 0, 0), pj.NewResources(8, 16, 0, 0)
	g.jobsOf(stream{workspace: "factory-thies", queue: "actuator-sizing", kind: pj.KindBatch, every: 220 * time.Millisecond, tasks: 2, task: small, run: 45 * time.Second, wrong: wrong})
	g.jobsOf(stream{workspace: "factory-dakar", queue: "actuator-sizing-dakar", kind: pj.KindBatch, every: 250 * time.Millisecond, tasks: 2, task: small, run: 45 * time.Second, wrong: wrong})
	g.jobsOf(stream{workspace: "factory-thies", queue: "manifold-simulation", kind: pj.KindGang, every: 9 * time.Second, tasks: 4, task: pj.NewResources(16, 24, 0, 0), run: 60 * time.Second, wrong: wrong})
	g.jobsOf(stream{workspace: "training", queue: "training-runs", kind: pj.KindBatch, urgency: pj.Deferred, every: 2 * time.Second, tasks: 8, task: large, run: 90 * time.Second, wrong: wrong})
	g.jobsOf(stream{workspace: "installers", queue: "urgent-sizing", kind: pj.KindBatch, urgency: pj.Urgent, every: 900 * time.Millisecond, tasks: 1, task: small, run: 15 * time.Second, wrong: wrong})
	g.add(time.Second, Event{
		Kind: KindSubmit, Job: "z.service", Workspace: "installers", Queue: "configurator", JobKind: pj.KindService, Repeatable: true,
		Tasks: 3, Task: small, RunMS: g.length.Milliseconds(),
	})
}

// lakeshore is Lakeshore at peak: two large workspaces and two small presses, all with a backlog.
func (g *generator) lakeshore() {
	all := everything(lakeMemoryGB)
	g.workers(lakeMemoryGB, 0)
	g.workspaces(all, Event{Workspace: "university-presses", Share: 30}, Event{Workspace: "society-journals", Share: 30},
		Event{Workspace: "house-style", Share: 20}, Event{Workspace: "alder", Share: 10}, Event{Workspace: "birch", Share: 10})
	pass, check := pj.NewResources(8, 32, 0, 0), pj.NewResources(4, 16, 0, 0)
	g.jobsOf(stream{workspace: "university-presses", queue: "style-pass", kind: pj.KindBatch, every: 300 * time.Millisecond, tasks: 2, task: pass, run: 40 * time.Second})
	g.jobsOf(stream{workspace: "society-journals", queue: "reference-check", kind: pj.KindBatch, every: 180 * time.Millisecond, tasks: 2, task: check, run: 40 * time.Second})
	g.jobsOf(stream{workspace: "house-style", queue: "house-pass", kind: pj.KindBatch, every: 250 * time.Millisecond, tasks: 1, task: pass, run: 40 * time.Second})
	g.jobsOf(stream{workspace: "alder", queue: "check-alder", kind: pj.KindBatch, every: 300 * time.Millisecond, tasks: 1, task: check, run: 40 * time.Second})
	g.jobsOf(stream{workspace: "birch", queue: "check-birch", kind: pj.KindBatch, every: 300 * time.Millisecond, tasks: 1, task: check, run: 40 * time.Second})
}

// oneLarge has five workspaces that need little; with flood, a sixth sends ten times its share.
func (g *generator) oneLarge(flood bool) {
	all := everything(lakeMemoryGB)
	g.workers(lakeMemoryGB, 0)
	task := pj.NewResources(4, 16, 0, 0)
	for i := range 5 {
		name := fmt.Sprintf("small-%d", i+1)
		g.workspace(name, 10, all)
		g.jobsOf(stream{workspace: name, queue: "check-" + name, kind: pj.KindBatch, every: 450 * time.Millisecond, tasks: 1, task: task, run: 20 * time.Second})
	}
	g.workspace("large", 10, all)
	if flood {
		g.jobsOf(stream{workspace: "large", queue: "flood", kind: pj.KindBatch, every: 50 * time.Millisecond, tasks: 3, task: task, run: 20 * time.Second})
	}
}

// cancellations cancels most of a long queue within two seconds.
func (g *generator) cancellations() {
	all := everything(dialloMemoryGB)
	g.workers(dialloMemoryGB, 0)
	g.workspace("a", 10, all)
	g.workspace("b", 10, all)
	small := pj.NewResources(4, 8, 0, 0)
	for i := range 2500 {
		at := time.Duration(i) * 20 * time.Millisecond
		s := stream{workspace: "a", queue: "queue-a", kind: pj.KindBatch, tasks: 1, task: small, run: 60 * time.Second}
		job := g.submit(at, s)
		if i%10 != 0 {
			g.add(100*time.Second+time.Duration(i)*800*time.Microsecond, Event{Kind: KindCancel, Job: job})
		}
	}
	g.jobsOf(stream{workspace: "b", queue: "queue-b", kind: pj.KindBatch, every: time.Second, tasks: 1, task: small, run: 20 * time.Second})
}

// failing has three workers that fail whatever they start.
func (g *generator) failing() {
	all := everything(dialloMemoryGB)
	g.workers(dialloMemoryGB, 0)
	g.workspace("a", 10, all)
	g.workspace("b", 10, all)
	small := pj.NewResources(4, 8, 0, 0)
	for _, i := range []int{3, 20, 33} {
		g.add(20*time.Second, Event{Kind: KindFailing, Worker: workerName(i)})
	}
	for _, name := range []string{"a", "b"} {
		g.jobsOf(stream{workspace: name, queue: "queue-" + name, kind: pj.KindBatch, every: 60 * time.Millisecond, tasks: 1, task: small, run: 20 * time.Second, until: 3 * time.Minute})
	}
}

// gangs is a full fleet, half of it with accelerators, with gangs, services and small batch work.
func (g *generator) gangs() {
	all := everything(lakeMemoryGB)
	g.workers(lakeMemoryGB, fleetWorkers/2)
	for _, name := range []string{"models", "press", "copydesk"} {
		g.workspace(name, 10, all)
	}
	g.jobsOf(stream{workspace: "press", queue: "check", kind: pj.KindBatch, every: 110 * time.Millisecond, tasks: 2, task: pj.NewResources(4, 16, 0, 0), run: 40 * time.Second})
	g.jobsOf(stream{workspace: "models", queue: "rules", kind: pj.KindGang, every: 7 * time.Second, tasks: 6, task: pj.NewResources(8, 32, 2, 0), run: 60 * time.Second})
	g.jobsOf(stream{workspace: "models", queue: "single", kind: pj.KindBatch, every: 2500 * time.Millisecond, tasks: 1, task: pj.NewResources(8, 32, 1, 0), run: 40 * time.Second})
	for i := range 12 {
		g.add(time.Duration(i)*15*time.Second, Event{
			Kind: KindSubmit, Job: fmt.Sprintf("z.service-%d", i), Workspace: "copydesk", Queue: "copydesk", JobKind: pj.KindService,
			Repeatable: true, Tasks: 3, Task: pj.NewResources(4, 16, 0, 0), RunMS: g.length.Milliseconds(),
		})
	}
}

// zoneLost takes a third of the fleet away for two minutes.
func (g *generator) zoneLost() {
	g.diallo(usuallyWrong)
	for i := range workersAZone {
		g.add(2*time.Minute, Event{Kind: KindWorkerLost, Worker: workerName(i)})
		g.add(4*time.Minute, Event{
			Kind: KindWorker, Worker: workerName(i), Rack: fmt.Sprintf("rack-%d", i/workersARack), Capacity: pj.NewResources(64, dialloMemoryGB, 0, 0),
		})
	}
}
