package scheduler

import (
	pj "papayajunction"
)

// fitsSomewhere reports whether an empty worker could hold the amount; known is false if there
// are no workers at all.
func (s *Scheduler) fitsSomewhere(amount pj.Resources) (known, can bool) {
	s.index.Each(func(name, _ string, _ bool) bool {
		capacity := s.index.Capacity(name)
		known = known || !capacity.IsZero()
		can = amount.Fits(capacity)
		return !can
	})
	return known, can || !known
}

// CanEverRun reports whether the job would fit on the workers if they were all empty. Without
// any known worker the answer is yes.
func (s *Scheduler) CanEverRun(job *pj.Job) bool {
	if job.Kind != pj.KindGang {
		_, can := s.fitsSomewhere(job.Task)
		return can
	}
	room, known := 0, false
	s.index.Each(func(name, _ string, _ bool) bool {
		known = known || !s.index.Capacity(name).IsZero()
		room += job.Task.CountIn(s.index.Capacity(name))
		return room < job.Tasks
	})
	return !known || room >= job.Tasks
}

// Reason says in plain words why a job's pending tasks wait.
func (s *Scheduler) Reason(job string) string {
	e := s.entries[job]
	if e == nil || len(e.pending) == 0 {
		return ""
	}
	if known, can := s.fitsSomewhere(e.amount); known && !can {
		return "no worker is large enough: each task needs " + e.amount.String()
	}
	if e.lane == nil {
		return "waits for its turn"
	}
	switch e.lane.blocked {
	case blockedByLimit:
		return "workspace " + e.job.Workspace + " is at its upper limit here (" + s.ledger.Limit(e.job.Workspace).String() + ")"
	case blockedByFit:
		if e.reservation != nil {
			return "waits for running work to make room that is reserved for it"
		}
		return "no worker has " + e.amount.String() + " free"
	default:
		return "waits for its turn"
	}
}
