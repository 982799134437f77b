package runs_test

import (
	"fmt"
	"testing"
	"time"

	pj "papayajunction"
)

// heldWithin is the time after which accepted work must run while most of the fleet is free, by the deployments' rules.
const heldWithin = 3 * time.Second

// publishTwo publishes the workspaces "team" and "other" with upper limits in cores.
func (s *simulation) publishTwo(team, other float64) {
	s.publish(
		pj.KeyedWorkspace{Workspace: pj.Workspace{Name: "team", Share: 2, Limit: pj.NewResources(team, 1000, 10, 0)}},
		pj.KeyedWorkspace{Workspace: pj.Workspace{Name: "other", Share: 1, Limit: pj.NewResources(other, 1000, 10, 0)}},
	)
}

// start submits a workflow of one step whose tasks run for the given time, 0 for long-running tasks.
func (s *simulation) start(id, workspace string, priority int, runTime time.Duration, step pj.Step) {
	s.runTime[id] = runTime
	step.LongRunning = runTime == 0
	step.EstimateMS = runTime.Milliseconds()
	s.submitWorkflow(pj.Workflow{
		ID: id, Queue: id, Workspace: workspace, Pool: "pool", Spec: "s", Steps: []pj.Step{step}, MaxAttempts: 2, Priority: priority,
	})
	s.run(200 * time.Millisecond)
}

func cores(tasks int, each float64) pj.Step {
	return pj.Step{Tasks: tasks, Task: pj.NewResources(each, 1, 0, 0)}
}

func gangOf(tasks int, each float64) pj.Step {
	step := cores(tasks, each)
	step.Gang = true
	return step
}

// TestWaitingGangLeavesRoom guards against accepted work that never runs beside a gang that waits: the gang kept free workers, or
// what its workspace had left of its limit, from all work after it, for as long as it could not start.
func TestWaitingGangLeavesRoom(t *testing.T) {
	tests := map[string]struct {
		workers int // of 8 cores each
		run     func(s *simulation)
	}{
		"its workspace's limit is used by long-running tasks": {workers: 16, run: func(s *simulation) {
			s.publishTwo(120, 50)
			s.start("service", "team", 0, 0, cores(8, 7))
			s.start("gang", "team", 0, 2*time.Second, gangOf(9, 8))
		}},
		"its workspace's limit is used by tasks that take minutes": {workers: 16, run: func(s *simulation) {
			s.publishTwo(120, 50)
			s.start("batch", "team", 0, 3*time.Minute, cores(8, 7))
			s.start("gang", "team", 0, 2*time.Second, gangOf(9, 8))
		}},
		"the workers it needs are used by long-running tasks": {workers: 16, run: func(s *simulation) {
			s.publishTwo(1000, 50)
			s.start("service", "team", 0, 0, cores(8, 1))
			s.start("gang", "team", 0, 2*time.Second, gangOf(16, 8))
		}},
		"the workers it needs are used by tasks that take minutes": {workers: 16, run: func(s *simulation) {
			s.publishTwo(1000, 50)
			s.start("batch", "team", 0, 3*time.Minute, cores(8, 5))
			s.start("gang", "team", 0, 2*time.Second, gangOf(12, 8))
		}},
		"the tasks it waits for take far longer than estimated": {workers: 16, run: func(s *simulation) {
			s.publishTwo(1000, 50)
			s.start("batch", "team", 0, 2*time.Second, cores(8, 5))
			s.runTime["batch"] = 3 * time.Minute
			s.run(5 * time.Second)
			s.start("gang", "team", 0, 2*time.Second, gangOf(12, 8))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(newCell(t, test.workers))
			test.run(s)
			s.is.Equal(len(s.started["gang"]), 0)
			for i := range 20 {
				for _, workspace := range []string{"other", "team"} {
					s.start(fmt.Sprintf("%s-%d", workspace, i), workspace, 2, 900*time.Millisecond, cores(1, 4))
				}
				s.run(600 * time.Millisecond)
			}
			s.run(heldWithin)
			for i := range 20 {
				for _, workspace := range []string{"other", "team"} {
					s.is.True(len(s.started[fmt.Sprintf("%s-%d", workspace, i)]) > 0)
				}
			}
			s.is.Equal(len(s.started["gang"]), 0)
		})
	}
}

// TestHoldsPauseOnlyAfterHolds: a gang that could not hold anything for long isn't kept from holding later.
func TestHoldsPauseOnlyAfterHolds(t *testing.T) {
	s := newSimulation(newCell(t, 2))
	s.publishTwo(1000, 1000)
	s.start("batch", "team", 0, 20*time.Second, cores(2, 5))
	s.start("gang", "team", 0, time.Second, gangOf(2, 8)) // waits for the end of the long tasks
	s.run(19 * time.Second)
	for i := range 40 {
		s.start(fmt.Sprintf("later-%d", i), "team", 0, 5*time.Second, cores(2, 3))
	}
	s.is.Equal(len(s.started["gang"]), 2)
}

// TestLongRunningTasksPassHolds guards against services that are away for long: a gang that waits on a busy fleet holds free workers
// for seconds, but tasks that are to run all the time don't wait for that.
func TestLongRunningTasksPassHolds(t *testing.T) {
	s := newSimulation(newCell(t, 4))
	s.publishTwo(1000, 1000)
	s.start("batch", "team", 0, 9*time.Second, cores(2, 8))
	s.start("gang", "team", 0, time.Second, gangOf(3, 8))
	s.start("later", "other", 2, 20*time.Second, cores(1, 1))
	s.run(heldWithin)
	s.is.Equal(len(s.started["later"]), 0)
	s.start("service", "other", 2, 0, cores(1, 1))
	s.run(heldWithin)
	s.is.Equal(len(s.started["service"]), 1)
}

// TestHeadroomEnds guards against work that waits although nothing else of its workspace runs: what urgent work had used a while ago
// was kept free for over a minute, so that work as large as the limit did not start.
func TestHeadroomEnds(t *testing.T) {
	s := newSimulation(newCell(t, 16))
	s.publishTwo(120, 50)
	s.start("urgent", "team", 0, time.Second, cores(14, 8))
	s.start("later", "team", 1, time.Second, gangOf(15, 8))
	s.run(800 * time.Millisecond) // the urgent work ends
	s.is.Equal(s.state("urgent"), pj.WorkflowComplete)
	s.run(heldWithin)
	s.is.Equal(len(s.started["later"]), 15)
}

// TestGangIsAssembled guards against gangs that never start: a gang that is about to start keeps what has become free from the
// tasks that are submitted all the time, both on workers and of its workspace's limit.
func TestGangIsAssembled(t *testing.T) {
	tests := map[string]struct {
		limit   float64 // in cores
		runTime time.Duration
		gang    pj.Step
	}{
		"the fleet is full":                            {limit: 1000, runTime: 2 * time.Second, gang: gangOf(3, 8)},
		"the fleet is full of longer tasks":            {limit: 1000, runTime: 5 * time.Second, gang: gangOf(3, 8)},
		"its workspace's limit is reached":             {limit: 24, runTime: 2 * time.Second, gang: gangOf(3, 8)},
		"its workspace's limit is used by longer ones": {limit: 24, runTime: 5 * time.Second, gang: gangOf(3, 8)},
		"several members on a worker":                  {limit: 1000, runTime: 2 * time.Second, gang: gangOf(7, 4)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(newCell(t, 4))
			s.publishTwo(test.limit, 1000)
			for i := range 24 {
				s.start(fmt.Sprintf("early-%d", i), "team", 1, test.runTime, cores(1, 4))
			}
			s.start("gang", "team", 1, test.runTime, test.gang)
			for i := range 200 {
				s.start(fmt.Sprintf("late-%d", i), "team", 1, test.runTime, cores(1, 4))
			}
			s.is.Equal(len(s.started["gang"]), test.gang.Tasks)
			s.is.Equal(s.state("gang"), pj.WorkflowComplete)
		})
	}
}
