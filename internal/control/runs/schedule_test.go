package runs_test

import (
	"fmt"
	"testing"
	"time"

	pj "papayajunction"
)

// TestPassesLeaveTimeForEvents guards against a leader that a backlog keeps busy: each of its passes took longer than the pause
// after it, so polls and commits waited for passes and the backlog grew. After a lost leader on a fleet of 1,100 workers it
// never caught up.
func TestPassesLeaveTimeForEvents(t *testing.T) {
	const passTime = 5 * time.Millisecond
	x := newCell(t, 2)
	x.submit("a", oneTask())
	x.is.Equal(len(x.orders.take("start")), 1)
	x.advance(time.Second)
	x.clock.reading = passTime
	x.submit("b", oneTask()) // runs a pass
	x.clock.reading = 0
	x.is.Equal(len(x.orders.take("start")), 1)
	ended := x.clock.now
	x.submit("c", oneTask())
	for x.clock.now < ended+3*passTime {
		x.clock.now += time.Millisecond
		x.c.Flush()
		x.is.Equal(len(x.orders.take("start")), 0)
	}
	x.clock.now = ended + 50*time.Millisecond // the longest pause
	x.flush()
	x.is.Equal(len(x.orders.take("start")), 1)
}

// TestQueriesSpread: when all workers have the same capacity, the queries of many workflows name all of them, each those with the
// most capacity. Otherwise urgent work of a whole fleet waits for the same few workers.
func TestQueriesSpread(t *testing.T) {
	const workers = 200
	x := newCellOf(func(i int) pj.PolledWorker {
		w := testWorker(fmt.Sprintf("w%d", i))
		if i%2 == 1 {
			w.Capacity = pj.NewResources(2, 64, 0, 0)
		}
		return w
	}, workers)
	var vms []string
	for i := range 40 {
		vms = append(vms, fmt.Sprintf("vm-%d", i))
	}
	x.c.SetAdvisors(vms)
	named := make(map[string]int)
	for i := range 40 {
		x.c.Submit(pj.Workflow{
			ID: fmt.Sprintf("w-%d", i), Queue: "q", Workspace: "team", Pool: "pool", MaxAttempts: 1,
			Advice: &pj.AdvicePolicy{DecisionMS: 10, PerWorkerMS: 1, ValidityMS: 2000},
			Steps:  []pj.Step{{Tasks: 1, Task: pj.NewResources(4, 1, 0, 0)}},
		}, func(error) {})
		x.advance(50 * time.Millisecond)
		for _, query := range x.orders.take("advise") {
			for _, w := range query.workers {
				named[w]++
			}
			query.answerAdvice(pj.Advice{}, nil)
		}
		x.answerPolls(nil)
	}
	for i := range workers {
		name := fmt.Sprintf("w%d", i)
		if (named[name] > 0) != (i%2 == 0) {
			t.Errorf("worker %s was named %d times", name, named[name])
		}
	}
}
