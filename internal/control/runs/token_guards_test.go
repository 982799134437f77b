package runs_test

import (
	"testing"
	"time"

	pj "papayajunction"
)

// restart answers the polls of w0 as its next incarnation, and announces that.
func (x *cell) restart(running ...pj.RunStatus) {
	x.advance(100 * time.Millisecond)
	x.lastPoll().answerPoll(x.listed(testIncarnation+1, time.Hour, running), nil)
	x.is.NoErr(x.announce(announced("w0", func(w *pj.PolledWorker) { w.Incarnation = testIncarnation + 1 })))
}

// TestOvertakenStop: a stop that was sent before the token was raised and arrives afterwards is refused, and the leader goes on.
func TestOvertakenStop(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	start.answer(nil)
	x.c.Cancel("a", ofTeam, func(err error) { x.is.NoErr(err) })
	x.flush()
	stop := x.orders.take("stop")[0]
	x.restart()
	stop.answer(&pj.RefusedError{Reason: pj.RefusedStaleFence})
	x.submit("b", oneTask())
	for range 3 {
		for _, o := range x.orders.take("poll") {
			o.answerPoll(x.listed(testIncarnation+1, time.Hour, nil), nil)
		}
		x.flush()
		x.advance(100 * time.Millisecond)
	}
	x.is.Equal(len(x.orders.take("start")), 1)
}

// TestStopsCarryRaisedToken: a worker refuses stops with the term as their token once it has received a raised one.
func TestStopsCarryRaisedToken(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	start.answer(nil)
	x.restart()
	raised := x.lastPoll()
	x.is.True(raised.poll.Fence > start.start.Fence)
	raised.answerPoll(x.listed(testIncarnation+1, time.Hour, []pj.RunStatus{{Run: start.run}, {Run: runID("z", 0, 1)}}), nil)
	x.flush()
	stops := x.orders.take("stop")
	x.is.Equal(len(stops), 1) // of the stray run
	x.is.Equal(stops[0].fence, raised.poll.Fence)
	x.c.Cancel("a", ofTeam, func(err error) { x.is.NoErr(err) })
	x.flush()
	stops = x.orders.take("stop")
	x.is.Equal(len(stops), 1)
	x.is.Equal(stops[0].fence, raised.poll.Fence)
}

// TestPollsAtOnceCarryRaisedToken is the same for the polls beside those that wait.
func TestPollsAtOnceCarryRaisedToken(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	x.restart()
	raised := x.lastPoll()
	raised.answerPoll(x.listed(testIncarnation+1, time.Hour, []pj.RunStatus{{Run: start.run}}), nil)
	x.flush()
	x.submit("b", oneTask())
	second := x.orders.take("start")[0]
	x.advance(100 * time.Millisecond)
	second.answer(errNoAnswer)
	polls := x.orders.take("poll")
	x.is.True(len(polls) > 1)
	for _, o := range polls {
		x.is.Equal(o.poll.Fence, raised.poll.Fence)
	}
}

// TestLeaseCountsFromFirstAnswer: calls for the earlier incarnation may set the current one's lease until that has received the raised token. The next leader
// learns of it until the lease is over.
func TestLeaseCountsFromFirstAnswer(t *testing.T) {
	const longest, unheard = 10 * time.Second, 5 * time.Second
	x := newCell(t, 2)
	x.submit("a", wholeWorker())
	start := x.orders.take("start")[0]
	x.is.Equal(start.worker, "w0")
	start.answer(nil)
	var heard time.Duration
	answers := func(span time.Duration) {
		for end := x.clock.now + span; x.clock.now < end; {
			x.advance(100 * time.Millisecond)
			for _, o := range x.orders.take("poll") {
				if o.worker == "w1" {
					o.answerPoll(x.listed(testIncarnation, 0, nil), nil)
				} else {
					o.answerPoll(pj.PollResponse{}, errNoAnswer)
				}
			}
			x.flush()
		}
	}
	x.advance(100 * time.Millisecond)
	for _, o := range x.orders.take("poll") {
		if o.worker == "w0" {
			o.answerPoll(x.listed(testIncarnation+1, time.Hour, nil), nil)
		}
	}
	x.is.NoErr(x.announce(announced("w0", func(w *pj.PolledWorker) { w.Incarnation = testIncarnation + 1 })))
	answers(unheard)
	for heard == 0 {
		x.advance(50 * time.Millisecond)
		for _, o := range x.orders.take("poll") {
			if o.worker == "w0" {
				o.answerPoll(x.listed(testIncarnation+1, time.Hour, []pj.RunStatus{{Run: start.run}}), nil)
				heard = x.clock.now
			}
		}
	}
	x.flush()
	answers(longest)
	x.is.True(x.clock.now >= heard+longest)
	x.is.True(x.group.state.Unsettled("w0"))
	x.is.Equal(len(x.orders.take("start")), 0)
}

// TestRestartedWorkerIsToldNothingOld: after a restart, whether an answer or the announcement shows it, the next polls have a raised token, and neither a lease
// nor an acknowledgement of the earlier incarnation.
func TestRestartedWorkerIsToldNothingOld(t *testing.T) {
	tests := map[string]func(x *cell){
		"by an answer": func(x *cell) { x.restart() },
		"by the announcement": func(x *cell) {
			for range 30 {
				x.advance(100 * time.Millisecond)
				for _, o := range x.orders.take("poll") {
					o.answerPoll(pj.PollResponse{}, errNoAnswer)
				}
			}
			x.is.NoErr(x.announce(announced("w0", func(w *pj.PolledWorker) { w.Incarnation = testIncarnation + 1 })))
		},
	}
	for name, restart := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			x.hear(map[string]pj.PollResponse{"w0": {Finished: []pj.EndedRun{{Number: 57, Run: runID("z", 0, 1), Outcome: pj.EndStopped}}}})
			before := x.lastPoll()
			x.is.Equal(before.poll.Ack, int64(57))
			before.answerPoll(x.listed(testIncarnation, 0, nil), nil)
			restart(x)
			first := x.lastPoll()
			x.is.Equal(first.incarnation, testIncarnation+1)
			x.is.True(first.poll.Fence > before.poll.Fence)
			x.is.Equal(first.poll.LeaseUntilMS, int64(0))
			first.answerPoll(x.listed(testIncarnation+1, 0, nil), nil)
			x.advance(100 * time.Millisecond)
			x.is.Equal(x.lastPoll().poll.Ack, int64(0))
		})
	}
}

// TestEarlierPollProvesNothing: while the outcome of a start is unknown no later start raises the token, and the answer to a poll with its token
// doesn't show that it will be refused.
func TestEarlierPollProvesNothing(t *testing.T) {
	x := newCell(t, 1)
	x.hear(map[string]pj.PollResponse{"w0": {Finished: []pj.EndedRun{{Number: 1, Run: runID("z", 0, 1), Outcome: pj.EndStopped}}}})
	acknowledges := x.lastPoll()
	x.is.Equal(acknowledges.poll.Ack, int64(1))
	x.submit("b", oneTask())
	open := x.orders.take("start")[0]
	x.advance(100 * time.Millisecond)
	open.answer(errNoAnswer)
	early := x.lastPoll()
	acknowledges.answerPoll(pj.PollResponse{}, errNoAnswer)
	x.submit("c", oneTask())
	later := x.orders.take("start")[0]
	x.is.True(open.start.Fence > acknowledges.poll.Fence)
	x.is.Equal(later.start.Fence, open.start.Fence)
	x.is.Equal(early.poll.Fence, open.start.Fence)
	early.answerPoll(x.listed(testIncarnation, 0, nil), nil)
	x.flush()
	later.answer(&pj.RefusedError{Reason: pj.RefusedTicket}) // makes room
	x.flush()
	for _, o := range x.orders.take("start") {
		x.is.Equal(o.run.Task.Workflow, "c")
	}
}

// TestStrayRunOfGang: a gang doesn't start while a worker lists a stray run of one of its tasks.
func TestStrayRunOfGang(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", pj.Step{Tasks: 2, Task: pj.NewResources(2, 2, 0, 0), Gang: true})
	starts := x.orders.take("start")
	starts[1].answer(nil)
	x.loseRun(starts[0])
	x.hear(map[string]pj.PollResponse{"w0": {Running: []pj.RunStatus{{Run: starts[0].run, Progress: 1}}}})
	x.is.Equal(len(x.orders.take("start")), 0)
	x.hear(nil)
	x.is.Equal(len(x.orders.take("start")), 2)
}
