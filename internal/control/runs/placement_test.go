package runs_test

import (
	"slices"
	"testing"
	"time"

	pj "papayajunction"
)

// TestPlacement covers where and in which order tasks start.
func TestPlacement(t *testing.T) {
	small := pj.Step{Tasks: 1, Task: pj.NewResources(2, 2, 0, 0)}
	tests := map[string]struct {
		workers int
		run     func(x *cell)
	}{
		"no worker is overcommitted": {workers: 2, run: func(x *cell) {
			x.submit("a", pj.Step{Tasks: 20, Task: pj.NewResources(3, 1, 0, 0)})
			x.is.Equal(len(x.orders.take("start")), 4) // two on each worker of 8 cores
		}},
		"a gang starts all its tasks or none": {workers: 1, run: func(x *cell) {
			x.submit("a", pj.Step{Tasks: 1, Task: pj.NewResources(4, 1, 0, 0)})
			first := x.orders.take("start")
			x.submit("b", pj.Step{Tasks: 2, Task: pj.NewResources(4, 1, 0, 0), Gang: true})
			x.is.Equal(len(x.orders.take("start")), 0)
			x.submit("c", pj.Step{Tasks: 1, Task: pj.NewResources(4, 1, 0, 0)})
			x.is.Equal(len(x.orders.take("start")), 0) // the free capacity is claimed for the gang
			first[0].answer(nil)
			x.advance(100 * time.Millisecond)
			x.answerPolls(map[string]pj.PollResponse{"w0": {Finished: []pj.EndedRun{{Number: 1, Run: first[0].run, Outcome: pj.EndDone}}}})
			starts := x.orders.take("start")
			x.is.Equal(len(starts), 2)
			x.is.Equal(starts[0].run.Run, starts[1].run.Run)
			x.is.Equal(starts[0].run.Task.Workflow, "b")
		}},
		"the other members of a gang are stopped when one fails": {workers: 2, run: func(x *cell) {
			x.submit("g", pj.Step{Tasks: 2, Task: pj.NewResources(5, 1, 0, 0), Gang: true})
			starts := x.orders.take("start")
			x.is.Equal(len(starts), 2)
			starts[0].answer(nil)
			starts[1].answer(nil)
			x.advance(100 * time.Millisecond)
			x.answerPolls(map[string]pj.PollResponse{
				starts[0].worker: {Finished: []pj.EndedRun{{Number: 1, Run: starts[0].run, Outcome: pj.EndFailed}}},
				starts[1].worker: {Running: []pj.RunStatus{{Run: starts[1].run}}},
			})
			stops := x.orders.take("stop")
			x.is.Equal(len(stops), 1)
			x.is.Equal(stops[0].run, starts[1].run)
			x.is.Equal(len(x.orders.take("start")), 0) // not before all members have ended
		}},
		"anti-affinity limits the tasks of a step on a worker": {workers: 2, run: func(x *cell) {
			x.submit("a", pj.Step{Tasks: 6, Task: pj.NewResources(1, 1, 0, 0), MaxTasksPerWorker: 2})
			x.is.Equal(len(x.orders.take("start")), 4)
		}},
		"a task with a label that no worker has does not start": {workers: 1, run: func(x *cell) {
			step := small
			step.Label = "fast"
			x.submit("a", step)
			x.is.Equal(len(x.orders.take("start")), 0)
		}},
		"a workspace stays within its upper limit": {workers: 2, run: func(x *cell) {
			x.publishLimit(pj.NewResources(6, 100, 0, 0))
			x.submit("a", pj.Step{Tasks: 8, Task: pj.NewResources(2, 1, 0, 0)})
			x.is.Equal(len(x.orders.take("start")), 3)
		}},
		"work of an open queue has no upper limit": {workers: 1, run: func(x *cell) {
			x.submitWorkflow(pj.Workflow{ID: "open", Queue: "q", Pool: "pool", Steps: []pj.Step{small}, MaxAttempts: 1})
			x.is.Equal(len(x.orders.take("start")), 1)
		}},
		"the limit of a removed workspace no longer applies to its work": {workers: 1, run: func(x *cell) {
			x.publishLimit(pj.NewResources(1, 1, 0, 0))
			x.submit("a", small)
			x.is.Equal(len(x.orders.take("start")), 0)
			x.publish()
			x.advance(100 * time.Millisecond)
			x.is.Equal(len(x.orders.take("start")), 1)
		}},
		"urgent work starts first": {workers: 1, run: func(x *cell) {
			x.submit("full", pj.Step{Tasks: 1, Task: pj.NewResources(8, 1, 0, 0)})
			first := x.orders.take("start")[0]
			first.answer(nil)
			x.submitWorkflow(pj.Workflow{ID: "later", Queue: "q", Workspace: "team", Pool: "pool", Priority: 2, Steps: []pj.Step{small}, MaxAttempts: 1})
			x.submitWorkflow(pj.Workflow{ID: "urgent", Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{{Tasks: 1, Task: pj.NewResources(7, 1, 0, 0)}}, MaxAttempts: 1})
			x.advance(100 * time.Millisecond)
			x.answerPolls(map[string]pj.PollResponse{"w0": {Finished: []pj.EndedRun{{Number: 1, Run: first.run, Outcome: pj.EndDone}}}})
			starts := x.orders.take("start")
			x.is.Equal(len(starts), 1)
			x.is.Equal(starts[0].run.Task.Workflow, "urgent")
		}},
		"a workspace above its share starts after one within its share": {workers: 2, run: func(x *cell) {
			x.publishShares(map[string]float64{"team": 1, "other": 3})
			x.submit("large", pj.Step{Tasks: 2, Task: pj.NewResources(8, 1, 0, 0)})
			first := x.orders.take("start")
			x.is.Equal(len(first), 2)
			x.submit("more", pj.Step{Tasks: 1, Task: pj.NewResources(8, 1, 0, 0)})
			x.submitWorkflow(pj.Workflow{ID: "small", Queue: "q", Workspace: "other", Pool: "pool", Steps: []pj.Step{{Tasks: 1, Task: pj.NewResources(8, 1, 0, 0)}}, MaxAttempts: 1})
			x.advance(100 * time.Millisecond)
			x.answerPolls(map[string]pj.PollResponse{
				"w0": {Finished: []pj.EndedRun{{Number: 1, Run: orderFor(first, "w0").run, Outcome: pj.EndDone}}},
				"w1": {Running: []pj.RunStatus{{Run: orderFor(first, "w1").run}}},
			})
			starts := x.orders.take("start")
			x.is.Equal(len(starts), 1)
			x.is.Equal(starts[0].run.Task.Workflow, "small")
		}},
		"an occurrence waits for its start time": {workers: 1, run: func(x *cell) {
			x.submitWorkflow(pj.Workflow{
				ID: "t", Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{small}, MaxAttempts: 1,
				ScheduledOccurrences: 2, StartAtMS: testTime + x.clock.now.Milliseconds() + 500, IntervalMS: 5000,
			})
			x.advance(400 * time.Millisecond)
			x.is.Equal(len(x.orders.take("start")), 0)
			x.advance(300 * time.Millisecond)
			starts := x.orders.take("start")
			x.is.Equal(len(starts), 1)
			x.is.Equal(starts[0].run.Task.Occurrence, 0)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { tc.run(newCell(t, tc.workers)) })
	}
}

// TestProgress checks which runs are stopped because they make no progress. It guards against tasks of minutes that never end: a run was
// stopped when its percent stayed the same for 2.5 s, which is less than a percent of such a task takes.
func TestProgress(t *testing.T) {
	responses := func(s *order, percent int) map[string]pj.PollResponse {
		return map[string]pj.PollResponse{s.worker: {Running: []pj.RunStatus{{Run: s.run, Progress: percent}}}}
	}
	tests := map[string]struct {
		step     pj.Step
		percents []int // at polls half a second apart
		stopped  bool
	}{
		"no progress":     {step: oneTask(), percents: []int{10, 10, 10, 10, 10, 10, 10}, stopped: true},
		"steady progress": {step: oneTask(), percents: []int{10, 11, 12, 13, 14, 15, 16}},
		"brief stall":     {step: oneTask(), percents: []int{10, 10, 10, 11, 11, 11, 12}},
		"a task of minutes, by its estimate": {
			step: pj.Step{Tasks: 1, Task: pj.NewResources(4, 8, 0, 0), EstimateMS: 300_000}, percents: []int{0, 0, 0, 0, 0, 0, 0, 0, 1},
		},
		"a task of minutes, by its pace": {step: oneTask(), percents: []int{0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 2}},
		"a task of minutes that stalls": {
			step: pj.Step{Tasks: 1, Task: pj.NewResources(4, 8, 0, 0), EstimateMS: 300_000}, percents: slices.Repeat([]int{1}, 30), stopped: true,
		},
		"long-running": {step: pj.Step{Tasks: 1, Task: pj.NewResources(4, 8, 0, 0), LongRunning: true}, percents: []int{100, 100, 100, 100, 100, 100, 100}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			x.submit("a", tc.step)
			start := x.orders.take("start")[0]
			start.answer(nil)
			for _, percent := range tc.percents {
				x.advance(500 * time.Millisecond)
				x.answerPolls(responses(start, percent))
			}
			x.is.Equal(len(x.orders.take("stop")) > 0, tc.stopped)
		})
	}
}

// TestLongTaskAmongShortOnes guards against a task of ten minutes that never ended: in a queue of tasks of a second, each of its runs was stopped
// before its first percent, and its worker, the only one that could run it, was left out for three seconds each time.
func TestLongTaskAmongShortOnes(t *testing.T) {
	const (
		percent  = 6 * time.Second // of the long task
		maxStops = 3               // until a run is given the time of a percent
		maxPause = 3 * time.Second // without a run
	)
	tests := map[string]struct {
		step  pj.Step
		elect bool // a new leader finds the run before its first percent
		stops int
	}{
		"an exact estimate":   {step: pj.Step{Tasks: 1, Task: pj.NewResources(4, 8, 0, 0), EstimateMS: 600_000}},
		"a new leader":        {step: pj.Step{Tasks: 1, Task: pj.NewResources(4, 8, 0, 0), EstimateMS: 600_000}, elect: true},
		"no estimate":         {step: oneTask(), stops: maxStops},
		"a far too short one": {step: pj.Step{Tasks: 1, Task: pj.NewResources(4, 8, 0, 0), EstimateMS: 1000}, stops: maxStops},
		"a gang":              {step: pj.Step{Tasks: 2, Task: pj.NewResources(4, 8, 0, 0), Gang: true}, stops: maxStops},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(newCell(t, 1))
			s.runTime["short"] = time.Second
			s.submit("short", oneTask())
			s.run(30 * time.Second)
			s.progress = func(_ pj.RunID, ran time.Duration) int { return int(ran / percent) }
			s.submit("long", test.step)
			s.run(time.Second)
			if test.elect {
				s.elect(2)
			}
			pause := time.Duration(0)
			for range 800 {
				s.run(50 * time.Millisecond)
				pause += 50 * time.Millisecond
				if s.runsOf("long") > 0 {
					pause = 0
				}
				s.is.True(pause < maxPause)
			}
			starts := len(s.started["long"]) / test.step.Tasks
			s.is.True(starts <= 1+test.stops)
			s.is.True(s.clock.now-s.started["long"][len(s.started["long"])-1] > 2*percent)
		})
	}
}

// TestProbeAfterQuarantine: a worker that failed all its tasks receives one task as a probe after its quarantine, however many are pending.
func TestProbeAfterQuarantine(t *testing.T) {
	x := newCell(t, 1)
	for _, id := range []string{"a", "b", "c"} {
		x.submit(id, oneTask())
		start := x.orders.take("start")[0]
		start.answer(nil)
		x.advance(100 * time.Millisecond)
		number := int64(id[0]-'a') + 1
		x.answerPolls(map[string]pj.PollResponse{"w0": {Finished: []pj.EndedRun{{Number: number, Run: start.run, Outcome: pj.EndFailed}}}})
		x.c.Cancel(id, ofTeam, func(error) {})
	}
	x.orders.take("start")
	x.submit("many", pj.Step{Tasks: 3, Task: pj.NewResources(1, 1, 0, 0), EstimateMS: 1000})
	for range 40 {
		x.advance(time.Second)
		x.answerPolls(nil)
	}
	x.is.Equal(len(x.orders.take("start")), 1)
}
