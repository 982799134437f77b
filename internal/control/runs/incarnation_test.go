package runs_test

import (
	"testing"
	"time"

	pj "papayajunction"
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
