package engine

import (
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/blame"
	"papayajunction/internal/control/estimate"
	"papayajunction/internal/control/scheduler"
)

// System is the policy of the daemon: the scheduler with its estimates and its record of blame.
type System struct {
	*scheduler.Scheduler
	estimates *estimate.Estimates
	blame     *blame.Record
	capacity  pj.Resources
	workers   map[string]pj.Resources
	suspects  map[string]struct{}
}

// NewSystem returns the policy as a cell's leader uses it.
func NewSystem() *System {
	s := &System{
		estimates: estimate.New(), blame: blame.New(),
		workers: make(map[string]pj.Resources), suspects: make(map[string]struct{}),
	}
	s.Scheduler = scheduler.New(scheduler.WithEstimator(s.estimates), scheduler.WithAvoid(s.blame.Avoid), scheduler.WithStarted(s.blame.Started))
	return s
}

// SetWorker keeps account of the fleet's capacity too.
func (s *System) SetWorker(w pj.Worker) {
	s.capacity = s.capacity.Sub(s.workers[w.Name]).Add(w.Capacity)
	s.workers[w.Name] = w.Capacity
	s.SetFleetCapacity(s.capacity)
	s.Scheduler.SetWorker(w)
	s.SetUsable(w.Name, true)
}

// RemoveWorker keeps account of the fleet's capacity too.
func (s *System) RemoveWorker(worker string) {
	s.capacity = s.capacity.Sub(s.workers[worker])
	delete(s.workers, worker)
	s.SetFleetCapacity(s.capacity)
	s.Scheduler.RemoveWorker(worker)
}

// Finished learns from a task that succeeded.
func (s *System) Finished(now time.Duration, job *pj.Job, worker string, peak pj.Resources, run time.Duration) {
	s.blame.Finished(now-run, job.ID, worker)
	s.estimates.Observe(job.Queue, peak, run)
	s.Reestimate(job.Workspace, job.Queue)
}

// Failed decides whether the job or the worker is to blame.
func (s *System) Failed(now time.Duration, job *pj.Job, worker string) bool {
	jobFails, quarantined := s.blame.Failed(now, job.ID, worker)
	if quarantined {
		s.suspects[worker] = struct{}{}
		s.SetUsable(worker, false)
	}
	return jobFails
}

// Tick ends quarantines whose time is over.
func (s *System) Tick(now time.Duration) {
	for w := range s.suspects {
		s.SetUsable(w, !s.blame.Quarantined(now, w))
	}
}
