// Package quarantine attributes task failures: to a job if it fails on several workers, or to a worker,
// which is then quarantined, if several jobs fail on it that haven't failed elsewhere of late.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Thresholds and default times.
const (
	workerFailureThreshold = 3                // different jobs failed in a row before a worker is quarantined
	jobFailureThreshold    = 3                // different workers on which a job fails before the failure is attributed to the job
	defaultMinQuarantine   = 30 * time.Second // the length doubles with each further quarantine
	defaultMaxQuarantine   = 30 * time.Minute
	failureMemory          = time.Minute     // how long a job's failure on a worker speaks for its failures elsewhere
	maxProbe               = 6 * time.Second // a probe that has run for so long without failing has shown that the worker works
)

// How long a job avoids a worker on which it failed, unless a later task succeeds there.
const (
	AvoidLimitedAttempts   = 8 * time.Second // longer than most faults, which would otherwise take all attempts of a job that few workers may run
	AvoidUnlimitedAttempts = 4 * time.Second
)

// Tracker holds the failures of jobs and workers. The zero value has none.
type Tracker struct {
	minQuarantine time.Duration // 0 for defaultMinQuarantine
	maxQuarantine time.Duration // 0 for defaultMaxQuarantine

	workers map[string]*workerRecord
	jobs    map[string]*jobRecord
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithQuarantine sets the lengths of the first quarantine of a worker and of the longest one.
func WithQuarantine(shortest, longest time.Duration) Option {
	return func(t *Tracker) { t.minQuarantine, t.maxQuarantine = shortest, longest }
}

type workerRecord struct {
	failedJobs       map[string]struct{} // since the last success
	quarantinedUntil time.Duration       // zero if never quarantined
	quarantineLength time.Duration       // of the last quarantine
	probing          bool                // the quarantine has ended; the next task is a probe
	probeRunning     bool                // gets no further task until the probe has ended or has run for maxProbe

	avoidedBy map[string]avoidance // by job

	firstFailureAt time.Duration // when the first of failedJobs failed
}

// avoidance is the time for which a job avoids a worker.
type avoidance struct {
	since, until time.Duration
}

type jobRecord struct {
	failedAt       map[string]time.Duration // time of the last failure by worker, since the job's last success
	failedWorkers  map[string]struct{}      // without those quarantined since
	avoidedWorkers map[string]struct{}      // those of failedWorkers that must not be used yet
}

// New returns a tracker without failures.
func New(options ...Option) *Tracker {
	t := &Tracker{workers: make(map[string]*workerRecord), jobs: make(map[string]*jobRecord)}
	for _, option := range options {
		option(t)
	}
	return t
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

// RecordFailure records a failed task, and makes its job avoid the worker for AvoidLimitedAttempts. It reports whether the
// failure is attributed to the job, and whether it caused the worker to be quarantined.
func (t *Tracker) RecordFailure(now time.Duration, job, worker string) (jobAtFault, quarantined bool) {
	return t.RecordFailureAvoiding(now, job, worker, AvoidLimitedAttempts)
}

// RecordFailureAvoiding is like RecordFailure with another time for which the job avoids the worker.
func (t *Tracker) RecordFailureAvoiding(now time.Duration, job, worker string, avoidFor time.Duration) (jobAtFault, quarantined bool) {
	w, j := t.worker(worker), t.job(job)
	failedElsewhere := j.failedElsewhere(now, worker)
	j.failedAt[worker] = now
	if failedElsewhere {
		w.probeRunning = false // the probe says nothing about the worker
	} else {
		if len(w.failedJobs) == 0 {
			w.firstFailureAt = now
		}
		w.failedJobs[job] = struct{}{}
	}
	if !failedElsewhere && (len(w.failedJobs) >= workerFailureThreshold || w.probing) && now >= w.quarantinedUntil {
		shortest, longest := cmp.Or(t.minQuarantine, defaultMinQuarantine), cmp.Or(t.maxQuarantine, defaultMaxQuarantine)
		w.quarantineLength = min(max(2*w.quarantineLength, shortest), longest)
		w.quarantinedUntil = now + w.quarantineLength
		w.probing, w.probeRunning = false, false
		t.clearJobFailures(worker)
		return false, true
	}
	j.failedWorkers[worker] = struct{}{}
	j.avoidedWorkers[worker] = struct{}{}
	if w.avoidedBy == nil {
		w.avoidedBy = make(map[string]avoidance)
	}
	w.avoidedBy[job] = avoidance{since: now, until: now + avoidFor}
	return len(j.failedWorkers) >= jobFailureThreshold, false
}

func (t *Tracker) job(id string) *jobRecord {
	j := t.jobs[id]
	if j == nil {
		if t.jobs == nil {
			t.jobs = make(map[string]*jobRecord)
		}
		j = &jobRecord{failedAt: make(map[string]time.Duration), failedWorkers: make(map[string]struct{}), avoidedWorkers: make(map[string]struct{})}
		t.jobs[id] = j
	}
	return j
}

// failedElsewhere reports whether the job has failed on another worker within failureMemory, and has not succeeded since. It drops older
// failures, as a job may last for ever and meet any number of workers.
func (j *jobRecord) failedElsewhere(now time.Duration, worker string) bool {
	maps.DeleteFunc(j.failedAt, func(_ string, at time.Duration) bool { return now >= at+failureMemory })
	_, here := j.failedAt[worker]
	return len(j.failedAt) > 1 || len(j.failedAt) == 1 && !here
}

// clearJobFailures removes a quarantined worker from the records of the jobs that failed on it, as
// those failures are attributed to the worker.
func (t *Tracker) clearJobFailures(worker string) {
	w := t.worker(worker)
	for job := range w.failedJobs {
		if j := t.jobs[job]; j != nil {
			delete(j.failedWorkers, worker)
		}
	}
	for job := range w.avoidedBy {
		t.endAvoidance(w, job, worker)
	}
}

func (t *Tracker) endAvoidance(w *workerRecord, job, worker string) {
	delete(w.avoidedBy, job)
	if j := t.jobs[job]; j != nil {
		delete(j.avoidedWorkers, worker)
	}
}

// Expire lets jobs use the workers again that they have avoided for long enough, and returns these workers.
func (t *Tracker) Expire(now time.Duration) (workers []string) {
	for name, w := range t.workers {
		before := len(w.avoidedBy)
		for job, a := range w.avoidedBy {
			if now >= a.until {
				t.endAvoidance(w, job, name)
			}
		}
		if len(w.avoidedBy) < before {
			workers = append(workers, name)
		}
	}
	slices.Sort(workers)
	return workers
}

// RecordSuccess records a task that succeeded and clears the failures of its job. It clears those of
// the worker too, unless the task had started before the worker's first failure or before the end of
// its quarantine. Jobs that failed on the worker before the task started no longer avoid it.
func (t *Tracker) RecordSuccess(started time.Duration, job, worker string) {
	t.RemoveJob(job)
	w := t.workers[worker]
	if w == nil {
		return
	}
	for other, a := range w.avoidedBy {
		if a.since <= started {
			t.endAvoidance(w, other, worker)
		}
	}
	if started >= max(w.firstFailureAt, w.quarantinedUntil) {
		t.clearWorkerFailures(worker)
	}
}

// clearWorkerFailures ends what a worker is at fault for. Jobs go on avoiding it.
func (t *Tracker) clearWorkerFailures(worker string) {
	avoidedBy := t.worker(worker).avoidedBy
	delete(t.workers, worker)
	if len(avoidedBy) > 0 {
		t.worker(worker).avoidedBy = avoidedBy
	}
}

// RemoveJob removes the failures of a job that has ended.
func (t *Tracker) RemoveJob(job string) {
	j := t.jobs[job]
	if j == nil {
		return
	}
	for worker := range j.avoidedWorkers {
		delete(t.worker(worker).avoidedBy, job)
	}
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

// RecordStop records that a task ended without success or failure, or did not start.
func (t *Tracker) RecordStop(worker string) {
	if w := t.workers[worker]; w != nil {
		w.probeRunning = false
	}
}

// RecordRunning records that a worker reports a running task. A probe that has run for maxProbe has passed: long-running
// tasks don't end.
func (t *Tracker) RecordRunning(now, started time.Duration, worker string) {
	w := t.workers[worker]
	if w != nil && w.probeRunning && started >= w.quarantinedUntil && now >= started+maxProbe {
		t.clearWorkerFailures(worker)
	}
}

// Quarantined reports whether a worker must not get tasks now. After the quarantine it gets one task
// as a probe; if that fails, it is quarantined again for twice as long, up to the longest quarantine.
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

// AvoidedWorkers returns the workers that the job must not use yet because it failed on them, or nil. Workers
// quarantined since are not among them.
func (t *Tracker) AvoidedWorkers(job string) map[string]struct{} {
	if j := t.jobs[job]; j != nil {
		return j.avoidedWorkers
	}
	return nil
}

// FailedOn reports whether the job has failed on the worker and has not succeeded since. Other workers are better for it.
func (t *Tracker) FailedOn(job, worker string) bool {
	j := t.jobs[job]
	if j == nil {
		return false
	}
	_, failed := j.failedWorkers[worker]
	return failed
}
