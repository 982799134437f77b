package scheduler

import (
	pj "papayajunction"
)

// fitsAnyWorker reports whether the amount would fit on some worker if that were empty. Without any
// worker of known capacity, known is false and fits is true.
func (s *Scheduler) fitsAnyWorker(amount pj.Resources) (known, fits bool) {
	s.index.Each(func(name, _ string, _ bool) bool {
		capacity := s.index.Capacity(name)
		known = known || !capacity.IsZero()
		fits = amount.Fits(capacity)
		return !fits
	})
	return known, fits || !known
}

// CanEverRun reports whether the job would fit on the workers if they were all empty. Without any
// worker of known capacity it returns true.
func (s *Scheduler) CanEverRun(job *pj.Job) bool {
	if job.Kind != pj.KindGang {
		_, fits := s.fitsAnyWorker(job.Task)
		return fits
	}
	fitCount, known := 0, false
	s.index.Each(func(name, _ string, _ bool) bool {
		known = known || !s.index.Capacity(name).IsZero()
		fitCount += job.Task.FitCount(s.index.Capacity(name))
		return fitCount < job.Tasks
	})
	return !known || fitCount >= job.Tasks
}

// PendingReason returns a message for users that explains why the job's tasks are pending.
func (s *Scheduler) PendingReason(job string) string {
	e := s.entries[job]
	if e == nil || len(e.pending) == 0 {
		return ""
	}
	if known, fits := s.fitsAnyWorker(e.amount); known && !fits {
		return "no worker is large enough: each task needs " + e.amount.String()
	}
	if e.class == nil {
		return "queued behind other work"
	}
	switch e.class.blocked {
	case blockedByLimit:
		return "workspace " + e.job.Workspace + " has reached its limit in this cell (" + s.ledger.Limit(e.job.Workspace).String() + ")"
	case blockedByFit:
		if e.reservation != nil {
			return "waiting for running tasks to release the resources reserved for this job"
		}
		return "no worker has " + e.amount.String() + " free"
	default:
		return "queued behind other work"
	}
}
