// Package soak disturbs a cell of real processes and checks what callers, workers and operators see of it.
//
// It starts and signals nothing itself: it prints instructions, which a script carries out by process id.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a sort of fault.
type Kind string

// The faults. The first four are instructions to the script, the others are done by the forwarders.
const (
	Kill    Kind = "kill"    // SIGKILL, then a start with the same disk
	Wipe    Kind = "wipe"    // SIGKILL, then a start with an empty disk
	Restart Kind = "restart" // SIGTERM, then a start
	Pause   Kind = "pause"   // SIGSTOP, then SIGCONT
	Cut     Kind = "cut"     // calls to the VM are refused and its connections reset
	Silence Kind = "silence" // calls to the VM reach nobody and nothing answers
	Delay   Kind = "delay"   // everything to the VM and back takes longer
	Reset   Kind = "reset"   // connections to the VM are reset once
	Hush    Kind = "hush"    // a worker leaves all calls unanswered
)

// Fault is one disturbance.
type Fault struct {
	At  time.Duration
	For time.Duration
	On  string // a VM, or a worker for Hush
	Kind
}

// String returns what logs and instructions say of it.
func (f Fault) String() string {
	return fmt.Sprintf("at=%s for=%s kind=%s on=%s", f.At, f.For, f.Kind, f.On)
}

// Bounds of a plan.
const (
	calmBefore  = 4 * time.Second        // until the first fault
	calmAfter   = 6 * time.Second        // after the last one; traffic ends with the faults
	longestStop = 3 * time.Second        // of one fault
	shortest    = 300 * time.Millisecond // of one fault
	catchUp     = 5 * time.Second        // after which a replica that was lost counts as sound again; of it, a restart uses the time that the VM has to end
	entryGap    = 700 * time.Millisecond // mean time between two faults that may overlap
)

// Plan draws the faults of a run. Replicas are disturbed one at a time, as a system of three must bear; faults of entries,
// workers and links of entries overlap with them and with each other.
func Plan(seed uint64, span time.Duration, replicas, entries, workers []string) []Fault {
	r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // not for secrets
	var plan []Fault
	add := func(at time.Duration, on []string, kinds ...Kind) Fault {
		f := Fault{At: at, For: shortest + time.Duration(r.Int64N(int64(longestStop-shortest))), On: on[r.IntN(len(on))], Kind: kinds[r.IntN(len(kinds))]}
		plan = append(plan, f)
		return f
	}
	end := span - calmAfter
	for at := calmBefore; at < end; {
		f := add(at, replicas, Kill, Kill, Wipe, Restart, Pause, Cut, Silence, Delay, Reset)
		at += f.For + catchUp + time.Duration(r.Int64N(int64(2*time.Second)))
	}
	for at := calmBefore; at < end; at += time.Duration(r.ExpFloat64() * float64(entryGap)) {
		if r.IntN(2) == 0 {
			add(at, workers, Hush)
			continue
		}
		add(at, entries, Kill, Restart, Pause, Cut, Silence, Delay, Reset)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}
