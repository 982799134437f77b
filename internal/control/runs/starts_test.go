package runs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/runs"
)

// TestStartsAreBounded guards against a job of 65,536 small tasks that filled the leader's memory: all of them were started in one moment, each
// with a message of its own, and then listed by each poll.
func TestStartsAreBounded(t *testing.T) {
	const (
		budget    = 20 << 20
		maxOpen   = budget >> 14 // a start takes some 16 KiB
		maxRuns   = budget >> 12 // a run takes some 4 KiB
		workers   = 8
		ownShare  = maxRuns * 2 / 3
		leastOpen = maxOpen / 2
	)
	tiny := func(tasks int) pj.Step { return pj.Step{Tasks: tasks, Task: pj.NewResources(0, 0.001, 0, 0)} }
	tests := map[string]pj.Workflow{
		"one step":   {Steps: []pj.Step{tiny(4096), tiny(4096)}},
		"many steps": {Steps: slicesOf(tiny(512), 16)},
	}
	for name, w := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newCell(t, workers)
			x.electWith(2, runs.Options{StateBudget: budget})
			x.advance(50 * time.Millisecond)
			x.answerPolls(nil)
			w.ID, w.Queue, w.Workspace, w.Pool, w.MaxAttempts = "a", "q", "team", "pool", 2
			x.submitWorkflow(w)
			running := 0
			for range 20 {
				x.advance(50 * time.Millisecond)
				open := x.orders.take("start")
				is.True(len(open) <= maxOpen)
				if running == 0 && len(open) > 0 {
					is.True(len(open) >= leastOpen)
				}
				running += len(open)
				for _, o := range open {
					o.answer(nil)
				}
			}
			t.Logf("%d runs, at most %d", running, ownShare)
			is.True(running <= ownShare)
			is.True(running > ownShare/2)
			x.submitWorkflow(pj.Workflow{ID: "other", Queue: "q", Workspace: "other", Pool: "pool", Steps: []pj.Step{tiny(10)}, MaxAttempts: 2})
			x.submitWorkflow(pj.Workflow{ID: "gang", Queue: "q", Workspace: "third", Pool: "pool", Steps: []pj.Step{{Tasks: 20, Task: pj.NewResources(0, 0.001, 0, 0), Gang: true}}, MaxAttempts: 2})
			x.advance(500 * time.Millisecond)
			is.Equal(len(x.orders.take("start")), 30)
		})
	}
}

// TestOpenStartsAreClosed: each outcome of a start order makes room for the next one.
func TestOpenStartsAreClosed(t *testing.T) {
	outcomes := map[string]error{
		"accepted": nil, "no answer": errNoAnswer, "refused": &pj.RefusedError{Reason: pj.RefusedNoCapacity}, "an unreachable worker": &pj.RefusedError{Reason: pj.RefusedUnreachable},
	}
	for name, outcome := range outcomes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newCell(t, 4)
			for i := range 30 {
				x.submit(fmt.Sprint("w", i), pj.Step{Tasks: 200, Task: pj.NewResources(0, 0.001, 0, 0)})
			}
			started := 0
			for range 200 {
				x.advance(50 * time.Millisecond)
				for _, o := range x.orders.take("start") {
					started++
					o.answer(outcome)
				}
				x.answerPolls(nil)
			}
			is.True(started > 2000)
		})
	}
}
