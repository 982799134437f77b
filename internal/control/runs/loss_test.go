package runs_test

import (
	"slices"
	"testing"
	"time"

	pj "papayajunction"
)

// TestUnansweredStartIsClearedUpAtOnce guards against work that waits for a poll: while the outcome of a start order was unknown, the
// leader looked only when the poll in flight returned, which took up to 2.5 s if its answer was lost, too. It must poll beside
// it, stop the run, and start the task again as soon as the worker is known not to have it.
func TestUnansweredStartIsClearedUpAtOnce(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	x.advance(100 * time.Millisecond)
	held := x.orders.take("poll")
	x.is.Equal(len(held), 1) // the worker holds it, and its answer will be lost
	x.is.True(held[0].poll.MaxWait > 0)
	start.answer(errNoAnswer)
	unanswered := x.clock.now
	var again []*order
	for len(again) == 0 && x.clock.now < unanswered+time.Second {
		for _, o := range x.orders.take("poll") {
			x.is.Equal(o.poll.MaxWait, time.Duration(0))
			o.answerPoll(pj.PollResponse{Incarnation: testIncarnation, ClockMS: x.clock.now.Milliseconds() + 1}, nil)
		}
		for _, o := range x.orders.take("stop") {
			x.is.Equal(o.run, start.run)
			o.answer(nil)
		}
		x.advance(20 * time.Millisecond)
		again = x.orders.take("start")
	}
	x.is.Equal(len(again), 1)
	x.is.Equal(again[0].run.Run, 2)
	x.is.True(x.clock.now <= unanswered+300*time.Millisecond)
}

// TestUnansweredStartThatRuns: the poll beside the one in flight may show that the worker has the run, which then goes on.
func TestUnansweredStartThatRuns(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	x.advance(100 * time.Millisecond)
	x.orders.take("poll")
	start.answer(errNoAnswer)
	x.answerPolls(map[string]pj.PollResponse{"w0": {Running: []pj.RunStatus{{Run: start.run, Progress: 1}}}})
	x.advance(300 * time.Millisecond)
	x.is.Equal(len(x.orders.take("poll")), 0) // the outcome is known: no more polls beside the one in flight
	x.is.Equal(len(x.orders.take("stop")), 0)
	x.is.Equal(len(x.orders.take("start")), 0)
}

// TestLossyWorker: a worker that left a poll unanswered is polled with a short wait for some time, so that the next lost answer
// hides the ends of its runs for less long.
func TestLossyWorker(t *testing.T) {
	x := newCell(t, 1)
	wait := func() time.Duration {
		for range 20 {
			x.advance(50 * time.Millisecond)
			if polls := x.orders.take("poll"); len(polls) > 0 {
				polls[0].answerPoll(pj.PollResponse{Incarnation: testIncarnation, ClockMS: x.clock.now.Milliseconds() + 1}, nil)
				return polls[0].poll.MaxWait
			}
		}
		return -1
	}
	usual := wait()
	x.advance(50 * time.Millisecond)
	x.orders.take("poll")[0].answerPoll(pj.PollResponse{}, errNoAnswer)
	lossy := wait()
	x.is.True(lossy > 0 && lossy < usual/2)
	x.is.Equal(wait(), lossy)
	for end := x.clock.now + 12*time.Second; x.clock.now < end; {
		wait()
	}
	x.is.Equal(wait(), usual)
}

// TestGangWithUnansweredStart: if a worker doesn't have the run of a gang's member whose start order was not answered, the gang can't
// assemble. The other members are stopped at the same time as that one, not only after its end is known.
func TestGangWithUnansweredStart(t *testing.T) {
	x := newCell(t, 2)
	x.submit("a", pj.Step{Tasks: 2, Task: pj.NewResources(8, 8, 0, 0), Gang: true})
	starts := x.orders.take("start")
	x.is.Equal(len(starts), 2)
	starts[0].answer(nil)
	starts[1].answer(errNoAnswer)
	x.answerPolls(map[string]pj.PollResponse{starts[0].worker: {Running: []pj.RunStatus{{Run: starts[0].run}}}})
	x.clock.now += time.Second
	x.answerPolls(map[string]pj.PollResponse{starts[0].worker: {Running: []pj.RunStatus{{Run: starts[0].run}}}})
	x.is.Equal(len(x.orders.take("stop")), 2)
}

// TestLastingTaskAfterLossOfItsWorker guards against a long-running task that waits 11 s after the loss of the worker on which it had just started:
// until the worker lists a run, the run may be on a later incarnation and hold the longest lease.
func TestLastingTaskAfterLossOfItsWorker(t *testing.T) {
	const (
		roundTrip  = 10 * time.Millisecond
		lossAfter  = 100 * time.Millisecond
		restartGap = 9 * time.Second // without a run, for a long-running task
	)
	step := pj.Step{Tasks: 3, Task: pj.NewResources(1, 1, 0, 0), LongRunning: true}
	for name, span := range map[string]time.Duration{"starts answered at once": 0, "starts answered one after the other": 2 * roundTrip} {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 2)
			x.advance(500 * time.Millisecond) // the polls in flight are held by the workers
			held := x.orders.take("poll")
			x.is.Equal(len(held), 2)
			x.submit("a", step)
			x.advance(100 * time.Millisecond)
			starts := x.orders.take("start")
			x.is.Equal(len(starts), step.Tasks)
			lost := starts[0].worker
			var running []pj.RunStatus
			answerPolls := func() {
				polls := x.orders.take("poll")
				listed := slices.Clone(running)
				x.clock.now += roundTrip
				for _, o := range polls {
					response := pj.PollResponse{Incarnation: testIncarnation, ClockMS: x.clock.now.Milliseconds() + 1}
					if o.worker == lost {
						response.Running = listed
					}
					o.answerPoll(response, nil)
				}
				x.flush()
			}
			for _, s := range starts {
				x.is.Equal(s.worker, lost)
				running = append(running, pj.RunStatus{Run: s.run, Progress: 100})
				s.answer(nil)
				x.advance(span)
				answerPolls()
			}
			for range int(lossAfter / roundTrip) {
				answerPolls()
			}
			lostAt := x.clock.now
			x.orders.sent = append(x.orders.sent, held...)
			var again []*order
			for len(again) < step.Tasks && x.clock.now < lostAt+2*restartGap {
				x.advance(50 * time.Millisecond)
				x.answerPollsOf(map[string]string{"w0": "w1", "w1": "w0"}[lost])
				again = append(again, x.orders.take("start")...)
			}
			x.is.Equal(len(again), step.Tasks)
			x.is.True(x.clock.now <= lostAt+restartGap)
		})
	}
}

// TestPollSentBeforeUnansweredStart: a poll that was sent before the start order was given up may have been answered before the
// order arrived, so it doesn't show that the worker lacks the run.
func TestPollSentBeforeUnansweredStart(t *testing.T) {
	x := newCell(t, 1)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	x.advance(100 * time.Millisecond)
	early := x.orders.take("poll")
	x.clock.now += 300 * time.Millisecond
	start.answer(errNoAnswer)
	probe := x.orders.take("poll")
	x.is.Equal(len(probe), 1)
	empty := pj.PollResponse{Incarnation: testIncarnation, ClockMS: x.clock.now.Milliseconds() + 1}
	early[0].answerPoll(empty, nil)
	x.flush()
	x.is.Equal(len(x.orders.take("stop")), 0)
	probe[0].answerPoll(empty, nil)
	x.flush()
	x.is.Equal(len(x.orders.take("stop")), 1)
}
