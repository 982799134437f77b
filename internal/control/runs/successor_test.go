package runs_test

import (
	"testing"
	"time"

	pj "papayajunction"
)

// maxWorkerLease is the longest lease that a worker holds, as the protocol states it.
const maxWorkerLease = 10 * time.Second

// answerPollsAs answers all polls. Worker w0 answers as the given incarnation, with the given runs.
func (x *cell) answerPollsAs(incarnation int64, running ...pj.RunStatus) {
	for _, o := range x.orders.take("poll") {
		response := pj.PollResponse{Incarnation: testIncarnation, ClockMS: x.clock.now.Milliseconds() + 1}
		if o.worker == "w0" {
			response.Incarnation, response.Running = incarnation, running
		}
		o.answerPoll(response, nil)
	}
	x.flush()
}

// TestSuccessorWaitsForLease guards against a task on two workers: a worker has restarted shortly before a change of leader, and a poll
// that was meant for its former incarnation has given it the longest lease that a worker holds. The next leader, which doesn't know of that
// poll, reaches the worker once. After that the worker is silent, and its task may go on for as long as that lease.
func TestSuccessorWaitsForLease(t *testing.T) {
	tests := map[string]struct {
		recorded bool // the former leader has seen the restart, and has committed what the new incarnation announced
	}{
		"the record names the new incarnation":    {recorded: true},
		"the record names the former incarnation": {},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			x.advance(100 * time.Millisecond)
			incarnation := testTime + x.clock.now.Milliseconds()
			if tc.recorded {
				x.answerPollsAs(incarnation)
				x.is.NoErr(x.announce(announced("w0", func(w *pj.PolledWorker) { w.Incarnation, w.Sequence = incarnation, 1 })))
			}
			x.submit("a", oneTask())
			var starts []*order
			for i := 0; len(starts) == 0 && i < 10; i++ {
				x.advance(50 * time.Millisecond)
				if tc.recorded {
					x.answerPollsAs(incarnation)
				}
				starts = x.orders.take("start")
			}
			x.is.Equal(len(starts), 1)
			starts[0].answer(nil) // the new incarnation has carried it out
			x.is.NoErr(x.announce(announced("w1", func(*pj.PolledWorker) {})))

			x.elect(2)
			x.c.Tick()
			x.answerPollsAs(incarnation, pj.RunStatus{Run: starts[0].run, Progress: 1})
			answered := x.clock.now
			var again []*order
			for len(again) == 0 && x.clock.now < answered+3*maxWorkerLease {
				x.advance(50 * time.Millisecond)
				x.answerPollsOf("w1")
				again = x.orders.take("start")
			}
			x.is.Equal(len(again), 1)
			x.is.Equal(again[0].worker, "w1")
			t.Logf("the task starts again %s after the last answer", x.clock.now-answered)
			x.is.True(x.clock.now >= answered+maxWorkerLease)
		})
	}
}

// TestAnswerOfAnnouncedIncarnation guards against a task on two workers: a poll that was meant for a worker's former incarnation is answered by
// the next one, which lists a run whose start was carried out late. The answer arrives when that incarnation has already announced itself, and
// polls that are meant for it get no answer.
func TestAnswerOfAnnouncedIncarnation(t *testing.T) {
	x := newCell(t, 2)
	x.submit("a", wholeWorker())
	first := x.orders.take("start")[0]
	first.answer(nil)
	x.publishLimit(pj.NewResources(1, 1, 0, 0)) // the task can't start again yet
	for range 2 {                               // the run isn't listed and counts as lost
		x.advance(100 * time.Millisecond)
		x.answerPolls(nil)
	}
	x.advance(50 * time.Millisecond)
	var held *order
	for _, o := range x.orders.take("poll") {
		if o.worker == first.worker {
			held = o
			continue
		}
		o.answerPoll(pj.PollResponse{}, errNoAnswer)
	}
	x.advance(2 * time.Second) // nobody answers
	incarnation := testIncarnation + 1
	x.is.NoErr(x.announce(announced(first.worker, func(w *pj.PolledWorker) { w.Incarnation, w.Sequence = incarnation, 1 })))
	held.answerPoll(pj.PollResponse{Incarnation: incarnation, ClockMS: x.clock.now.Milliseconds() + 1, Running: []pj.RunStatus{{Run: first.run}}}, nil)
	x.publishLimit(pj.NewResources(1000, 1000, 0, 0))
	other := otherThan(first.worker)
	var again []*order
	for range 20 {
		x.advance(50 * time.Millisecond)
		x.answerPollsOf(other)
		again = append(again, x.orders.take("start")...)
	}
	x.is.Equal(len(again), 0)
	for i := 0; len(again) == 0 && i < 20; i++ {
		x.advance(50 * time.Millisecond)
		for _, o := range x.orders.take("poll") {
			if o.worker == first.worker && o.incarnation == incarnation { // the run has ended
				o.answerPoll(pj.PollResponse{Incarnation: incarnation, ClockMS: x.clock.now.Milliseconds() + 1}, nil)
				continue
			}
			o.answerPoll(pj.PollResponse{Incarnation: testIncarnation, ClockMS: x.clock.now.Milliseconds() + 1}, nil)
		}
		x.flush()
		again = x.orders.take("start")
	}
	x.is.Equal(len(again), 1)
}
