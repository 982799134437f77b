package runs_test

import (
	"testing"
	"time"

	pj "papayajunction"
)

// Bounds of the deployments for work that could run.
const (
	finishWithin      = 14 * time.Second // jobs that could run are complete
	longRunningWithin = 6 * time.Second  // from the end of its last run, a long-running task is started again
)

// simulation carries out the start orders of a cell: tasks run, succeed or fail on its workers.
type simulation struct {
	*cell
	fails   func(worker, workflow string) bool // whether a run fails at its end; nil for never
	runTime map[string]time.Duration           // by workflow; 0 for tasks that don't end
	running map[string]map[pj.RunID]time.Duration
	number  map[string]int64
	started map[string][]time.Duration // by workflow

	stopping map[pj.RunID]struct{}
	progress func(run pj.RunID, ran time.Duration) int // percent of a run; nil for one that grows with time
}

func newSimulation(x *cell) *simulation {
	return &simulation{
		cell: x, runTime: make(map[string]time.Duration), running: make(map[string]map[pj.RunID]time.Duration),
		number: make(map[string]int64), started: make(map[string][]time.Duration),
		stopping: make(map[pj.RunID]struct{}),
	}
}

// run lets the cell run for a span.
func (s *simulation) run(span time.Duration) {
	const step = 50 * time.Millisecond
	for end := s.clock.now + span; s.clock.now < end; {
		s.advance(step)
		for _, o := range s.orders.take("start") {
			if s.running[o.worker] == nil {
				s.running[o.worker] = make(map[pj.RunID]time.Duration)
			}
			s.running[o.worker][o.run] = s.clock.now
			workflow := o.run.Task.Workflow
			s.started[workflow] = append(s.started[workflow], s.clock.now)
			o.answer(nil)
		}
		for _, o := range s.orders.take("advise") {
			o.answerAdvice(allowAll(o), nil)
		}
		for _, o := range s.orders.take("stop") {
			s.stopping[o.run] = struct{}{}
			o.answer(nil)
		}
		s.answerPolls(s.responses())
	}
}

// responses returns the workers' answers to polls, with the runs that end now.
func (s *simulation) responses() map[string]pj.PollResponse {
	responses := make(map[string]pj.PollResponse)
	for worker, running := range s.running {
		var response pj.PollResponse
		for run, since := range running {
			workflow := run.Task.Workflow
			runTime := s.runTime[workflow]
			failed := s.fails != nil && s.fails(worker, workflow)
			_, stopping := s.stopping[run]
			if !failed && !stopping && (runTime == 0 || s.clock.now < since+runTime) {
				percent := int(s.clock.now / (200 * time.Millisecond))
				if s.progress != nil {
					percent = s.progress(run, s.clock.now-since)
				}
				response.Running = append(response.Running, pj.RunStatus{Run: run, Progress: percent})
				continue
			}
			delete(running, run)
			s.number[worker]++
			ended := pj.EndedRun{Number: s.number[worker], Run: run, Outcome: pj.EndDone}
			switch {
			case failed:
				ended.Outcome = pj.EndFailed
			case stopping:
				ended.Outcome = pj.EndStopped
			}
			response.Finished = append(response.Finished, ended)
		}
		responses[worker] = response
	}
	return responses
}

// runsOf returns how many runs of a workflow are on workers.
func (s *simulation) runsOf(workflow string) int {
	n := 0
	for _, running := range s.running {
		for run := range running {
			if run.Task.Workflow == workflow {
				n++
			}
		}
	}
	return n
}

func longRunning(tasks int) pj.Step {
	return pj.Step{Tasks: tasks, Task: pj.NewResources(4, 8, 0, 0), LongRunning: true, MaxTasksPerWorker: 1}
}

// TestFailingServicesLeaveWorkers guards against services that put all workers in quarantine for up to a minute, also for others: their tasks
// failed soon after each start, whichever worker they ran on.
func TestFailingServicesLeaveWorkers(t *testing.T) {
	tests := map[string]struct{ workers int }{
		"many workers": {workers: 12},
		"two workers":  {workers: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(newCell(t, test.workers))
			step := pj.Step{Tasks: 2, Task: pj.NewResources(0.5, 1, 0, 0), LongRunning: true}
			steadyFails, down := false, true
			s.fails = func(_, workflow string) bool {
				if workflow == "steady" {
					return steadyFails
				}
				return down
			}
			services := []string{"a", "b", "c", "d"}
			for _, id := range append(services, "steady") {
				s.submitWorkflow(pj.Workflow{ID: id, Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{step}, MaxAttempts: 2})
			}
			s.run(40 * time.Second)
			steadyFails = true
			s.run(50 * time.Millisecond)
			steadyFails = false
			s.run(longRunningWithin)
			s.is.Equal(s.runsOf("steady"), step.Tasks)
			down = false
			s.run(longRunningWithin)
			for _, id := range services {
				s.is.Equal(s.runsOf(id), step.Tasks)
			}
		})
	}
}

// TestFailedWorkerIsUsedAgain guards against accepted work that never runs: a job avoided the workers on which it had
// failed for good, and a worker whose probe didn't end was never used again, so that nobody was left who could run it.
func TestFailedWorkerIsUsedAgain(t *testing.T) {
	tests := map[string]struct {
		workers int
		run     func(s *simulation)
	}{
		"a job that failed once on each worker that may run it": {workers: 2, run: func(s *simulation) {
			const faulty = 6500 * time.Millisecond // most that workers fail at a time
			recovered := s.clock.now + faulty
			s.fails = func(string, string) bool { return s.clock.now < recovered }
			s.runTime["a"] = time.Second
			s.submitWorkflow(pj.Workflow{ID: "a", Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{oneTask()}, MaxAttempts: 4})
			s.run(faulty + finishWithin)
			s.is.Equal(s.state("a"), pj.WorkflowComplete)
		}},
		"a long-running task that fails more often than there are workers": {workers: 3, run: func(s *simulation) {
			const failures, interval = 7, 10 * time.Second
			s.submitWorkflow(pj.Workflow{ID: "a", Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{longRunning(3)}, MaxAttempts: 2})
			s.run(2 * time.Second)
			for range failures {
				failed := false
				s.fails = func(string, string) bool {
					first := !failed
					failed = true
					return first
				}
				s.run(longRunningWithin)
				s.is.Equal(s.runsOf("a"), 3)
				s.run(interval - longRunningWithin)
			}
		}},
		"the only other worker is in use for good": {workers: 2, run: func(s *simulation) {
			s.submitWorkflow(pj.Workflow{ID: "lasting", Queue: "q", Workspace: "team", Pool: "pool", MaxAttempts: 2, Steps: []pj.Step{
				{Tasks: 1, Task: pj.NewResources(8, 8, 0, 0), LongRunning: true},
			}})
			s.run(time.Second)
			s.runTime["a"] = time.Second
			s.fails = func(_, workflow string) bool { return workflow == "a" && len(s.started["a"]) == 1 }
			s.submitWorkflow(pj.Workflow{ID: "a", Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{oneTask()}, MaxAttempts: 4})
			s.run(finishWithin)
			s.is.Equal(s.state("a"), pj.WorkflowComplete)
		}},
		"a gang as wide as the fleet": {workers: 3, run: func(s *simulation) {
			s.runTime["a"] = time.Second
			s.fails = func(worker, _ string) bool { return worker == "w1" && len(s.started["a"]) == 3 }
			s.submitWorkflow(pj.Workflow{ID: "a", Queue: "q", Workspace: "team", Pool: "pool", MaxAttempts: 4, Steps: []pj.Step{
				{Tasks: 3, Task: pj.NewResources(8, 8, 0, 0), Gang: true},
			}})
			s.run(finishWithin)
			s.is.Equal(s.state("a"), pj.WorkflowComplete)
		}},
		"all workers that may run it are in quarantine": {workers: 2, run: func(s *simulation) {
			const faulty = 6500 * time.Millisecond
			recovered := s.clock.now + faulty
			s.fails = func(string, string) bool { return s.clock.now < recovered }
			for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
				s.runTime[id] = time.Second
				s.submitWorkflow(pj.Workflow{ID: id, Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{oneTask()}, MaxAttempts: 8})
				s.run(500 * time.Millisecond)
			}
			s.run(faulty - 4*time.Second + finishWithin)
			for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
				s.is.Equal(s.state(id), pj.WorkflowComplete)
			}
		}},
		"a probe that doesn't end": {workers: 1, run: func(s *simulation) {
			s.fails = func(string, string) bool { return true }
			for _, id := range []string{"a", "b", "c"} {
				s.submitWorkflow(pj.Workflow{ID: id, Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{oneTask()}, MaxAttempts: 1})
				s.run(200 * time.Millisecond)
			}
			s.fails = nil
			s.submitWorkflow(pj.Workflow{ID: "lasting", Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{longRunning(1)}, MaxAttempts: 2})
			s.run(40 * time.Second)
			s.is.Equal(s.runsOf("lasting"), 1)
			s.runTime["d"] = time.Second
			s.submitWorkflow(pj.Workflow{ID: "d", Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{oneTask()}, MaxAttempts: 2})
			s.run(finishWithin)
			s.is.Equal(s.state("d"), pj.WorkflowComplete)
		}},
		"a probe whose start is not accepted": {workers: 1, run: func(s *simulation) {
			s.fails = func(string, string) bool { return true }
			for _, id := range []string{"a", "b", "c"} {
				s.submitWorkflow(pj.Workflow{ID: id, Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{oneTask()}, MaxAttempts: 1})
				s.run(200 * time.Millisecond)
			}
			s.fails = nil
			s.submitWorkflow(pj.Workflow{ID: "cancelled", Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{oneTask()}, MaxAttempts: 2})
			for s.group.queued == nil { // until the start of the probe is being committed
				s.group.paused = true
				s.advance(50 * time.Millisecond)
				s.answerPolls(nil)
			}
			start := s.group.queued
			s.group.queued, s.group.paused = nil, false
			s.c.Cancel("cancelled", ofTeam, func(error) {}) // is committed first
			for _, commit := range start {
				commit()
			}
			s.is.Equal(len(s.orders.take("start")), 0)
			s.runTime["d"] = time.Second
			s.submitWorkflow(pj.Workflow{ID: "d", Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{oneTask()}, MaxAttempts: 2})
			s.run(finishWithin)
			s.is.Equal(s.state("d"), pj.WorkflowComplete)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test.run(newSimulation(newCell(t, test.workers))) })
	}
}
