package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	pj "papayajunction"
	"papayajunction/internal/standin/polledworker"
)

// Parameters of the load.
const (
	cancelOneIn       = 12 // on average, one job in this many is cancelled
	heartbeatInterval = 700 * time.Millisecond
	routeTimeout      = 3 * time.Second // request timeout of the ruleset
	retryDelay        = 300 * time.Millisecond
	maxSubmitAttempts = 20
	firstStepTasks    = 3
	apiKey            = "key-1"
	longTaskOneIn     = 16              // on average, the tasks of one job in this many take longTaskTime, if run times vary
	longTaskTime      = 5 * time.Second // most of a lease
)

// job is the state of one job as its caller observes it.
type job struct {
	accepted  bool
	rejected  bool // every response reported that the job was not run and will not run
	cancelled bool // or may be: the cancel call was accepted or its outcome is unknown
	state     pj.WorkflowState
	key       string // of its workspace
}

// load submits jobs, publishes rulesets and sends heartbeats, and checks the responses against what was acknowledged before.
type load struct {
	seed   uint64
	size   Size
	client Client
	fleet  *polledworker.Fleet

	mu           sync.Mutex
	rand         *rand.Rand
	jobs         map[string]*job
	started      map[string]bool // workflows of which a worker has accepted a start
	published    int64           // latest ruleset version that was acknowledged
	publications publications
	blocked      int // jobs that can't start and were accepted
	violations   []string
	submitters   sync.WaitGroup // calls that submit jobs and have not returned

	varied        varied
	largeRulesets bool

	leaving        leaving
	leaveCalls     [leaveFates]int // by what happened to them
	leavesAnswered int

	callerRand      *rand.Rand
	repeated        int // jobs that were submitted again after their acceptance
	repeatedRefused int // of these, refused by an entry that could not tell
	replaced        int // jobs under whose id another one was submitted
}

func newLoad(seed uint64, size Size, client Client, fleet *polledworker.Fleet) *load {
	return &load{
		seed: seed, size: size, client: client, fleet: fleet, rand: rand.New(rand.NewPCG(seed, 2)), callerRand: rand.New(rand.NewPCG(seed, addressStream)), //nolint:gosec // not for secrets
		varied: newVaried(size.workers()),
		jobs:   make(map[string]*job), started: make(map[string]bool), publications: publications{acknowledgedAt: make(map[int64]time.Time)},
	}
}

func (l *load) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// countLeave counts a leave call.
func (l *load) countLeave(fate int, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaveCalls[fate]++
	if answered {
		l.leavesAnswered++
	}
}

// checkingClient records started workflows and checks that no task starts before the step it depends on has finished, and none of another
// job than the first one under its id.
type checkingClient struct {
	pj.WorkerClient
	load *load
}

// Start implements pj.WorkerClient.
func (c *checkingClient) Start(ctx context.Context, w *pj.PolledWorker, r pj.StartRequest) (int64, error) {
	clock, err := c.WorkerClient.Start(ctx, w, r)
	if err != nil {
		return clock, err
	}
	c.load.mu.Lock()
	c.load.started[r.Run.Task.Workflow] = true
	submitted, isVaried := c.load.varied.jobs[r.Run.Task.Workflow]
	c.load.mu.Unlock()
	if !isVaried {
		_, submitted = newWork(r.Run.Task.Workflow)
	}
	if step := r.Run.Task.Step; step >= len(submitted.Steps) || r.Run.Task.Index >= submitted.Steps[step].Tasks || r.Spec != submitted.Spec {
		c.load.recordViolation("task %s with the spec %q was started, which is none of the job that was accepted", r.Run.Task, r.Spec)
	}
	if isVaried {
		c.load.checkVariedStart(w, submitted, r.Run.Task)
		return clock, nil
	}
	if r.Run.Task.Step > 0 {
		for i := range firstStepTasks {
			dependency := pj.TaskID{StepID: pj.StepID{Workflow: r.Run.Task.Workflow}, Index: i}
			if !c.load.fleet.Finished(dependency) {
				c.load.recordViolation("task %s was started before task %s had finished", r.Run.Task, dependency)
			}
		}
	}
	return clock, nil
}

// addresses returns the addresses of the VMs with the given role.
func (l *load) addresses(role string, port int) (list []string) {
	for _, v := range l.size.vms() {
		if v.role == role {
			list = append(list, v.address(port))
		}
	}
	return list
}

// randomAddress returns the address of a random VM with the given role.
func (l *load) randomAddress(role string, port int) string {
	list := l.addresses(role, port)
	l.mu.Lock()
	defer l.mu.Unlock()
	return list[l.rand.IntN(len(list))]
}

// newWork returns the load's only route and a workflow of two steps for it; the second step depends on the first.
func newWork(id string) (*pj.Route, *pj.Workflow) {
	task := pj.NewResources(2, 0.5, 0, 0)
	route := &pj.Route{Name: "work", Host: "jobs.example", PathPrefix: "/work/", Pool: pool, MaxAttempts: 3, Stretch: 2, TimeoutMS: routeTimeout.Milliseconds()}
	return route, &pj.Workflow{ID: id, Spec: id, Steps: []pj.Step{
		{Tasks: firstStepTasks, Task: task, EstimateMS: taskRunTime.Milliseconds()},
		{Tasks: 2, Task: task, EstimateMS: taskRunTime.Milliseconds(), Gang: true, DependsOn: []int{0}},
	}}
}

// variedRunTime returns the run time of a task: some go on for most of a lease, so that they run at the time at which another worker may be
// told to run them.
func variedRunTime(task pj.TaskID) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(task.Workflow))
	if hash.Sum32()%longTaskOneIn == 0 {
		return longTaskTime
	}
	return taskRunTime
}

// newRuleset returns a version of the ruleset. Versions differ in the timeout of the route for jobs, and each has a route and a
// key of its own.
func newRuleset(version int64, large bool) *pj.Ruleset {
	route, _ := newWork("")
	route.TimeoutMS += version
	routes := []pj.Route{*route, versionRoute(version)}
	if large && version%largeRulesetIn == 0 {
		for i := range largeRulesRoutes {
			r := *route
			r.Name, r.PathPrefix = fmt.Sprintf("large-%d-%d", version, i), fmt.Sprintf("/large/%d/%d/", version, i)
			routes = append(routes, r)
		}
	}
	return &pj.Ruleset{
		Version: version, Routes: routes, Pools: []string{pool},
		Workspaces: []pj.KeyedWorkspace{
			{Workspace: pj.Workspace{Name: "team", Share: 1, Limit: pj.NewResources(1000, 10000, 0, 0)}, Keys: []string{apiKey, versionKey(version)}},
			{Workspace: pj.Workspace{Name: blockedWorkspace, Share: 1, Limit: pj.NewResources(blockedCores, 10000, 0, 0)}, Keys: []string{blockedKey}},
			{Workspace: pj.Workspace{Name: variedWorkspace, Share: 1, Limit: pj.NewResources(1000, 10000, 0, 0)}, Keys: []string{variedKey}},
		},
	}
}

// submit submits a job until it is accepted, at most maxSubmitAttempts times, and then does what its caller does with an accepted job.
func (l *load) submit(ctx context.Context, id string, c caller) {
	entry, accepted := l.submitUntilAccepted(ctx, id, &c)
	if !accepted {
		return
	}
	l.afterAcceptance(ctx, id, entry, &c)
	if c.cancels {
		l.cancel(ctx, id)
	}
}

// submitUntilAccepted returns whether a job was accepted, and by which entry. A refusal that isn't because of the state of the cell is never
// true: the rules always permit the job, and no other one has its id.
func (l *load) submitUntilAccepted(ctx context.Context, id string, c *caller) (entry string, accepted bool) {
	route, w := newWork(id)
	j := &job{rejected: true, key: apiKey}
	l.mu.Lock()
	l.jobs[id] = j
	l.mu.Unlock()
	for i := range maxSubmitAttempts {
		entry = l.randomAddress(entryRole, frontPort)
		err := l.attempt(ctx, entry, c, i == 0, route, w)
		notRun, permanent := refused(err)
		l.mu.Lock()
		j.accepted = err == nil
		j.rejected = j.rejected && notRun
		l.mu.Unlock()
		switch {
		case err == nil:
			return entry, true
		case permanent:
			l.recordViolation("job %s was refused in attempt %d: %v", id, i+1, err)
			return "", false
		case notRun && c.heedsRefusal:
			return "", false
		}
		time.Sleep(retryDelay)
	}
	return "", false
}

// cancel cancels an accepted job.
func (l *load) cancel(ctx context.Context, id string) {
	_ = l.cancelJob(ctx, id)
}

// cancelJob is cancel, and reports whether the job is cancelled for certain.
func (l *load) cancelJob(ctx context.Context, id string) bool {
	route, _ := newWork(id)
	l.mu.Lock()
	key := l.jobs[id].key
	l.mu.Unlock()
	err := l.client.Cancel(ctx, l.randomAddress(entryRole, frontPort), route, key, id)
	unknown := err != nil && pj.AsError(err).Code == pj.CodeUnknownJob
	l.mu.Lock()
	l.jobs[id].cancelled = !unknown // after an error the job may have been cancelled
	l.mu.Unlock()
	if unknown {
		l.recordViolation("job %s was accepted, and cancelling it found no such job", id)
	}
	return err == nil || unknown
}

// submitJobs submits jobs at a constant rate until ctx ends, and checks the state of a random earlier one after each.
func (l *load) submitJobs(ctx context.Context) {
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
		c := newCaller(l.seed, n)
		c.cancels = cancel
		l.submitters.Go(func() { l.submit(context.WithoutCancel(ctx), jobID(n), c) })
		go l.checkState(context.WithoutCancel(ctx), earlier)
	}
}

func jobID(n int) string {
	return fmt.Sprintf("%016x", n)
}

// checkState reads the state of a job. A job that was accepted must be found, and a final state must not change.
func (l *load) checkState(ctx context.Context, id string) pj.WorkflowState {
	l.mu.Lock()
	j := l.jobs[id]
	accepted := j != nil && j.accepted
	l.mu.Unlock()
	if j == nil {
		return ""
	}
	route, _ := newWork(id)
	state, err := l.client.State(ctx, l.randomAddress(entryRole, frontPort), route, j.key, id)
	if err != nil {
		if accepted && pj.AsError(err).Code == pj.CodeUnknownJob {
			l.recordViolation("job %s was accepted and is no longer found", id)
		}
		return "" // other errors are expected during faults
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if j.state.Final() && state != j.state {
		l.violations = append(l.violations, fmt.Sprintf("job %s was in final state %s and is now %s", id, j.state, state))
	}
	j.state = state
	return state
}

// publishRulesets publishes new versions of the ruleset until ctx ends, and checks the version in force after each.
func (l *load) publishRulesets(ctx context.Context) {
	for version := int64(1); ctx.Err() == nil; version++ {
		l.mu.Lock()
		l.publications.attempted = version
		pause := min(minPublishInterval+time.Duration(l.rand.ExpFloat64()*float64(meanPublishInterval)), maxPublishInterval)
		l.mu.Unlock()
		for ctx.Err() == nil {
			if err := l.client.Publish(ctx, l.randomAddress(replicaRole, controlPort), newRuleset(version, l.largeRulesets)); err == nil {
				l.mu.Lock()
				l.published = version
				l.publications.acknowledgedAt[version] = time.Now()
				l.mu.Unlock()
				break
			}
			time.Sleep(retryDelay)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
			l.checkPublishedVersion(ctx)
		}
	}
}

// checkPublishedVersion reads the version in force; one that is older than an acknowledged version is a violation.
func (l *load) checkPublishedVersion(ctx context.Context) {
	l.mu.Lock()
	acknowledged := l.published
	l.mu.Unlock()
	version, err := l.client.ReadVersion(ctx, l.randomAddress(replicaRole, controlPort))
	if err == nil && version < acknowledged {
		l.recordViolation("ruleset version %d was acknowledged, and version %d was read", acknowledged, version)
	}
}

// sendHeartbeats announces a worker at a fixed interval until ctx ends. A failed call isn't retried, because the next heartbeat
// replaces it.
func (l *load) sendHeartbeats(ctx context.Context, w pj.PolledWorker) {
	for ; ctx.Err() == nil; waitFor(ctx, heartbeatInterval) {
		if !l.leaving.announces(w.ID) {
			continue
		}
		if incarnation := l.fleet.Incarnation(w.ID); incarnation != w.Incarnation {
			w.Incarnation, w.Sequence = incarnation, 0
		}
		w.Sequence++
		w.Draining = l.leaving.drains(w.ID, w.Incarnation)
		if err := l.client.Announce(ctx, l.randomAddress(replicaRole, controlPort), &w); err == nil {
			l.leaving.acknowledged(&w)
		}
	}
}

// waitFor waits for the given time or until ctx ends.
func waitFor(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
