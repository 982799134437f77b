package runs

import (
	"time"

	pj "papayajunction"
)

// Limits and weights for the progress and speed of runs.
const (
	stallTimeout   = 2500 * time.Millisecond // without progress a run is restarted on another worker; a gang assembles well within it
	stallPercents  = 4                       // a run whose percents take longer is given the time of so many instead
	minSpeedSample = 600 * time.Millisecond  // a run younger than this is no sample of its worker's speed
	slowWeight     = 0.15                    // weight of one run in the moving average of a worker's slowness
	slowThreshold  = 2.5                     // multiple of the mean run time from which a worker counts as slow; tasks themselves vary up to this
	slowPenalty    = 1.0                     // added to a slow worker's score
	stallBackoff   = 2 * time.Second         // a worker with a stalled run receives no new task for this long, which may be the only one that can run it
	maxStalls      = 10                      // stalled runs of a task after which its next runs get no more time
)

// checkProgress stops a run without progress, and updates the slowness of its worker.
func (c *Controller) checkProgress(now time.Duration, v *run, status *pj.RunStatus) {
	if status.Progress != v.progress {
		v.progress = status.Progress
		v.progressedAt = now
	}
	if v.taskSet.spec.LongRunning || v.stopReason != "" || v.ending || status.Progress >= 100 {
		return
	}
	if now >= v.progressedAt+c.stallTimeout(v) {
		v.worker.unhealthyUntil = max(v.worker.unhealthyUntil, now+stallBackoff)
		v.taskSet.recordStall(v.id.Task.Index)
		c.stop(v, "the run makes no progress")
		return
	}
	c.recordSpeed(now, v, status)
}

// stallTimeout returns how long a run may stay at one percent, by the expected run time of its task, the caller's estimate and its own pace
// so far. Each stalled run of a task doubles the time, as the task may be slower than all that is known of it.
func (c *Controller) stallTimeout(v *run) time.Duration {
	estimate := time.Duration(v.taskSet.spec.EstimateMS) * time.Millisecond
	percent := max(c.expectedRunTime(v.taskSet), estimate) / 100
	if v.progress > 0 {
		percent = max(percent, (v.progressedAt-v.startedAt)/time.Duration(v.progress))
	}
	return max(stallTimeout<<v.taskSet.stallsOf(v.id.Task.Index), stallPercents*percent)
}

// recordStall counts a stalled run of a task. The members of a gang count together, as they stall together.
func (ts *taskSet) recordStall(index int) {
	if ts.spec.Gang {
		index = 0
	}
	if ts.stalls == nil {
		ts.stalls = make(map[int]int)
	}
	ts.stalls[index] = min(ts.stalls[index]+1, maxStalls)
}

func (ts *taskSet) stallsOf(index int) int {
	if ts.spec.Gang {
		index = 0
	}
	return ts.stalls[index]
}

// recordSpeed updates the worker's slowness from a run in progress. Runs with a checkpoint are skipped, because their
// percentage includes the work of earlier runs.
func (c *Controller) recordSpeed(now time.Duration, v *run, status *pj.RunStatus) {
	mean := c.durations[v.taskSet.record.Workflow.Queue]
	ran := now - v.startedAt
	if mean <= 0 || v.taskSet.spec.Gang || status.Checkpoint != "" || status.Progress <= 0 || ran < minSpeedSample {
		return
	}
	total := time.Duration(float64(ran) * 100 / float64(status.Progress))
	v.worker.updateSlowness(float64(total) / float64(mean))
}

// updateSlowness adds a sample: the time of a run as a multiple of the mean run time of its queue.
func (w *worker) updateSlowness(ratio float64) {
	if w.slowness == 0 {
		w.slowness = 1
	}
	w.slowness += slowWeight * (ratio - w.slowness)
}

// slow reports whether the worker's recent runs took far longer than the mean of their queues.
func (w *worker) slow() bool {
	return w.slowness >= slowThreshold
}
