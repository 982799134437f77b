// Package blame tells a job that fails everywhere from a worker that fails everything.
package blame

import (
	"time"
)

// Thresholds of blame.
const (
	failuresOfWorker = 3 // different jobs that fail in a row before a worker is quarantined
	workersOfJob     = 3 // different workers on which a job fails before it counts as its own fault
	firstQuarantine  = 30 * time.Second
	longQuarantine   = 30 * time.Minute
)

// Record remembers failures. The zero value has seen none.
type Record struct {
	workers map[string]*workerRecord
	jobs    map[string]*jobRecord
}

type workerRecord struct {
	jobs  map[string]struct{} // jobs that failed since the last success
	until time.Duration       // end of the quarantine
	span  time.Duration       // length of the last quarantine
	trial bool                // the next task decides
	busy  bool                // that task runs

	failedAt time.Duration // when the first of jobs failed
}

type jobRecord struct {
	workers map[string]struct{} // workers that are not under suspicion and failed this job
}

// New returns an empty record.
func New() *Record {
	return &Record{workers: make(map[string]*workerRecord), jobs: make(map[string]*jobRecord)}
}

func (r *Record) worker(name string) *workerRecord {
	w := r.workers[name]
	if w == nil {
		if r.workers == nil {
			r.workers = make(map[string]*workerRecord)
		}
		w = &workerRecord{jobs: make(map[string]struct{})}
		r.workers[name] = w
	}
	return w
}

// Failed takes in a failed task. It reports whether the job is to blame and whether the worker
// is quarantined from now on.
func (r *Record) Failed(now time.Duration, job, worker string) (jobAtFault, quarantined bool) {
	w := r.worker(worker)
	if len(w.jobs) == 0 {
		w.failedAt = now
	}
	w.jobs[job] = struct{}{}
	if (len(w.jobs) >= failuresOfWorker || w.trial) && now >= w.until {
		w.span = min(max(2*w.span, firstQuarantine), longQuarantine)
		w.until = now + w.span
		w.trial, w.busy = false, false
		r.pardon(worker)
		return false, true
	}
	if r.jobs == nil {
		r.jobs = make(map[string]*jobRecord)
	}
	j := r.jobs[job]
	if j == nil {
		j = &jobRecord{workers: make(map[string]struct{})}
		r.jobs[job] = j
	}
	j.workers[worker] = struct{}{}
	return len(j.workers) >= workersOfJob, false
}

// pardon takes a quarantined worker's failures off the jobs that it failed.
func (r *Record) pardon(worker string) {
	for job := range r.worker(worker).jobs {
		if j := r.jobs[job]; j != nil {
			delete(j.workers, worker)
		}
	}
}

// Finished takes in a task that succeeded, which clears its job. It clears its worker too, unless the
// task had started before the worker began to fail.
func (r *Record) Finished(started time.Duration, job, worker string) {
	delete(r.jobs, job)
	if w := r.workers[worker]; w != nil && started >= max(w.failedAt, w.until) {
		delete(r.workers, worker)
	}
}

// Forget drops a job that has ended.
func (r *Record) Forget(job string) {
	delete(r.jobs, job)
}

// Started takes in a task that starts on a worker. One whose quarantine has just ended gets no
// second task before the first has ended; the result says that no more may start.
func (r *Record) Started(worker string) (enough bool) {
	w := r.workers[worker]
	if w != nil && w.trial {
		w.busy = true
	}
	return w != nil && w.busy
}

// Stopped takes in a task that ended without success or failure.
func (r *Record) Stopped(worker string) {
	if w := r.workers[worker]; w != nil {
		w.busy = false
	}
}

// Quarantined reports whether a worker gets no tasks now. When its time is over it gets one task
// for trial; if that fails, it is quarantined for twice as long.
func (r *Record) Quarantined(now time.Duration, worker string) bool {
	w := r.workers[worker]
	if w == nil || w.until == 0 {
		return false
	}
	if now < w.until || w.busy {
		return true
	}
	if !w.trial {
		w.trial = true
		w.jobs = make(map[string]struct{})
	}
	return false
}

// Avoid returns the workers on which the job failed already, or nil.
func (r *Record) Avoid(job string) map[string]struct{} {
	if j := r.jobs[job]; j != nil {
		return j.workers
	}
	return nil
}
