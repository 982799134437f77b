package runs_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/runs"
)

// wholeWorker is a step of one task that takes a worker of its own.
func wholeWorker() pj.Step {
	return pj.Step{Tasks: 1, Task: pj.NewResources(8, 8, 0, 0), EstimateMS: 1000}
}

// otherThan returns the other one of w0 and w1.
func otherThan(worker string) string {
	return map[string]string{"w0": "w1", "w1": "w0"}[worker]
}

// TestReturnedWorkerIsFenced: a worker that has left and is back under its id must refuse calls that were sent to it before. Else a start that was carried
// out late runs beside its successor, and a late acknowledgement forgets ends that nobody has read.
func TestReturnedWorkerIsFenced(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	start.answer(errNoAnswer)
	x.advance(100 * time.Millisecond)
	x.is.NoErr(x.announce(announced("w0", func(w *pj.PolledWorker) { w.Draining = true })))
	x.c.Leave("w0", func(_ bool, err error) { x.is.NoErr(err) })
	x.advance(runs.DefaultMaxLease + time.Second) // the start may have reached the next incarnation already
	x.is.Equal(x.c.WorkerCount(), 0)
	x.orders.take("poll")
	x.is.NoErr(x.announce(announced("w0", func(w *pj.PolledWorker) { w.Incarnation = testIncarnation + 1 })))
	x.is.True(x.lastPoll().poll.Fence > start.start.Fence)
}

// TestUnlistedRunOfSilentWorker: a worker that restarted just before a start reached it holds the longest lease from when it carries the start out, as
// the end was meant for another clock. If it is then silent, its run may not start elsewhere before that lease is over, whoever leads.
func TestUnlistedRunOfSilentWorker(t *testing.T) {
	tests := map[string]struct {
		carriedOut time.Duration // after it was sent
		change     func(x *cell, worker string)
	}{
		"the same leader":            {},
		"the same leader, late call": {carriedOut: 3 * time.Second},
		"the next leader":            {change: func(x *cell, _ string) { x.elect(runs.FencesPerTerm) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 2)
			x.checkUnlistedRun(t, test.carriedOut, test.change)
		})
	}
}

// checkUnlistedRun checks that the run of an unanswered start, which a worker carries out a while after it was sent, doesn't start elsewhere before
// the longest lease from then on is over.
func (x *cell) checkUnlistedRun(t *testing.T, carriedOut time.Duration, change func(x *cell, worker string)) {
	t.Helper()
	const longest = 10 * time.Second // that a worker holds
	x.submit("a", wholeWorker())
	start := x.orders.take("start")[0]
	start.answer(errNoAnswer)
	sent := x.clock.now
	if change != nil {
		change(x, start.worker)
	}
	for x.clock.now < sent+carriedOut+longest {
		x.advance(100 * time.Millisecond)
		x.answerPollsOf(otherThan(start.worker))
		if len(x.orders.take("start")) > 0 {
			t.Fatalf("started elsewhere %s after the start was sent", x.clock.now-sent)
		}
	}
}

// TestLateStartOnUnknownIncarnation: the same if the worker carries the start out seconds after it was sent, on an incarnation that no leader has reached.
func TestLateStartOnUnknownIncarnation(t *testing.T) {
	tests := map[string]struct {
		carriedOut time.Duration // after it was sent
		change     func(x *cell, worker string)
	}{
		"the next leader": {carriedOut: 3 * time.Second, change: func(x *cell, _ string) { x.elect(runs.FencesPerTerm) }},
		"the restart is announced": {carriedOut: 6 * time.Second, change: func(x *cell, worker string) {
			for range 25 {
				x.advance(100 * time.Millisecond)
				x.answerPollsOf(otherThan(worker))
			}
			x.is.NoErr(x.announce(announced(worker, func(w *pj.PolledWorker) { w.Incarnation = testIncarnation + 1 })))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 2)
			x.checkUnlistedRun(t, test.carriedOut, test.change)
		})
	}
}

// TestStartFollowsAcknowledgementInFlight is TestStartFollowsUnansweredAcknowledgement while it isn't known yet that the acknowledgement gets no answer.
func TestStartFollowsAcknowledgementInFlight(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	first := x.orders.take("start")[0]
	first.answer(nil)
	x.advance(100 * time.Millisecond)
	x.lastPoll().answerPoll(x.listed(testIncarnation, 0, nil, pj.EndedRun{Number: 1, Run: first.run, Outcome: pj.EndDone}), nil)
	x.flush()
	acknowledges := x.lastPoll()
	x.is.Equal(acknowledges.poll.Ack, int64(1))
	x.submit("b", oneTask())
	second := x.orders.take("start")[0]
	x.is.True(second.start.Fence > acknowledges.poll.Fence)
}

// TestStrayRunsOnTwoWorkers: a task waits for all its stray runs, not for the one that was listed last.
func TestStrayRunsOnTwoWorkers(t *testing.T) {
	for name, endsFirst := range map[string]int{"the first one ends": 0, "the second one ends": 1} {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 3)
			x.submit("a", wholeWorker())
			first := x.orders.take("start")[0]
			x.loseRun(first)
			second := x.orders.take("start")[0]
			second.answer(&pj.RefusedError{Reason: pj.RefusedNoCapacity}) // the task waits again
			x.advance(300 * time.Millisecond)
			x.orders.take("start")[0].answer(&pj.RefusedError{Reason: pj.RefusedNoCapacity})
			strays := []*order{first, second}
			var polls [2]*order
			for _, o := range x.orders.take("poll") {
				for i, stray := range strays {
					if o.worker == stray.worker {
						polls[i] = o
					}
				}
			}
			x.is.True(polls[0] != nil && polls[1] != nil)
			for i, o := range polls {
				o.answerPoll(x.listed(testIncarnation, 0, []pj.RunStatus{{Run: strays[i].run}}), nil)
			}
			x.advance(100 * time.Millisecond)
			for _, o := range x.orders.take("poll") {
				if o.worker == strays[endsFirst].worker {
					o.answerPoll(x.listed(testIncarnation, 0, nil), nil)
				}
			}
			x.advance(1100 * time.Millisecond)
			x.is.Equal(len(x.orders.take("start")), 0)
		})
	}
}

// TestOvertakenAnswerKeepsStray: the answer to an earlier poll that arrives after the one that lists a stray run doesn't show that the run has ended.
func TestOvertakenAnswerKeepsStray(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	x.loseRun(start)
	x.orders.take("poll")
	x.hear(nil)
	second := x.orders.take("start")
	x.is.Equal(len(second), 1) // run 2
	x.advance(100 * time.Millisecond)
	early := x.orders.take("poll") // in flight, answered before the late start of run 1 is carried out
	x.is.Equal(len(early), 1)
	second[0].answer(errNoAnswer) // polls at once beside it
	late := x.orders.take("poll")
	x.is.Equal(len(late), 1)
	second[0].answer(&pj.RefusedError{Reason: pj.RefusedNoCapacity})
	late[0].answerPoll(x.listed(testIncarnation, 0, []pj.RunStatus{{Run: start.run}}), nil)
	early[0].answerPoll(x.listed(testIncarnation, 0, nil), nil)
	x.flush()
	x.advance(1100 * time.Millisecond)
	x.is.Equal(len(x.orders.take("start")), 0)
}

// TestStrayRunSeenWhileStartIsCommitted: a start that is being committed when the stray run is listed isn't sent.
func TestStrayRunSeenWhileStartIsCommitted(t *testing.T) {
	x := newCell(t, 2)
	x.submit("a", wholeWorker())
	start := x.orders.take("start")[0]
	start.answer(nil)
	other := otherThan(start.worker)
	for len(x.group.queued) == 0 && x.clock.now < 20*time.Second {
		x.clock.now += 50 * time.Millisecond
		x.c.Tick()
		for _, o := range x.orders.take("poll") {
			if o.worker == other {
				o.answerPoll(x.listed(testIncarnation, 0, nil), nil)
			} else {
				o.answerPoll(pj.PollResponse{}, errNoAnswer)
			}
		}
		x.c.Flush() // commits the end of the run
		x.group.paused = true
		x.c.Flush() // proposes the next one
		x.group.paused = len(x.group.queued) > 0
	}
	x.is.Equal(len(x.group.queued), 1)
	x.is.True(x.pollAnswered(start.worker, []pj.RunStatus{{Run: start.run}}))
	x.group.resume()
	x.flush()
	x.is.Equal(len(x.orders.take("start")), 0)
}

// pollAnswered answers a poll of a worker, and sends one if needed.
func (x *cell) pollAnswered(worker string, running []pj.RunStatus) bool {
	for range 60 {
		for _, o := range x.orders.take("poll") {
			if o.worker == worker {
				o.answerPoll(x.listed(testIncarnation, 0, running), nil)
				return true
			}
		}
		x.clock.now += 50 * time.Millisecond
		x.c.Tick()
	}
	return false
}

// TestLateDoneOfLongRunningTask: such a task is restarted however it ends, also if that end is read after the run counted as lost.
func TestLateDoneOfLongRunningTask(t *testing.T) {
	x := newCell(t, 2)
	step := wholeWorker()
	step.LongRunning = true
	x.submit("a", step)
	start := x.orders.take("start")[0]
	start.answer(nil)
	x.submit("b", wholeWorker())
	b := x.orders.take("start")[0]
	b.answer(nil)
	for progress := range 100 { // until the run counts as lost
		x.advance(100 * time.Millisecond)
		for _, o := range x.orders.take("poll") {
			if o.worker == start.worker {
				o.answerPoll(pj.PollResponse{}, errNoAnswer)
				continue
			}
			o.answerPoll(x.listed(testIncarnation, 0, []pj.RunStatus{{Run: b.run, Progress: progress}}), nil)
		}
		x.flush()
	}
	x.is.Equal(len(x.orders.take("start")), 0) // no room
	x.is.NoErr(x.announce(announced(start.worker, func(w *pj.PolledWorker) { w.Draining = true })))
	x.hear(map[string]pj.PollResponse{
		start.worker: {Finished: []pj.EndedRun{{Number: 1, Run: start.run, Outcome: pj.EndDone}}},
		b.worker:     {Running: []pj.RunStatus{{Run: b.run, Progress: 100}}},
	})
	x.hear(map[string]pj.PollResponse{b.worker: {Finished: []pj.EndedRun{{Number: 1, Run: b.run, Outcome: pj.EndDone}}}})
	again := 0
	for range 20 {
		x.hear(nil)
		again += len(x.orders.take("start"))
	}
	x.is.True(again > 0)
}

// TestLateFailureCounts: an end as failed that is read, and acknowledged, after the run counted as lost is an attempt of the task.
func TestLateFailureCounts(t *testing.T) {
	x := newCell(t, 1)
	x.submitWorkflow(pj.Workflow{ID: "a", Queue: "q", Workspace: "team", Pool: "pool", Spec: "s", MaxAttempts: 1, Steps: []pj.Step{oneTask()}})
	start := x.orders.take("start")[0]
	x.loseRun(start)
	x.hear(map[string]pj.PollResponse{"w0": {Finished: []pj.EndedRun{{Number: 1, Run: start.run, Outcome: pj.EndFailed}}}})
	starts := len(x.orders.take("start"))
	for range 5 {
		x.hear(nil)
		starts += len(x.orders.take("start"))
	}
	x.is.Equal(starts, 0)
	x.is.Equal(x.state("a"), pj.WorkflowFailed)
}

// TestStrayRunHoldsCapacity: a stray run uses its worker, and its workspace's limit, until it has ended.
func TestStrayRunHoldsCapacity(t *testing.T) {
	tests := map[string]struct {
		workers int
		limit   pj.Resources
	}{
		"of the worker":    {workers: 1, limit: pj.NewResources(1000, 1000, 10, 0)},
		"of the workspace": {workers: 2, limit: pj.NewResources(8, 64, 0, 0)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, test.workers)
			x.publishLimit(test.limit)
			x.submit("a", wholeWorker())
			start := x.orders.take("start")[0]
			x.loseRun(start)
			for _, later := range x.orders.take("start") {
				later.answer(&pj.RefusedError{Reason: pj.RefusedNoCapacity}) // the task waits again
			}
			stray := map[string]pj.PollResponse{start.worker: {Running: []pj.RunStatus{{Run: start.run}}}}
			x.hear(stray)
			x.submit("b", wholeWorker())
			for range 5 {
				x.hear(stray)
			}
			for _, o := range x.orders.take("start") {
				x.is.Equal(o.run.Task.Workflow, "a") // "b" has no room
			}
		})
	}
}

// TestWaitingAfterLateDone: a workflow whose run was observed on a worker isn't counted as started twice.
func TestWaitingAfterLateDone(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", pj.Step{Tasks: 2, Task: pj.NewResources(8, 8, 0, 0), EstimateMS: 1000})
	x.submit("b", pj.Step{Tasks: 1, Task: pj.NewResources(100, 8, 0, 0), EstimateMS: 1000}) // fits nowhere
	start := x.orders.take("start")[0]
	x.loseRun(start)
	x.is.Equal(x.c.WaitingWorkflows("q"), 1)
	x.hear(map[string]pj.PollResponse{"w0": {Finished: []pj.EndedRun{{Number: 1, Run: start.run, Outcome: pj.EndDone}}}})
	x.is.Equal(x.c.WaitingWorkflows("q"), 1)
}

// TestLeftWorkerThatStillRuns: a worker that answers after its leave call, and lists its run, hasn't ended: the call may be of its former life, or the
// process may end seconds later.
func TestLeftWorkerThatStillRuns(t *testing.T) {
	x := newCell(t, 2)
	x.submit("a", wholeWorker())
	start := x.orders.take("start")[0]
	start.answer(nil)
	x.advance(100 * time.Millisecond)
	x.is.NoErr(x.announce(announced(start.worker, func(w *pj.PolledWorker) { w.Draining = true })))
	x.c.Leave(start.worker, func(removed bool, err error) { x.is.NoErr(err); x.is.True(!removed) })
	for range 10 {
		x.advance(100 * time.Millisecond)
		x.answerPolls(map[string]pj.PollResponse{start.worker: {Running: []pj.RunStatus{{Run: start.run}}}})
		x.is.Equal(len(x.orders.take("start")), 0)
	}
}

// TestStrayRunAfterElection: the next leader knows of a stray run that the one before it was stopping.
func TestStrayRunAfterElection(t *testing.T) {
	x := newCell(t, 2)
	x.submit("a", wholeWorker())
	first := x.orders.take("start")[0]
	x.loseRun(first)
	second := x.orders.take("start")[0]
	second.answer(&pj.RefusedError{Reason: pj.RefusedNoCapacity})
	x.hear(map[string]pj.PollResponse{first.worker: {Running: []pj.RunStatus{{Run: first.run}}}})
	x.is.Equal(len(x.orders.take("start")), 0)
	x.elect(runs.FencesPerTerm)
	x.c.Tick()
	for range 5 { // the other worker answers first
		x.answerPollsOf(otherThan(first.worker))
		x.advance(100 * time.Millisecond)
	}
	x.is.Equal(len(x.orders.take("start")), 0)
}

// busyWorker is a worker that runs tasks of different run times, each message to and from which takes the same time.
type busyWorker struct {
	*cell
	way, runTime time.Duration
	calls        []*slowCall
	running      map[pj.RunID]time.Duration // until when
	ended        []pj.EndedRun
	endedAt      map[int64]time.Duration
	number       int64

	longestAck  time.Duration // from an end to its acknowledgement
	longestList int           // of ends in one response
	starts      int
}

type slowCall struct {
	*order
	arrivesAt, answeredAt time.Duration
	response              pj.PollResponse
}

func (b *busyWorker) step() {
	b.clock.now += time.Millisecond
	if b.clock.now%(10*time.Millisecond) == 0 {
		b.c.Tick()
	}
	b.c.Flush()
	for _, o := range b.orders.sent {
		b.calls = append(b.calls, &slowCall{order: o, arrivesAt: b.clock.now + b.way})
	}
	b.orders.sent = nil
	for run, until := range b.running {
		if b.clock.now >= until {
			delete(b.running, run)
			b.number++
			b.ended = append(b.ended, pj.EndedRun{Number: b.number, Run: run, Outcome: pj.EndDone})
			b.endedAt[b.number] = b.clock.now
		}
	}
	calls := b.calls
	b.calls = nil
	for _, c := range calls {
		if c.answeredAt == 0 && b.clock.now >= c.arrivesAt {
			b.carryOut(c)
		}
		switch {
		case c.answeredAt == 0 || b.clock.now < c.answeredAt:
			b.calls = append(b.calls, c)
		case c.kind == "poll":
			c.answerPoll(c.response, nil)
		default:
			c.answer(nil)
		}
	}
}

func (b *busyWorker) carryOut(c *slowCall) {
	now := b.clock.now
	switch c.kind {
	case "start":
		b.starts++
		b.running[c.run] = now + b.runTime*time.Duration(50+b.starts*37%100)/100
	case "poll":
		for len(b.ended) > 0 && b.ended[0].Number <= c.poll.Ack {
			b.longestAck = max(b.longestAck, now-b.endedAt[b.ended[0].Number])
			b.ended = b.ended[1:]
		}
		if len(b.ended) == 0 && now < c.arrivesAt+c.poll.MaxWait {
			return
		}
		const most = 500
		list := b.ended[:min(len(b.ended), most)]
		b.longestList = max(b.longestList, len(list))
		c.response = b.listed(testIncarnation, 0, nil, append([]pj.EndedRun(nil), list...)...)
		c.response.Partial = len(list) == most
		for run := range b.running {
			c.response.Running = append(c.response.Running, pj.RunStatus{Run: run, Progress: int(now / (200 * time.Millisecond))})
		}
	}
	c.answeredAt = now + b.way
}

// TestBusyWorkerIsAcknowledged guards against ends that are never acknowledged, as a run starts on the worker with nearly every message.
func TestBusyWorkerIsAcknowledged(t *testing.T) {
	x := newCellOf(func(int) pj.PolledWorker {
		w := testWorker("w0")
		w.Capacity = pj.NewResources(64, 640, 0, 0)
		return w
	}, 1)
	x.is = is.New(t)
	x.submit("a", pj.Step{Tasks: 10_000, Task: pj.NewResources(1, 1, 0, 0), EstimateMS: 500})
	b := &busyWorker{cell: x, way: 15 * time.Millisecond, runTime: 500 * time.Millisecond, running: make(map[pj.RunID]time.Duration), endedAt: make(map[int64]time.Duration)}
	for range 10_000 {
		b.step()
	}
	for _, end := range b.ended {
		b.longestAck = max(b.longestAck, x.clock.now-b.endedAt[end.Number])
	}
	t.Logf("%d starts; longest time to an acknowledgement %s; longest list %d", b.starts, b.longestAck, b.longestList)
	x.is.True(b.longestAck <= time.Second)
	x.is.True(b.longestList <= 100)
}
