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

// TestAnswerOfAnnouncedIncarnation guards against a task that runs twice: a poll that was meant for a worker's former incarnation is answered by
// the next one, which lists a run whose start was carried out late, or its end. The answer shows the restart, or arrives when that incarnation
// has already announced itself. Polls that are meant for it get no answer for a while.
func TestAnswerOfAnnouncedIncarnation(t *testing.T) {
	running := func(run pj.RunID) pj.PollResponse { return pj.PollResponse{Running: []pj.RunStatus{{Run: run}}} }
	ended := func(run pj.RunID) pj.PollResponse {
		return pj.PollResponse{Finished: []pj.EndedRun{{Number: 1, Run: run, Outcome: pj.EndDone}}}
	}
	tests := map[string]struct {
		lists          func(run pj.RunID) pj.PollResponse
		announcedFirst bool
	}{
		"a run, after the announcement":   {lists: running, announcedFirst: true},
		"a run, before the announcement":  {lists: running},
		"an end, after the announcement":  {lists: ended, announcedFirst: true},
		"an end, before the announcement": {lists: ended},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
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
			restarted := announced(first.worker, func(w *pj.PolledWorker) { w.Incarnation, w.Sequence = incarnation, 1 })
			if tc.announcedFirst {
				x.is.NoErr(x.announce(restarted))
			}
			response := tc.lists(first.run)
			response.Incarnation, response.ClockMS = incarnation, x.clock.now.Milliseconds()+1
			held.answerPoll(response, nil)
			x.publishLimit(pj.NewResources(1000, 1000, 0, 0))
			other := otherThan(first.worker)
			for range 20 {
				x.advance(50 * time.Millisecond)
				x.answerPollsOf(other)
				x.is.Equal(len(x.orders.take("start")), 0)
			}
			if !tc.announcedFirst {
				x.is.NoErr(x.announce(restarted))
			}
			for range 20 { // the run has been stopped, or its end is read
				x.advance(50 * time.Millisecond)
				for _, o := range x.orders.take("poll") {
					response := pj.PollResponse{Incarnation: testIncarnation}
					if o.worker == first.worker {
						response = pj.PollResponse{Incarnation: incarnation, Finished: tc.lists(first.run).Finished}
					}
					response.ClockMS = x.clock.now.Milliseconds() + 1
					o.answerPoll(response, nil)
				}
				x.flush()
			}
			done := x.state("a") == pj.WorkflowComplete
			starts := len(x.orders.take("start"))
			x.is.True(done != (starts > 0)) // the end finishes the task; else it starts again
			x.is.Equal(done, len(tc.lists(first.run).Finished) > 0)
		})
	}
}
