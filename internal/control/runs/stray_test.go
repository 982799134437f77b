package runs_test

import (
	"testing"
	"time"

	pj "papayajunction"
)

// loseRun makes the run of a start count as ended, because its worker lists it and then answers nothing until its lease is over.
func (x *cell) loseRun(start *order) {
	start.answer(nil)
	x.hear(map[string]pj.PollResponse{start.worker: {Running: []pj.RunStatus{{Run: start.run}}}})
	for range 100 {
		x.advance(100 * time.Millisecond)
		for _, o := range x.orders.take("poll") {
			if o.worker == start.worker {
				o.answerPoll(pj.PollResponse{}, errNoAnswer)
				continue
			}
			o.answerPoll(x.listed(testIncarnation, 0, nil), nil)
		}
		x.flush()
	}
}

// hear answers the polls, each with what its worker lists.
func (x *cell) hear(listed map[string]pj.PollResponse) {
	x.advance(300 * time.Millisecond)
	x.answerPolls(listed)
}

// TestLateDoneIsKept guards against a task that runs again after it was done: the worker of a run was out of reach until that counted as
// lost, and then listed its end as done. That was acknowledged and thrown away.
func TestLateDoneIsKept(t *testing.T) {
	tests := map[string]struct {
		workers int
		step    pj.Step
		stops   int // of later runs
	}{
		"the task waits":                   {workers: 1, step: oneTask()},
		"a later run is there":             {workers: 2, step: oneTask(), stops: 1},
		"the gang waits":                   {workers: 1, step: pj.Step{Tasks: 2, Task: pj.NewResources(2, 2, 0, 0), Gang: true}},
		"a later run of the gang is there": {workers: 2, step: pj.Step{Tasks: 2, Task: pj.NewResources(2, 2, 0, 0), Gang: true}, stops: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, test.workers)
			x.submitWorkflow(pj.Workflow{
				ID: "a", Queue: "q", Workspace: "team", Pool: "pool", Spec: "s", MaxAttempts: 2,
				Steps: []pj.Step{test.step, {Tasks: 1, Task: pj.NewResources(1, 1, 0, 0), DependsOn: []int{0}}},
			})
			starts := x.orders.take("start")
			for _, start := range starts[1:] {
				start.answer(nil)
			}
			x.loseRun(starts[0])
			later := x.orders.take("start")
			x.is.Equal(len(later), test.stops)
			for _, start := range later {
				start.answer(nil)
			}
			x.orders.take("stop")
			listed := map[string]pj.PollResponse{starts[0].worker: {Finished: []pj.EndedRun{{Number: 1, Run: starts[0].run, Outcome: pj.EndDone}}}}
			for _, start := range later {
				response := listed[start.worker]
				response.Running = append(response.Running, pj.RunStatus{Run: start.run})
				listed[start.worker] = response
			}
			x.hear(listed)
			x.is.Equal(len(x.orders.take("stop")), test.stops)
			next := x.orders.take("start")
			x.is.Equal(len(next), 1) // of the step that depends on it
			x.is.Equal(next[0].run.Task.Step, 1)
			x.advance(100 * time.Millisecond)
			next[0].answer(nil)
			x.hear(map[string]pj.PollResponse{next[0].worker: {Finished: []pj.EndedRun{{Number: 2, Run: next[0].run, Outcome: pj.EndDone}}}})
			x.is.Equal(x.state("a"), pj.WorkflowComplete)
		})
	}
}

// TestStrayRunKeepsItsTask guards against a task on two workers: a worker listed a run that counted as ended, and while that was being
// stopped the task started again.
func TestStrayRunKeepsItsTask(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	x.loseRun(start)
	for range 3 {
		x.hear(map[string]pj.PollResponse{"w0": {Running: []pj.RunStatus{{Run: start.run, Progress: 1}}}})
		x.is.True(len(x.orders.take("stop")) > 0)
		x.is.Equal(len(x.orders.take("start")), 0)
	}
	x.hear(map[string]pj.PollResponse{"w0": {Finished: []pj.EndedRun{{Number: 1, Run: start.run, Outcome: pj.EndStopped}}}})
	again := x.orders.take("start")
	x.is.Equal(len(again), 1)
	x.is.Equal(again[0].run.Run, 2)
}

// TestStrayRunSeenWithRestart guards against the same if the answer of the next incarnation to a poll that was meant for the earlier one lists
// the run, whether it shows the restart or comes after the announcement that did.
func TestStrayRunSeenWithRestart(t *testing.T) {
	for name, announced := range map[string]bool{"by the answer": false, "by the announcement before": true} {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			x.submit("a", oneTask())
			start := x.orders.take("start")[0]
			x.loseRun(start)
			x.advance(300 * time.Millisecond)
			polls := x.orders.take("poll")
			if announced {
				w := testWorker("w0")
				w.Incarnation++
				x.is.NoErr(x.announce(w))
			}
			for _, o := range polls {
				o.answerPoll(x.listed(testIncarnation+1, time.Hour, []pj.RunStatus{{Run: start.run}}), nil)
			}
			x.is.NoErr(x.announce(testWorker("w1")))
			for range 3 {
				x.advance(100 * time.Millisecond)
				x.answerPollsOf("w1")
				x.is.Equal(len(x.orders.take("start")), 0)
			}
			x.advance(300 * time.Millisecond)
			for _, o := range x.orders.take("poll") {
				if o.worker == "w0" {
					o.answerPoll(x.listed(testIncarnation+1, time.Hour, nil), nil)
					continue
				}
				o.answerPoll(x.listed(testIncarnation, 0, nil), nil)
			}
			x.flush()
			x.is.Equal(len(x.orders.take("start")), 1)
		})
	}
}

// TestStrayRunUsesCapacity guards against too much on a worker: a run that is being stopped there isn't in the accounts.
func TestStrayRunUsesCapacity(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	x.loseRun(start)
	x.hear(map[string]pj.PollResponse{"w0": {Running: []pj.RunStatus{{Run: start.run}}}})
	x.submit("b", pj.Step{Tasks: 1, Task: pj.NewResources(8, 8, 0, 0)})
	x.advance(300 * time.Millisecond)
	x.is.Equal(len(x.orders.take("start")), 0)
	for range 12 {
		x.hear(nil)
	}
	x.is.True(len(x.orders.take("start")) > 0)
}

// TestStartBehindLateDone guards against a task that runs again after it was done: the end as done was read while a start of the task was being committed, and the
// start was sent before the end was committed.
func TestStartBehindLateDone(t *testing.T) {
	x := newCell(t, 2)
	x.submit("a", wholeWorker())
	first := x.orders.take("start")[0]
	first.answer(nil)
	x.hear(map[string]pj.PollResponse{first.worker: {Running: []pj.RunStatus{{Run: first.run}}}})
	for len(x.group.queued) == 0 && x.clock.now < 30*time.Second { // until the run is lost and the next start is being committed
		x.clock.now += 50 * time.Millisecond
		x.c.Tick()
		x.answerPollsOf(otherThan(first.worker))
		x.group.paused = true
		x.c.Flush()
		x.group.paused = len(x.group.queued) > 0
	}
	if len(x.group.queued) > 0 && len(x.group.state.Record("a").Task(runID("a", 0, 0).Task).Worker) > 0 { // that was the end of the run
		x.group.resume()
		x.group.paused = true
		x.c.Flush()
	}
	x.is.Equal(len(x.group.queued), 1)
	done := pj.EndedRun{Number: 1, Run: first.run, Outcome: pj.EndDone}
	answered := false
	for range 60 {
		for _, o := range x.orders.take("poll") {
			if o.worker == first.worker && !answered {
				answered = true
				o.answerPoll(x.listed(testIncarnation, 0, nil, done), nil)
			}
		}
		x.clock.now += 50 * time.Millisecond
		x.c.Tick()
	}
	x.is.True(answered)
	x.group.resume()
	x.is.Equal(len(x.orders.take("start")), 0)
	x.flush()
	x.is.Equal(len(x.orders.take("start")), 0)
	x.is.Equal(x.state("a"), pj.WorkflowComplete)
}

// TestStrayRunOfSilentWorker: work isn't kept waiting for a stray run that its worker no longer reports, once the worker's lease is over.
func TestStrayRunOfSilentWorker(t *testing.T) {
	x := newCell(t, 2)
	step := pj.Step{Tasks: 1, Task: pj.NewResources(8, 8, 0, 0)}
	x.submit("a", step)
	first := x.orders.take("start")[0]
	x.loseRun(first)
	second := x.orders.take("start")[0]
	second.answer(&pj.RefusedError{Reason: pj.RefusedNoCapacity}) // the task waits again
	x.hear(map[string]pj.PollResponse{first.worker: {Running: []pj.RunStatus{{Run: first.run}}}})
	x.is.Equal(len(x.orders.take("start")), 0)
	x.loseRun(first)
	x.is.Equal(len(x.orders.take("start")), 1)
}
