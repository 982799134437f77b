package engine

import (
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/estimate"
	"papayajunction/internal/control/quarantine"
	"papayajunction/internal/control/scheduler"
)

// DaemonPolicy is the policy that the daemon uses: the scheduler with estimates of sizes and run times, failure attribution
// and quarantine of workers.
type DaemonPolicy struct {
	*scheduler.Scheduler
	estimator       *estimate.Estimator
	failures        *quarantine.Tracker
	capacity        pj.Resources
	workers         map[string]pj.Resources
	everQuarantined map[string]struct{}
}

// NewDaemonPolicy returns the policy with the configuration that a cell's leader uses.
func NewDaemonPolicy() *DaemonPolicy {
	p := &DaemonPolicy{
		estimator: estimate.New(), failures: quarantine.New(),
		workers: make(map[string]pj.Resources), everQuarantined: make(map[string]struct{}),
	}
	p.Scheduler = scheduler.New(scheduler.WithEstimator(p.estimator), scheduler.WithAvoidedWorkers(p.failures.AvoidedWorkers), scheduler.WithStartCallback(p.failures.RecordStart))
	return p
}

// SetWorker adds or updates a worker, and updates the capacity of the fleet.
func (p *DaemonPolicy) SetWorker(w pj.Worker) {
	p.capacity = p.capacity.Sub(p.workers[w.Name]).Add(w.Capacity)
	p.workers[w.Name] = w.Capacity
	p.SetFleetCapacity(p.capacity)
	p.Scheduler.SetWorker(w)
	p.SetUsable(w.Name, true)
}

// RemoveWorker removes a worker, and updates the capacity of the fleet.
func (p *DaemonPolicy) RemoveWorker(worker string) {
	p.capacity = p.capacity.Sub(p.workers[worker])
	delete(p.workers, worker)
	p.SetFleetCapacity(p.capacity)
	p.Scheduler.RemoveWorker(worker)
}

// TaskFinished updates the estimates and the failure attribution with a task that succeeded.
func (p *DaemonPolicy) TaskFinished(now time.Duration, job *pj.Job, worker string, peak pj.Resources, run time.Duration) {
	p.failures.RecordSuccess(now-run, job.ID, worker)
	p.estimator.Observe(job.Queue, peak, run)
	p.Reestimate(job.Workspace, job.Queue)
}

// TaskFailed attributes a failure to the job or to the worker. It quarantines a worker at fault, and reports whether the job fails.
func (p *DaemonPolicy) TaskFailed(now time.Duration, job *pj.Job, worker string) bool {
	jobFails, quarantined := p.failures.RecordFailure(now, job.ID, worker)
	if quarantined {
		p.everQuarantined[worker] = struct{}{}
		p.SetUsable(worker, false)
	}
	return jobFails
}

// Tick makes workers usable again whose quarantine is over, or that jobs no longer avoid.
func (p *DaemonPolicy) Tick(now time.Duration) {
	for _, w := range p.failures.Expire(now) {
		p.Retry(w)
	}
	for w := range p.everQuarantined {
		p.SetUsable(w, !p.failures.Quarantined(now, w))
	}
}
