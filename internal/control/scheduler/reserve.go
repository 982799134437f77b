package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pj "papayajunction"
)

// Bounds of reservations.
const (
	leastReservations = 8           // that may stand at once in any cell
	workersAHold      = 6           // one reservation more for each so many workers
	reservationLasts  = time.Minute // after which a reservation is planned anew
	unknownRunTime    = time.Hour   // assumed for tasks of which nothing is known
	reviewInterval    = 50 * time.Millisecond
	backfillTolerance = time.Second // how long a backfilled task may overrun
)

// reservation keeps room on workers for an entry until all of it is free.
type reservation struct {
	entry *entry
	holds map[string]pj.Resources
	made  time.Duration
	due   time.Duration // when the room will probably be free
}

func (s *Scheduler) hold(r *reservation) {
	if r == nil {
		return
	}
	for w, amount := range r.holds {
		s.index.Hold(w, amount)
	}
}

func (s *Scheduler) unhold(r *reservation) {
	if r == nil {
		return
	}
	for w, amount := range r.holds {
		s.index.Unhold(w, amount)
	}
}

// forgetReservation drops a reservation whose holds have ended already.
func (s *Scheduler) forgetReservation(r *reservation) {
	if r == nil {
		return
	}
	r.entry.reservation = nil
	for w := range r.holds {
		s.dirty[w] = struct{}{}
	}
	s.reservations = slices.DeleteFunc(s.reservations, func(o *reservation) bool { return o == r })
}

func (s *Scheduler) dropReservation(r *reservation) {
	if r == nil {
		return
	}
	s.unhold(r)
	s.forgetReservation(r)
}

// workers returns the workers that are held, in order of name.
func (r *reservation) workers() []string {
	return slices.Sorted(maps.Keys(r.holds))
}

// freeing is room that a running task will probably give back.
type freeing struct {
	at     time.Duration
	worker string
	amount pj.Resources
	key    taskKey
}

func (s *Scheduler) maxReservations() int {
	return max(leastReservations, s.index.Count()/workersAHold)
}

// reserve keeps the room for an entry that will be free soonest.
func (s *Scheduler) reserve(now time.Duration, e *entry) {
	if e.reservation != nil || len(s.reservations) >= s.maxReservations() {
		return
	}
	tasks := 1
	if e.job.Kind == pj.KindGang {
		tasks = len(e.pending)
	}
	var best *reservation
	s.index.Racks(func(_ string, workers []string) {
		if r := s.planReservation(now, e, workers, tasks); r != nil && (best == nil || r.due < best.due) {
			best = r
		}
	})
	if best == nil && tasks > 1 {
		var all []string
		s.index.Each(func(name, _ string, _ bool) bool {
			all = append(all, name)
			return true
		})
		best = s.planReservation(now, e, all, tasks)
	}
	if best == nil {
		return
	}
	e.reservation = best
	s.reservations = append(s.reservations, best)
	s.hold(best)
}

// reserveOne keeps room for one task on the worker that has most free already.
func (s *Scheduler) reserveOne(now time.Duration, e *entry) {
	if e.reservation != nil || len(s.reservations) >= s.maxReservations() {
		return
	}
	worker, ok := s.index.Roomiest(s.shape(e))
	if !ok {
		return
	}
	r := &reservation{entry: e, made: now, due: now, holds: map[string]pj.Resources{worker: e.amount}}
	e.reservation = r
	s.reservations = append(s.reservations, r)
	s.hold(r)
}

// planReservation finds out when the workers will have room for the tasks, and where.
func (s *Scheduler) planReservation(now time.Duration, e *entry, workers []string, tasks int) *reservation {
	avoid := s.shape(e).Avoid
	room := make(map[string]pj.Resources)
	var later []freeing
	count, possible := 0, 0
	for _, w := range workers {
		if _, avoided := avoid[w]; avoided || !s.index.Usable(w) {
			continue
		}
		room[w] = s.index.Free(w)
		count += e.amount.CountIn(room[w])
		possible += e.amount.CountIn(s.index.Capacity(w))
		for _, r := range s.onWorker[w] {
			later = append(later, freeing{at: s.expectedEnd(now, r), worker: w, amount: r.reservation, key: r.key})
		}
	}
	if possible < tasks {
		return nil
	}
	slices.SortFunc(later, func(a, b freeing) int {
		return cmp.Or(cmp.Compare(a.at, b.at), a.key.compare(b.key))
	})
	due := now
	for i := 0; count < tasks && i < len(later); i++ {
		f := later[i]
		before := e.amount.CountIn(room[f.worker])
		room[f.worker] = room[f.worker].Add(f.amount)
		count += e.amount.CountIn(room[f.worker]) - before
		due = f.at
	}
	if count < tasks {
		return nil
	}
	return &reservation{entry: e, made: now, due: due, holds: holdsFor(room, e.amount, tasks)}
}

func holdsFor(room map[string]pj.Resources, amount pj.Resources, tasks int) map[string]pj.Resources {
	holds := make(map[string]pj.Resources)
	for _, w := range slices.Sorted(maps.Keys(room)) {
		if n := min(amount.CountIn(room[w]), tasks); n > 0 {
			holds[w] = amount.Times(int64(n))
			tasks -= n
		}
	}
	return holds
}

func (s *Scheduler) expectedEnd(now time.Duration, r *running) time.Duration {
	if r.entry.job.Kind == pj.KindService {
		return now + 1000*unknownRunTime
	}
	run := s.runTime(r.entry)
	if run <= 0 {
		run = unknownRunTime
	}
	return max(r.started+run, now)
}

func (s *Scheduler) runTime(e *entry) time.Duration {
	declared := e.job.RunTime.Std()
	if s.estimates == nil {
		return declared
	}
	return s.estimates.RunTime(e.job.Queue, declared)
}

// claimHeld returns a worker on which room was kept for the entry and is free now.
func (s *Scheduler) claimHeld(e *entry, shape pj.Shape) (string, bool) {
	r := e.reservation
	if r == nil {
		return "", false
	}
	for _, w := range r.workers() {
		amount := r.holds[w]
		if _, avoided := shape.Avoid[w]; avoided || !s.index.Usable(w) {
			continue
		}
		if !e.amount.Fits(s.index.Free(w).Add(amount)) {
			continue
		}
		s.index.Unhold(w, amount)
		rest := amount.Sub(e.amount).Max(pj.Resources{})
		delete(r.holds, w)
		if !rest.IsZero() {
			r.holds[w] = rest
			s.index.Hold(w, rest)
		}
		if len(r.holds) == 0 {
			s.forgetReservation(r)
		}
		return w, true
	}
	return "", false
}

// backfill returns a worker whose room is kept for others: for a gang, since the task gives way as
// soon as the gang could start, or for other work if the task will have ended in time.
func (s *Scheduler) backfill(now time.Duration, e *entry, shape pj.Shape) (string, bool) {
	if e.job.Kind == pj.KindService || !e.job.Repeatable {
		return "", false
	}
	run := s.runTime(e)
	for _, r := range s.reservations {
		endsInTime := run > 0 && now+run <= r.due
		if r.entry == e || (r.entry.job.Kind != pj.KindGang && !endsInTime) {
			continue
		}
		for _, w := range r.workers() {
			if s.canFillIn(r, w, shape) {
				return w, true
			}
		}
	}
	return "", false
}

// canFillIn reports whether the shape fits on a worker that a reservation alone holds.
func (s *Scheduler) canFillIn(r *reservation, worker string, shape pj.Shape) bool {
	if _, avoided := shape.Avoid[worker]; avoided || !s.index.Usable(worker) {
		return false
	}
	if s.index.Capacity(worker)[pj.Accelerators] > 0 && shape.Amount[pj.Accelerators] == 0 {
		return false
	}
	return shape.Amount.Fits(s.index.Unreserved(worker)) && s.onlyHolder(r, worker)
}

// onlyHolder reports whether no other reservation holds the worker.
func (s *Scheduler) onlyHolder(r *reservation, worker string) bool {
	for _, other := range s.reservations {
		if _, holds := other.holds[worker]; holds && other != r {
			return false
		}
	}
	return true
}

// reviewReservations makes backfilled tasks give way that run too long, and plans reservations
// anew that have not come true.
func (s *Scheduler) reviewReservations(now time.Duration, plan *pj.Plan) {
	if len(s.reservations) == 0 || now < s.reviewedAt+reviewInterval {
		return
	}
	s.reviewedAt = now
	for _, r := range slices.Clone(s.reservations) {
		if s.backfilled > 0 && (now > r.due+backfillTolerance || s.onlyBackfilledInTheWay(r)) {
			s.evictBackfilled(r, plan)
		}
		if now > max(r.made+reservationLasts, r.due+reservationLasts) {
			e := r.entry
			s.dropReservation(r)
			s.reserve(now, e)
		}
	}
}

// onlyBackfilledInTheWay reports whether all room of a reservation would be free if no backfilled
// task were there.
func (s *Scheduler) onlyBackfilledInTheWay(r *reservation) bool {
	e := r.entry
	needed := e.amount.Times(int64(len(e.pending)))
	if !s.ledger.Allows(e.job.Workspace, needed) || s.mustSpare(e, needed) {
		return false
	}
	for w, amount := range r.holds {
		room := s.index.Unreserved(w)
		for _, t := range s.onWorker[w] {
			if t.backfilled {
				room = room.Add(t.reservation)
			}
		}
		if !amount.Fits(room) {
			return false
		}
	}
	return true
}

func (s *Scheduler) evictBackfilled(r *reservation, plan *pj.Plan) {
	for _, w := range r.workers() {
		tasks := slices.SortedFunc(maps.Values(s.onWorker[w]), func(a, b *running) int { return a.key.compare(b.key) })
		for _, t := range tasks {
			if t.backfilled && !t.preempting {
				s.preempt(t, plan)
			}
		}
	}
}
