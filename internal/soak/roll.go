package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of rolling restarts. A round stops every entry, and beside them the replica that leads.
const (
	rollStream      = 11                     // of the random numbers for rolling restarts
	rollGrace       = 6 * time.Second        // grace period of the VMs, at whose end the script kills one that still runs
	rollSpread      = 200 * time.Millisecond // in which the entries of a round are stopped
	leaderStopLead  = 600 * time.Millisecond // shortest time from the stop of the leader to that of the entries, if it is the first
	leaderStopRange = 200 * time.Millisecond
	lateRoundOneIn  = 3                       // on average, the leader is stopped or killed while the entries answer their last requests
	lateStopStart   = 3500 * time.Millisecond // after the entries
	lateStopEnd     = rollGrace
	rollPause       = 2 * time.Second // from the restart of a round's last VM to the next round; the replica catches up meanwhile
)

// leaderTarget is the target of faults of the replica that leads at the time of the fault; the script finds it.
const leaderTarget = "leader"

// PlanRolls draws rolling restarts, which take the place of the faults of Plan: entries that stop while the lead moves, at any point of their stop.
func PlanRolls(seed uint64, duration time.Duration, entries []string) []Fault {
	r := rand.New(rand.NewPCG(seed, rollStream)) //nolint:gosec // not for secrets
	upTo := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
	var plan []Fault
	for at := warmUp + leaderStopLead + leaderStopRange; at < duration-coolDown; {
		leader := Fault{At: at - leaderStopLead - upTo(leaderStopRange), Target: leaderTarget, Kind: Restart}
		if r.IntN(lateRoundOneIn) == 0 {
			leader.At = at + lateStopStart + upTo(lateStopEnd-lateStopStart)
			leader.Kind = []Kind{Restart, Kill}[r.IntN(2)]
		}
		plan = append(plan, leader)
		for _, entry := range entries {
			plan = append(plan, Fault{At: at + upTo(rollSpread), Target: entry, Kind: Restart})
		}
		at = max(at+rollSpread, leader.At) + rollGrace + rollPause + leaderStopLead + leaderStopRange + upTo(time.Second)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}
