package runs_test

import (
	"testing"
	"time"

	pj "papayajunction"
)

func oneTask() pj.Step {
	return pj.Step{Tasks: 1, Task: pj.NewResources(4, 8, 0, 0), EstimateMS: 1000}
}

// TestEndIsCommittedBeforeAcknowledged: a look that lists an end again while its commit is under way must
// not acknowledge it, because the commit may be lost with the power.
func TestEndIsCommittedBeforeAcknowledged(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	starts := x.orders.take("start")
	x.is.Equal(len(starts), 1)
	starts[0].answer(nil)
	x.group.holding = true
	ended := map[string]pj.HoldAnswer{"w0": {Finished: []pj.EndRow{{Number: 1, Run: starts[0].run, How: pj.EndDone}}}}
	x.pass(100 * time.Millisecond)
	x.lookAll(ended)
	for range 3 {
		x.pass(100 * time.Millisecond)
		for _, o := range x.orders.sent {
			x.is.Equal(o.hold.Ack, int64(0)) // not committed yet
		}
		x.lookAll(ended)
	}
	x.group.release()
	x.lookAll(ended)
	x.pass(100 * time.Millisecond)
	looks := x.orders.take("hold")
	x.is.Equal(len(looks), 1)
	x.is.Equal(looks[0].hold.Ack, int64(1))
	x.is.Equal(x.state("a"), pj.WorkflowComplete)
}

// TestWaitingUntilSeen: a workflow waits until one of its runs was seen on a worker, not merely ordered there.
func TestWaitingUntilSeen(t *testing.T) {
	tests := map[string]struct {
		answer  func(x *cell, start *order)
		waiting int
	}{
		"ordered":               {answer: func(*cell, *order) {}, waiting: 1},
		"not answered":          {answer: func(_ *cell, start *order) { start.answer(errUnanswered) }, waiting: 1},
		"answered":              {answer: func(_ *cell, start *order) { start.answer(nil) }, waiting: 0},
		"refused":               {answer: func(_ *cell, start *order) { start.answer(&pj.RefusedError{Reason: pj.RefusedRoom}) }, waiting: 1},
		"listed without answer": {answer: listed, waiting: 0},
		"ended": {answer: func(x *cell, start *order) {
			start.answer(nil)
			x.pass(100 * time.Millisecond)
			x.lookAll(map[string]pj.HoldAnswer{"w0": {Finished: []pj.EndRow{{Number: 1, Run: start.run, How: pj.EndFailed}}}})
		}, waiting: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			x.submit("a", oneTask())
			start := x.orders.take("start")[0]
			tc.answer(x, start)
			x.c.Flush()
			x.is.Equal(x.c.Waiting("q"), tc.waiting)
		})
	}
}

func listed(x *cell, start *order) {
	start.answer(errUnanswered)
	x.pass(100 * time.Millisecond)
	x.lookAll(map[string]pj.HoldAnswer{"w0": {Running: []pj.RunningRow{{Run: start.run}}}})
}

// TestOrders covers what becomes of a run whose orders are lost, refused or carried out late.
func TestOrders(t *testing.T) {
	tests := map[string]func(x *cell, start *order){
		"an unanswered start that the worker doesn't list is stopped before the next run": func(x *cell, start *order) {
			start.answer(errUnanswered)
			x.pass(700 * time.Millisecond)
			x.lookAll(nil)
			x.pass(300 * time.Millisecond)
			x.lookAll(nil)
			stops := x.orders.take("stop")
			x.is.True(len(stops) > 0)
			x.is.Equal(stops[0].run, start.run)
			x.is.Equal(len(x.orders.take("start")), 0) // the first may still be carried out
			stops[0].answer(nil)
			x.pass(100 * time.Millisecond)
			x.lookAll(nil) // sent before the stop was answered
			x.pass(100 * time.Millisecond)
			x.lookAll(nil)
			again := x.orders.take("start")
			x.is.Equal(len(again), 1)
			x.is.Equal(again[0].run.Run, 2)
		},
		"an answered start that a later look doesn't list is run again": func(x *cell, start *order) {
			start.answer(nil)
			x.pass(100 * time.Millisecond)
			x.lookAll(nil)
			x.pass(100 * time.Millisecond)
			x.lookAll(nil)
			x.is.Equal(len(x.orders.take("start")), 1)
		},
		"a look that was sent before the answer proves nothing": func(x *cell, start *order) {
			x.pass(100 * time.Millisecond)
			start.answer(nil)
			x.lookAll(nil)
			x.is.Equal(len(x.orders.take("start")), 0)
		},
		"a silent worker's task runs elsewhere only once its lease is over": func(x *cell, start *order) {
			start.answer(nil)
			silent := start.worker
			other := map[string]string{"w0": "w1", "w1": "w0"}[silent]
			for range 58 { // less than the lease of 6 s
				x.pass(100 * time.Millisecond)
				x.lookOnly(other)
				x.is.Equal(len(x.orders.take("start")), 0)
			}
			for range 30 {
				x.pass(100 * time.Millisecond)
				x.lookOnly(other)
			}
			again := x.orders.take("start")
			x.is.Equal(len(again), 1)
			x.is.Equal(again[0].worker, other)
		},
		"a refusal for want of room keeps the worker free for a while": func(x *cell, start *order) {
			start.answer(&pj.RefusedError{Reason: pj.RefusedRoom})
			x.flush()
			again := x.orders.take("start")
			x.is.Equal(len(again), 1)
			x.is.True(again[0].worker != start.worker)
		},
		"a newer leader ends all orders": func(x *cell, start *order) {
			start.answer(&pj.RefusedError{Reason: pj.RefusedFence})
			x.orders.sent = nil
			x.pass(time.Second)
			x.submit("b", oneTask())
			x.is.Equal(len(x.orders.sent), 0)
		},
		"another life at its address has ended the run": func(x *cell, start *order) {
			start.answer(nil)
			x.pass(100 * time.Millisecond)
			for _, o := range x.orders.take("hold") {
				if o.worker == start.worker {
					o.looked(pj.HoldAnswer{}, &pj.RefusedError{Reason: pj.RefusedOtherLife})
				}
			}
			x.flush()
			x.is.Equal(len(x.orders.take("start")), 1)
		},
		"a new leader adopts what runs and starts what doesn't": func(x *cell, start *order) {
			x.submit("b", oneTask())
			second := x.orders.take("start")[0]
			x.lead(2)
			x.c.Tick()
			x.is.Equal(len(x.orders.take("start")), 0) // nothing before the workers were asked
			x.lookAll(map[string]pj.HoldAnswer{start.worker: {Running: []pj.RunningRow{{Run: start.run}}}})
			x.pass(100 * time.Millisecond)
			again := x.orders.take("start")
			x.is.Equal(len(again), 1)
			x.is.Equal(again[0].run.Task, second.run.Task)
			x.is.Equal(again[0].run.Run, 2)
		},
		"a new leader waits for the lease of a worker that it can't reach": func(x *cell, start *order) {
			start.answer(nil)
			other := map[string]string{"w0": "w1", "w1": "w0"}[start.worker]
			x.lead(2)
			for range 58 {
				x.pass(100 * time.Millisecond)
				x.lookOnly(other)
				x.is.Equal(len(x.orders.take("start")), 0)
			}
			for range 10 {
				x.pass(100 * time.Millisecond)
				x.lookOnly(other)
			}
			x.is.Equal(len(x.orders.take("start")), 1)
		},
		"a worker that was born again is not given up by the lease of its life before": func(x *cell, start *order) {
			// The start reached the new life, which then falls silent.
			w := testWorker(start.worker)
			w.Born = bornAt + 1
			x.c.Announce(w, func(err error) { x.is.NoErr(err) })
			x.flush()
			other := map[string]string{"w0": "w1", "w1": "w0"}[start.worker]
			start.answer(nil)
			for range 110 {
				x.pass(100 * time.Millisecond)
				x.lookOnly(other)
				x.is.Equal(len(x.orders.take("start")), 0)
			}
		},
		"a cancelled workflow's run is stopped": func(x *cell, start *order) {
			start.answer(nil)
			x.c.Cancel("a", "team", func(err error) { x.is.NoErr(err) })
			x.c.Flush()
			stops := x.orders.take("stop")
			x.is.Equal(len(stops), 1)
			x.is.Equal(stops[0].run, start.run)
		},
		"a draining worker gets nothing new": func(x *cell, start *order) {
			start.answer(nil)
			for _, id := range []string{"w0", "w1"} {
				w := testWorker(id)
				w.Sequence, w.Draining = 2, true
				x.c.Announce(w, func(err error) { x.is.NoErr(err) })
			}
			x.c.Flush()
			x.submit("b", oneTask())
			x.is.Equal(len(x.orders.take("start")), 0)
		},
		"a run that isn't recorded is stopped": func(x *cell, start *order) {
			start.answer(nil)
			x.pass(100 * time.Millisecond)
			stray := runID("z", 0, 1)
			x.lookAll(map[string]pj.HoldAnswer{start.worker: {Running: []pj.RunningRow{{Run: start.run}, {Run: stray}}}})
			stops := x.orders.take("stop")
			x.is.Equal(len(stops), 1)
			x.is.Equal(stops[0].run, stray)
		},
		"without the leader's lease nothing is sent": func(x *cell, start *order) {
			start.answer(nil)
			x.group.serving = false
			x.orders.sent = nil
			x.pass(3 * time.Second)
			x.is.Equal(len(x.orders.sent), 0)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 2)
			x.submit("a", pj.Step{Tasks: 1, Task: pj.NewResources(8, 8, 0, 0), EstimateMS: 1000})
			start := x.orders.take("start")[0]
			test(x, start)
		})
	}
}

// TestLeaseLostForAMoment: a start that was committed and not sent, because the leader's lease had run out for a moment,
// must not be waited for.
func TestLeaseLostForAMoment(t *testing.T) {
	x := newCell(t, 1)
	x.group.holding = true
	x.submit("a", pj.Step{Tasks: 2, Task: pj.NewResources(2, 2, 0, 0), Gang: true})
	x.group.serving = false
	x.group.release() // the workflow
	x.group.serving = true
	x.group.holding = true
	x.flush() // proposes the gang
	x.group.serving = false
	x.group.release()
	x.is.Equal(len(x.orders.take("start")), 0)
	x.group.serving = true
	for range 4 {
		x.pass(100 * time.Millisecond)
		x.lookAll(nil)
	}
	again := x.orders.take("start")
	x.is.Equal(len(again), 2)
	x.is.Equal(again[0].run.Run, 2)
}

// TestPlacing covers where and in which order tasks start.
func TestPlacing(t *testing.T) {
	small := pj.Step{Tasks: 1, Task: pj.NewResources(2, 2, 0, 0)}
	tests := map[string]struct {
		workers int
		run     func(x *cell)
	}{
		"no worker gets more than it holds": {workers: 2, run: func(x *cell) {
			x.submit("a", pj.Step{Tasks: 20, Task: pj.NewResources(3, 1, 0, 0)})
			x.is.Equal(len(x.orders.take("start")), 4) // two on each worker of 8 cores
		}},
		"a gang starts whole or not at all": {workers: 1, run: func(x *cell) {
			x.submit("a", pj.Step{Tasks: 1, Task: pj.NewResources(4, 1, 0, 0)})
			first := x.orders.take("start")
			x.submit("b", pj.Step{Tasks: 2, Task: pj.NewResources(4, 1, 0, 0), Gang: true})
			x.is.Equal(len(x.orders.take("start")), 0)
			x.submit("c", pj.Step{Tasks: 1, Task: pj.NewResources(4, 1, 0, 0)})
			x.is.Equal(len(x.orders.take("start")), 0) // the room is kept for the gang
			first[0].answer(nil)
			x.pass(100 * time.Millisecond)
			x.lookAll(map[string]pj.HoldAnswer{"w0": {Finished: []pj.EndRow{{Number: 1, Run: first[0].run, How: pj.EndDone}}}})
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
			x.pass(100 * time.Millisecond)
			x.lookAll(map[string]pj.HoldAnswer{
				starts[0].worker: {Finished: []pj.EndRow{{Number: 1, Run: starts[0].run, How: pj.EndFailed}}},
				starts[1].worker: {Running: []pj.RunningRow{{Run: starts[1].run}}},
			})
			stops := x.orders.take("stop")
			x.is.Equal(len(stops), 1)
			x.is.Equal(stops[0].run, starts[1].run)
			x.is.Equal(len(x.orders.take("start")), 0) // not before all have ended
		}},
		"at most so many tasks of a step on a worker": {workers: 2, run: func(x *cell) {
			x.submit("a", pj.Step{Tasks: 6, Task: pj.NewResources(1, 1, 0, 0), AntiAffinity: 2})
			x.is.Equal(len(x.orders.take("start")), 4)
		}},
		"a label that no worker carries": {workers: 1, run: func(x *cell) {
			step := small
			step.Label = "fast"
			x.submit("a", step)
			x.is.Equal(len(x.orders.take("start")), 0)
		}},
		"a workspace stays within its upper limit": {workers: 2, run: func(x *cell) {
			x.limit(pj.NewResources(6, 100, 0, 0))
			x.submit("a", pj.Step{Tasks: 8, Task: pj.NewResources(2, 1, 0, 0)})
			x.is.Equal(len(x.orders.take("start")), 3)
		}},
		"work of an open queue has no upper limit": {workers: 1, run: func(x *cell) {
			x.submitAll(pj.Workflow{ID: "open", Queue: "q", Pool: "pool", Steps: []pj.Step{small}, MaxAttempts: 1})
			x.is.Equal(len(x.orders.take("start")), 1)
		}},
		"work of a workspace that has left is finished": {workers: 1, run: func(x *cell) {
			x.limit(pj.NewResources(1, 1, 0, 0))
			x.submit("a", small)
			x.is.Equal(len(x.orders.take("start")), 0)
			x.publish()
			x.pass(100 * time.Millisecond)
			x.is.Equal(len(x.orders.take("start")), 1)
		}},
		"urgent work goes first": {workers: 1, run: func(x *cell) {
			x.submit("full", pj.Step{Tasks: 1, Task: pj.NewResources(8, 1, 0, 0)})
			first := x.orders.take("start")[0]
			first.answer(nil)
			x.submitAll(pj.Workflow{ID: "later", Queue: "q", Workspace: "team", Pool: "pool", Priority: 2, Steps: []pj.Step{small}, MaxAttempts: 1})
			x.submitAll(pj.Workflow{ID: "urgent", Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{{Tasks: 1, Task: pj.NewResources(7, 1, 0, 0)}}, MaxAttempts: 1})
			x.pass(100 * time.Millisecond)
			x.lookAll(map[string]pj.HoldAnswer{"w0": {Finished: []pj.EndRow{{Number: 1, Run: first.run, How: pj.EndDone}}}})
			starts := x.orders.take("start")
			x.is.Equal(len(starts), 1)
			x.is.Equal(starts[0].run.Task.Workflow, "urgent")
		}},
		"a workspace beyond its share waits behind one within it": {workers: 2, run: func(x *cell) {
			x.teams(map[string]float64{"team": 1, "other": 3})
			x.submit("large", pj.Step{Tasks: 2, Task: pj.NewResources(8, 1, 0, 0)})
			first := x.orders.take("start")
			x.is.Equal(len(first), 2)
			x.submit("more", pj.Step{Tasks: 1, Task: pj.NewResources(8, 1, 0, 0)})
			x.submitAll(pj.Workflow{ID: "small", Queue: "q", Workspace: "other", Pool: "pool", Steps: []pj.Step{{Tasks: 1, Task: pj.NewResources(8, 1, 0, 0)}}, MaxAttempts: 1})
			x.pass(100 * time.Millisecond)
			x.lookAll(map[string]pj.HoldAnswer{
				"w0": {Finished: []pj.EndRow{{Number: 1, Run: onWorker(first, "w0").run, How: pj.EndDone}}},
				"w1": {Running: []pj.RunningRow{{Run: onWorker(first, "w1").run}}},
			})
			starts := x.orders.take("start")
			x.is.Equal(len(starts), 1)
			x.is.Equal(starts[0].run.Task.Workflow, "small")
		}},
		"an occurrence waits for its time": {workers: 1, run: func(x *cell) {
			x.submitAll(pj.Workflow{
				ID: "t", Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{small}, MaxAttempts: 1,
				Times: 2, StartAtMS: testTime + x.clock.now.Milliseconds() + 500, IntervalMS: 5000,
			})
			x.pass(400 * time.Millisecond)
			x.is.Equal(len(x.orders.take("start")), 0)
			x.pass(300 * time.Millisecond)
			starts := x.orders.take("start")
			x.is.Equal(len(starts), 1)
			x.is.Equal(starts[0].run.Task.Occurrence, 0)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { tc.run(newCell(t, tc.workers)) })
	}
}

// TestAdvice covers queues whose policy allows only some workers.
func TestAdvice(t *testing.T) {
	policy := &pj.AdvicePolicy{DecisionMS: 10, PerWorkerMS: 1, ValidityMS: 2000}
	advised := pj.Workflow{
		ID: "a", Queue: "q", Workspace: "team", Pool: "pool", MaxAttempts: 1, Advice: policy,
		Steps: []pj.Step{{Tasks: 1, Task: pj.NewResources(4, 1, 0, 0)}},
	}
	good := func(workers ...string) pj.Advice {
		var a pj.Advice
		for _, w := range workers {
			a.Good = append(a.Good, pj.Ticket{Worker: w, Ticket: "t-" + w})
		}
		return a
	}
	tests := map[string]func(x *cell, question *order){
		"a task starts on an allowed worker, with its ticket": func(x *cell, question *order) {
			question.advise(good("w1"), nil)
			x.c.Flush()
			starts := x.orders.take("start")
			x.is.Equal(len(starts), 1)
			x.is.Equal(starts[0].worker, "w1")
			x.is.Equal(starts[0].start.Ticket, "t-w1")
		},
		"a ticket that is too old is asked for again": func(x *cell, question *order) {
			x.submit("full", pj.Step{Tasks: 2, Task: pj.NewResources(8, 1, 0, 0)})
			full := x.orders.take("start")
			x.is.Equal(len(full), 2)
			question.advise(good("w0"), nil)
			for range 30 {
				x.pass(100 * time.Millisecond)
				x.lookRunning(full)
			}
			x.is.Equal(len(x.orders.take("start")), 0)
			x.lookAll(map[string]pj.HoldAnswer{
				"w0": {Finished: []pj.EndRow{{Number: 1, Run: onWorker(full, "w0").run, How: pj.EndDone}}},
				"w1": {Running: []pj.RunningRow{{Run: onWorker(full, "w1").run}}},
			})
			x.is.Equal(len(x.orders.take("start")), 0)
			again := x.orders.take("advise")
			x.is.Equal(len(again), 1)
			x.is.Equal(again[0].names, []string{"w0"}) // what the policy allows doesn't change
		},
		"a question without an answer is asked again later": func(x *cell, question *order) {
			question.advise(pj.Advice{}, errUnanswered)
			x.c.Flush()
			x.is.Equal(len(x.orders.take("advise")), 0)
			x.pass(1200 * time.Millisecond)
			x.is.Equal(len(x.orders.take("advise")), 1)
		},
		"a refused ticket is dropped": func(x *cell, question *order) {
			question.advise(good("w1"), nil)
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
			x.c.SetAskers([]string{"vm"})
			x.submitAll(advised)
			questions := x.orders.take("advise")
			x.is.Equal(len(questions), 1)
			x.is.Equal(len(x.orders.take("start")), 0) // nothing starts without a ticket
			test(x, questions[0])
		})
	}
}

func onWorker(list []*order, worker string) *order {
	for _, o := range list {
		if o.worker == worker {
			return o
		}
	}
	return nil
}

// TestProgress covers runs that stand still.
func TestProgress(t *testing.T) {
	row := func(s *order, percent int) map[string]pj.HoldAnswer {
		return map[string]pj.HoldAnswer{s.worker: {Running: []pj.RunningRow{{Run: s.run, Progress: percent}}}}
	}
	tests := map[string]struct {
		step    pj.Step
		rows    []int // percent at looks half a second apart
		stopped bool
	}{
		"stands still":             {step: oneTask(), rows: []int{10, 10, 10, 10, 10, 10, 10}, stopped: true},
		"gets on":                  {step: oneTask(), rows: []int{10, 11, 12, 13, 14, 15, 16}},
		"stood still for a moment": {step: oneTask(), rows: []int{10, 10, 10, 11, 11, 11, 12}},
		"lasts":                    {step: pj.Step{Tasks: 1, Task: pj.NewResources(4, 8, 0, 0), LongRunning: true}, rows: []int{100, 100, 100, 100, 100, 100, 100}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			x.submit("a", tc.step)
			start := x.orders.take("start")[0]
			start.answer(nil)
			for _, percent := range tc.rows {
				x.pass(500 * time.Millisecond)
				x.lookAll(row(start, percent))
			}
			x.is.Equal(len(x.orders.take("stop")) > 0, tc.stopped)
		})
	}
}

// TestTrial: a worker that failed everything gets one task once its quarantine is over, however many wait.
func TestTrial(t *testing.T) {
	x := newCell(t, 1)
	for _, id := range []string{"a", "b", "c"} {
		x.submit(id, oneTask())
		start := x.orders.take("start")[0]
		start.answer(nil)
		x.pass(100 * time.Millisecond)
		number := int64(id[0]-'a') + 1
		x.lookAll(map[string]pj.HoldAnswer{"w0": {Finished: []pj.EndRow{{Number: number, Run: start.run, How: pj.EndFailed}}}})
		x.c.Cancel(id, "team", func(error) {})
	}
	x.orders.take("start")
	x.submit("many", pj.Step{Tasks: 3, Task: pj.NewResources(1, 1, 0, 0), EstimateMS: 1000})
	for range 40 {
		x.pass(time.Second)
		x.lookAll(nil)
	}
	x.is.Equal(len(x.orders.take("start")), 1)
}

// TestUnansweredStartIsSettledOnce: a stop is answered after the next look has left; the look after that one shows that the
// run isn't there, however often looks and stops cross.
func TestUnansweredStartIsSettledOnce(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	x.orders.take("start")[0].answer(errUnanswered)
	for range 4 {
		x.pass(1500 * time.Millisecond)
		looks := x.orders.take("hold")
		for _, o := range looks {
			o.looked(pj.HoldAnswer{Born: bornAt, ClockMS: x.clock.now.Milliseconds() + 1}, nil) // sends the next look at once
		}
		x.clock.now += time.Millisecond
		for _, o := range x.orders.take("stop") {
			o.answer(nil)
		}
		x.flush()
	}
	starts := x.orders.take("start")
	x.is.Equal(len(starts), 1)
	x.is.Equal(starts[0].run.Run, 2)
}

// TestGangTakesFreshTickets: a gang starts where its tickets are valid now, though another place would be tighter.
func TestGangTakesFreshTickets(t *testing.T) {
	x := newCell(t, 3)
	x.c.SetAskers([]string{"vm"})
	x.submit("filler", pj.Step{Tasks: 1, Task: pj.NewResources(1, 1, 0, 0), EstimateMS: 60000}) // makes w0 the tightest
	filler := x.orders.take("start")
	filler[0].answer(nil)
	x.submitAll(pj.Workflow{
		ID: "gang", Queue: "q", Workspace: "team", Pool: "pool", MaxAttempts: 2, Advice: &pj.AdvicePolicy{DecisionMS: 10, ValidityMS: 5000},
		Steps: []pj.Step{{Tasks: 2, Gang: true, Task: pj.NewResources(7, 8, 0, 0)}},
	})
	x.orders.take("advise")[0].advise(pj.Advice{Good: []pj.Ticket{{Worker: "w0"}, {Worker: "w1"}, {Worker: "w2"}}}, nil)
	x.flush()
	var other *order
	for _, o := range x.orders.take("start") {
		if o.worker == "w0" {
			o.answer(&pj.RefusedError{Reason: pj.RefusedTicket}) // so this ticket has to be renewed
			continue
		}
		o.answer(nil)
		other = o
	}
	x.flush()
	x.orders.take("stop")[0].answer(nil)
	for range 2 {
		x.pass(50 * time.Millisecond)
		rows := map[string]pj.HoldAnswer{"w0": {Running: []pj.RunningRow{{Run: filler[0].run}}}}
		rows[other.worker] = pj.HoldAnswer{Finished: []pj.EndRow{{Number: 1, Run: other.run, How: pj.EndStopped}}}
		x.lookAll(rows)
	}
	x.is.Equal(len(x.orders.take("start")), 2) // on w1 and w2, without an answer to a further question
}
