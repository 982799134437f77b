package scheduler

import (
	"cmp"
	"slices"
	"time"

	pj "papayajunction"
)

// Bounds of preemption.
const (
	minimalRun      = 10 * time.Second // a task that started more recently is left alone
	maxPreemptions  = 3                // of one job; then it is left alone
	preemptEvery    = 5 * time.Second  // for the same job, unless earlier victims have gone
	maxVictims      = 8                // on one worker for one task
	comparedWorkers = 64               // with victims, of which the cheapest is taken
	scannedWorkers  = 128              // for one task, at a different place each time
)

// preemptFor makes room for urgent work on one worker: the cheapest victims, of the workspaces
// furthest above their share first. The room is held for the urgent work.
func (s *Scheduler) preemptFor(now time.Duration, e *entry, plan *pj.Plan) bool {
	if e.reservation != nil {
		return true
	}
	if e.job.Kind == pj.KindGang || (e.urgentTried != 0 && now < e.urgentTried+preemptEvery) {
		return false
	}
	r := &reservation{entry: e, holds: make(map[string]pj.Resources), made: now, due: now}
	for range e.pending {
		if !s.preemptOne(now, e, r, plan) {
			break
		}
	}
	if len(r.holds) == 0 {
		e.urgentTried = now
		return false
	}
	e.reservation = r
	s.reservations = append(s.reservations, r)
	return true
}

func (s *Scheduler) preemptOne(now time.Duration, e *entry, r *reservation, plan *pj.Plan) bool {
	worker, victims := s.cheapestVictims(now, e)
	if worker == "" {
		return false
	}
	for _, v := range victims {
		s.preempt(v, plan)
	}
	s.index.Hold(worker, e.amount)
	r.holds[worker] = r.holds[worker].Add(e.amount)
	return true
}

func (s *Scheduler) preempt(t *running, plan *pj.Plan) {
	t.preempting = true
	t.entry.preempted++
	plan.Preempts = append(plan.Preempts, pj.Preempt{
		Job: t.key.job, Task: t.key.task, Worker: t.worker, Verb: pj.VerbCheckpoint,
	})
}

// cost is what preempting some tasks would mean; smaller is better.
type cost struct {
	share float64       // smallest share of the victims' workspaces, negated
	lost  time.Duration // run time of the victims
}

func (c cost) compare(o cost) int {
	if d := cmp.Compare(c.share, o.share); d != 0 {
		return d
	}
	return cmp.Compare(c.lost, o.lost)
}

// cheapestVictims returns the worker and its tasks that are to give way.
func (s *Scheduler) cheapestVictims(now time.Duration, e *entry) (string, []*running) {
	avoid := s.shape(e).Avoid
	best := ""
	var bestVictims []*running
	var bestCost cost
	compared, scanned := 0, 0
	s.victimCursor += scannedWorkers / comparedWorkers
	s.index.EachFrom(s.victimCursor, func(worker, _ string, usable bool) bool {
		if _, avoided := avoid[worker]; avoided || !usable || !e.amount.Fits(s.index.Capacity(worker)) {
			return true
		}
		scanned++
		victims, c, ok := s.victimsOn(now, e, worker)
		if !ok {
			return scanned < scannedWorkers
		}
		compared++
		better := best == "" || c.compare(bestCost) < 0 || (c == bestCost && worker < best)
		if better {
			best, bestVictims, bestCost = worker, victims, c
		}
		return compared < comparedWorkers && scanned < scannedWorkers
	})
	return best, bestVictims
}

// victimsOn returns the tasks of a worker that would make room for the entry.
func (s *Scheduler) victimsOn(now time.Duration, e *entry, worker string) ([]*running, cost, bool) {
	var candidates []*running
	for _, t := range s.onWorker[worker] {
		if s.preemptible(now, e, t) {
			candidates = append(candidates, t)
		}
	}
	free := s.index.Free(worker)
	if !s.couldFree(e, free, candidates) {
		return nil, cost{}, false
	}
	slices.SortFunc(candidates, func(a, b *running) int { return s.compareVictims(a, b) })
	total := cost{share: -1e9}
	var victims []*running
	for _, t := range candidates {
		if e.amount.Fits(free) || len(victims) >= maxVictims {
			break
		}
		free = free.Add(t.reservation)
		total.share = max(total.share, -s.space(t.entry.job.Workspace).share)
		total.lost += now - t.started
		victims = append(victims, t)
	}
	return victims, total, e.amount.Fits(free) && len(victims) > 0
}

// couldFree reports whether the entry would fit if all candidates were gone.
func (s *Scheduler) couldFree(e *entry, free pj.Resources, candidates []*running) bool {
	for _, t := range candidates {
		free = free.Add(t.reservation)
	}
	return e.amount.Fits(free)
}

func (s *Scheduler) compareVictims(a, b *running) int {
	shareA, shareB := s.space(a.entry.job.Workspace).share, s.space(b.entry.job.Workspace).share
	if d := cmp.Compare(shareB, shareA); d != 0 {
		return d
	}
	if d := cmp.Compare(b.started, a.started); d != 0 {
		return d
	}
	return a.key.compare(b.key)
}

// compareForShedding puts the least urgent and newest first.
func (s *Scheduler) compareForShedding(a, b *running) int {
	if d := b.entry.job.Urgency.Rank() - a.entry.job.Urgency.Rank(); d != 0 {
		return d
	}
	return s.compareVictims(a, b)
}

// preemptible reports whether a task may be made to give way, to the entry if there is one. Urgent work never
// does, nor work that may not be repeated, that has only just started or that had to give way
// often; so preemption neither cascades nor goes back and forth.
func (s *Scheduler) preemptible(now time.Duration, e *entry, t *running) bool {
	if t.preempting || (e == nil && now-t.started < minimalRun) {
		return false
	}
	job := t.entry.job
	if job.Urgency == pj.Urgent || !job.Repeatable || job.Kind == pj.KindGang || t.preempting {
		return false
	}
	if t.entry.preempted >= maxPreemptions*job.Tasks && job.Kind != pj.KindService {
		return false
	}
	ownWork := e != nil && e.job.Workspace == job.Workspace
	return now-t.started >= minimalRun || t.backfilled || ownWork
}

// Shed makes tasks of a workspace give way until what it uses is within the limit, the least
// urgent and newest first. Room that is already being given back counts.
func (s *Scheduler) Shed(workspace string, limit pj.Resources) []pj.Preempt {
	use := s.ledger.Use(workspace)
	use[pj.Slots] = 0
	var plan pj.Plan
	if use.FitsWhereUsed(limit) {
		return nil
	}
	var candidates []*running
	for _, t := range s.space(workspace).running {
		if t.preempting {
			use = use.Sub(t.reservation)
			continue
		}
		candidates = append(candidates, t)
	}
	slices.SortFunc(candidates, s.compareForShedding)
	for _, t := range candidates {
		if use.FitsWhereUsed(limit) {
			break
		}
		use = use.Sub(t.reservation)
		s.preempt(t, &plan)
	}
	return plan.Preempts
}

// Evict makes tasks of a worker give way whose reservations together exceed its capacity, the
// least urgent and newest first.
func (s *Scheduler) Evict(worker string) []pj.Preempt {
	var plan pj.Plan
	free := s.index.Unreserved(worker)
	var candidates []*running
	for _, t := range s.onWorker[worker] {
		if t.preempting {
			free = free.Add(t.reservation)
			continue
		}
		candidates = append(candidates, t)
	}
	slices.SortFunc(candidates, s.compareForShedding)
	for _, t := range candidates {
		if (pj.Resources{}).Fits(free) {
			break
		}
		free = free.Add(t.reservation)
		s.preempt(t, &plan)
	}
	return plan.Preempts
}
