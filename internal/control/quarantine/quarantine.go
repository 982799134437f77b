// Package quarantine attributes task failures: to a job if it fails on several workers, or to a worker,
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

// New returns a tracker without failures.
func New() *Tracker {
	return &Tracker{workers: make(map[string]*workerRecord), jobs: make(map[string]*jobRecord)}
}

func (t *Tracker) worker(name string) *workerRecord {
	w := t.workers[name]
	if w == nil {
		if t.workers == nil {
			t.workers = make(map[string]*workerRecord)
		}
		w = &workerRecord{failedJobs: make(map[string]struct{})}
		t.workers[name] = w
	}
	return w
}

// RecordFailure records a failed task. It reports whether the failure is attributed to the job, and
// whether it caused the worker to be quarantined.
func (t *Tracker) RecordFailure(now time.Duration, job, worker string) (jobAtFault, quarantined bool) {
	w := t.worker(worker)
	if len(w.failedJobs) == 0 {
		w.firstFailureAt = now
	}
	w.failedJobs[job] = struct{}{}
	if (len(w.failedJobs) >= workerFailureThreshold || w.probing) && now >= w.quarantinedUntil {
		w.quarantineLength = min(max(2*w.quarantineLength, minQuarantine), maxQuarantine)
		w.quarantinedUntil = now + w.quarantineLength
		w.probing, w.probeRunning = false, false
		t.clearJobFailures(worker)
		return false, true
	}
	if t.jobs == nil {
		t.jobs = make(map[string]*jobRecord)
	}
	j := t.jobs[job]
	if j == nil {
		j = &jobRecord{failedWorkers: make(map[string]struct{})}
		t.jobs[job] = j
	}
	j.failedWorkers[worker] = struct{}{}
	return len(j.failedWorkers) >= jobFailureThreshold, false
}

// clearJobFailures removes a quarantined worker from the records of the jobs that failed on it, as
// those failures are attributed to the worker.
func (t *Tracker) clearJobFailures(worker string) {
	for job := range t.worker(worker).failedJobs {
		if j := t.jobs[job]; j != nil {
			delete(j.failedWorkers, worker)
		}
	}
}

// RecordSuccess records a task that succeeded and clears the failures of its job. It clears those of
// the worker too, unless the task had started before the worker's first failure or before the end of
// its quarantine.
func (t *Tracker) RecordSuccess(started time.Duration, job, worker string) {
	delete(t.jobs, job)
	if w := t.workers[worker]; w != nil && started >= max(w.firstFailureAt, w.quarantinedUntil) {
		delete(t.workers, worker)
	}
}

// RemoveJob removes the failures of a job that has ended.
func (t *Tracker) RemoveJob(job string) {
	delete(t.jobs, job)
}

// RecordStart records that a task starts on a worker. After a quarantine the first task is a probe:
// exclusive is true, and the worker must get no second task until the probe has ended.
func (t *Tracker) RecordStart(worker string) (exclusive bool) {
	w := t.workers[worker]
	if w != nil && w.probing {
		w.probeRunning = true
	}
	return w != nil && w.probeRunning
}

// RecordStop records that a task ended without success or failure.
func (t *Tracker) RecordStop(worker string) {
	if w := t.workers[worker]; w != nil {
		w.probeRunning = false
	}
}

// Quarantined reports whether a worker must not get tasks now. After the quarantine it gets one task
// as a probe; if that fails, it is quarantined again for twice as long, up to maxQuarantine.
func (t *Tracker) Quarantined(now time.Duration, worker string) bool {
	w := t.workers[worker]
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

// AvoidedWorkers returns the workers that the job must avoid because it failed on them, or nil. Workers
// quarantined since are not among them.
func (t *Tracker) AvoidedWorkers(job string) map[string]struct{} {
	if j := t.jobs[job]; j != nil {
		return j.failedWorkers
	}
	return nil
}
