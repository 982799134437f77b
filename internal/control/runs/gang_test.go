package runs_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	pj "papayajunction"
)

// newAdvisedCell returns a cell whose advice queries go to the given number of VMs.
func newAdvisedCell(t *testing.T, workers, vms int) *cell {
	t.Helper()
	x := newCell(t, workers)
	names := make([]string, vms)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%d", i)
	}
	x.c.SetAdvisors(names)
	return x
}

// submitGang submits a gang of tasks that take half a worker each, of a queue whose policy takes long.
func (x *cell) submitGang(id string, tasks, priority int) {
	x.submitWorkflow(pj.Workflow{
		ID: id, Queue: id, Workspace: "team", Pool: "pool", MaxAttempts: 1, Priority: priority,
		Advice: &pj.AdvicePolicy{DecisionMS: 300, PerWorkerMS: 4, ValidityMS: 2000},
		Steps:  []pj.Step{{Tasks: tasks, Task: pj.NewResources(4, 1, 0, 0), Gang: true}},
	})
}

func allowAll(query *order) pj.Advice {
	var a pj.Advice
	for _, w := range query.workers {
		a.Tickets = append(a.Tickets, pj.Ticket{Worker: w, Ticket: "t"})
	}
	return a
}

// TestWideGangQueriesAtOnce guards against wide gangs that never have all their tickets at the same time: with one query after the
// other, the first tickets expired before the last query was answered, and each gang of 32 tasks waited for seconds.
func TestWideGangQueriesAtOnce(t *testing.T) {
	const workers, tasks = 200, 120
	x := newAdvisedCell(t, workers, 20)
	x.submitGang("a", tasks, 1)
	queries := x.orders.take("advise")
	x.is.True(len(queries) > 1)
	var named []string
	for _, q := range queries {
		x.is.True(len(q.workers) <= 30)
		named = append(named, q.workers...)
	}
	slices.Sort(named)
	x.is.Equal(len(slices.Compact(named)), len(named)) // nobody is named twice
	x.advance(400 * time.Millisecond)
	for _, q := range queries {
		q.answerAdvice(allowAll(q), nil)
	}
	x.flush()
	x.is.Equal(len(x.orders.take("start")), tasks)
}

// TestEarmark: while a gang renews its tickets, other work starts on other workers if they have room.
func TestEarmark(t *testing.T) {
	x := newAdvisedCell(t, 4, 20)
	x.submitGang("a", 4, 1)
	for _, q := range x.orders.take("advise") {
		q.answerAdvice(pj.Advice{Tickets: allowAll(q).Tickets[:2], ValidityMS: 1}, nil) // expires before the gang can start
	}
	x.flush()
	renewal := x.orders.take("advise")
	x.is.Equal(len(renewal), 1)
	gangWorkers := renewal[0].workers
	x.is.Equal(len(gangWorkers), 2)
	x.submit("urgent", pj.Step{Tasks: 2, Task: pj.NewResources(4, 1, 0, 0)})
	starts := x.orders.take("start")
	x.is.Equal(len(starts), 2)
	for _, s := range starts {
		x.is.True(!slices.Contains(gangWorkers, s.worker))
	}
	renewal[0].answerAdvice(allowAll(renewal[0]), nil)
	x.flush()
	x.is.Equal(len(x.orders.take("start")), 4)
}
