package runs_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/runs"
	"papayajunction/internal/control/workflow"
)

// scheduled returns a workflow of one step that runs a number of times, first at a time relative to the test's start.
func scheduled(id string, times int, startAt, interval time.Duration, steps ...pj.Step) pj.Workflow {
	if len(steps) == 0 {
		steps = []pj.Step{oneTask()}
	}
	return pj.Workflow{
		ID: id, Queue: "q", Workspace: "team", Pool: "pool", Spec: "s", Steps: steps, MaxAttempts: 2,
		ScheduledOccurrences: times, StartAtMS: testTime + startAt.Milliseconds(), IntervalMS: interval.Milliseconds(),
	}
}

// runDue answers all starts and reports their runs as done, until nothing starts any more. It returns the started runs.
func (x *cell) runDue(number *int64) []pj.RunID {
	var started []pj.RunID
	for {
		starts := x.orders.take("start")
		if len(starts) == 0 {
			return started
		}
		ends := make(map[string][]pj.EndedRun)
		for _, s := range starts {
			started = append(started, s.run)
			s.answer(nil)
			*number++
			ends[s.worker] = append(ends[s.worker], pj.EndedRun{Number: *number, Run: s.run, Outcome: pj.EndDone})
		}
		responses := make(map[string]pj.PollResponse)
		for w, list := range ends {
			responses[w] = pj.PollResponse{Finished: list}
		}
		x.advance(50 * time.Millisecond)
		x.answerPolls(responses)
		x.advance(50 * time.Millisecond)
	}
}

func occurrencesOf(started []pj.RunID) []int {
	var k []int
	for _, r := range started {
		k = append(k, r.Task.Occurrence)
	}
	slices.Sort(k)
	return k
}

func upTo(n int) []int {
	k := make([]int, n)
	for i := range k {
		k[i] = i
	}
	return k
}

// TestOccurrencesRunWhenDue: each occurrence runs once, when it is due and not before, also those beyond the window of occurrences that wait,
// those of steps that wait beside a step that can't run, and those that a new leader finds.
func TestOccurrencesRunWhenDue(t *testing.T) {
	const times = 5 * workflow.ScheduledWindow
	blocked := pj.Step{Tasks: 1, Task: pj.NewResources(1, 1, 0, 0), Label: "none"}
	second := oneTask()
	second.DependsOn = []int{0}
	tests := map[string]struct {
		workflow pj.Workflow
		elect    bool
		after    time.Duration
		want     []int
		state    pj.WorkflowState
	}{
		"all ahead":                      {workflow: scheduled("a", times, time.Hour, time.Hour), after: time.Minute, state: pj.WorkflowQueued},
		"the first one is due":           {workflow: scheduled("a", times, 30*time.Second, time.Hour), after: time.Minute, want: upTo(1), state: pj.WorkflowRunning},
		"some are due":                   {workflow: scheduled("a", times, 0, time.Minute), after: 150 * time.Second, want: upTo(3), state: pj.WorkflowRunning},
		"all are due":                    {workflow: scheduled("a", times, -1000*time.Hour, time.Minute), after: time.Second, want: upTo(times), state: pj.WorkflowComplete},
		"all are due at once":            {workflow: scheduled("a", times, -time.Hour, 0), after: time.Second, want: upTo(times), state: pj.WorkflowComplete},
		"all are due, with a new one":    {workflow: scheduled("a", times, -1000*time.Hour, time.Minute), elect: true, after: 20 * time.Second, want: upTo(times), state: pj.WorkflowComplete},
		"some are due, with a new one":   {workflow: scheduled("a", times, 0, time.Minute), elect: true, after: 150 * time.Second, want: upTo(3), state: pj.WorkflowRunning},
		"beside a step that can't run":   {workflow: scheduled("a", times, -1000*time.Hour, time.Minute, blocked, oneTask()), after: time.Second, want: upTo(times), state: pj.WorkflowRunning},
		"beside a step that is faster":   {workflow: scheduled("a", times+1, -(times-1)*time.Hour, time.Hour, pj.Step{Tasks: 1, Task: pj.NewResources(8, 8, 0, 0)}, pj.Step{Tasks: 1, Task: pj.NewResources(0.01, 0.01, 0, 0)}), after: 20 * time.Second, want: slices.Sorted(slices.Values(slices.Repeat(upTo(times), 2))), state: pj.WorkflowRunning},
		"before a step that can't run":   {workflow: scheduled("a", times, -1000*time.Hour, time.Minute, oneTask(), pj.Step{Tasks: 1, Label: "none", DependsOn: []int{0}}), after: time.Second, want: upTo(times), state: pj.WorkflowRunning},
		"of steps that follow the other": {workflow: scheduled("a", 2, -time.Hour, time.Minute, oneTask(), second), after: time.Second, want: []int{0, 0, 1, 1}, state: pj.WorkflowComplete},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newCell(t, 4)
			number := int64(0)
			x.submitWorkflow(test.workflow)
			started := x.runDue(&number)
			if test.elect {
				x.elect(2)
				x.answerPolls(nil)
			}
			for deadline := x.clock.now + test.after; x.clock.now < deadline; {
				x.advance(500 * time.Millisecond)
				x.answerPolls(nil)
				started = append(started, x.runDue(&number)...)
			}
			is.Equal(fmt.Sprint(occurrencesOf(started)), fmt.Sprint(append([]int{}, test.want...)))
			is.Equal(x.state("a"), test.state)
		})
	}
}

// TestDistantOccurrencesCostNothing: the work of a tick, a cancel and an election doesn't grow with the number of occurrences that lie ahead.
// Guards against a leader that is busy for longer than its lead lasts: each tick and each cancel went through all occurrences of all workflows.
func TestDistantOccurrencesCostNothing(t *testing.T) {
	const workflows = 60
	allocations := func(times int) (tick, cancel, election float64) {
		x := newCell(t, 2)
		for i := range workflows {
			x.submitWorkflow(scheduled(fmt.Sprint("w", i), times, time.Hour, time.Hour))
		}
		tick = testing.AllocsPerRun(20, func() { x.advance(50 * time.Millisecond) })
		election = testing.AllocsPerRun(3, func() { x.elect(2) })
		next := 0
		cancel = testing.AllocsPerRun(20, func() {
			x.c.Cancel(fmt.Sprint("w", next), ofTeam, func(err error) { x.is.NoErr(err) })
			next++
		})
		return tick, cancel, election
	}
	is := is.New(t)
	const most = 1.5 // of the same with few occurrences
	tick, cancel, election := allocations(8)
	manyTick, manyCancel, manyElection := allocations(yearOf)
	t.Logf("allocations: tick %v and %v, cancel %v and %v, election %v and %v", tick, manyTick, cancel, manyCancel, election, manyElection)
	is.True(manyTick <= most*tick+1)
	is.True(manyCancel <= most*cancel+1)
	is.True(manyElection <= most*election+1)
}

// TestStateBudget: work beyond the budget is refused at once, as not run, and what was accepted goes on. One workspace leaves room for others.
func TestStateBudget(t *testing.T) {
	const budget = 1 << 20
	tests := map[string]struct {
		options  runs.Options
		accepted func(first, second int, bytes int64) bool // workflows of two workspaces, one after the other
	}{
		"one workspace leaves a third": {options: runs.Options{StateBudget: budget}, accepted: func(first, second int, bytes int64) bool {
			return within(int64(first)*bytes, budget*2/3, bytes) && second > 0
		}},
		"the other one gets twice the rest": {options: runs.Options{StateBudget: budget}, accepted: func(first, second int, bytes int64) bool {
			return within(int64(second)*bytes, (budget-int64(first)*bytes)*2/3, bytes)
		}},
		"a workspace with a budget": {options: runs.Options{StateBudget: budget, WorkspaceStateBudget: budget / 4}, accepted: func(first, second int, bytes int64) bool {
			return within(int64(first)*bytes, budget/4, bytes) && first == second
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newCell(t, 2)
			x.electWith(2, test.options)
			var bytes int64
			fill := func(workspace string) (accepted int) {
				for i := 0; ; i++ {
					w := scheduled(fmt.Sprint(workspace, i), yearOf, time.Hour, time.Hour)
					w.Workspace = workspace
					bytes = workflow.NewWorkflowFootprint(&w)
					var err error
					x.c.Submit(w, func(e error) { err = e })
					if err == nil {
						accepted++
						continue
					}
					refused := pj.AsError(err)
					is.Equal(refused.Code, pj.CodeOverloaded)
					is.True(refused.NotRun)
					is.True(refused.RetryAfter > 0)
					is.Equal(x.group.state.Record(w.ID), nil)
					return accepted
				}
			}
			first := fill("team")
			second := fill("other")
			if !test.accepted(first, second, bytes) {
				t.Errorf("%d and %d workflows of %d bytes were accepted", first, second, bytes)
			}
			for i := range first {
				x.c.Cancel(fmt.Sprint("team", i), ofTeam, func(err error) { is.NoErr(err) })
			}
			x.c.Submit(scheduled("team1", yearOf, time.Hour, time.Hour), func(err error) { is.NoErr(err) }) // again
			x.c.Submit(scheduled("late", yearOf, time.Hour, time.Hour), func(err error) { is.NoErr(err) })
		})
	}
}

// within reports whether n is at most the limit, and no more than two units below it.
func within(n, limit, unit int64) bool {
	return n <= limit && n > limit-2*unit
}

// TestBudgetCountsProposals: submissions that are being committed count, too.
func TestBudgetCountsProposals(t *testing.T) {
	is := is.New(t)
	x := newCell(t, 2)
	w := scheduled("a", 8, time.Hour, time.Hour)
	x.electWith(2, runs.Options{StateBudget: 2 * workflow.NewWorkflowFootprint(&w)})
	x.group.paused = true
	refused := 0
	for i := range 5 {
		x.c.Submit(scheduled(fmt.Sprint("w", i), 8, time.Hour, time.Hour), func(err error) {
			if err != nil {
				refused++
			}
		})
	}
	is.Equal(refused, 4)
	x.group.resume()
	is.Equal(refused, 4)
}

// TestOpenOccurrencesStayWithinBudget: what an accepted schedule takes when all its occurrences are due and stay open is bounded as well.
func TestOpenOccurrencesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	x := newCell(t, 4)
	const budget = 1 << 20
	x.electWith(2, runs.Options{StateBudget: budget})
	x.answerPolls(nil)
	stuck := pj.Step{Tasks: 1, Label: "none", DependsOn: []int{0}}
	x.submitWorkflow(scheduled("a", 2000, -2000*time.Hour, time.Hour, oneTask(), stuck))
	number := int64(0)
	started := len(x.runDue(&number))
	for range 20 {
		x.advance(500 * time.Millisecond)
		x.answerPolls(nil)
		started += len(x.runDue(&number))
	}
	footprint := x.group.state.Footprint().Total()
	t.Logf("%d occurrences started, %d bytes", started, footprint)
	is.True(started > workflow.ScheduledWindow)
	is.True(started < 2000)
	is.True(footprint <= budget)
	x.submitWorkflow(pj.Workflow{ID: "other", Queue: "q", Workspace: "other", Pool: "pool", Steps: []pj.Step{oneTask()}, MaxAttempts: 1})
	x.c.Cancel("a", ofTeam, func(err error) { is.NoErr(err) })
	x.submitWorkflow(scheduled("b", 10, -time.Hour, time.Minute))
	x.advance(500 * time.Millisecond)
	is.Equal(len(x.runDue(&number)), 11)
}
