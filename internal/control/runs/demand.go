package runs

import (
	"math"
	"time"

	pj "papayajunction"
)

// demandHalfLife is the time in which a past peak of a workspace's use counts half.
const demandHalfLife = 4 * time.Second

// demand remembers what each workspace uses by priority, and how much that lately was at its peak. Less urgent
// work leaves that peak free within the workspace's upper limit, so that urgent work needn't wait for it to end.
type demand struct {
	spaces map[string]map[int]*level
}

type level struct {
	use    pj.Resources
	peak   pj.Resources // when it was last raised or lowered
	peakAt time.Duration
}

func newDemand() *demand {
	return &demand{spaces: make(map[string]map[int]*level)}
}

// add counts what starts, or with a negative amount what ends.
func (d *demand) add(now time.Duration, workspace string, priority int, amount pj.Resources) {
	levels := d.spaces[workspace]
	if levels == nil {
		levels = make(map[int]*level)
		d.spaces[workspace] = levels
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
	part := math.Exp2(-float64(now-l.peakAt) / float64(demandHalfLife))
	var peak pj.Resources
	for i := range peak {
		peak[i] = int64(float64(l.peak[i]) * part)
	}
	return peak.Max(l.use)
}

// headroom returns what work of a priority leaves free for more urgent work of its workspace.
func (d *demand) headroom(now time.Duration, workspace string, priority int) pj.Resources {
	var free pj.Resources
	for p, l := range d.spaces[workspace] {
		if p < priority {
			free = free.Add(l.peakNow(now).Sub(l.use))
		}
	}
	return free
}
