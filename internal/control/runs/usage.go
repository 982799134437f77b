package runs

import (
	"math"
	"time"

	pj "papayajunction"
)

// peakHalfLife is the half-life of the decaying peak of a workspace's usage.
const peakHalfLife = 4 * time.Second

// usageTracker tracks the usage of each workspace by priority, and its decaying peak. Less urgent work leaves the unused
// part of that peak free within the workspace's upper limit, so that urgent work needn't wait until less urgent work ends.
type usageTracker struct {
	byWorkspace map[string]map[int]*priorityUsage
}

type priorityUsage struct {
	usage  pj.Resources
	peak   pj.Resources // as of peakAt
	peakAt time.Duration
}

func newUsageTracker() *usageTracker {
	return &usageTracker{byWorkspace: make(map[string]map[int]*priorityUsage)}
}

// add adds the amount of a started run, or a negative amount for an ended one.
func (u *usageTracker) add(now time.Duration, workspace string, priority int, amount pj.Resources) {
	levels := u.byWorkspace[workspace]
	if levels == nil {
		levels = make(map[int]*priorityUsage)
		u.byWorkspace[workspace] = levels
	}
	l := levels[priority]
	if l == nil {
		l = &priorityUsage{}
		levels[priority] = l
	}
	l.peak = l.peakNow(now)
	l.peakAt = now
	l.usage = l.usage.Add(amount)
	l.peak = l.peak.Max(l.usage)
}

func (l *priorityUsage) peakNow(now time.Duration) pj.Resources {
	decay := math.Exp2(-float64(now-l.peakAt) / float64(peakHalfLife))
	var peak pj.Resources
	for i := range peak {
		peak[i] = int64(float64(l.peak[i]) * decay)
	}
	return peak.Max(l.usage)
}

// headroom returns the amount that work of a priority must leave free for more urgent work of its workspace.
func (u *usageTracker) headroom(now time.Duration, workspace string, priority int) pj.Resources {
	var free pj.Resources
	for p, l := range u.byWorkspace[workspace] {
		if p < priority {
			free = free.Add(l.peakNow(now).Sub(l.usage))
		}
	}
	return free
}
