// Package baseline holds the simple schedulers that the real one is compared with.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	pj "papayajunction"
)

// Scheduler serves jobs first come first served, and stops at the first that doesn't fit. It knows
// limits but neither shares nor urgency.
type Scheduler struct {
	pick    func(fitting []string) string
	workers []string
	free    map[string]pj.Resources
	limits  map[string]pj.Resources
	used    map[string]pj.Resources
	queue   []pj.Work
	running map[key]pj.RunningTask
}

type key struct {
	job  string
	task int
}

// NewFirstFit returns a baseline that takes the first worker on which a task fits.
func NewFirstFit() *Scheduler {
	return newScheduler(func(fitting []string) string { return fitting[0] })
}

// NewRandom returns a baseline that takes a random worker on which a task fits.
func NewRandom(seed uint64) *Scheduler {
	r := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // not for secrets
	return newScheduler(func(fitting []string) string { return fitting[r.IntN(len(fitting))] })
}

func newScheduler(pick func([]string) string) *Scheduler {
	return &Scheduler{
		pick: pick, free: make(map[string]pj.Resources), limits: make(map[string]pj.Resources),
		used: make(map[string]pj.Resources), running: make(map[key]pj.RunningTask),
	}
}

// SetWorker is part of pj.Scheduler.
func (s *Scheduler) SetWorker(w pj.Worker) {
	if !slices.Contains(s.workers, w.Name) {
		s.workers = append(s.workers, w.Name)
		s.free[w.Name] = w.Capacity
	}
}

// SetUsable is part of pj.Scheduler.
func (s *Scheduler) SetUsable(string, bool) {}

// RemoveWorker is part of pj.Scheduler.
func (s *Scheduler) RemoveWorker(worker string) {
	s.workers = slices.DeleteFunc(s.workers, func(w string) bool { return w == worker })
	delete(s.free, worker)
}

// SetWorkspace is part of pj.Scheduler.
func (s *Scheduler) SetWorkspace(workspace string, _ float64, limit pj.Resources) {
	s.limits[workspace] = limit
}

// Submit is part of pj.Scheduler.
func (s *Scheduler) Submit(_ time.Duration, work pj.Work) {
	s.queue = append(s.queue, work)
}

// Cancel is part of pj.Scheduler.
func (s *Scheduler) Cancel(job string) {
	s.queue = slices.DeleteFunc(s.queue, func(w pj.Work) bool { return w.Job.ID == job })
}

// Adopt is part of pj.Scheduler.
func (s *Scheduler) Adopt(t pj.RunningTask) {
	s.running[key{t.Job.ID, t.Task}] = t
	s.free[t.Worker] = s.free[t.Worker].Sub(t.Reservation)
	s.used[t.Job.Workspace] = s.used[t.Job.Workspace].Add(t.Reservation)
}

// Ended is part of pj.Scheduler.
func (s *Scheduler) Ended(_ time.Duration, job string, task int) {
	t, ok := s.running[key{job, task}]
	if !ok {
		return
	}
	delete(s.running, key{job, task})
	if free, there := s.free[t.Worker]; there {
		s.free[t.Worker] = free.Add(t.Reservation)
	}
	s.used[t.Job.Workspace] = s.used[t.Job.Workspace].Sub(t.Reservation)
}

// Next is part of pj.Scheduler.
func (s *Scheduler) Next(now time.Duration, most int) pj.Plan {
	var plan pj.Plan
	for len(s.queue) > 0 && len(plan.Starts) < most {
		w := &s.queue[0]
		tasks := w.Pending[:1]
		if w.Job.Kind == pj.KindGang {
			tasks = w.Pending
		}
		starts, ok := s.place(now, *w, tasks)
		if !ok {
			break
		}
		plan.Starts = append(plan.Starts, starts...)
		w.Pending = w.Pending[len(tasks):]
		if len(w.Pending) == 0 {
			s.queue = s.queue[1:]
		}
	}
	return plan
}

// place starts all of the tasks or none.
func (s *Scheduler) place(now time.Duration, w pj.Work, tasks []int) ([]pj.Start, bool) {
	var starts []pj.Start
	for _, task := range tasks {
		worker := s.choose(w.Job)
		if worker == "" {
			for _, st := range starts {
				s.Ended(now, st.Job, st.Task)
			}
			return nil, false
		}
		s.Adopt(pj.RunningTask{Job: w.Job, Task: task, Worker: worker, Reservation: w.Job.Task, Started: now})
		starts = append(starts, pj.Start{Job: w.Job.ID, Task: task, Worker: worker, Reservation: w.Job.Task, Waited: now - w.Since})
	}
	return starts, true
}

func (s *Scheduler) choose(job *pj.Job) string {
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
	return s.pick(fitting)
}

// Finished is part of the replay's policy; a baseline learns nothing.
func (s *Scheduler) Finished(time.Duration, *pj.Job, string, pj.Resources, time.Duration) {}

// Failed is part of the replay's policy; a baseline blames nobody.
func (s *Scheduler) Failed(time.Duration, *pj.Job, string) bool { return false }

// Tick is part of the replay's policy.
func (s *Scheduler) Tick(time.Duration) {}
