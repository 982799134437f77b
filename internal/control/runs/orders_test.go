package runs_test

import (
	"testing"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/runs"
)

// TestEndIsCommittedBeforeAcknowledged: a poll that lists an end again while its commit is in progress must
// not acknowledge it, because a power failure may lose the commit.
func TestEndIsCommittedBeforeAcknowledged(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	starts := x.orders.take("start")
	x.is.Equal(len(starts), 1)
	starts[0].answer(nil)
	x.group.paused = true
	ended := map[string]pj.PollResponse{"w0": {Finished: []pj.EndedRun{{Number: 1, Run: starts[0].run, Outcome: pj.EndDone}}}}
	x.advance(100 * time.Millisecond)
	x.answerPolls(ended)
	for range 3 {
		x.advance(100 * time.Millisecond)
		for _, o := range x.orders.sent {
			x.is.Equal(o.poll.Ack, int64(0)) // not committed yet
		}
		x.answerPolls(ended)
	}
	x.group.resume()
	x.answerPolls(ended)
	x.advance(100 * time.Millisecond)
	polls := x.orders.take("poll")
	x.is.Equal(len(polls), 1)
	x.is.Equal(polls[0].poll.Ack, int64(1))
	x.is.Equal(x.state("a"), pj.WorkflowComplete)
}

// TestWaitingUntilRunObserved: a workflow counts as waiting until one of its runs was observed on a worker. A start order is not enough.
func TestWaitingUntilRunObserved(t *testing.T) {
	tests := map[string]struct {
		answer  func(x *cell, start *order)
		waiting int
	}{
		"order sent":              {answer: func(*cell, *order) {}, waiting: 1},
		"not answered":            {answer: func(_ *cell, start *order) { start.answer(errNoAnswer) }, waiting: 1},
		"answered":                {answer: func(_ *cell, start *order) { start.answer(nil) }, waiting: 0},
		"refused":                 {answer: func(_ *cell, start *order) { start.answer(&pj.RefusedError{Reason: pj.RefusedNoCapacity}) }, waiting: 1},
		"not answered but listed": {answer: listWithoutAnswer, waiting: 0},
		"ended": {answer: func(x *cell, start *order) {
			start.answer(nil)
			x.advance(100 * time.Millisecond)
			x.answerPolls(map[string]pj.PollResponse{"w0": {Finished: []pj.EndedRun{{Number: 1, Run: start.run, Outcome: pj.EndFailed}}}})
		}, waiting: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			x.submit("a", oneTask())
			start := x.orders.take("start")[0]
			tc.answer(x, start)
			x.c.Flush()
			x.is.Equal(x.c.WaitingWorkflows("q"), tc.waiting)
		})
	}
}

func listWithoutAnswer(x *cell, start *order) {
	start.answer(errNoAnswer)
	x.advance(100 * time.Millisecond)
	x.answerPolls(map[string]pj.PollResponse{"w0": {Running: []pj.RunStatus{{Run: start.run}}}})
}

// TestOrders covers runs whose orders are lost, refused or carried out late.
func TestOrders(t *testing.T) {
	tests := map[string]func(x *cell, start *order){
		"an unanswered start that the worker doesn't list is stopped before the next run": func(x *cell, start *order) {
			start.answer(errNoAnswer)
			x.advance(700 * time.Millisecond)
			x.answerPolls(nil)
			x.advance(300 * time.Millisecond)
			x.answerPolls(nil)
			stops := x.orders.take("stop")
			x.is.True(len(stops) > 0)
			x.is.Equal(stops[0].run, start.run)
			x.is.Equal(len(x.orders.take("start")), 0) // the first start order may still be carried out
			stops[0].answer(nil)
			x.advance(100 * time.Millisecond)
			x.answerPolls(nil) // sent before the stop was answered
			x.advance(100 * time.Millisecond)
			x.answerPolls(nil)
			again := x.orders.take("start")
			x.is.Equal(len(again), 1)
			x.is.Equal(again[0].run.Run, 2)
		},
		"an answered start that a later poll doesn't list is run again": func(x *cell, start *order) {
			start.answer(nil)
			x.advance(100 * time.Millisecond)
			x.answerPolls(nil)
			x.advance(100 * time.Millisecond)
			x.answerPolls(nil)
			x.is.Equal(len(x.orders.take("start")), 1)
		},
		"a poll sent before the start was answered does not prove the run missing": func(x *cell, start *order) {
			x.advance(100 * time.Millisecond)
			start.answer(nil)
			x.answerPolls(nil)
			x.is.Equal(len(x.orders.take("start")), 0)
		},
		"an unresponsive worker's task runs elsewhere only after its lease has expired": func(x *cell, start *order) {
			start.answer(nil)
			unresponsive := start.worker
			other := map[string]string{"w0": "w1", "w1": "w0"}[unresponsive]
			x.hear(map[string]pj.PollResponse{unresponsive: {Running: []pj.RunStatus{{Run: start.run}}}})
			for range 58 { // less than the lease of 6 s
				x.advance(100 * time.Millisecond)
				x.answerPollsOf(other)
				x.is.Equal(len(x.orders.take("start")), 0)
			}
			for range 30 {
				x.advance(100 * time.Millisecond)
				x.answerPollsOf(other)
			}
			again := x.orders.take("start")
			x.is.Equal(len(again), 1)
			x.is.Equal(again[0].worker, other)
		},
		"a run that an unresponsive worker has not listed runs elsewhere only after the longest lease": func(x *cell, start *order) {
			start.answer(nil)
			other := map[string]string{"w0": "w1", "w1": "w0"}[start.worker]
			for range int(runs.DefaultMaxLease / (100 * time.Millisecond)) {
				x.advance(100 * time.Millisecond)
				x.answerPollsOf(other)
				x.is.Equal(len(x.orders.take("start")), 0)
			}
			for range 30 {
				x.advance(100 * time.Millisecond)
				x.answerPollsOf(other)
			}
			again := x.orders.take("start")
			x.is.Equal(len(again), 1)
			x.is.Equal(again[0].worker, other)
		},
		"a worker that refused for lack of capacity receives no task for a while": func(x *cell, start *order) {
			start.answer(&pj.RefusedError{Reason: pj.RefusedNoCapacity})
			x.flush()
			again := x.orders.take("start")
			x.is.Equal(len(again), 1)
			x.is.True(again[0].worker != start.worker)
		},
		"a newer leader ends all orders": func(x *cell, start *order) {
			start.answer(&pj.RefusedError{Reason: pj.RefusedStaleFence})
			x.orders.sent = nil
			x.advance(time.Second)
			x.submit("b", oneTask())
			x.is.Equal(len(x.orders.sent), 0)
		},
		"another worker at the address is no proof that the run has ended": func(x *cell, start *order) {
			// The address may have been given to another worker while this one is cut off and runs on.
			start.answer(nil)
			x.advance(100 * time.Millisecond)
			x.answerPollsRunning([]*order{start})
			sent := x.clock.now // the next poll, which renews the lease
			var again []*order
			for len(again) == 0 && x.clock.now < sent+2*runs.DefaultLease {
				x.advance(100 * time.Millisecond)
				x.answerPollsReplaced(start.worker)
				again = x.orders.take("start")
			}
			x.is.Equal(len(again), 1)
			x.is.True(x.clock.now >= sent+runs.DefaultLease)
			x.is.True(again[0].worker != start.worker)
		},
		"a new leader adopts live runs and restarts missing ones": func(x *cell, start *order) {
			x.submit("b", oneTask())
			second := x.orders.take("start")[0]
			x.elect(2)
			x.c.Tick()
			x.is.Equal(len(x.orders.take("start")), 0) // no start before the workers were polled
			x.answerPolls(map[string]pj.PollResponse{start.worker: {Running: []pj.RunStatus{{Run: start.run}}}})
			x.advance(100 * time.Millisecond)
			again := x.orders.take("start")
			x.is.Equal(len(again), 1)
			x.is.Equal(again[0].run.Task, second.run.Task)
			x.is.Equal(again[0].run.Run, 2)
		},
		"a new leader waits for the lease of an unreachable worker to expire": func(x *cell, start *order) {
			start.answer(nil)
			other := map[string]string{"w0": "w1", "w1": "w0"}[start.worker]
			x.elect(2)
			for range int(runs.DefaultMaxLease / (100 * time.Millisecond)) { // it may have restarted, and hold the longest lease that one may hold
				x.advance(100 * time.Millisecond)
				x.answerPollsOf(other)
				x.is.Equal(len(x.orders.take("start")), 0)
			}
			for range 10 {
				x.advance(100 * time.Millisecond)
				x.answerPollsOf(other)
			}
			x.is.Equal(len(x.orders.take("start")), 1)
		},
		"a restarted worker is not evicted by the lease of its previous incarnation": func(x *cell, start *order) {
			// The start order reached the new incarnation, which then becomes unreachable.
			w := testWorker(start.worker)
			w.Incarnation = testIncarnation + 1
			x.is.True(x.announce(w) != nil) // the previous incarnation has answered a moment ago
			for _, o := range x.orders.take("poll") {
				if o.worker == start.worker {
					o.answerPoll(pj.PollResponse{Incarnation: w.Incarnation, ClockMS: 1}, nil)
				}
			}
			x.is.NoErr(x.announce(w))
			other := map[string]string{"w0": "w1", "w1": "w0"}[start.worker]
			start.answer(nil)
			for range 110 {
				x.advance(100 * time.Millisecond)
				x.answerPollsOf(other)
				x.is.Equal(len(x.orders.take("start")), 0)
			}
		},
		"a cancelled workflow's run is stopped": func(x *cell, start *order) {
			start.answer(nil)
			x.c.Cancel("a", ofTeam, func(err error) { x.is.NoErr(err) })
			x.c.Flush()
			stops := x.orders.take("stop")
			x.is.Equal(len(stops), 1)
			x.is.Equal(stops[0].run, start.run)
		},
		"a draining worker receives no new task": func(x *cell, start *order) {
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
		"an unrecorded run is stopped": func(x *cell, start *order) {
			start.answer(nil)
			x.advance(100 * time.Millisecond)
			stray := runID("z", 0, 1)
			x.answerPolls(map[string]pj.PollResponse{start.worker: {Running: []pj.RunStatus{{Run: start.run}, {Run: stray}}}})
			stops := x.orders.take("stop")
			x.is.Equal(len(stops), 1)
			x.is.Equal(stops[0].run, stray)
		},
		"nothing is sent without the leader lease": func(x *cell, start *order) {
			start.answer(nil)
			x.group.serving = false
			x.orders.sent = nil
			x.advance(3 * time.Second)
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

// TestLeaderLeaseLostBriefly: a start that was committed but not sent, because the leader lease had expired briefly,
// must not be waited for.
func TestLeaderLeaseLostBriefly(t *testing.T) {
	x := newCell(t, 1)
	x.group.paused = true
	x.submit("a", pj.Step{Tasks: 2, Task: pj.NewResources(2, 2, 0, 0), Gang: true})
	x.group.serving = false
	x.group.resume() // commits the workflow
	x.group.serving = true
	x.group.paused = true
	x.flush() // proposes the gang
	x.group.serving = false
	x.group.resume()
	x.is.Equal(len(x.orders.take("start")), 0)
	x.group.serving = true
	for range 4 {
		x.advance(100 * time.Millisecond)
		x.answerPolls(nil)
	}
	again := x.orders.take("start")
	x.is.Equal(len(again), 2)
	x.is.Equal(again[0].run.Run, 2)
}

// TestUnansweredStartIsResolvedOnce: if a stop is answered after the next poll was sent, the poll after that one proves that the
// worker doesn't have the run, however often polls and stops cross.
func TestUnansweredStartIsResolvedOnce(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	x.orders.take("start")[0].answer(errNoAnswer)
	for range 4 {
		x.advance(1500 * time.Millisecond)
		polls := x.orders.take("poll")
		for _, o := range polls {
			o.answerPoll(pj.PollResponse{Incarnation: testIncarnation, ClockMS: x.clock.now.Milliseconds() + 1}, nil) // sends the next poll at once
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
