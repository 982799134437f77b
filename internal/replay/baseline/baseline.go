// Package baseline implements simple schedulers for comparison with the daemon's scheduler.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	pj "papayajunction"
)

// Scheduler is a first-come-first-served scheduler: a job that doesn't fit blocks all later ones. It respects limits, but
// ignores shares and urgency.
type Scheduler struct {
	choose  func(fitting []string) string
	workers []string
	free    map[string]pj.Resources
	limits  map[string]pj.Resources
	used    map[string]pj.Resources
	queue   []pj.PendingJob
	running map[taskKey]pj.RunningTask
}

type taskKey struct {
	job  string
	task int
}

// NewFirstFit returns a scheduler that places a task on the first worker on which it fits.
func NewFirstFit() *Scheduler {
	return newScheduler(func(fitting []string) string { return fitting[0] })
}

// NewRandom returns a scheduler that places a task on a random worker on which it fits.
func NewRandom(seed uint64) *Scheduler {
	r := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // not for secrets
	return newScheduler(func(fitting []string) string { return fitting[r.IntN(len(fitting))] })
}

func newScheduler(choose func([]string) string) *Scheduler {
	return &Scheduler{
		choose: choose, free: make(map[string]pj.Resources), limits: make(map[string]pj.Resources),
		used: make(map[string]pj.Resources), running: make(map[taskKey]pj.RunningTask),
	}
}

// SetWorker implements pj.Scheduler.
func (s *Scheduler) SetWorker(w pj.Worker) {
	if !slices.Contains(s.workers, w.Name) {
		s.workers = append(s.workers, w.Name)
		s.free[w.Name] = w.Capacity
	}
}

// SetUsable implements pj.Scheduler.
func (s *Scheduler) SetUsable(string, bool) {}

// RemoveWorker implements pj.Scheduler.
func (s *Scheduler) RemoveWorker(worker string) {
	s.workers = slices.DeleteFunc(s.workers, func(w string) bool { return w == worker })
	delete(s.free, worker)
}

// SetWorkspace implements pj.Scheduler.
func (s *Scheduler) SetWorkspace(workspace string, _ float64, limit pj.Resources) {
	s.limits[workspace] = limit
}

// Submit implements pj.Scheduler.
func (s *Scheduler) Submit(_ time.Duration, job pj.PendingJob) {
	s.queue = append(s.queue, job)
}

// Cancel implements pj.Scheduler.
func (s *Scheduler) Cancel(job string) {
	s.queue = slices.DeleteFunc(s.queue, func(p pj.PendingJob) bool { return p.Job.ID == job })
}

// Adopt implements pj.Scheduler.
func (s *Scheduler) Adopt(t pj.RunningTask) {
	s.running[taskKey{t.Job.ID, t.Task}] = t
	s.free[t.Worker] = s.free[t.Worker].Sub(t.Reservation)
	s.used[t.Job.Workspace] = s.used[t.Job.Workspace].Add(t.Reservation)
}

// Ended implements pj.Scheduler.
func (s *Scheduler) Ended(_ time.Duration, job string, task int) {
	t, ok := s.running[taskKey{job, task}]
	if !ok {
		return
	}
	delete(s.running, taskKey{job, task})
	if free, ok := s.free[t.Worker]; ok {
		s.free[t.Worker] = free.Add(t.Reservation)
	}
	s.used[t.Job.Workspace] = s.used[t.Job.Workspace].Sub(t.Reservation)
}

// Next implements pj.Scheduler.
func (s *Scheduler) Next(now time.Duration, maxStarts int) pj.Plan {
	var plan pj.Plan
	for len(s.queue) > 0 && len(plan.Starts) < maxStarts {
		head := &s.queue[0]
		tasks := head.Tasks[:1]
		if head.Job.Kind == pj.KindGang {
			tasks = head.Tasks
		}
		starts, ok := s.place(now, *head, tasks)
		if !ok {
			break
		}
		plan.Starts = append(plan.Starts, starts...)
		head.Tasks = head.Tasks[len(tasks):]
		if len(head.Tasks) == 0 {
			s.queue = s.queue[1:]
		}
	}
	return plan
}

// place assigns workers to all of the tasks or to none.
func (s *Scheduler) place(now time.Duration, pending pj.PendingJob, tasks []int) ([]pj.Start, bool) {
	var starts []pj.Start
	for _, task := range tasks {
		worker := s.selectWorker(pending.Job)
		if worker == "" {
			for _, st := range starts {
				s.Ended(now, st.Job, st.Task)
			}
			return nil, false
		}
		s.Adopt(pj.RunningTask{Job: pending.Job, Task: task, Worker: worker, Reservation: pending.Job.Task, Started: now})
		starts = append(starts, pj.Start{Job: pending.Job.ID, Task: task, Worker: worker, Reservation: pending.Job.Task, Waited: now - pending.Since})
	}
	return starts, true
}

// selectWorker returns a worker on which a task of the job fits, or an empty string if there is none or the workspace is at
// its limit.
func (s *Scheduler) selectWorker(job *pj.Job) string {
	if !s.used[job.Workspace].Add(job.Task).FitsWhereUsed(s.limits[job.Workspace]) {
		return ""
	}
	var fitting []string
	for _, w := range s.workers {
		if job.Task.Fits(s.free[w]) {
			fitting = append(fitting, w)
		}
	}
	if len(fitting) == 0 {
		return ""
	}
	return s.choose(fitting)
}

// TaskFinished implements engine.Policy; a baseline keeps no estimates.
func (s *Scheduler) TaskFinished(time.Duration, *pj.Job, string, pj.Resources, time.Duration) {}

// TaskFailed implements engine.Policy; a baseline attributes no failures and never fails a job.
func (s *Scheduler) TaskFailed(time.Duration, *pj.Job, string) bool { return false }

// Tick implements engine.Policy.
func (s *Scheduler) Tick(time.Duration) {}
