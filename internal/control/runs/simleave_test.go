package runs_test

import (
	"math/rand/v2"
	"time"

	pj "papayajunction"
)

// Times of a worker that leaves. No page bounds how long it goes on after its leave call.
const (
	simDrain        = 2500 * time.Millisecond // from the acknowledged announcement to the first leave call, at least
	simDrainLonger  = 3 * time.Second
	simLeaveTimeout = time.Second // without an answer for this long, a worker repeats its leave call
	simLeavePolls   = 50 * time.Millisecond
	simLeaveCalls   = 5               // without an answer to so many, it exits anyway
	simExit         = 2 * time.Second // from an answer to the exit, at most
	simAway         = 6 * time.Second // until a worker that has left is back under its id, at most
)

// simLeave is how one incarnation leaves.
type simLeave struct {
	*simIncarnation
	random    *rand.Rand
	withdraws bool // it goes on serving after all, perhaps after a leave call
	waits     bool // for an answer; else it exits right after its first call
	acked     bool // its drain was acknowledged
	calls     int
	over      bool // it has exited or withdrawn its drain
}

// drain makes the present incarnation of a worker drain; once that is acknowledged, it leaves.
func (s *schedule) drain(w *simWorker) {
	l := w.current
	if l == nil || l.draining != nil {
		return
	}
	random := s.random("leave", w.id, l.born)
	l.draining = &simLeave{simIncarnation: l, random: random, withdraws: random.IntN(6) == 0, waits: random.IntN(4) > 0}
	s.record(w.id, pj.TaskID{}, "incarnation %d drains, withdraws %v, waits %v", l.born, l.draining.withdraws, l.draining.waits)
}

// acknowledged follows the first acknowledgement of an announcement that the worker drains.
func (d *simLeave) acknowledged() {
	if d.acked {
		return
	}
	d.acked = true
	d.s.after(simDrain+time.Duration(d.random.Int64N(int64(simDrainLonger))), d.worker.id, d.call)
}

// call sends a leave call, which may be lost, be late, or lose its answer.
func (d *simLeave) call() {
	if d.ended || d.over {
		return
	}
	if d.calls == simLeaveCalls {
		d.exit("unanswered")
		return
	}
	d.calls++
	sent, transit, answered := d.s.clock.now, time.Duration(d.random.Int64N(int64(30*time.Millisecond))), true
	switch fate := d.random.IntN(8); {
	case fate < 2:
		answered = false
	case fate == 2:
		transit, answered = lateFrom+time.Duration(d.random.Int64N(int64(lateUntil-lateFrom))), false
	case fate == 3:
		transit = simLeaveTimeout // it arrives when the worker has given it up
	}
	d.s.record(d.worker.id, pj.TaskID{}, "leave call %d of incarnation %d sent, arrives in %s, answered %v", d.calls, d.born, transit, answered)
	d.s.after(transit, d.worker.id, func() { d.carryOut(sent+transit, answered) })
	switch {
	case d.withdraws:
		d.withdraw()
	case !d.waits:
		d.exit("without waiting")
	default:
		d.s.after(simLeaveTimeout, d.worker.id, d.call)
	}
}

// carryOut asks the leader until the worker is removed, or has given up the call, as a VM does.
func (d *simLeave) carryOut(arrived time.Duration, answered bool) {
	s := d.s
	if s.leader == nil || s.clock.now > arrived+simLeaveTimeout || d.worker.callsCut(s.clock.now) {
		return
	}
	s.leader.c.Leave(d.worker.id, func(removed bool, err error) {
		switch {
		case err == nil && removed && answered && !d.worker.answersCut(s.clock.now):
			s.after(time.Duration(d.random.Int64N(int64(simExit))), d.worker.id, func() { d.exit("answered") })
		case err == nil && !removed:
			s.after(simLeavePolls, d.worker.id, func() { d.carryOut(arrived, answered) })
		}
	})
}

// exit ends the process. The worker is back under its id some time later.
func (d *simLeave) exit(why string) {
	if d.ended || d.over {
		return
	}
	d.over = true
	d.s.record(d.worker.id, pj.TaskID{}, "incarnation %d exits, %s", d.born, why)
	d.crash()
	d.s.after(100*time.Millisecond+time.Duration(d.random.Int64N(int64(simAway))), d.worker.id, func() { d.s.newIncarnation(d.worker) })
}

// withdraw makes the worker ready again.
func (d *simLeave) withdraw() {
	d.over = true
	d.s.record(d.worker.id, pj.TaskID{}, "incarnation %d withdraws its drain", d.born)
}
