package runs

import (
	"time"

	pj "papayajunction"
)

// Bounds of judging how fast runs get on.
const (
	stuckAfter = 2500 * time.Millisecond // without progress a run is started anew elsewhere; gangs gather well within it
	judgeAfter = 600 * time.Millisecond  // a younger run says nothing of its worker's speed
	slowWeight = 0.15                    // of one run in what is learned of a worker's speed
	slowFrom   = 2.5                     // times the usual run time from which a worker counts as slow; tasks themselves vary up to this
	slowScore  = 1.0                     // added to a slow worker's place in the choice
	stuckRest  = 3 * time.Second         // for which a worker with a stuck run gets no new task
)

// watchProgress stops a run that stands still, and learns how fast its worker is.
func (c *Controller) watchProgress(now time.Duration, v *run, row *pj.RunningRow) {
	if row.Progress != v.progress {
		v.progress = row.Progress
		v.movedAt = now
	}
	if v.unit.spec.LongRunning || v.stopping != "" || v.ending || row.Progress >= 100 {
		return
	}
	if now >= v.movedAt+stuckAfter {
		v.worker.unhealthy = max(v.worker.unhealthy, now+stuckRest)
		c.stop(v, "it makes no progress")
		return
	}
	c.judgeSpeed(now, v, row)
}

// judgeSpeed learns the worker's speed from a run. Runs that go on from a checkpoint say nothing, because the percent
// doesn't tell when they began.
func (c *Controller) judgeSpeed(now time.Duration, v *run, row *pj.RunningRow) {
	usual := c.durations[v.unit.record.Workflow.Queue]
	ran := now - v.startedAt
	if usual <= 0 || v.unit.spec.Gang || row.Saved != "" || row.Progress <= 0 || ran < judgeAfter {
		return
	}
	total := time.Duration(float64(ran) * 100 / float64(row.Progress))
	v.worker.learnSpeed(float64(total) / float64(usual))
}

// learnSpeed takes in how many usual run times a run takes on the worker.
func (w *worker) learnSpeed(ratio float64) {
	if w.slowness == 0 {
		w.slowness = 1
	}
	w.slowness += slowWeight * (ratio - w.slowness)
}

// slow reports whether the worker's runs have lately taken far longer than usual.
func (w *worker) slow() bool {
	return w.slowness >= slowFrom
}
