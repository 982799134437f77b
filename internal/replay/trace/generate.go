package trace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"

	pj "papayajunction"
)

// Names returns the names that Generate accepts.
func Names() []string {
	return []string{
		"diallo_peak", "lakeshore_peak", "one_large_workspace", "one_large_workspace_alone", "wave_of_cancellations",
		"wrong_sizes", "failing_workers", "gangs_and_services", "zone_lost",
	}
}

// generator builds one trace.
type generator struct {
	rand     *rand.Rand
	events   []Event
	jobCount int
	length   time.Duration
}

// stream describes jobs of one kind that arrive at random, with exponentially distributed intervals.
type stream struct {
	workspace, queue string
	kind             pj.Kind
	urgency          pj.Urgency
	meanInterval     time.Duration // between arrivals
	tasks            int
	task             pj.Resources
	meanRunTime      time.Duration
	start, end       time.Duration // of the arrivals; an end of 0 means the end of the trace
	wrongRate        float64       // fraction of jobs that declare a wrong size and run time
}

const (
	traceLength       = 8 * time.Minute
	workersPerRack    = 8
	fleetWorkers      = 48
	workersPerZone    = 16
	dialloMemoryGB    = 128
	lakeshoreMemoryGB = 256
	usualWrongRate    = 0.1 // fraction of jobs that declare a wrong size and run time
	highWrongRate     = 0.5
)

// Generate returns the named trace. The same name and seed always give the same trace.
func Generate(name string, seed uint64) ([]Event, error) {
	g := &generator{rand: rand.New(rand.NewPCG(seed, uint64(len(name)))), length: traceLength} //nolint:gosec // not for secrets
	switch name {
	case "diallo_peak":
		g.diallo(usualWrongRate)
	case "lakeshore_peak":
		g.lakeshore()
	case "one_large_workspace":
		g.oneLarge(true)
	case "one_large_workspace_alone":
		g.oneLarge(false)
	case "wave_of_cancellations":
		g.cancellations()
	case "wrong_sizes":
		g.diallo(highWrongRate)
	case "failing_workers":
		g.failing()
	case "gangs_and_services":
		g.gangs()
	case "zone_lost":
		g.zoneLost()
	default:
		return nil, trace.NotFound("trace %q is not one of %v", name, Names())
	}
	slices.SortStableFunc(g.events, func(a, b Event) int { return int(min(max(a.AtMS-b.AtMS, -1), 1)) })
	return g.events, nil
}

func (g *generator) add(at time.Duration, e Event) {
	e.AtMS = at.Milliseconds()
	g.events = append(g.events, e)
}

func (g *generator) addWorkers(memoryGB float64, accelerated int) {
	for i := range fleetWorkers {
		capacity := pj.NewResources(64, memoryGB, 0, 0)
		if i < accelerated {
			capacity[pj.Accelerators] = 4
		}
		g.add(0, Event{Kind: KindWorker, Worker: workerName(i), Rack: fmt.Sprintf("rack-%d", i/workersPerRack), Capacity: capacity})
	}
}

func workerName(i int) string {
	return fmt.Sprintf("zone-%d-worker-%02d", i/workersPerZone, i%workersPerZone)
}

func (g *generator) addWorkspace(name string, share float64, limit pj.Resources) {
	g.add(0, Event{Kind: KindWorkspace, Workspace: name, Share: share, Limit: limit})
}

func (g *generator) addWorkspaces(limit pj.Resources, list ...Event) {
	for _, e := range list {
		g.addWorkspace(e.Workspace, e.Share, limit)
	}
}

// jitter returns a random time between 0.5 and 1.5 times the mean.
func (g *generator) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + g.rand.Float64()))
}

// addStream submits the jobs of a stream.
func (g *generator) addStream(s stream) {
	end := s.end
	if end == 0 {
		end = g.length
	}
	for at := s.start + time.Duration(g.rand.ExpFloat64()*float64(s.meanInterval)); at < end; at += time.Duration(g.rand.ExpFloat64() * float64(s.meanInterval)) {
		g.addJob(at, s)
	}
}

// addJob submits one job of a stream and returns its id.
func (g *generator) addJob(at time.Duration, s stream) string {
	g.jobCount++
	runTime := g.jitter(s.meanRunTime)
	e := Event{
		Kind: KindSubmit, Job: fmt.Sprintf("z.job-%05d", g.jobCount), Workspace: s.workspace, Queue: s.queue, JobKind: s.kind,
		Urgency: s.urgency, Repeatable: true, Tasks: s.tasks, Task: s.task, DeclaredRunMS: s.meanRunTime.Milliseconds(), RunMS: runTime.Milliseconds(),
	}
	if s.kind == pj.KindService {
		e.DeclaredRunMS = 0
	}
	if g.rand.Float64() < s.wrongRate {
		factor := []float64{0.4, 0.6, 1.5, 2}[g.rand.IntN(4)]
		for _, d := range []pj.Dimension{pj.Cores, pj.Memory} {
			e.ActualUsage[d] = int64(float64(s.task[d]) * factor)
		}
		e.RunMS = int64(float64(e.RunMS) * []float64{0.2, 0.5, 2, 4}[g.rand.IntN(4)])
	}
	g.add(at, e)
	return e.Job
}

// fleetLimit returns a workspace limit that the whole fleet fits in, with accelerators on every worker.
func fleetLimit(memoryGB float64) pj.Resources {
	return pj.NewResources(64*fleetWorkers, memoryGB*fleetWorkers, 4*fleetWorkers, 384)
}

// diallo generates the peak load of Diallo Frères: the jobs of two factories and training runs fill the fleet, and urgent
// sizing jobs for installers on the telephone arrive in between.
func (g *generator) diallo(wrongRate float64) {
	limit := fleetLimit(dialloMemoryGB)
	g.addWorkers(dialloMemoryGB, 0)
	g.addWorkspaces(limit, Event{Workspace: "installers", Share: 30}, Event{Workspace: "factory-thies", Share: 30},
		Event{Workspace: "factory-dakar", Share: 20}, Event{Workspace: "training", Share: 5},
		Event{Workspace: "catalogue", Share: 10}, Event{Workspace: "partners", Share: 5})
	small, large := pj.NewResources(4, 8, 0, 0), pj.NewResources(8, 16, 0, 0)
	g.addStream(stream{workspace: "factory-thies", queue: "actuator-sizing", kind: pj.KindBatch, meanInterval: 220 * time.Millisecond, tasks: 2, task: small, meanRunTime: 45 * time.Second, wrongRate: wrongRate})
	g.addStream(stream{workspace: "factory-dakar", queue: "actuator-sizing-dakar", kind: pj.KindBatch, meanInterval: 250 * time.Millisecond, tasks: 2, task: small, meanRunTime: 45 * time.Second, wrongRate: wrongRate})
	g.addStream(stream{workspace: "factory-thies", queue: "manifold-simulation", kind: pj.KindGang, meanInterval: 9 * time.Second, tasks: 4, task: pj.NewResources(16, 24, 0, 0), meanRunTime: 60 * time.Second, wrongRate: wrongRate})
	g.addStream(stream{workspace: "training", queue: "training-runs", kind: pj.KindBatch, urgency: pj.Deferred, meanInterval: 2 * time.Second, tasks: 8, task: large, meanRunTime: 90 * time.Second, wrongRate: wrongRate})
	g.addStream(stream{workspace: "installers", queue: "urgent-sizing", kind: pj.KindBatch, urgency: pj.Urgent, meanInterval: 900 * time.Millisecond, tasks: 1, task: small, meanRunTime: 15 * time.Second, wrongRate: wrongRate})
	g.add(time.Second, Event{
		Kind: KindSubmit, Job: "z.service", Workspace: "installers", Queue: "configurator", JobKind: pj.KindService, Repeatable: true,
		Tasks: 3, Task: small, RunMS: g.length.Milliseconds(),
	})
}

// lakeshore generates the peak load of Lakeshore: two large workspaces and two small presses, all with a backlog.
func (g *generator) lakeshore() {
	limit := fleetLimit(lakeshoreMemoryGB)
	g.addWorkers(lakeshoreMemoryGB, 0)
	g.addWorkspaces(limit, Event{Workspace: "university-presses", Share: 30}, Event{Workspace: "society-journals", Share: 30},
		Event{Workspace: "house-style", Share: 20}, Event{Workspace: "alder", Share: 10}, Event{Workspace: "birch", Share: 10})
	pass, check := pj.NewResources(8, 32, 0, 0), pj.NewResources(4, 16, 0, 0)
	g.addStream(stream{workspace: "university-presses", queue: "style-pass", kind: pj.KindBatch, meanInterval: 300 * time.Millisecond, tasks: 2, task: pass, meanRunTime: 40 * time.Second})
	g.addStream(stream{workspace: "society-journals", queue: "reference-check", kind: pj.KindBatch, meanInterval: 180 * time.Millisecond, tasks: 2, task: check, meanRunTime: 40 * time.Second})
	g.addStream(stream{workspace: "house-style", queue: "house-pass", kind: pj.KindBatch, meanInterval: 250 * time.Millisecond, tasks: 1, task: pass, meanRunTime: 40 * time.Second})
	g.addStream(stream{workspace: "alder", queue: "check-alder", kind: pj.KindBatch, meanInterval: 300 * time.Millisecond, tasks: 1, task: check, meanRunTime: 40 * time.Second})
	g.addStream(stream{workspace: "birch", queue: "check-birch", kind: pj.KindBatch, meanInterval: 300 * time.Millisecond, tasks: 1, task: check, meanRunTime: 40 * time.Second})
}

// oneLarge generates five workspaces with a small load; with flood, a sixth submits ten times its share.
func (g *generator) oneLarge(flood bool) {
	limit := fleetLimit(lakeshoreMemoryGB)
	g.addWorkers(lakeshoreMemoryGB, 0)
	task := pj.NewResources(4, 16, 0, 0)
	for i := range 5 {
		name := fmt.Sprintf("small-%d", i+1)
		g.addWorkspace(name, 10, limit)
		g.addStream(stream{workspace: name, queue: "check-" + name, kind: pj.KindBatch, meanInterval: 450 * time.Millisecond, tasks: 1, task: task, meanRunTime: 20 * time.Second})
	}
	g.addWorkspace("large", 10, limit)
	if flood {
		g.addStream(stream{workspace: "large", queue: "flood", kind: pj.KindBatch, meanInterval: 50 * time.Millisecond, tasks: 3, task: task, meanRunTime: 20 * time.Second})
	}
}

// cancellations generates a long queue and cancels nine in ten of its jobs within two seconds.
func (g *generator) cancellations() {
	limit := fleetLimit(dialloMemoryGB)
	g.addWorkers(dialloMemoryGB, 0)
	g.addWorkspace("a", 10, limit)
	g.addWorkspace("b", 10, limit)
	small := pj.NewResources(4, 8, 0, 0)
	for i := range 2500 {
		at := time.Duration(i) * 20 * time.Millisecond
		s := stream{workspace: "a", queue: "queue-a", kind: pj.KindBatch, tasks: 1, task: small, meanRunTime: 60 * time.Second}
		job := g.addJob(at, s)
		if i%10 != 0 {
			g.add(100*time.Second+time.Duration(i)*800*time.Microsecond, Event{Kind: KindCancel, Job: job})
		}
	}
	g.addStream(stream{workspace: "b", queue: "queue-b", kind: pj.KindBatch, meanInterval: time.Second, tasks: 1, task: small, meanRunTime: 20 * time.Second})
}

// failing generates load on a fleet of which three workers fail every task from 20 s on.
func (g *generator) failing() {
	limit := fleetLimit(dialloMemoryGB)
	g.addWorkers(dialloMemoryGB, 0)
	g.addWorkspace("a", 10, limit)
	g.addWorkspace("b", 10, limit)
	small := pj.NewResources(4, 8, 0, 0)
	for _, i := range []int{3, 20, 33} {
		g.add(20*time.Second, Event{Kind: KindWorkerFailing, Worker: workerName(i)})
	}
	for _, name := range []string{"a", "b"} {
		g.addStream(stream{workspace: name, queue: "queue-" + name, kind: pj.KindBatch, meanInterval: 60 * time.Millisecond, tasks: 1, task: small, meanRunTime: 20 * time.Second, end: 3 * time.Minute})
	}
}

// gangs generates gangs, services and small batch jobs for a full fleet, half of whose workers have accelerators.
func (g *generator) gangs() {
	limit := fleetLimit(lakeshoreMemoryGB)
	g.addWorkers(lakeshoreMemoryGB, fleetWorkers/2)
	for _, name := range []string{"models", "press", "copydesk"} {
		g.addWorkspace(name, 10, limit)
	}
	g.addStream(stream{workspace: "press", queue: "check", kind: pj.KindBatch, meanInterval: 110 * time.Millisecond, tasks: 2, task: pj.NewResources(4, 16, 0, 0), meanRunTime: 40 * time.Second})
	g.addStream(stream{workspace: "models", queue: "rules", kind: pj.KindGang, meanInterval: 7 * time.Second, tasks: 6, task: pj.NewResources(8, 32, 2, 0), meanRunTime: 60 * time.Second})
	g.addStream(stream{workspace: "models", queue: "single", kind: pj.KindBatch, meanInterval: 2500 * time.Millisecond, tasks: 1, task: pj.NewResources(8, 32, 1, 0), meanRunTime: 40 * time.Second})
	for i := range 12 {
		g.add(time.Duration(i)*15*time.Second, Event{
			Kind: KindSubmit, Job: fmt.Sprintf("z.service-%d", i), Workspace: "copydesk", Queue: "copydesk", JobKind: pj.KindService,
			Repeatable: true, Tasks: 3, Task: pj.NewResources(4, 16, 0, 0), RunMS: g.length.Milliseconds(),
		})
	}
}

// zoneLost is diallo without the workers of one availability zone, a third of the fleet, for two minutes.
func (g *generator) zoneLost() {
	g.diallo(usualWrongRate)
	for i := range workersPerZone {
		g.add(2*time.Minute, Event{Kind: KindWorkerLost, Worker: workerName(i)})
		g.add(4*time.Minute, Event{
			Kind: KindWorker, Worker: workerName(i), Rack: fmt.Sprintf("rack-%d", i/workersPerRack), Capacity: pj.NewResources(64, dialloMemoryGB, 0, 0),
		})
	}
}
