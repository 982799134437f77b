package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	pj "papayajunction"
	"papayajunction/internal/standin/called"
)

// Figures of the load.
const (
	cancelOneIn    = 12
	configEvery    = 3 * time.Second
	announceEvery  = 700 * time.Millisecond
	callTimeout    = 3 * time.Second // of the rules
	tryAgainAfter  = 300 * time.Millisecond
	triesMost      = 20
	firstStepTasks = 3
	key            = "key-1"
)

// job is one piece of work as its caller knows it.
type job struct {
	accepted  bool
	rejected  bool // all answers said that it never runs
	cancelled bool
	state     pj.WorkflowState
}

// load hands in work and remembers what was promised.
type load struct {
	size   Size
	system System
	fleet  *called.Fleet

	mu       sync.Mutex
	rand     *rand.Rand
	jobs     map[string]*job
	ran      map[string]bool // workflows of which a worker was told to start something
	version  int64           // of the newest configuration that was acknowledged
	breaches []string
}

func newLoad(seed uint64, size Size, system System, fleet *called.Fleet) *load {
	return &load{
		size: size, system: system, fleet: fleet, rand: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // not for secrets
		jobs: make(map[string]*job), ran: make(map[string]bool),
	}
}

func (l *load) breach(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaches = append(l.breaches, fmt.Sprintf(format, args...))
}

// checkedLink notes what is started and finds starts before their turn.
type checkedLink struct {
	pj.WorkerLink
	load *load
}

// Start is part of pj.WorkerLink.
func (c *checkedLink) Start(ctx context.Context, w *pj.CalledWorker, o pj.StartOrder) (int64, error) {
	clock, err := c.WorkerLink.Start(ctx, w, o)
	if err != nil {
		return clock, err
	}
	c.load.mu.Lock()
	c.load.ran[o.Run.Task.Workflow] = true
	c.load.mu.Unlock()
	if o.Run.Task.Step > 0 {
		for i := range firstStepTasks {
			before := pj.TaskID{StepID: pj.StepID{Workflow: o.Run.Task.Workflow}, Index: i}
			if !c.load.fleet.Finished(before) {
				c.load.breach("task %s was started before task %s had finished", o.Run.Task, before)
			}
		}
	}
	return clock, nil
}

// pick returns a random VM's address at a port.
func (l *load) pick(role string, port int) string {
	var list []vm
	for _, v := range l.size.vms() {
		if v.role == role {
			list = append(list, v)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return list[l.rand.IntN(len(list))].at(port)
}

// work returns the route of the load's only queue, and a workflow of two steps for it.
func work(id string) (*pj.Route, *pj.Workflow) {
	task := pj.NewResources(2, 0.5, 0, 0)
	route := &pj.Route{Name: "work", Host: "jobs.example", PathPrefix: "/work/", Pool: pool, MaxAttempts: 3, Stretch: 2, TimeoutMS: callTimeout.Milliseconds()}
	return route, &pj.Workflow{ID: id, Spec: id, Steps: []pj.Step{
		{Tasks: firstStepTasks, Task: task, EstimateMS: taskTime.Milliseconds()},
		{Tasks: 2, Task: task, EstimateMS: taskTime.Milliseconds(), Gang: true, DependsOn: []int{0}},
	}}
}

// rules returns a version of the rules; versions differ in their time limit.
func rules(version int64) *pj.Ruleset {
	route, _ := work("")
	route.TimeoutMS += version
	return &pj.Ruleset{
		Version: version, Routes: []pj.Route{*route}, Pools: []string{pool},
		Teams: []pj.Team{{Workspace: pj.Workspace{Name: "team", Share: 1, Limit: pj.NewResources(1000, 10000, 0, 0)}, Keys: []string{key}}},
	}
}

// submit hands in one job until it is accepted or every answer has refused it.
func (l *load) submit(ctx context.Context, id string, cancel bool) {
	route, w := work(id)
	j := &job{rejected: true}
	l.mu.Lock()
	l.jobs[id] = j
	l.mu.Unlock()
	accepted := false
	for range triesMost {
		err := l.system.Submit(ctx, l.pick(entryRole, frontPort), route, key, w)
		accepted = err == nil
		l.mu.Lock()
		j.accepted = accepted
		j.rejected = j.rejected && err != nil && pj.AsError(err).NotRun
		l.mu.Unlock()
		if accepted {
			break
		}
		time.Sleep(tryAgainAfter)
	}
	if !accepted || !cancel {
		return
	}
	err := l.system.Cancel(ctx, l.pick(entryRole, frontPort), route, key, id)
	unknown := err != nil && pj.AsError(err).Code == pj.CodeUnknownJob
	l.mu.Lock()
	j.cancelled = !unknown // without an answer it may be
	l.mu.Unlock()
	if unknown {
		l.breach("job %s was accepted, and its cancelling was told that there is none", id)
	}
}

// hand hands in jobs until ctx ends and asks for the state of earlier ones.
func (l *load) hand(ctx context.Context) {
	ticker := time.NewTicker(time.Second / time.Duration(l.size.JobsPerSecond))
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		cancel := l.rand.IntN(cancelOneIn) == 0
		earlier := jobID(1 + l.rand.IntN(n))
		l.mu.Unlock()
		go l.submit(context.WithoutCancel(ctx), jobID(n), cancel)
		go l.ask(context.WithoutCancel(ctx), earlier)
	}
}

func jobID(n int) string {
	return fmt.Sprintf("%016x", n)
}

// ask asks for the state of a job: one that was accepted before must be known, and a final state never changes.
func (l *load) ask(ctx context.Context, id string) pj.WorkflowState {
	l.mu.Lock()
	j := l.jobs[id]
	accepted := j != nil && j.accepted
	l.mu.Unlock()
	if j == nil {
		return ""
	}
	route, _ := work(id)
	state, err := l.system.State(ctx, l.pick(entryRole, frontPort), route, key, id)
	if err != nil {
		if accepted && pj.AsError(err).Code == pj.CodeUnknownJob {
			l.breach("job %s was accepted and isn't known any more", id)
		}
		return "" // faults are the point of the run
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if j.state.Final() && state != j.state {
		l.breaches = append(l.breaches, fmt.Sprintf("job %s was %s and is %s", id, j.state, state))
	}
	j.state = state
	return state
}

// configure publishes new versions and reads back what is in force until ctx ends.
func (l *load) configure(ctx context.Context) {
	for version := int64(1); ctx.Err() == nil; version++ {
		for ctx.Err() == nil {
			if err := l.system.Publish(ctx, l.pick(replicaRole, controlPort), rules(version)); err == nil {
				l.mu.Lock()
				l.version = version
				l.mu.Unlock()
				break
			}
			time.Sleep(tryAgainAfter)
		}
		select {
		case <-ctx.Done():
		case <-time.After(configEvery):
			l.readBack(ctx)
		}
	}
}

// readBack reads the version in force; an older one than was acknowledged breaks a promise.
func (l *load) readBack(ctx context.Context) {
	l.mu.Lock()
	acked := l.version
	l.mu.Unlock()
	version, err := l.system.ReadVersion(ctx, l.pick(replicaRole, controlPort))
	if err == nil && version < acked {
		l.breach("version %d was acknowledged, and version %d was read", acked, version)
	}
}

// announce sends a worker's heartbeats until ctx ends; those that are lost are followed by others.
func (l *load) announce(ctx context.Context, w pj.CalledWorker) {
	for ctx.Err() == nil {
		w.Sequence++
		_ = l.system.Announce(ctx, l.pick(replicaRole, controlPort), &w)
		select {
		case <-ctx.Done():
		case <-time.After(announceEvery):
		}
	}
}
