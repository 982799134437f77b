// Package estimate learns the sizes and run times of each queue's tasks from what workers report,
// because declared figures are often far off.
package estimate

import (
	"math"
	"time"

	pj "papayajunction"
)

// Constants of the estimates.
const (
	gain         = 0.1  // weight of a new observation
	sizeDecay    = 0.99 // how fast a high peak is forgotten, for each observation
	runSpread    = 2.0  // standard deviations added to the mean run time
	trustedCount = 5    // observations before a learned run time replaces the declared one
)

// Estimates is a pj.Estimator for all queues. The zero value has learned nothing.
type Estimates struct {
	queues map[string]*learned
}

type learned struct {
	peak      [4]float64
	runs      int
	logMean   float64
	logSpread float64
}

// New returns estimates that have learned nothing.
func New() *Estimates {
	return &Estimates{queues: make(map[string]*learned)}
}

func (e *Estimates) queue(name string) *learned {
	q := e.queues[name]
	if q == nil {
		if e.queues == nil {
			e.queues = make(map[string]*learned)
		}
		q = &learned{}
		e.queues[name] = q
	}
	return q
}

// Observe takes in a finished task: its greatest usage and, if positive, its run time.
func (e *Estimates) Observe(queue string, peak pj.Resources, run time.Duration) {
	q := e.queue(queue)
	for d := range peak {
		q.peak[d] = max(float64(peak[d]), q.peak[d]*sizeDecay)
	}
	if run <= 0 {
		return
	}
	q.runs++
	x := math.Log(float64(run))
	if q.runs == 1 {
		q.logMean = x
		return
	}
	delta := x - q.logMean
	q.logMean += gain * delta
	q.logSpread = (1 - gain) * (q.logSpread + gain*delta*delta)
}

// Reservation returns what to reserve for a task: what was declared or, if tasks of the queue
// were seen to use more, that.
func (e *Estimates) Reservation(queue string, declared pj.Resources) pj.Resources {
	q := e.queues[queue]
	if q == nil {
		return declared
	}
	for _, d := range []pj.Dimension{pj.Cores, pj.Memory} {
		if seen := roundUp(q.peak[d], declared[d]); seen > declared[d] {
			declared[d] = seen
		}
	}
	return declared
}

// roundUp rounds a learned size up to a multiple of 1/8 of the declared one, so that tasks of one
// queue keep to few different sizes.
func roundUp(seen float64, declared int64) int64 {
	step := max(float64(declared)/8, 1)
	return int64(math.Ceil(seen/step) * step)
}

// RunTime returns how long a task will probably run at most, or 0 if nothing is known.
func (e *Estimates) RunTime(queue string, declared time.Duration) time.Duration {
	q := e.queues[queue]
	if q == nil || q.runs < trustedCount {
		return declared
	}
	return time.Duration(math.Exp(q.logMean + runSpread*math.Sqrt(q.logSpread)))
}
