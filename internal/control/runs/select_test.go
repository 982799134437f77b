package runs_test

import (
	"fmt"
	"testing"
	"time"

	pj "papayajunction"
)

// TestBlockedWorkHidesNothing guards against accepted work that never runs behind work that can't: a pass considered the first 400
// waiting task sets only, whether they could start or not.
func TestBlockedWorkHidesNothing(t *testing.T) {
	labelled := cores(1, 1)
	labelled.Label = "nobody"
	tests := map[string]struct {
		blocked   pj.Step
		workspace string // of the blocked work
	}{
		"a workspace at its limit":                   {blocked: cores(1, 4), workspace: "team"},
		"another workspace, a label that nobody has": {blocked: labelled, workspace: "team"},
		"its own workspace":                          {blocked: labelled, workspace: "other"},
		"gangs that fit no free workers":             {blocked: gangOf(4, 8), workspace: "team"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(newCell(t, 4))
			s.publishTwo(1000, 50)
			s.start("service", "team", 0, 0, cores(4, 5))
			s.publishTwo(20, 50)
			for i := range 1500 {
				s.submitWorkflow(pj.Workflow{
					ID: fmt.Sprintf("blocked-%d", i), Queue: "q", Workspace: test.workspace, Pool: "pool", Spec: "s",
					Steps: []pj.Step{test.blocked}, MaxAttempts: 2,
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

// BenchmarkBlockedWork measures a pass over blocked task sets beside ten that start.
func BenchmarkBlockedWork(b *testing.B) {
	for _, blocked := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("blocked=%d", blocked), func(b *testing.B) {
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
				submit(fmt.Sprintf("blocked-%d", i), "team", 1)
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
				x.clock.now += time.Second
				b.StartTimer()
				x.c.Flush()
				b.StopTimer()
				x.finishAll(ended)
				b.StartTimer()
			}
		})
	}
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
	x.clock.now += time.Second
	x.c.Tick()
	x.answerPolls(responses)
}
