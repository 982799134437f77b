package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pj "papayajunction"
)

// Limits and times of reservations.
const (
	minReservationLimit   = 8           // minimum of maxReservations, for small cells
	workersPerReservation = 6           // in larger cells, one reservation is allowed for each so many workers
	reservationTimeout    = time.Minute // after the creation of a reservation or, if later, its expected time, before it is planned again
	defaultRunTime        = time.Hour   // assumed for tasks without a declared or estimated run time
	reviewInterval        = 50 * time.Millisecond
	backfillGracePeriod   = time.Second // after the expected time of a reservation, before backfilled tasks are preempted
)

// reservation holds resources on workers for a blocked entry until all of them are free.
type reservation struct {
	entry      *entry
	holds      map[string]pj.Resources // by worker
	createdAt  time.Duration
	expectedAt time.Duration // when the resources are expected to be free
}

func (s *Scheduler) placeHolds(r *reservation) {
	if r == nil {
		return
	}
	for w, amount := range r.holds {
		s.index.Hold(w, amount)
	}
}

func (s *Scheduler) releaseHolds(r *reservation) {
	if r == nil {
		return
	}
	for w, amount := range r.holds {
		s.index.ReleaseHold(w, amount)
	}
}

// removeReservation removes a reservation whose holds have been released.
func (s *Scheduler) removeReservation(r *reservation) {
	if r == nil {
		return
	}
	r.entry.reservation = nil
	for w := range r.holds {
		s.freedWorkers[w] = struct{}{}
	}
	s.reservations = slices.DeleteFunc(s.reservations, func(o *reservation) bool { return o == r })
}

// dropReservation releases the holds of a reservation and removes it.
func (s *Scheduler) dropReservation(r *reservation) {
	if r == nil {
		return
	}
	s.releaseHolds(r)
	s.removeReservation(r)
}

// workers returns the names of the workers with holds, sorted.
func (r *reservation) workers() []string {
	return slices.Sorted(maps.Keys(r.holds))
}

// expectedRelease is the expected end of a running task and the resources that it then frees.
type expectedRelease struct {
	at     time.Duration
	worker string
	amount pj.Resources
	key    taskKey
}

// maxReservations returns how many reservations may exist at a time.
func (s *Scheduler) maxReservations() int {
	return max(minReservationLimit, s.index.Count()/workersPerReservation)
}

// reserve holds resources for an entry where they are expected to be free soonest: in one rack or, for
// a gang that fits in none, on any workers.
func (s *Scheduler) reserve(now time.Duration, e *entry) {
	if e.reservation != nil || len(s.reservations) >= s.maxReservations() {
		return
	}
	tasks := 1
	if e.job.Kind == pj.KindGang {
		tasks = len(e.pending)
	}
	var best *reservation
	s.index.EachRack(func(_ string, workers []string) {
		if r := s.planReservation(now, e, workers, tasks); r != nil && (best == nil || r.expectedAt < best.expectedAt) {
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
	s.placeHolds(best)
}

// reserveOne holds resources for one task on the worker with the most free cores.
func (s *Scheduler) reserveOne(now time.Duration, e *entry) {
	if e.reservation != nil || len(s.reservations) >= s.maxReservations() {
		return
	}
	worker, ok := s.index.MostFree(s.placementRequest(e))
	if !ok {
		return
	}
	r := &reservation{entry: e, createdAt: now, expectedAt: now, holds: map[string]pj.Resources{worker: e.amount}}
	e.reservation = r
	s.reservations = append(s.reservations, r)
	s.placeHolds(r)
}

// planReservation returns a reservation for the tasks at the earliest time at which the workers are
// expected to have enough free resources, or nil if their capacity is too small.
func (s *Scheduler) planReservation(now time.Duration, e *entry, workers []string, tasks int) *reservation {
	excludedWorkers := s.placementRequest(e).Exclude
	free := make(map[string]pj.Resources)
	var releases []expectedRelease
	fitCount, maxFitCount := 0, 0
	for _, w := range workers {
		if _, excluded := excludedWorkers[w]; excluded || !s.index.Usable(w) {
			continue
		}
		free[w] = s.index.Free(w)
		fitCount += e.amount.FitCount(free[w])
		maxFitCount += e.amount.FitCount(s.index.Capacity(w))
		for _, r := range s.runningByWorker[w] {
			releases = append(releases, expectedRelease{at: s.expectedEnd(now, r), worker: w, amount: r.reserved, key: r.key})
		}
	}
	if maxFitCount < tasks {
		return nil
	}
	slices.SortFunc(releases, func(a, b expectedRelease) int {
		return cmp.Or(cmp.Compare(a.at, b.at), a.key.compare(b.key))
	})
	expectedAt := now
	for i := 0; fitCount < tasks && i < len(releases); i++ {
		release := releases[i]
		before := e.amount.FitCount(free[release.worker])
		free[release.worker] = free[release.worker].Add(release.amount)
		fitCount += e.amount.FitCount(free[release.worker]) - before
		expectedAt = release.at
	}
	if fitCount < tasks {
		return nil
	}
	return &reservation{entry: e, createdAt: now, expectedAt: expectedAt, holds: planHolds(free, e.amount, tasks)}
}

// planHolds distributes the tasks over the workers in order of name, as many on each as fit.
func planHolds(free map[string]pj.Resources, amount pj.Resources, tasks int) map[string]pj.Resources {
	holds := make(map[string]pj.Resources)
	for _, w := range slices.Sorted(maps.Keys(free)) {
		if n := min(amount.FitCount(free[w]), tasks); n > 0 {
			holds[w] = amount.Mul(int64(n))
			tasks -= n
		}
	}
	return holds
}

func (s *Scheduler) expectedEnd(now time.Duration, r *runningTask) time.Duration {
	if r.entry.job.Kind == pj.KindService {
		return now + 1000*defaultRunTime
	}
	run := s.runTime(r.entry)
	if run <= 0 {
		run = defaultRunTime
	}
	return max(r.started+run, now)
}

func (s *Scheduler) runTime(e *entry) time.Duration {
	declared := e.job.RunTime.Std()
	if s.estimator == nil {
		return declared
	}
	return s.estimator.RunTime(e.job.Queue, declared)
}

// claimReserved returns a worker on which resources are held for the entry and free now, and reduces
// the hold by one task.
func (s *Scheduler) claimReserved(e *entry, request pj.PlacementRequest) (string, bool) {
	r := e.reservation
	if r == nil {
		return "", false
	}
	for _, w := range r.workers() {
		amount := r.holds[w]
		if _, excluded := request.Exclude[w]; excluded || !s.index.Usable(w) {
			continue
		}
		if !e.amount.Fits(s.index.Free(w).Add(amount)) {
			continue
		}
		s.index.ReleaseHold(w, amount)
		remaining := amount.Sub(e.amount).Max(pj.Resources{})
		delete(r.holds, w)
		if !remaining.IsZero() {
			r.holds[w] = remaining
			s.index.Hold(w, remaining)
		}
		if len(r.holds) == 0 {
			s.removeReservation(r)
		}
		return w, true
	}
	return "", false
}

// backfillWorker returns a worker on which the request fits into resources held for other work. Those
// held for a gang may always be used, because the backfilled task is preempted as soon as the gang could
// start; those held for a single task only if the backfilled task is expected to end before they are
// needed.
func (s *Scheduler) backfillWorker(now time.Duration, e *entry, request pj.PlacementRequest) (string, bool) {
	if e.job.Kind == pj.KindService || !e.job.Repeatable {
		return "", false
	}
	run := s.runTime(e)
	for _, r := range s.reservations {
		endsInTime := run > 0 && now+run <= r.expectedAt
		if r.entry == e || (r.entry.job.Kind != pj.KindGang && !endsInTime) {
			continue
		}
		for _, w := range r.workers() {
			if s.canBackfill(r, w, request) {
				return w, true
			}
		}
	}
	return "", false
}

// canBackfill reports whether the request fits on a worker on which only this reservation has a hold.
// Work without accelerators is not backfilled on workers that have some.
func (s *Scheduler) canBackfill(r *reservation, worker string, request pj.PlacementRequest) bool {
	if _, excluded := request.Exclude[worker]; excluded || !s.index.Usable(worker) {
		return false
	}
	if s.index.Capacity(worker)[pj.Accelerators] > 0 && request.Amount[pj.Accelerators] == 0 {
		return false
	}
	return request.Amount.Fits(s.index.Unreserved(worker)) && s.onlyHolder(r, worker)
}

// onlyHolder reports whether no other reservation has a hold on the worker.
func (s *Scheduler) onlyHolder(r *reservation, worker string) bool {
	for _, other := range s.reservations {
		if _, holds := other.holds[worker]; holds && other != r {
			return false
		}
	}
	return true
}

// reviewReservations preempts backfilled tasks that delay a reservation, and plans reservations again
// whose resources did not become free in time.
func (s *Scheduler) reviewReservations(now time.Duration, plan *pj.Plan) {
	if len(s.reservations) == 0 || now < s.reviewedAt+reviewInterval {
		return
	}
	s.reviewedAt = now
	for _, r := range slices.Clone(s.reservations) {
		if s.backfilledCount > 0 && (now > r.expectedAt+backfillGracePeriod || s.blockedOnlyByBackfill(r)) {
			s.preemptBackfilled(r, plan)
		}
		if now > max(r.createdAt+reservationTimeout, r.expectedAt+reservationTimeout) {
			e := r.entry
			s.dropReservation(r)
			s.reserve(now, e)
		}
	}
}

// blockedOnlyByBackfill reports whether all resources of a reservation would be free without the
// backfilled tasks.
func (s *Scheduler) blockedOnlyByBackfill(r *reservation) bool {
	e := r.entry
	needed := e.amount.Mul(int64(len(e.pending)))
	if !s.ledger.Allows(e.job.Workspace, needed) || s.mustLeaveHeadroom(e, needed) {
		return false
	}
	for w, amount := range r.holds {
		free := s.index.Unreserved(w)
		for _, t := range s.runningByWorker[w] {
			if t.backfilled {
				free = free.Add(t.reserved)
			}
		}
		if !amount.Fits(free) {
			return false
		}
	}
	return true
}

func (s *Scheduler) preemptBackfilled(r *reservation, plan *pj.Plan) {
	for _, w := range r.workers() {
		tasks := slices.SortedFunc(maps.Values(s.runningByWorker[w]), func(a, b *runningTask) int { return a.key.compare(b.key) })
		for _, t := range tasks {
			if t.backfilled && !t.preempting {
				s.preempt(t, plan)
			}
		}
	}
}
