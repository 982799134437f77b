// Package estimate estimates the resource usage and run time of each queue's tasks from what workers
// report, because declared values are often far off.
package estimate

import (
	"math"
	"time"

	pj "papayajunction"
)

// Parameters of the estimates.
const (
	smoothing         = 0.1  // weight of a new sample in the moving averages of run times
	peakDecay         = 0.99 // factor applied to the recorded peak usage at each observation
	runTimeDeviations = 2.0  // standard deviations of the logarithm that are added to its mean
	minRunSamples     = 5    // samples required before the estimated run time replaces the declared one
)

// Estimator is a pj.Estimator for all queues. The zero value has no observations.
type Estimator struct {
	queues map[string]*queueStats
}

// queueStats describes the tasks of one queue. Run times are taken to be log-normal.
type queueStats struct {
	peakUsage   [4]float64 // decaying maximum, by dimension
	runSamples  int
	logMean     float64
	logVariance float64
}

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{queues: make(map[string]*queueStats)}
}

func (e *Estimator) queue(name string) *queueStats {
	q := e.queues[name]
	if q == nil {
		if e.queues == nil {
			e.queues = make(map[string]*queueStats)
		}
		q = &queueStats{}
		e.queues[name] = q
	}
	return q
}

// Observe records the peak usage and, if positive, the run time of a finished task.
func (e *Estimator) Observe(queue string, peak pj.Resources, run time.Duration) {
	q := e.queue(queue)
	for d := range peak {
		q.peakUsage[d] = max(float64(peak[d]), q.peakUsage[d]*peakDecay)
	}
	if run <= 0 {
		return
	}
	q.runSamples++
	x := math.Log(float64(run))
	if q.runSamples == 1 {
		q.logMean = x
		return
	}
	delta := x - q.logMean
	q.logMean += smoothing * delta
	q.logVariance = (1 - smoothing) * (q.logVariance + smoothing*delta*delta)
}

// Reservation returns the resources to reserve for a task: the declared ones, with cores and memory
// raised to the observed peak usage of the queue's tasks if that is higher.
func (e *Estimator) Reservation(queue string, declared pj.Resources) pj.Resources {
	q := e.queues[queue]
	if q == nil {
		return declared
	}
	for _, d := range []pj.Dimension{pj.Cores, pj.Memory} {
		if observed := roundUp(q.peakUsage[d], declared[d]); observed > declared[d] {
			declared[d] = observed
		}
	}
	return declared
}

// roundUp rounds an observed peak up to a multiple of 1/8 of the declared value, so that the tasks
// of one queue have few different sizes.
func roundUp(observed float64, declared int64) int64 {
	step := max(float64(declared)/8, 1)
	return int64(math.Ceil(observed/step) * step)
}

// RunTime returns an estimated upper bound of a task's run time: runTimeDeviations standard
// deviations above the mean of the logarithms. With fewer than minRunSamples samples it returns the
// declared run time, which is 0 if none was declared.
func (e *Estimator) RunTime(queue string, declared time.Duration) time.Duration {
	q := e.queues[queue]
	if q == nil || q.runSamples < minRunSamples {
		return declared
	}
	return time.Duration(math.Exp(q.logMean + runTimeDeviations*math.Sqrt(q.logVariance)))
}
