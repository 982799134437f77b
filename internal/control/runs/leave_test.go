package runs_test

import (
	"testing"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/runs"
)

// leaver is a worker with a run, which drains.
type leaver struct {
	*cell
	start  *order
	worker string
}

// newLeaver returns a cell of two workers in which the one with a run has drained for a while.
func newLeaver(t *testing.T) *leaver {
	t.Helper()
	x := &leaver{cell: newCell(t, 2)}
	x.submit("a", wholeWorker())
	x.start = x.orders.take("start")[0]
	x.worker = x.start.worker
	x.start.answer(nil)
	x.advance(100 * time.Millisecond)
	x.is.NoErr(x.announce(announced(x.worker, func(w *pj.PolledWorker) { w.Draining = true })))
	x.serve(4 * time.Second)
	return x
}

// serve lets time pass in which both workers answer polls, the draining one with its run.
func (x *leaver) serve(span time.Duration) {
	for range int(span / (50 * time.Millisecond)) {
		x.advance(50 * time.Millisecond)
		x.answerPollsRunning([]*order{x.start})
	}
}

// silent lets time pass in which the draining worker answers nothing.
func (x *leaver) silent(span time.Duration) {
	for range int(span / (50 * time.Millisecond)) {
		x.advance(50 * time.Millisecond)
		x.answerPollsOf(otherThan(x.worker))
	}
}

// leave carries out a leave call and returns whether the worker is removed.
func (x *leaver) leave() (removed bool) {
	x.c.Leave(x.worker, func(r bool, err error) { x.is.NoErr(err); removed = r })
	return removed
}

// ended answers the polls; the draining worker lists that its run was stopped.
func (x *leaver) ended() {
	x.advance(50 * time.Millisecond)
	x.answerPolls(map[string]pj.PollResponse{x.worker: {Finished: []pj.EndedRun{{Number: 1, Run: x.start.run, Outcome: pj.EndStopped, Checkpoint: "saved"}}}})
}

// startsElsewhere returns the starts on the other worker.
func (x *leaver) startsElsewhere() []*order {
	starts := x.orders.take("start")
	for _, o := range starts {
		x.is.Equal(o.worker, otherThan(x.worker))
	}
	return starts
}

// TestLeave guards against a task on two workers because one that has sent its leave call was taken for one that has exited: the answer
// to the call may be lost, and the process may go on for any time.
func TestLeave(t *testing.T) {
	tests := map[string]func(x *leaver){
		"a run starts elsewhere as soon as its end is listed, and the call is answered after that": func(x *leaver) {
			x.is.True(!x.leave())
			stops := x.orders.take("stop")
			x.is.Equal(len(stops), 1)
			stops[0].answer(nil)
			x.serve(300 * time.Millisecond)
			x.is.Equal(len(x.startsElsewhere()), 0)
			x.is.True(!x.leave())
			x.ended()
			starts := x.startsElsewhere()
			x.is.Equal(len(starts), 1)
			x.is.Equal(starts[0].start.Checkpoint, "saved")
			x.is.True(x.leave())
			x.is.Equal(x.c.WorkerCount(), 1)
		},
		"a run that ends as done as the call is sent isn't started again": func(x *leaver) {
			x.is.True(!x.leave())
			x.silent(time.Second) // the answer that lists the end is late
			x.is.Equal(len(x.startsElsewhere()), 0)
			x.hear(map[string]pj.PollResponse{x.worker: {Finished: []pj.EndedRun{{Number: 1, Run: x.start.run, Outcome: pj.EndDone}}}})
			x.silent(10 * time.Second)
			x.is.Equal(len(x.startsElsewhere()), 0)
			x.is.Equal(x.state("a"), pj.WorkflowComplete)
		},
		"a worker without runs is removed at once": func(x *leaver) {
			x.ended()
			x.is.True(x.leave())
			x.is.Equal(x.c.WorkerCount(), 1)
		},
		"a run goes on for as long as the worker lists it": func(x *leaver) {
			for range 20 { // repeated calls
				x.is.True(!x.leave())
				x.serve(500 * time.Millisecond)
			}
			x.is.Equal(len(x.startsElsewhere()), 0)
		},
		"a worker that exits without an answer": func(x *leaver) {
			x.leave()
			called := x.clock.now
			for len(x.startsElsewhere()) == 0 {
				x.silent(50 * time.Millisecond)
			}
			x.is.True(x.clock.now <= called+3*time.Second)
			x.is.True(x.clock.now >= called+time.Second) // its lease, which it may hold without being reachable
			x.silent(100 * time.Millisecond)
			x.is.Equal(x.c.WorkerCount(), 1)
		},
		"the lease isn't renewed after the call": func(x *leaver) {
			x.leave()
			x.serve(50 * time.Millisecond)
			x.advance(50 * time.Millisecond)
			for _, o := range x.orders.take("poll") {
				x.is.Equal(o.poll.LeaseUntilMS == 0, o.worker == x.worker)
			}
		},
		"the call reaches the next leader": func(x *leaver) {
			x.elect(runs.FencesPerTerm)
			x.c.Tick()
			x.is.True(!x.leave())
			x.silent(3 * time.Second)
			x.is.True(!x.leave())
			x.is.Equal(len(x.startsElsewhere()), 0)
			x.serve(100 * time.Millisecond)
			x.is.True(len(x.orders.take("stop")) > 0)
			x.ended()
			x.is.Equal(len(x.startsElsewhere()), 1)
			x.is.True(x.leave())
		},
		"the leader is lost after the call": func(x *leaver) {
			x.leave()
			x.elect(runs.FencesPerTerm)
			x.silent(6 * time.Second)
			x.is.Equal(len(x.startsElsewhere()), 0)
			x.silent(8 * time.Second)
			x.is.Equal(len(x.startsElsewhere()), 1)
		},
		"a call of the former incarnation doesn't remove the next one": func(x *leaver) {
			x.leave()
			for range 3 {
				x.advance(50 * time.Millisecond)
				for _, o := range x.orders.take("poll") {
					incarnation := testIncarnation
					if o.worker == x.worker {
						incarnation++
					}
					o.answerPoll(pj.PollResponse{Incarnation: incarnation, ClockMS: x.clock.now.Milliseconds()}, nil)
				}
				x.flush()
			}
			x.is.Equal(len(x.startsElsewhere()), 1) // the restart has ended the run
			x.is.NoErr(x.announce(announced(x.worker, func(w *pj.PolledWorker) { w.Incarnation, w.Sequence = testIncarnation+1, 1 })))
			x.is.True(x.leave()) // a repetition that is late
			x.is.Equal(x.c.WorkerCount(), 2)
			x.submit("b", wholeWorker())
			for range 3 {
				x.advance(50 * time.Millisecond)
				for _, o := range x.orders.take("poll") {
					o.answerPoll(pj.PollResponse{Incarnation: o.incarnation, ClockMS: x.clock.now.Milliseconds()}, nil)
				}
				x.flush()
			}
			starts := x.orders.take("start")
			x.is.Equal(len(starts), 1)
			x.is.Equal(starts[0].worker, x.worker)
		},
		"a worker that has withdrawn its drain is used again": func(x *leaver) {
			x.leave()
			x.is.NoErr(x.announce(announced(x.worker, func(w *pj.PolledWorker) { w.Sequence += 10 })))
			x.serve(200 * time.Millisecond)
			x.is.True(x.leave())
			x.ended()
			x.is.Equal(x.c.WorkerCount(), 2)
			x.submit("b", wholeWorker())
			x.is.Equal(len(x.orders.take("start")), 2)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(newLeaver(t)) })
	}
}
