package runs

import (
	"time"

	pj "papayajunction"
)

// durationWeight is the weight of one run in the moving average of its queue's run time.
const durationWeight = 0.05

// deadlineFactor is the multiple of its objective after which the result of a workflow is of no use to the caller.
const deadlineFactor = 3

// durations holds the moving average of the run time of each queue's tasks, because callers' estimates are far off.
type durations map[string]time.Duration

func (d durations) observe(queue string, ran time.Duration) {
	mean, ok := d[queue]
	if !ok {
		d[queue] = ran
		return
	}
	d[queue] = mean + time.Duration(durationWeight*float64(ran-mean))
}

// criticalPath returns how long the longest chain of dependent steps takes that starts with step from, or with any step if from is -1.
func (d durations) criticalPath(w *pj.Workflow, from int) time.Duration {
	mean, observed := d[w.Queue]
	paths := make([]time.Duration, len(w.Steps))
	longest := time.Duration(0)
	for i := len(w.Steps) - 1; i >= 0; i-- {
		estimate := mean
		if !observed {
			estimate = time.Duration(w.Steps[i].EstimateMS) * time.Millisecond
		}
		paths[i] += estimate
		for _, dependency := range w.Steps[i].DependsOn {
			paths[dependency] = max(paths[dependency], paths[i])
		}
		longest = max(longest, paths[i])
	}
	if from >= 0 {
		return paths[from]
	}
	return longest
}

// objective returns how long after its acceptance a workflow should be complete.
func (d durations) objective(w *pj.Workflow) time.Duration {
	return time.Duration(w.ObjectiveMS)*time.Millisecond + time.Duration(w.Stretch*float64(d.criticalPath(w, -1)))
}

// lateness returns 0 if the workflow can still meet its objective, 1 if it can still meet its deadline, else 2.
func (ts *taskSet) lateness(now time.Duration) int {
	switch end := now + ts.remaining; {
	case end <= ts.objectiveAt:
		return 0
	case end <= ts.deadline:
		return 1
	}
	return 2
}
