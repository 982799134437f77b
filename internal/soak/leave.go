package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	pj "papayajunction"
)

// Parameters of workers that leave. A worker that drains announces it until it ends, waits for a while, and sends leave calls until one is
// answered. Nobody can know how long it goes on after that.
const (
	leaveStream      = 10                     // of the random numbers for leaves
	meanLeaveTime    = 8 * time.Second        // between two leaves of a worker, on average
	minLeaveInterval = 200 * time.Millisecond // between two leaves in a large cell
	maxAckWait       = 4 * time.Second        // for the acknowledgement that the worker drains
	minDrainTime     = 500 * time.Millisecond // short, so that most workers leave with runs
	maxDrainTime     = 2 * time.Second
	leaveTimeout     = time.Second // without an answer for this long, the worker repeats the call
	maxLeaveCalls    = 5           // after as many without an answer, it ends anyway
	maxExitTime      = 1500 * time.Millisecond
	maxAwayTime      = 2 * time.Second // until it is back under its id
)

// What happens to a leave call, by a number below leaveFates. With the other numbers it is answered.
const (
	leaveLost       = iota // it is never carried out
	leaveLate              // it is carried out later, whatever has become of the worker
	leaveUnanswered        // its answer is lost
	leaveFates      = 6
)

// PlanLeaves draws the times at which workers begin to leave. Like those of PlanRestarts, they have random numbers of their own.
func PlanLeaves(seed uint64, duration time.Duration, workers []string) []Fault {
	r := rand.New(rand.NewPCG(seed, leaveStream)) //nolint:gosec // not for secrets
	var plan []Fault
	interval := max(meanLeaveTime/time.Duration(len(workers)), minLeaveInterval)
	for at := warmUp / 2; at < duration-coolDown; at += time.Duration(r.ExpFloat64() * float64(interval)) {
		plan = append(plan, Fault{At: at, Duration: minDrainTime + time.Duration(r.Int64N(int64(maxDrainTime-minDrainTime))), Target: workers[r.IntN(len(workers))], Kind: WorkerLeave})
	}
	return plan
}

// leaving tells which workers drain. The zero value is ready for use.
type leaving struct {
	mu       sync.Mutex
	draining map[string]int64         // incarnation that drains, by worker
	acked    map[string]chan struct{} // closed once that is acknowledged
	calling  map[string]struct{}      // workers that have sent a leave call and announce nothing meanwhile
}

// begin makes a worker announce that it drains, and returns the channel that is closed with the first acknowledgement. It returns nil if the worker drains already.
func (l *leaving) begin(id string, incarnation int64) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining == nil {
		l.draining, l.acked, l.calling = make(map[string]int64), make(map[string]chan struct{}), make(map[string]struct{})
	}
	if _, drains := l.draining[id]; drains {
		return nil
	}
	l.draining[id], l.acked[id] = incarnation, make(chan struct{})
	return l.acked[id]
}

// end makes a worker announce that it is ready.
func (l *leaving) end(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.draining, id)
	delete(l.acked, id)
	delete(l.calling, id)
}

// beginCalls ends the announcements of a draining worker: each would tell that it is still there.
func (l *leaving) beginCalls(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calling[id] = struct{}{}
}

// announces reports whether a worker sends announcements.
func (l *leaving) announces(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, calls := l.calling[id]
	return !calls
}

// drains reports whether an incarnation of a worker announces that it drains.
func (l *leaving) drains(id string, incarnation int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	draining, ok := l.draining[id]
	return ok && draining == incarnation
}

// acknowledged notes that an announcement of a draining worker was acknowledged.
func (l *leaving) acknowledged(w *pj.PolledWorker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if acked := l.acked[w.ID]; acked != nil && w.Draining && l.draining[w.ID] == w.Incarnation {
		close(acked)
		l.acked[w.ID] = nil
	}
}

// leave lets a worker drain for a while and then leave: most wait for an answer to their call, some end without one, and some go on
// serving after all.
func (s *workerServers) leave(ctx context.Context, f Fault) error {
	incarnation := s.load.fleet.Incarnation(f.Target)
	acked := s.load.leaving.begin(f.Target, incarnation)
	if acked == nil {
		return nil
	}
	defer s.load.leaving.end(f.Target)
	select {
	case <-acked:
	case <-time.After(maxAckWait):
		return nil
	}
	time.Sleep(f.Duration)
	r := rand.New(rand.NewPCG(uint64(f.At), leaveStream)) //nolint:gosec // not for secrets
	waits, withdraws := r.IntN(4) > 0, r.IntN(6) == 0
	if r.IntN(4) > 0 {
		s.load.leaving.beginCalls(f.Target)
	}
	for range maxLeaveCalls {
		if s.callLeave(ctx, f.Target, r) || !waits || withdraws {
			break
		}
	}
	if withdraws {
		return nil
	}
	if waits {
		time.Sleep(time.Duration(r.Int64N(int64(maxExitTime))))
	}
	if s.load.fleet.Incarnation(f.Target) != incarnation {
		return nil // it has crashed
	}
	end := s.silence(f.Target)
	defer end()
	err := s.restart(ctx, f.Target)
	time.Sleep(time.Duration(r.Int64N(int64(maxAwayTime))))
	return err
}

// callLeave sends one leave call and reports whether it was answered.
func (s *workerServers) callLeave(ctx context.Context, id string, r *rand.Rand) bool {
	replica := s.load.randomAddress(replicaRole, controlPort)
	call := func() error {
		ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		return s.load.client.Leave(ctx, replica, id)
	}
	fate, late := r.IntN(leaveFates), minLateDelay+time.Duration(r.Int64N(int64(maxLateDelay-minLateDelay)))
	answered := false
	defer func() { s.load.countLeave(fate, answered) }()
	switch fate {
	case leaveLost:
		time.Sleep(leaveTimeout)
	case leaveLate:
		time.AfterFunc(late, func() { _ = call() })
		time.Sleep(leaveTimeout)
	case leaveUnanswered:
		begun := time.Now()
		_ = call()
		time.Sleep(time.Until(begun.Add(leaveTimeout)))
	default:
		answered = call() == nil
	}
	return answered
}
