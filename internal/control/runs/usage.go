package runs

import (
	"math"
	"time"

	pj "papayajunction"
)

// demandHalfLife is the half-life of the decaying peak of a workspace's use.
const demandHalfLife = 4 * time.Second

// demand tracks the use of each workspace by priority, and its decaying peak. Less urgent work leaves the unused part of
// that peak free within the workspace's upper limit, so that urgent work needn't wait until less urgent work ends.
type demand struct {
	byWorkspace map[string]map[int]*level
}

type level struct {
	use    pj.Resources
	peak   pj.Resources // as of peakAt
	peakAt time.Duration
}

func newDemand() *demand {
	return &demand{byWorkspace: make(map[string]map[int]*level)}
}

// add adds the amount of a started run, or a negative amount for an ended one.
func (d *demand) add(now time.Duration, workspace string, priority int, amount pj.Resources) {
	levels := d.byWorkspace[workspace]
	if levels == nil {
		levels = make(map[int]*level)
		d.byWorkspace[workspace] = levels
	}
	l := levels[priority]
	if l == nil {
		l = &level{}
		levels[priority] = l
	}
	l.peak = l.peakNow(now)
	l.peakAt = now
	l.use = l.use.Add(amount)
	l.peak = l.peak.Max(l.use)
}

func (l *level) peakNow(now time.Duration) pj.Resources {
	decay := math.Exp2(-float64(now-l.peakAt) / float64(demandHalfLife))
	var peak pj.Resources
	for i := range peak {
		peak[i] = int64(float64(l.peak[i]) * decay)
	}
	return peak.Max(l.use)
}

// headroom returns the amount that work of a priority must leave free for more urgent work of its workspace.
func (d *demand) headroom(now time.Duration, workspace string, priority int) pj.Resources {
	var free pj.Resources
	for p, l := range d.byWorkspace[workspace] {
		if p < priority {
			free = free.Add(l.peakNow(now).Sub(l.use))
		}
	}
	return free
}
