package runs_test

import (
	"testing"
	"time"

	pj "papayajunction"
)

// TestAdvice covers queues whose policy allows only some workers.
func TestAdvice(t *testing.T) {
	policy := &pj.AdvicePolicy{DecisionMS: 10, PerWorkerMS: 1, ValidityMS: 2000}
	advised := pj.Workflow{
		ID: "a", Queue: "q", Workspace: "team", Pool: "pool", MaxAttempts: 1, Advice: policy,
		Steps: []pj.Step{{Tasks: 1, Task: pj.NewResources(4, 1, 0, 0)}},
	}
	allow := func(workers ...string) pj.Advice {
		var a pj.Advice
		for _, w := range workers {
			a.Tickets = append(a.Tickets, pj.Ticket{Worker: w, Ticket: "t-" + w})
		}
		return a
	}
	tests := map[string]func(x *cell, query *order){
		"a task starts on an allowed worker, with its ticket": func(x *cell, query *order) {
			query.answerAdvice(allow("w1"), nil)
			x.c.Flush()
			starts := x.orders.take("start")
			x.is.Equal(len(starts), 1)
			x.is.Equal(starts[0].worker, "w1")
			x.is.Equal(starts[0].start.Ticket, "t-w1")
		},
		"an expired ticket is renewed": func(x *cell, query *order) {
			x.submit("full", pj.Step{Tasks: 2, Task: pj.NewResources(8, 1, 0, 0)})
			fullStarts := x.orders.take("start")
			x.is.Equal(len(fullStarts), 2)
			query.answerAdvice(allow("w0"), nil)
			for range 30 {
				x.advance(100 * time.Millisecond)
				x.answerPollsRunning(fullStarts)
			}
			x.is.Equal(len(x.orders.take("start")), 0)
			x.answerPolls(map[string]pj.PollResponse{
				"w0": {Finished: []pj.EndedRun{{Number: 1, Run: orderFor(fullStarts, "w0").run, Outcome: pj.EndDone}}},
				"w1": {Running: []pj.RunStatus{{Run: orderFor(fullStarts, "w1").run}}},
			})
			x.is.Equal(len(x.orders.take("start")), 0)
			queries := x.orders.take("advise")
			x.is.Equal(len(queries), 1)
			x.is.Equal(queries[0].workers, []string{"w0"}) // the set of allowed workers doesn't change
		},
		"an unanswered query is repeated after a backoff": func(x *cell, query *order) {
			query.answerAdvice(pj.Advice{}, errNoAnswer)
			x.c.Flush()
			x.is.Equal(len(x.orders.take("advise")), 0)
			x.advance(1200 * time.Millisecond)
			x.is.Equal(len(x.orders.take("advise")), 1)
		},
		"a refused ticket is dropped": func(x *cell, query *order) {
			query.answerAdvice(allow("w1"), nil)
			x.c.Flush()
			x.orders.take("start")[0].answer(&pj.RefusedError{Reason: pj.RefusedTicket})
			x.flush()
			x.is.Equal(len(x.orders.take("start")), 0)
			x.is.Equal(len(x.orders.take("advise")), 1)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 2)
			x.c.SetAdvisors([]string{"vm"})
			x.submitWorkflow(advised)
			queries := x.orders.take("advise")
			x.is.Equal(len(queries), 1)
			x.is.Equal(len(x.orders.take("start")), 0) // nothing starts without a ticket
			test(x, queries[0])
		})
	}
}

func orderFor(list []*order, worker string) *order {
	for _, o := range list {
		if o.worker == worker {
			return o
		}
	}
	return nil
}

// TestGangPrefersValidTickets: a gang starts on workers with valid tickets, even if a worker with an expired ticket is a tighter fit.
func TestGangPrefersValidTickets(t *testing.T) {
	x := newCell(t, 3)
	x.c.SetAdvisors([]string{"vm"})
	x.submit("filler", pj.Step{Tasks: 1, Task: pj.NewResources(1, 1, 0, 0), EstimateMS: 60000}) // makes w0 the tightest fit
	filler := x.orders.take("start")
	filler[0].answer(nil)
	x.submitWorkflow(pj.Workflow{
		ID: "gang", Queue: "q", Workspace: "team", Pool: "pool", MaxAttempts: 2, Advice: &pj.AdvicePolicy{DecisionMS: 10, ValidityMS: 5000},
		Steps: []pj.Step{{Tasks: 2, Gang: true, Task: pj.NewResources(7, 8, 0, 0)}},
	})
	x.orders.take("advise")[0].answerAdvice(pj.Advice{Tickets: []pj.Ticket{{Worker: "w0"}, {Worker: "w1"}, {Worker: "w2"}}}, nil)
	x.flush()
	var other *order
	for _, o := range x.orders.take("start") {
		if o.worker == "w0" {
			o.answer(&pj.RefusedError{Reason: pj.RefusedTicket}) // expires the ticket
			continue
		}
		o.answer(nil)
		other = o
	}
	x.flush()
	x.orders.take("stop")[0].answer(nil)
	for range 2 {
		x.advance(50 * time.Millisecond)
		responses := map[string]pj.PollResponse{"w0": {Running: []pj.RunStatus{{Run: filler[0].run}}}}
		responses[other.worker] = pj.PollResponse{Finished: []pj.EndedRun{{Number: 1, Run: other.run, Outcome: pj.EndStopped}}}
		x.answerPolls(responses)
	}
	x.is.Equal(len(x.orders.take("start")), 2) // on w1 and w2, without waiting for the renewal query
}
