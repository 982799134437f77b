// Package soak injects faults into a cell of real processes and checks the guarantees to callers, workers and operators.
//
// It starts and signals no process itself: it prints instructions, which a script carries out by process id.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of fault. The script carries out the first four, the proxies those from Refuse to Reset, the stand-in workers the others.
const (
	Kill               Kind = "kill"    // SIGKILL, then a start with the same disk
	Wipe               Kind = "wipe"    // SIGKILL, then a start with an empty disk
	Restart            Kind = "restart" // SIGTERM, then a start
	Pause              Kind = "pause"   // SIGSTOP, then SIGCONT
	Refuse             Kind = "cut"     // new connections to the VM and existing ones are closed
	Blackhole          Kind = "silence" // data to and from the VM is dropped; connections stay open until the fault ends
	Delay              Kind = "delay"   // data to and from the VM is delayed
	Reset              Kind = "reset"   // existing connections to the VM are closed once
	WorkerUnresponsive Kind = "hush"    // a worker responds to no requests
	WorkerRestart      Kind = "reborn"  // a worker responds to no requests, then restarts under its id, with another clock
	WorkerLeave        Kind = "leave"   // a worker drains and leaves, then restarts under its id; some of its leave calls or their answers are lost or late
	WorkerLate         Kind = "late"    // a share of the calls to a worker gets no answer and is carried out later, whatever happens to the worker meanwhile
)

// Fault is one fault of a plan. At is its start, from the start of the run.
type Fault struct {
	At       time.Duration
	Duration time.Duration
	Target   string // name of a VM, or id of a worker for the kinds of fault of workers
	Kind
}

// String formats the fault for the log.
func (f Fault) String() string {
	return fmt.Sprintf("at=%s for=%s kind=%s on=%s", f.At, f.Duration, f.Kind, f.Target)
}

// Times of a plan.
const (
	warmUp       = 4 * time.Second // before the first fault
	coolDown     = 6 * time.Second // end of the run, in which no fault starts and no job is submitted
	maxFaultTime = 3 * time.Second
	minFaultTime = 300 * time.Millisecond
	// recoveryTime is the minimum time from the end of a replica's fault to the next fault of a replica; after it the replica
	// counts as caught up. A Restart ends stopTimeout after its
	// Duration, so its VM has that much less of this time.
	recoveryTime      = 5 * time.Second
	meanFaultInterval = 700 * time.Millisecond // of faults that may overlap

	meanRestartInterval = 1200 * time.Millisecond // of workers
	restartStream       = 6                       // of the random numbers for restarts of workers

	outliveStream     = 9                      // of the random numbers for calls that outlive their addressee
	outliveInterval   = 7 * time.Second        // mean interval between a worker's faults of this kind
	minOutliveSpacing = 300 * time.Millisecond // between such faults in a large cell
	minLateTime       = time.Second
	maxLateTime       = 4 * time.Second
	maxCrashDelay     = 3 * time.Second       // from the start of late calls to the crash
	minRebirthTime    = 50 * time.Millisecond // from the crash to the restart
	maxRebirthTime    = 800 * time.Millisecond
	crashesWithFault  = 4               // with each fault of a replica, one worker in this many restarts shortly before and is cut off afterwards
	maxCutDelay       = 2 * time.Second // from a replica's fault until these workers are cut off
	minCutTime        = 7 * time.Second // longer than a lease
	maxCutTime        = 9 * time.Second
)

// Plan draws the faults of a run from a seed. Replicas fail one at a time, which a group of three must tolerate; faults of
// entries, of their connections and of workers overlap with these and with each other.
func Plan(seed uint64, duration time.Duration, replicas, entries, workers []string) []Fault {
	r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // not for secrets
	var plan []Fault
	add := func(at time.Duration, targets []string, kinds ...Kind) Fault {
		f := Fault{At: at, Duration: minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime-minFaultTime))), Target: targets[r.IntN(len(targets))], Kind: kinds[r.IntN(len(kinds))]}
		plan = append(plan, f)
		return f
	}
	end := duration - coolDown
	for at := warmUp; at < end; {
		f := add(at, replicas, Kill, Kill, Wipe, Restart, Pause, Refuse, Blackhole, Delay, Reset)
		at += f.Duration + recoveryTime + time.Duration(r.Int64N(int64(2*time.Second)))
	}
	for at := warmUp; at < end; at += time.Duration(r.ExpFloat64() * float64(meanFaultInterval)) {
		if r.IntN(2) == 0 {
			add(at, workers, WorkerUnresponsive)
			continue
		}
		add(at, entries, Kill, Restart, Pause, Refuse, Blackhole, Delay, Reset)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// PlanRestarts draws restarts of workers under their ids, which are added to the faults of Plan. They have random numbers of their own, so that
// the plan of a seed is the same with and without them.
func PlanRestarts(seed uint64, duration time.Duration, workers []string) []Fault {
	r := rand.New(rand.NewPCG(seed, restartStream)) //nolint:gosec // not for secrets
	var plan []Fault
	for at := warmUp; at < duration-coolDown; at += time.Duration(r.ExpFloat64() * float64(meanRestartInterval)) {
		plan = append(plan, Fault{At: at, Duration: minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime-minFaultTime))), Target: workers[r.IntN(len(workers))], Kind: WorkerRestart})
	}
	return plan
}

// PlanOutlive draws faults in which calls to a worker outlive it: some calls are carried out late, and the worker restarts meanwhile. Around
// each fault of a replica, which may be the leader, several workers restart and are cut off afterwards for longer than a lease. These faults have
// random numbers of their own, like those of PlanRestarts.
func PlanOutlive(seed uint64, duration time.Duration, replicaFaults []Fault, workers []string) []Fault {
	r := rand.New(rand.NewPCG(seed, outliveStream)) //nolint:gosec // not for secrets
	upTo := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
	var plan []Fault
	crash := func(at time.Duration, worker string) {
		plan = append(plan,
			Fault{At: max(at-upTo(maxCrashDelay), 0), Duration: minLateTime + upTo(maxLateTime-minLateTime), Target: worker, Kind: WorkerLate},
			Fault{At: at, Duration: minRebirthTime + upTo(maxRebirthTime-minRebirthTime), Target: worker, Kind: WorkerRestart},
		)
	}
	interval := max(outliveInterval/time.Duration(len(workers)), minOutliveSpacing)
	for at := warmUp; at < duration-coolDown; at += time.Duration(r.ExpFloat64() * float64(interval)) {
		crash(at, workers[r.IntN(len(workers))])
	}
	for _, f := range replicaFaults {
		for _, i := range r.Perm(len(workers))[:len(workers)/crashesWithFault] {
			crash(f.At-upTo(maxCrashDelay), workers[i])
			plan = append(plan, Fault{At: f.At + upTo(maxCutDelay), Duration: minCutTime + upTo(maxCutTime-minCutTime), Target: workers[i], Kind: WorkerUnresponsive})
		}
	}
	return plan
}
