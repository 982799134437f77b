package runs

import (
	"time"

	pj "papayajunction"
)

// durationWeight is the weight of one run in what is learned of a queue.
const durationWeight = 0.05

// lateFactor is how many times its objective a workflow may take until it is of no use to its caller.
const lateFactor = 3

// durations learns how long the tasks of each queue run, because what callers say of it is far off.
type durations map[string]time.Duration

func (d durations) observe(queue string, ran time.Duration) {
	held, ok := d[queue]
	if !ok {
		d[queue] = ran
		return
	}
	d[queue] = held + time.Duration(durationWeight*float64(ran-held))
}

// chain returns how long the longest chain of steps takes that begins with the given step, or with any if it is -1.
func (d durations) chain(w *pj.Workflow, from int) time.Duration {
	mean, learned := d[w.Queue]
	chains := make([]time.Duration, len(w.Steps))
	longest := time.Duration(0)
	for i := len(w.Steps) - 1; i >= 0; i-- {
		own := mean
		if !learned {
			own = time.Duration(w.Steps[i].EstimateMS) * time.Millisecond
		}
		chains[i] += own
		for _, before := range w.Steps[i].DependsOn {
			chains[before] = max(chains[before], chains[i])
		}
		longest = max(longest, chains[i])
	}
	if from >= 0 {
		return chains[from]
	}
	return longest
}

// objective returns how long after its acceptance a workflow should be complete.
func (d durations) objective(w *pj.Workflow) time.Duration {
	return time.Duration(w.ObjectiveMS)*time.Millisecond + time.Duration(w.Stretch*float64(d.chain(w, -1)))
}

// lateness says what can still be reached: 0 for the objective, 1 for an answer of some use, 2 for neither.
func (u *unit) lateness(now time.Duration) int {
	switch end := now + u.rest; {
	case end <= u.due:
		return 0
	case end <= u.useless:
		return 1
	}
	return 2
}
