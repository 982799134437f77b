// Package blame attributes task failures: to a job if it fails on several workers, or to a worker,
// which is then quarantined, if several jobs fail on it.
package quarantine

import (
	"time"
)

// Thresholds and quarantine times.
const (
	workerFailureThreshold = 3                // different jobs failed in a row before a worker is quarantined
	jobFailureThreshold    = 3                // different workers on which a job fails before the failure is attributed to the job
	minQuarantine          = 30 * time.Second // the length doubles with each further quarantine
	maxQuarantine          = 30 * time.Minute
)

// Tracker holds the failures of jobs and workers. The zero value has none.
type Tracker struct {
	workers map[string]*workerRecord
	jobs    map[string]*jobRecord
}

type workerRecord struct {
	failedJobs       map[string]struct{} // since the last success
	quarantinedUntil time.Duration       // zero if never quarantined
	quarantineLength time.Duration       // of the last quarantine
	probing          bool                // the quarantine has ended; the next task is a probe
	probeRunning     bool                // gets no further task until the probe has ended

	firstFailureAt time.Duration // when the first of failedJobs failed
}

type jobRecord struct {
	failedWorkers map[string]struct{} // without those quarantined since
}

// New returns a record without failures.
func New() *Tracker {
	return &Tracker{workers: make(map[string]*workerRecord), jobs: make(map[string]*jobRecord)}
}

func (r *Tracker) worker(name string) *workerRecord {
	w := r.workers[name]
	if w == nil {
		if r.workers == nil {
			r.workers = make(map[string]*workerRecord)
		}
		w = &workerRecord{failedJobs: make(map[string]struct{})}
		r.workers[name] = w
	}
	return w
}

// RecordFailure records a failed task. It reports whether the failure is attributed to the job and whether
// the worker is quarantined from now on.
func (r *Tracker) RecordFailure(now time.Duration, job, worker string) (jobAtFault, quarantined bool) {
	w := r.worker(worker)
	if len(w.failedJobs) == 0 {
		w.firstFailureAt = now
	}
	w.failedJobs[job] = struct{}{}
	if (len(w.failedJobs) >= workerFailureThreshold || w.probing) && now >= w.quarantinedUntil {
		w.quarantineLength = min(max(2*w.quarantineLength, minQuarantine), maxQuarantine)
		w.quarantinedUntil = now + w.quarantineLength
		w.probing, w.probeRunning = false, false
		r.clearJobFailures(worker)
		return false, true
	}
	if r.jobs == nil {
		r.jobs = make(map[string]*jobRecord)
	}
	j := r.jobs[job]
	if j == nil {
		j = &jobRecord{failedWorkers: make(map[string]struct{})}
		r.jobs[job] = j
	}
	j.failedWorkers[worker] = struct{}{}
	return len(j.failedWorkers) >= jobFailureThreshold, false
}

// clearJobFailures removes a quarantined worker from the records of the jobs that failed on it, as
// those failures are attributed to the worker.
func (r *Tracker) clearJobFailures(worker string) {
	for job := range r.worker(worker).failedJobs {
		if j := r.jobs[job]; j != nil {
			delete(j.failedWorkers, worker)
		}
	}
}

// RecordSuccess records a task that succeeded and clears the failures of its job. It clears those of the
// worker too, unless the task had started before the worker's first failure or before the end of its
// quarantine.
func (r *Tracker) RecordSuccess(started time.Duration, job, worker string) {
	delete(r.jobs, job)
	if w := r.workers[worker]; w != nil && started >= max(w.firstFailureAt, w.quarantinedUntil) {
		delete(r.workers, worker)
	}
}

// RemoveJob deletes the record of a job that has ended.
func (r *Tracker) RemoveJob(job string) {
	delete(r.jobs, job)
}

// RecordStart records that a task starts on a worker. After a quarantine the first task is a probe: exclusive
// is true, and the worker must get no second task until the probe has ended.
func (r *Tracker) RecordStart(worker string) (exclusive bool) {
	w := r.workers[worker]
	if w != nil && w.probing {
		w.probeRunning = true
	}
	return w != nil && w.probeRunning
}

// RecordStop records that a task ended without success or failure.
func (r *Tracker) RecordStop(worker string) {
	if w := r.workers[worker]; w != nil {
		w.probeRunning = false
	}
}

// Quarantined reports whether a worker must not get tasks now. After the quarantine it gets one task
// as a probe; if that fails, it is quarantined again for twice as long, up to maxQuarantine.
func (r *Tracker) Quarantined(now time.Duration, worker string) bool {
	w := r.workers[worker]
	if w == nil || w.quarantinedUntil == 0 {
		return false
	}
	if now < w.quarantinedUntil || w.probeRunning {
		return true
	}
	if !w.probing {
		w.probing = true
		w.failedJobs = make(map[string]struct{})
	}
	return false
}

// AvoidedWorkers returns the workers that the job must avoid because it failed on them, or nil.
func (r *Tracker) AvoidedWorkers(job string) map[string]struct{} {
	if j := r.jobs[job]; j != nil {
		return j.failedWorkers
	}
	return nil
}
