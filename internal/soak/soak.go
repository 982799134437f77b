package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/runs"
	"papayajunction/internal/standin/polledworker"
)

// Options configure a run.
type Options struct {
	Seed              uint64
	Size              Size
	Duration          time.Duration // from the start of the run to the wait for accepted jobs
	CompletionTimeout time.Duration // maximum wait for accepted jobs to end after Duration; 0 for no limit
	Client            Client
	NewWorker         NewWorker
	WorkerRestarts    bool // workers also restart under their ids
	WorkerLeaves      bool // workers also drain and leave
	OutlivingCalls    bool // connections and calls may outlive restarts of workers
	LateStarts        bool // late starts may be carried out by a later incarnation than they were sent to
	// Rolling restarts of the leader and the entries take the place of the faults of VMs, beside callers that use open connections.
	Rolls     bool
	Varied    bool                                          // a workspace submits work of unlike shapes, more than the state budget allows; one version of the ruleset in some is large
	NewClient func(http.RoundTripper, time.Duration) Client // returns a client that uses a transport, with a timeout for each call
}

// Run injects the faults of a seed's plan into the cell. It writes the instructions for the script to instructions and its log
// to out, and returns the guarantees that were violated.
func Run(ctx context.Context, o Options, instructions, out io.Writer) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	workers := o.Size.workers()
	fleet := polledworker.New(workers, taskRunTime)
	l := newLoad(o.Seed, o.Size, o.Client, fleet)
	l.largeRulesets = o.Varied
	fleet.LimitLeases(runs.DefaultLease)
	if o.OutlivingCalls || o.WorkerLeaves {
		fleet.VaryRunTimes(variedRunTime)
	}
	var late *lateCalls
	if o.OutlivingCalls {
		late = newLateCalls(o.Seed, o.LateStarts)
		fleet.CountMisread()
		late.setClocks(fleet, workers)
	}
	servers := newWorkerServers(l, o.NewWorker, o.Seed, late)
	for _, w := range workers {
		if err := servers.serve(ctx, w.ID, w.Address); err != nil {
			return nil, err
		}
	}
	proxies := make(map[string]*faultProxy)
	for _, v := range o.Size.vms() {
		p, err := newFaultProxy(ctx, v.address(proxyPort), v.address(peerPort))
		if err != nil {
			return nil, err
		}
		proxies[v.name] = p
	}
	_, _ = fmt.Fprintln(instructions, "start all")
	var workerIDs []string
	for _, w := range workers {
		workerIDs = append(workerIDs, w.ID)
		go l.sendHeartbeats(ctx, w)
	}
	go l.publishRulesets(ctx)
	l.submitBlocked(ctx)
	for i, v := range o.Size.vms() {
		if v.role == entryRole {
			go l.probeRules(ctx, v, o.Seed+uint64(i))
		}
	}
	loadCtx, stopLoad := context.WithTimeout(ctx, o.Duration-coolDown)
	defer stopLoad()
	submitting := make(chan struct{})
	go func() {
		defer close(submitting)
		l.submitJobs(loadCtx)
	}()

	l.watchMemory(ctx)
	finishOpenCallers := o.startFurtherLoad(loadCtx, l)
	plan := o.plan(workerIDs)
	started := time.Now()
	var faults sync.WaitGroup
	for _, f := range plan {
		time.Sleep(time.Until(started.Add(f.At)))
		_, _ = fmt.Fprintln(out, "fault", f)
		faults.Add(1)
		go func() {
			defer faults.Done()
			injectFault(ctx, f, o.stopTimeout(), l, servers, proxies, instructions)
		}()
	}
	faults.Wait()
	<-submitting
	finishOpenCallers(out)
	l.cancelVaried(ctx, o.CompletionTimeout)
	l.awaitJobs(ctx, o.CompletionTimeout, out)
	l.checkUse()
	if late != nil {
		misread := fleet.Misread()
		held, refused := late.counts()
		_, _ = fmt.Fprintf(out, "late_calls=%d late_refused=%d long_leases=%d unknown_acks=%d\n", held, refused, misread.LongLeases, misread.UnknownAcks)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(out, "varied accepted=%d refused=%d peak_mb=%.0f\n", l.varied.accepted, l.varied.refused, l.varied.peak/(1<<20))
	if o.WorkerLeaves {
		_, _ = fmt.Fprintf(out, "leave_calls lost=%d late=%d unanswered=%d answered=%d\n", l.leaveCalls[leaveLost], l.leaveCalls[leaveLate], l.leaveCalls[leaveUnanswered], l.leavesAnswered)
	}
	return slices.Concat(l.violations, fleet.Violations()), nil
}

// startFurtherLoad starts the kinds of load that the options choose, until ctx ends. The function that it returns waits for open callers.
func (o *Options) startFurtherLoad(ctx context.Context, l *load) (finishOpenCallers func(io.Writer)) {
	if o.Varied {
		l.submitVaried(ctx)
	}
	if o.Rolls {
		return l.startOpenCallers(ctx, o.NewClient)
	}
	return func(io.Writer) {}
}

// plan returns the faults of the run in the order of their starts.
func (o *Options) plan(workers []string) []Fault {
	replicas := o.Size.vmNames(replicaRole)
	plan := Plan(o.Seed, o.Duration, replicas, o.Size.vmNames(entryRole), workers)
	if o.Rolls {
		plan = PlanRolls(o.Seed, o.Duration, o.Size.vmNames(entryRole))
	}
	replicaFaults := slices.DeleteFunc(slices.Clone(plan), func(f Fault) bool { return f.Target != leaderTarget && !slices.Contains(replicas, f.Target) })
	if o.WorkerRestarts {
		plan = append(plan, PlanRestarts(o.Seed, o.Duration, workers)...)
	}
	if o.WorkerLeaves {
		plan = append(plan, PlanLeaves(o.Seed, o.Duration, workers)...)
	}
	if o.OutlivingCalls {
		plan = append(plan, PlanOutlive(o.Seed, o.Duration, replicaFaults, workers)...)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// grace returns the grace period of the VMs' settings.
func grace(rolls bool) time.Duration {
	if rolls {
		return rollGrace
	}
	return defaultGrace
}

// Times of a stop.
const (
	defaultGrace = 3 * time.Second
	stopSlack    = 200 * time.Millisecond // after the grace period, before the script kills a process that still runs
)

// stopTimeout returns how long a VM has to exit after SIGTERM. In rolling restarts it is no longer than the VM is told.
func (o *Options) stopTimeout() time.Duration {
	if o.Rolls {
		return rollGrace
	}
	return defaultGrace + stopSlack
}

var instructionMu sync.Mutex // keeps the lines of concurrent instructions apart

// injectFault starts a fault, waits for its duration and ends it.
func injectFault(ctx context.Context, f Fault, stopTimeout time.Duration, l *load, servers *workerServers, proxies map[string]*faultProxy, instructions io.Writer) {
	instruct := func(verb string) {
		instructionMu.Lock()
		defer instructionMu.Unlock()
		_, _ = fmt.Fprintln(instructions, verb, f.Target)
	}
	switch f.Kind {
	case WorkerUnresponsive:
		end := servers.silence(f.Target)
		time.Sleep(f.Duration)
		end()
	case WorkerRestart:
		end := servers.silence(f.Target)
		time.Sleep(f.Duration)
		if err := servers.restart(ctx, f.Target); err != nil {
			l.recordViolation("worker %s can't restart: %v", f.Target, err)
		}
		end()
	case WorkerLeave:
		if err := servers.leave(ctx, f); err != nil {
			l.recordViolation("worker %s can't restart: %v", f.Target, err)
		}
	case WorkerLate:
		end := servers.late.begin(f.Target)
		time.Sleep(f.Duration)
		end()
	case Refuse, Blackhole, Delay, Reset:
		proxies[f.Target].setFault(f.Kind)
		time.Sleep(f.Duration)
		proxies[f.Target].setFault("")
	case Pause:
		instruct("STOP")
		time.Sleep(f.Duration)
		instruct("CONT")
	case Kill, Wipe, Restart:
		signal := map[Kind]string{Kill: "KILL", Wipe: "KILL", Restart: "TERM"}[f.Kind]
		instruct(signal)
		if f.Kind == Restart {
			time.Sleep(stopTimeout) // the start instruction kills a process that still runs
		}
		time.Sleep(f.Duration)
		if f.Kind == Wipe {
			instruct("wipe")
		}
		instruct("start")
	}
}

// awaitJobs waits until every accepted job is in a final state or the timeout is over, and records violations of all jobs.
// With a timeout of 0 it waits without limit.
func (l *load) awaitJobs(ctx context.Context, timeout time.Duration, out io.Writer) {
	l.submitters.Wait() // a job that is accepted late must end, too
	start := time.Now()
	unfinished := l.unfinishedJobs(ctx)
	for len(unfinished) > 0 && (timeout == 0 || time.Since(start) < timeout) {
		time.Sleep(retryDelay)
		unfinished = l.unfinishedJobs(ctx)
	}
	for _, id := range unfinished {
		l.recordViolation("job %s was accepted and has no final state at the end", id)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted, cancelled, rejected := 0, 0, 0
	for id, j := range l.jobs {
		switch {
		case j.accepted && j.cancelled:
			cancelled++
		case j.accepted:
			accepted++
			if j.state == pj.WorkflowCancelled || j.state == pj.WorkflowFailed {
				l.violations = append(l.violations, fmt.Sprintf("job %s is %s without having been cancelled", id, j.state))
			}
		case j.rejected:
			rejected++
			if l.started[id] {
				l.violations = append(l.violations, fmt.Sprintf("job %s was rejected by every response, and a worker started it", id))
			}
		}
	}
	_, _ = fmt.Fprintf(out, "jobs=%d accepted=%d cancelled=%d rejected=%d repeated=%d repeated_refused=%d replaced=%d blocked=%d tasks=%d config=%d\n", len(l.jobs), accepted, cancelled, rejected,
		l.repeated, l.repeatedRefused, l.replaced, l.blocked, l.fleet.FinishedTasks(), l.published)
}

// checkUse records a violation if no ruleset or no job was accepted during the whole run: the plan leaves a quorum of replicas, and the other
// checks have seen nothing.
func (l *load) checkUse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted := slices.ContainsFunc(slices.Collect(maps.Values(l.jobs)), func(j *job) bool { return j.accepted })
	if l.published == 0 || !accepted {
		l.violations = append(l.violations, fmt.Sprintf("nothing was accepted: latest ruleset %d, any job %t", l.published, accepted))
	}
}

// unfinishedJobs reads the state of the accepted jobs and returns those without a final state.
func (l *load) unfinishedJobs(ctx context.Context) (unfinished []string) {
	l.mu.Lock()
	ids := slices.Sorted(maps.Keys(l.jobs))
	l.mu.Unlock()
	for _, id := range ids {
		l.mu.Lock()
		j := *l.jobs[id]
		l.mu.Unlock()
		if j.accepted && !j.state.Final() && !l.checkState(ctx, id).Final() {
			unfinished = append(unfinished, id)
		}
	}
	return unfinished
}
