package runs_test

import (
	"testing"
	"time"

	pj "papayajunction"
)

// TestRestartSeenByRefusal guards against a task on two workers after a restart: what was told to an incarnation that has ended must not
// be told to the next one, whose clock and numbers of ends are others.
func TestRestartSeenByRefusal(t *testing.T) {
	restarted := &pj.RefusedError{Reason: pj.RefusedRestarted, Incarnation: testIncarnation + 1, ClockMS: 7}
	tests := map[string]func(x *cell, start *order){
		"by a poll": func(x *cell, start *order) {
			start.answer(nil)
			for _, o := range x.orders.take("poll") {
				o.answerPoll(pj.PollResponse{}, restarted)
			}
		},
		"by a start order": func(_ *cell, start *order) {
			start.answer(restarted)
		},
		"by a start order and the poll in flight": func(x *cell, start *order) {
			start.answer(restarted)
			for _, o := range x.orders.take("poll") {
				o.answerPoll(pj.PollResponse{}, restarted)
			}
		},
		"by a stop order": func(x *cell, start *order) {
			start.answer(nil)
			x.answerPolls(map[string]pj.PollResponse{"w0": {Running: []pj.RunStatus{{Run: start.run}}, Finished: []pj.EndedRun{{Number: 57, Run: runID("z", 0, 1), Outcome: pj.EndStopped}}}})
			x.c.Cancel("a", ofTeam, func(err error) { x.is.NoErr(err) })
			x.c.Flush()
			stops := x.orders.take("stop")
			x.is.Equal(len(stops), 1)
			stops[0].answer(restarted)
		},
	}
	for name, refuse := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			x.submit("a", oneTask())
			start := x.orders.take("start")[0]
			x.advance(100 * time.Millisecond)
			refuse(x, start)
			x.flush()
			x.advance(300 * time.Millisecond)
			var first *order
			for _, o := range x.orders.take("poll") {
				if o.incarnation == testIncarnation+1 {
					first = o
				}
			}
			x.is.True(first != nil) // the new incarnation is polled
			x.is.Equal(first.poll.LeaseUntilMS, int64(0))
			x.is.Equal(first.poll.Ack, int64(0))
			x.is.Equal(len(x.orders.take("start")), 0) // it has not announced itself

			x.is.NoErr(x.announce(announced("w0", func(w *pj.PolledWorker) { w.Incarnation, w.Sequence = testIncarnation+1, 1 })))
			x.submit("b", oneTask())
			for range 3 {
				for _, o := range append(x.orders.take("poll"), first) {
					o.answerPoll(pj.PollResponse{Incarnation: testIncarnation + 1, ClockMS: 8 + x.clock.now.Milliseconds()}, nil)
				}
				x.flush()
				x.advance(100 * time.Millisecond)
			}
			x.is.True(len(x.orders.take("start")) > 0)
		})
	}
}

// TestUnsentStart guards against tasks that wait for a worker without a connection: nothing was sent to it, so the task starts
// elsewhere at once.
func TestUnsentStart(t *testing.T) {
	x := newCell(t, 2)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	start.answer(&pj.RefusedError{Reason: pj.RefusedUnreachable})
	x.flush()
	again := x.orders.take("start")
	x.is.Equal(len(again), 1)
	x.is.True(again[0].worker != start.worker)
	x.is.Equal(again[0].run.Run, 2)
	x.is.Equal(len(x.orders.take("stop")), 0)
}

// TestUnreachableWorkerIsUsedAgain: an unsent start keeps tasks from the only worker for a moment, not for good.
func TestUnreachableWorkerIsUsedAgain(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	x.orders.take("start")[0].answer(&pj.RefusedError{Reason: pj.RefusedUnreachable})
	x.flush()
	x.is.Equal(len(x.orders.take("start")), 0)
	for range 10 {
		x.advance(100 * time.Millisecond)
		x.answerPolls(nil)
	}
	x.is.Equal(len(x.orders.take("start")), 1)
}

// TestStartForEndedIncarnation guards against tasks on a worker that may not run them: a start that was being committed while the worker
// restarted was sent to the new incarnation, which may have other labels and another capacity.
func TestStartForEndedIncarnation(t *testing.T) {
	x := newCell(t, 1)
	x.advance(100 * time.Millisecond)
	x.group.paused = true
	x.submit("a", oneTask())
	x.group.resume()
	x.group.paused = true
	x.c.Flush() // proposes the start
	for _, o := range x.orders.take("poll") {
		o.answerPoll(pj.PollResponse{Incarnation: testIncarnation + 1, ClockMS: 1}, nil)
	}
	x.group.resume()
	x.flush()
	x.is.Equal(len(x.orders.take("start")), 0)
	x.is.NoErr(x.announce(announced("w0", func(w *pj.PolledWorker) { w.Incarnation, w.Sequence = testIncarnation+1, 1 })))
	for range 3 {
		x.advance(100 * time.Millisecond)
		for _, o := range x.orders.take("poll") {
			o.answerPoll(pj.PollResponse{Incarnation: testIncarnation + 1, ClockMS: 2 + x.clock.now.Milliseconds()}, nil)
		}
		x.flush()
	}
	starts := x.orders.take("start")
	x.is.Equal(len(starts), 1)
	x.is.Equal(starts[0].run.Run, 2)
}
