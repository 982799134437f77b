package runs_test

import (
	"fmt"
	"testing"
	"time"

	pj "papayajunction"
)

// TestBlockedWorkHidesNothing guards against accepted work that waits behind work that can't start, however much that is and whatever
// blocks it: a pass considered the first 400 waiting task sets only, and then a hundred of the others in turn.
func TestBlockedWorkHidesNothing(t *testing.T) {
	labelled := cores(1, 1)
	labelled.Label = "nobody"
	tests := map[string]struct {
		blocked    func(i int) pj.Step
		count      int
		workspaces int // of the blocked work, 1 for "team", 0 for that of the later work
	}{
		"a workspace at its limit":                   {count: 1500, workspaces: 1, blocked: same(cores(1, 4))},
		"another workspace, a label that nobody has": {count: 1500, workspaces: 1, blocked: same(labelled)},
		"its own workspace":                          {count: 1500, blocked: same(labelled)},
		"gangs that fit no free workers":             {count: 1500, workspaces: 1, blocked: same(gangOf(4, 8))},
		"10,000 at a limit":                          {count: 10000, workspaces: 1, blocked: same(cores(1, 4))},
		"10,000 of its own workspace":                {count: 10000, blocked: same(labelled)},
		"10,000 that fit no free worker":             {count: 10000, blocked: same(cores(1, 8))},
		"10,000 gangs":                               {count: 10000, blocked: same(gangOf(5, 8))},
		"10,000 of 50 workspaces at their limits":    {count: 10000, workspaces: 50, blocked: same(cores(1, 0.1))},
		"10,000 with a label each": {count: 10000, blocked: func(i int) pj.Step {
			step := cores(1, 1)
			step.Label = fmt.Sprintf("nobody-%d", i)
			return step
		}},
		"10,000 with an amount each": {count: 10000, blocked: func(i int) pj.Step { return cores(1, 8+float64(i)/1000) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(newCell(t, 4))
			s.publishTwo(1000, 50)
			s.start("service", "team", 0, 0, cores(4, 5))
			blocked := s.publishBlocked(test.workspaces)
			for i := range test.count {
				s.submitWorkflow(pj.Workflow{
					ID: fmt.Sprintf("blocked-%d", i), Queue: "q", Workspace: blocked[i%len(blocked)], Pool: "pool", Spec: "s",
					Steps: []pj.Step{test.blocked(i)}, MaxAttempts: 2,
				})
			}
			for i := range 5 {
				s.start(fmt.Sprintf("later-%d", i), "other", 2, time.Second, cores(1, 2))
			}
			s.run(heldWithin)
			for i := range 5 {
				s.is.Equal(len(s.started[fmt.Sprintf("later-%d", i)]), 1)
			}
		})
	}
}

// TestTicketsAreUsedBehindBacklog guards against accepted work that never starts because its tickets expire before its next turn.
func TestTicketsAreUsedBehindBacklog(t *testing.T) {
	const turnsOfASecond = 2000 // gangs with a shape each that seem to fit, which takes a place
	s := newSimulation(newCell(t, 4))
	s.c.SetAdvisors([]string{"vm-0", "vm-1"})
	s.publishTwo(1000, 50)
	s.start("service", "team", 0, 0, cores(4, 5))
	for i := range turnsOfASecond {
		gang := gangOf(5, 2.2) // three cores are free on each of four workers
		gang.Task = pj.NewResources(2.2, 1+float64(i)/1000, 0, 0)
		s.submit(fmt.Sprintf("gang-%d", i), gang)
	}
	s.submitWorkflow(pj.Workflow{
		ID: "later", Queue: "advised", Workspace: "team", Pool: "pool", Spec: "s", Priority: 2, MaxAttempts: 2,
		Advice: &pj.AdvicePolicy{DecisionMS: 10, PerWorkerMS: 1, ValidityMS: 750}, Steps: []pj.Step{cores(1, 1)},
	})
	s.runTime["later"] = time.Second
	s.run(heldWithin)
	s.is.Equal(len(s.started["later"]), 1)
}

// publishBlocked publishes limits that the running work uses up, and returns the workspaces of the blocked work.
func (s *simulation) publishBlocked(workspaces int) []string {
	rules := []pj.KeyedWorkspace{
		{Workspace: pj.Workspace{Name: "team", Share: 2, Limit: pj.NewResources(20, 1000, 10, 0)}},
		{Workspace: pj.Workspace{Name: "other", Share: 1, Limit: pj.NewResources(50, 1000, 10, 0)}},
	}
	names := []string{"other"}
	for i := range workspaces {
		names = append(names, "team")
		if i > 0 {
			names[i+1] = fmt.Sprintf("team-%d", i)
			rules = append(rules, pj.KeyedWorkspace{Workspace: pj.Workspace{Name: names[i+1], Share: 1, Limit: pj.NewResources(0.1, 1000, 10, 0)}})
		}
	}
	s.publish(rules...)
	if workspaces == 0 {
		return names
	}
	for _, name := range names[2:] {
		s.start("service-of-"+name, name, 0, 0, cores(1, 0.1))
	}
	return names[1:]
}

func same(step pj.Step) func(int) pj.Step {
	return func(int) pj.Step { return step }
}

// TestTurnsKeepOrder: work in front of the queue starts first, however much waits behind it.
func TestTurnsKeepOrder(t *testing.T) {
	s := newSimulation(newCell(t, 4))
	s.publishTwo(1000, 50)
	s.start("first", "team", 0, 500*time.Millisecond, cores(4, 8))
	for i := range 800 {
		id := fmt.Sprintf("later-%d", i)
		s.runTime[id] = time.Second
		s.submitWorkflow(pj.Workflow{ID: id, Queue: "q", Workspace: "team", Pool: "pool", Spec: "s", Steps: []pj.Step{cores(1, 8)}, Priority: 2, MaxAttempts: 2})
	}
	s.start("urgent", "team", 0, time.Second, cores(4, 8))
	s.run(time.Second)
	s.is.Equal(len(s.started["urgent"]), 4)
	for i := range 800 {
		s.is.Equal(len(s.started[fmt.Sprintf("later-%d", i)]), 0)
	}
}

// BenchmarkBlockedWork measures a pass over blocked task sets, alike or with an amount each, beside ten that start.
func BenchmarkBlockedWork(b *testing.B) {
	for _, alike := range []bool{true, false} {
		for _, blocked := range []int{100, 1000, 10000} {
			benchmarkBlockedWork(b, blocked, alike)
		}
	}
}

func benchmarkBlockedWork(b *testing.B, blocked int, alike bool) {
	b.Run(fmt.Sprintf("blocked=%d/alike=%t", blocked, alike), func(b *testing.B) {
		x := newCellOf(func(i int) pj.PolledWorker { return testWorker(fmt.Sprintf("w%d", i)) }, 350)
		x.publish(
			pj.KeyedWorkspace{Workspace: pj.Workspace{Name: "team", Share: 1, Limit: pj.NewResources(1, 1000, 0, 0)}},
			pj.KeyedWorkspace{Workspace: pj.Workspace{Name: "other", Share: 1, Limit: pj.NewResources(1e9, 1e9, 0, 0)}},
		)
		submit := func(id, workspace string, amount float64) {
			x.c.Submit(pj.Workflow{
				ID: id, Queue: "q", Workspace: workspace, Pool: "pool", Spec: "s", MaxAttempts: 1, Steps: []pj.Step{cores(1, amount)},
			}, func(error) {})
		}
		submit("running", "team", 1)
		for i := range blocked {
			amount := 1.0
			if !alike {
				amount += float64(i) / 1000
			}
			submit(fmt.Sprintf("blocked-%d", i), "team", amount)
		}
		x.flush()
		n := 0
		ended := make(map[string]int64)
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			for range 10 {
				n++
				submit(fmt.Sprintf("free-%d", n), "other", 1)
			}
			x.clock.now += 50 * time.Millisecond
			b.StartTimer()
			x.c.Flush()
			b.StopTimer()
			x.finishAll(ended)
			b.StartTimer()
		}
	})
}

// finishAll ends the runs that were started, as done.
func (x *cell) finishAll(ended map[string]int64) {
	x.flush()
	responses := make(map[string]pj.PollResponse)
	for _, o := range x.orders.take("start") {
		o.answer(nil)
		ended[o.worker]++
		response := responses[o.worker]
		response.Finished = append(response.Finished, pj.EndedRun{Number: ended[o.worker], Run: o.run, Outcome: pj.EndDone})
		responses[o.worker] = response
	}
	x.clock.now += 50 * time.Millisecond
	x.c.Tick()
	x.answerPolls(responses)
}
