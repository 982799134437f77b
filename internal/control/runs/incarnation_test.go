package runs_test

import (
	"testing"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/runs"
)

// lastPoll takes the polls, of which there must be at least one, and returns the last.
func (x *cell) lastPoll() *order {
	polls := x.orders.take("poll")
	x.is.True(len(polls) > 0)
	return polls[len(polls)-1]
}

// listed returns the answer of an incarnation that lists ends and runs, with a clock that is ahead of this VM's by the given time.
func (x *cell) listed(incarnation int64, ahead time.Duration, running []pj.RunStatus, ended ...pj.EndedRun) pj.PollResponse {
	return pj.PollResponse{Incarnation: incarnation, ClockMS: (x.clock.now + ahead).Milliseconds() + 1, Running: running, Finished: ended}
}

// TestCallsForEarlierIncarnationAreFencedOff guards against a task on two workers, and against ends that are forgotten unread: connections
// outlived a worker's process, so a start or a poll for its earlier incarnation was carried out after the leader had seen the restart, and had started the
// task elsewhere.
func TestCallsForEarlierIncarnationAreFencedOff(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	start.answer(errNoAnswer)
	x.clock.now += time.Second
	x.flush()
	before := x.lastPoll()
	before.answerPoll(x.listed(testIncarnation+1, time.Hour, nil), nil)
	x.is.NoErr(x.announce(announced("w0", func(w *pj.PolledWorker) { w.Incarnation = testIncarnation + 1 })))
	x.is.Equal(len(x.orders.take("start")), 0) // the first start order may still be carried out by the new incarnation

	after := x.lastPoll()
	x.is.True(after.poll.Fence > before.poll.Fence)
	x.is.True(after.poll.Fence > start.start.Fence)
	x.is.Equal(after.poll.LeaseUntilMS, int64(0))
	x.is.Equal(after.poll.Ack, int64(0))
	after.answerPoll(x.listed(testIncarnation+1, time.Hour, nil), nil)
	x.flush()
	again := x.orders.take("start")
	x.is.Equal(len(again), 1)
	x.is.Equal(again[0].run.Run, 2)
	x.is.True(again[0].start.Fence >= after.poll.Fence)
}

// TestOvertakenCalls guards against a leader that stops for good: a call with an earlier fencing token that arrives after a raised one
// is refused as if there were a newer leader.
func TestOvertakenCalls(t *testing.T) {
	stale := &pj.RefusedError{Reason: pj.RefusedStaleFence}
	x := newCell(t, 1)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	x.advance(100 * time.Millisecond)
	x.lastPoll().answerPoll(x.listed(testIncarnation+1, time.Hour, nil), nil)
	start.answer(stale)
	raised := x.lastPoll()
	raised.answerPoll(pj.PollResponse{}, errNoAnswer)
	x.is.NoErr(x.announce(announced("w0", func(w *pj.PolledWorker) { w.Incarnation = testIncarnation + 1 })))
	for range 5 {
		x.advance(100 * time.Millisecond)
		for _, o := range x.orders.take("poll") {
			o.answerPoll(x.listed(testIncarnation+1, time.Hour, nil), nil)
		}
		x.flush()
	}
	x.is.Equal(len(x.orders.take("start")), 1) // the refused start was not carried out, and the leader goes on
}

// listOnce answers a start, and the polls in flight with its run.
func listOnce(x *cell, start *order) {
	start.answer(nil)
	x.advance(100 * time.Millisecond)
	x.answerPolls(map[string]pj.PollResponse{"w0": {Running: []pj.RunStatus{{Run: start.run}}}})
}

// TestUnconfirmedStartKeepsEnds guards against a task that runs again after it was done: the leader sent a start and then an acknowledgement
// of the earlier incarnation's ends to a worker that had restarted meanwhile; that ran the task and forgot its end unread.
func TestUnconfirmedStartKeepsEnds(t *testing.T) {
	tests := map[string]struct {
		answer func(x *cell, start *order) // of the second start
		ack    int64
	}{
		"in flight": {answer: func(*cell, *order) {}},
		"no answer": {answer: func(_ *cell, start *order) { start.answer(errNoAnswer) }},
		"answered":  {answer: func(_ *cell, start *order) { start.answer(nil) }},
		"listed":    {answer: listOnce, ack: 1},
		"refused":   {answer: func(_ *cell, start *order) { start.answer(&pj.RefusedError{Reason: pj.RefusedNoCapacity}) }, ack: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			x.submit("a", oneTask())
			first := x.orders.take("start")[0]
			first.answer(nil)
			x.submit("b", oneTask())
			second := x.orders.take("start")[0]
			x.advance(100 * time.Millisecond)
			x.lastPoll().answerPoll(x.listed(testIncarnation, 0, nil, pj.EndedRun{Number: 1, Run: first.run, Outcome: pj.EndDone}), nil)
			x.flush()
			test.answer(x, second)
			acked := int64(0)
			for range 20 {
				x.advance(100 * time.Millisecond)
				for _, o := range x.orders.take("poll") {
					acked = max(acked, o.poll.Ack)
					o.answerPoll(pj.PollResponse{}, errNoAnswer)
				}
			}
			x.is.Equal(acked, test.ack)
		})
	}
}

// TestStartFollowsUnansweredAcknowledgement guards against the same if the acknowledgement was sent first and is carried out late: the
// start makes the worker refuse it.
func TestStartFollowsUnansweredAcknowledgement(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	first := x.orders.take("start")[0]
	first.answer(nil)
	x.advance(100 * time.Millisecond)
	x.lastPoll().answerPoll(x.listed(testIncarnation, 0, nil, pj.EndedRun{Number: 1, Run: first.run, Outcome: pj.EndDone}), nil)
	x.flush()
	acknowledges := x.lastPoll()
	x.is.Equal(acknowledges.poll.Ack, int64(1))
	acknowledges.answerPoll(pj.PollResponse{}, errNoAnswer)
	x.submit("b", oneTask())
	second := x.orders.take("start")[0]
	x.is.True(second.start.Fence > acknowledges.poll.Fence)
}

// restartedAfter answers the polls of w1, and the given number of those of w0, and returns how long after the last of these w0's task was
// started again.
func (x *cell) restartedAfter(answers int, incarnation int64) (silence time.Duration) {
	heard := x.clock.now
	for range 400 {
		x.advance(50 * time.Millisecond)
		for _, o := range x.orders.take("poll") {
			switch {
			case o.worker == "w1":
				o.answerPoll(x.listed(testIncarnation, 0, nil), nil)
			case answers > 0:
				answers--
				heard = x.clock.now
				o.answerPoll(x.listed(incarnation, time.Hour, []pj.RunStatus{{Run: runID("a", 0, 1)}}), nil)
			default:
				o.answerPoll(pj.PollResponse{}, errNoAnswer)
			}
		}
		x.flush()
		if len(x.orders.take("start")) > 0 {
			return x.clock.now - heard
		}
	}
	return x.clock.now - heard
}

// TestLeaseOfRestartedWorkerAfterElection guards against a task on two workers after a change of leader: a poll for the earlier
// incarnation had given the worker the longest lease that one holds, and the next leader counted on that of polls for the current one.
func TestLeaseOfRestartedWorkerAfterElection(t *testing.T) {
	const longest = 10 * time.Second // that a worker holds
	tests := map[string]struct {
		recorded    int64 // incarnation of w0 in the replicated state at the election
		answers     int   // of w0 to the new leader
		incarnation int64 // that answers
		longer      bool  // the lease may be longer than a leader's
	}{
		"the restart is recorded":                       {recorded: testIncarnation + 1, incarnation: testIncarnation + 1, answers: 1, longer: true},
		"the restart is recorded, never heard":          {recorded: testIncarnation + 1, longer: true},
		"the restart is seen by the first answer":       {recorded: testIncarnation, incarnation: testIncarnation + 1, answers: 1, longer: true},
		"the restart is seen, and the worker described": {recorded: testIncarnation, incarnation: testIncarnation + 1, answers: 2, longer: true},
		"there may have been one, never heard":          {recorded: testIncarnation, longer: true},
		"there was none":                                {recorded: testIncarnation, incarnation: testIncarnation, answers: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 2)
			x.submit("a", pj.Step{Tasks: 1, Task: pj.NewResources(8, 8, 0, 0), EstimateMS: 1000})
			start := x.orders.take("start")[0]
			x.is.Equal(start.worker, "w0")
			start.answer(nil)
			if test.recorded != testIncarnation {
				x.advance(3 * time.Second) // else the announcement is refused, as the earlier incarnation has just answered
				x.is.NoErr(x.announce(announced("w0", func(w *pj.PolledWorker) { w.Incarnation = test.recorded })))
			}
			x.elect(runs.FencesPerTerm)
			silence := x.restartedAfter(test.answers, test.incarnation)
			if test.longer {
				x.is.True(silence >= longest)
				return
			}
			x.is.True(silence >= runs.DefaultLease && silence < longest) // work isn't kept waiting without a reason
		})
	}
}

// TestSettledWorker: once the lease that a call for the earlier incarnation may have set has ended, the next leader doesn't wait for it.
func TestSettledWorker(t *testing.T) {
	x := newCell(t, 2)
	x.submit("a", pj.Step{Tasks: 1, Task: pj.NewResources(8, 8, 0, 0), EstimateMS: 1000})
	start := x.orders.take("start")[0]
	start.answer(nil)
	x.advance(3 * time.Second)
	x.is.NoErr(x.announce(announced("w0", func(w *pj.PolledWorker) { w.Incarnation = testIncarnation + 1 })))
	x.is.True(x.group.state.Unsettled("w0"))
	for range 150 {
		x.advance(100 * time.Millisecond)
		for _, o := range x.orders.take("poll") {
			incarnation := testIncarnation
			if o.worker == "w0" {
				incarnation++
			}
			o.answerPoll(x.listed(incarnation, 0, []pj.RunStatus{{Run: runID("a", 0, 1)}}), nil)
		}
		x.flush()
	}
	x.is.True(!x.group.state.Unsettled("w0"))
}
