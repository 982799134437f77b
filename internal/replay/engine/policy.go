package engine

import (
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/estimate"
	"papayajunction/internal/control/quarantine"
	"papayajunction/internal/control/scheduler"
)

// DaemonPolicy is the policy that the daemon uses: the scheduler with usage estimates and failure attribution.
type DaemonPolicy struct {
	*scheduler.Scheduler
	estimates       *estimate.Estimator
	blame           *quarantine.Tracker
	capacity        pj.Resources
	workers         map[string]pj.Resources
	everQuarantined map[string]struct{}
}

// NewDaemonPolicy returns the policy with the configuration that a cell's leader uses.
func NewDaemonPolicy() *DaemonPolicy {
	s := &DaemonPolicy{
		estimates: estimate.New(), blame: quarantine.New(),
		workers: make(map[string]pj.Resources), everQuarantined: make(map[string]struct{}),
	}
	s.Scheduler = scheduler.New(scheduler.WithEstimator(s.estimates), scheduler.WithAvoidedWorkers(s.blame.AvoidedWorkers), scheduler.WithStartCallback(s.blame.RecordStart))
	return s
}

// SetWorker adds or updates a worker, and updates the capacity of the fleet.
func (s *DaemonPolicy) SetWorker(w pj.Worker) {
	s.capacity = s.capacity.Sub(s.workers[w.Name]).Add(w.Capacity)
	s.workers[w.Name] = w.Capacity
	s.SetFleetCapacity(s.capacity)
	s.Scheduler.SetWorker(w)
	s.SetUsable(w.Name, true)
}

// RemoveWorker removes a worker, and updates the capacity of the fleet.
func (s *DaemonPolicy) RemoveWorker(worker string) {
	s.capacity = s.capacity.Sub(s.workers[worker])
	delete(s.workers, worker)
	s.SetFleetCapacity(s.capacity)
	s.Scheduler.RemoveWorker(worker)
}

// Finished updates the estimates and the failure attribution with a task that succeeded.
func (s *DaemonPolicy) Finished(now time.Duration, job *pj.Job, worker string, peak pj.Resources, run time.Duration) {
	s.blame.RecordSuccess(now-run, job.ID, worker)
	s.estimates.Observe(job.Queue, peak, run)
	s.Reestimate(job.Workspace, job.Queue)
}

// Failed attributes a failure to the job or to the worker. It quarantines a worker at fault, and reports whether the job fails.
func (s *DaemonPolicy) Failed(now time.Duration, job *pj.Job, worker string) bool {
	jobFails, quarantine := s.blame.RecordFailure(now, job.ID, worker)
	if quarantine {
		s.everQuarantined[worker] = struct{}{}
		s.SetUsable(worker, false)
	}
	return jobFails
}

// Tick makes workers usable again whose quarantine is over.
func (s *DaemonPolicy) Tick(now time.Duration) {
	for w := range s.everQuarantined {
		s.SetUsable(w, !s.blame.Quarantined(now, w))
	}
}
