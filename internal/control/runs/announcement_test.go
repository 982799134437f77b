package runs_test

import (
	"math"
	"testing"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/runs"
)

// announce announces a worker and returns the result.
func (x *cell) announce(w pj.PolledWorker) error {
	result := errNoAnswer
	x.c.Announce(w, func(err error) { result = err })
	x.flush()
	return result
}

// announced returns the given worker as it announces itself next, with a change.
func announced(id string, change func(w *pj.PolledWorker)) pj.PolledWorker {
	w := testWorker(id)
	w.Sequence = 2
	change(&w)
	return w
}

// TestOddAnnouncement guards a worker in use against announcements that another program makes under its id: they must not put
// it out of use, and its run must not be started elsewhere while it goes on.
func TestOddAnnouncement(t *testing.T) {
	tests := map[string]func(w *pj.PolledWorker){
		"start time in the far future":                   func(w *pj.PolledWorker) { w.Incarnation = testTime + time.Hour.Milliseconds() },
		"largest start time":                             func(w *pj.PolledWorker) { w.Incarnation = math.MaxInt64 },
		"another address":                                func(w *pj.PolledWorker) { w.Address = "10.9.9.9:1" },
		"a restart at the same address while it answers": func(w *pj.PolledWorker) { w.Incarnation++ },
		"another pool":                                   func(w *pj.PolledWorker) { w.Pool = "other" },
		"another capacity":                               func(w *pj.PolledWorker) { w.Capacity = w.Capacity.Mul(10) },
		"other labels":                                   func(w *pj.PolledWorker) { w.Labels = []string{"b"} },
		"a restart elsewhere while it answers": func(w *pj.PolledWorker) {
			w.Incarnation++
			w.Address = "10.9.9.9:1"
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			x.submit("a", oneTask())
			start := x.orders.take("start")[0]
			start.answer(nil)
			x.is.True(x.announce(announced("w0", change)) != nil)
			running := map[string]pj.PollResponse{"w0": {Running: []pj.RunStatus{{Run: start.run, Progress: 1}}}}
			for range 20 {
				x.advance(100 * time.Millisecond)
				x.answerPolls(running)
			}
			x.is.Equal(len(x.orders.take("start")), 0)
			x.submit("b", oneTask()) // the rest of the worker's capacity is in use as before
			starts := x.orders.take("start")
			x.is.Equal(len(starts), 1)
			x.is.Equal(starts[0].worker, "w0")
		})
	}
}

// TestUnknownPool: a worker of a pool that the rules don't name is not registered.
func TestUnknownPool(t *testing.T) {
	x := newCell(t, 1)
	x.is.True(x.announce(announced("stranger", func(w *pj.PolledWorker) { w.Pool = "other" })) != nil)
	x.is.Equal(x.c.WorkerCount(), 1)
}

// TestWrongAddress: if a leader has never reached a worker at its address and another worker answers there, the address may be
// wrong and the worker's run may go on. It must not start elsewhere before its lease has expired.
func TestWrongAddress(t *testing.T) {
	x := newCell(t, 2)
	x.submit("a", oneTask())
	start := x.orders.take("start")[0]
	start.answer(nil)
	x.elect(2)
	elected := x.clock.now
	var restarted []*order
	for len(restarted) == 0 && x.clock.now < elected+2*runs.DefaultMaxLease {
		x.advance(100 * time.Millisecond)
		x.answerPollsReplaced(start.worker)
		restarted = x.orders.take("start")
	}
	x.is.Equal(len(restarted), 1)
	x.is.True(x.clock.now >= elected+runs.DefaultMaxLease)
}

// TestRestartSeenByPoll: a poll may show that a worker has restarted before its new incarnation announces itself, perhaps with
// other labels. Until then no task starts there.
func TestRestartSeenByPoll(t *testing.T) {
	x := newCell(t, 1)
	restarted := func() {
		for _, o := range x.orders.take("poll") {
			o.answerPoll(pj.PollResponse{Incarnation: testIncarnation + 1, ClockMS: x.clock.now.Milliseconds() + 1}, nil)
		}
		x.flush()
	}
	x.advance(100 * time.Millisecond)
	restarted()
	step := oneTask()
	step.Label = "a"
	x.submit("a", oneTask())
	x.submit("b", step)
	x.advance(100 * time.Millisecond)
	restarted()
	x.is.Equal(len(x.orders.take("start")), 0)
	x.is.NoErr(x.announce(announced("w0", func(w *pj.PolledWorker) { w.Incarnation, w.Sequence, w.Labels = testIncarnation+1, 1, []string{"a"} })))
	x.advance(100 * time.Millisecond)
	restarted()
	x.is.Equal(len(x.orders.take("start")), 2)
}

// TestOddAdvice: tickets for workers that were not asked about are ignored, and a worker that is named twice counts once.
func TestOddAdvice(t *testing.T) {
	x := newCell(t, 2)
	x.c.SetAdvisors([]string{"vm"})
	x.submitWorkflow(pj.Workflow{
		ID: "a", Queue: "q", Workspace: "team", Pool: "pool", MaxAttempts: 1,
		Advice: &pj.AdvicePolicy{DecisionMS: 10, PerWorkerMS: 1, ValidityMS: 2000},
		Steps:  []pj.Step{{Tasks: 1, Task: pj.NewResources(4, 1, 0, 0)}},
	})
	query := x.orders.take("advise")[0]
	x.is.NoErr(x.announce(announced("w2", func(*pj.PolledWorker) {})))
	x.answerPolls(nil)
	query.answerAdvice(pj.Advice{Tickets: []pj.Ticket{{Worker: "w2", Ticket: "t"}, {Worker: "", Ticket: "t"}, {Worker: "nobody", Ticket: "t"}}}, nil)
	x.flush()
	x.is.Equal(len(x.orders.take("start")), 0)
}

// TestJoiningWorkerIsPolled guards against workers that join in vain: one that joined, or came back, more than 30 s after an election
// counted as silent since then, and was removed unless it answered its first poll before the next tick.
func TestJoiningWorkerIsPolled(t *testing.T) {
	tests := map[string]pj.PolledWorker{
		"a new worker":              testWorker("w1"),
		"a restart of a silent one": announced("w0", func(w *pj.PolledWorker) { w.Incarnation += time.Minute.Milliseconds() }),
	}
	for name, worker := range tests {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1)
			x.advance(29 * time.Second)
			x.orders.take("poll")
			x.advance(2 * time.Second) // w0 doesn't answer for longer than removeAfter
			x.clock.now += time.Second
			x.is.NoErr(x.announce(worker))
			x.advance(500 * time.Millisecond)
			_, known := x.group.state.Worker(worker.ID)
			x.is.True(known)
		})
	}
}
