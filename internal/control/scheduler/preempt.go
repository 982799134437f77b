package scheduler

import (
	"cmp"
	"slices"
	"time"

	pj "papayajunction"
)

// Limits on preemption.
const (
	minRunTime            = 10 * time.Second // tasks that started more recently are not preempted
	maxPreemptionsPerTask = 3                // average over the tasks of a job, after which they are not preempted any more
	preemptRetryInterval  = 5 * time.Second  // after an attempt for the same job that found no victims
	maxVictims            = 8                // on one worker for one task
	maxComparedWorkers    = 64               // with victims, per task; the cheapest is chosen
	maxScannedWorkers     = 128              // per task, starting at a different rack each time
)

// preemptFor preempts the cheapest victims on one worker for each pending task of urgent work, those of
// the workspaces with the greatest share first. Their resources are held for the urgent work.
func (s *Scheduler) preemptFor(now time.Duration, e *entry, plan *pj.Plan) bool {
	if e.reservation != nil {
		return true
	}
	if e.job.Kind == pj.KindGang || (e.preemptFailedAt != 0 && now < e.preemptFailedAt+preemptRetryInterval) {
		return false
	}
	r := &reservation{entry: e, holds: make(map[string]pj.Resources), createdAt: now, expectedAt: now}
	for range e.pending {
		if !s.preemptOne(now, e, r, plan) {
			break
		}
	}
	if len(r.holds) == 0 {
		e.preemptFailedAt = now
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

func (s *Scheduler) preempt(t *runningTask, plan *pj.Plan) {
	t.preempting = true
	t.entry.preemptions++
	plan.Preemptions = append(plan.Preemptions, pj.Preemption{
		Job: t.key.job, Task: t.key.task, Worker: t.worker, Verb: pj.VerbCheckpoint,
	})
}

// preemptionCost is the cost of preempting a set of tasks; lower is better.
type preemptionCost struct {
	share       float64       // smallest share of the victims' workspaces, negated
	lostRunTime time.Duration // run time of the victims
}

func (c preemptionCost) compare(o preemptionCost) int {
	if d := cmp.Compare(c.share, o.share); d != 0 {
		return d
	}
	return cmp.Compare(c.lostRunTime, o.lostRunTime)
}

// cheapestVictims returns the worker on which preemption costs least and the tasks to preempt there,
// or "" if there is none.
func (s *Scheduler) cheapestVictims(now time.Duration, e *entry) (string, []*runningTask) {
	excludedWorkers := s.placementRequest(e).Exclude
	best := ""
	var bestVictims []*runningTask
	var bestCost preemptionCost
	compared, scanned := 0, 0
	s.victimCursor += maxScannedWorkers / maxComparedWorkers
	s.index.EachFrom(s.victimCursor, func(worker, _ string, usable bool) bool {
		if _, excluded := excludedWorkers[worker]; excluded || !usable || !e.amount.Fits(s.index.Capacity(worker)) {
			return true
		}
		scanned++
		victims, cost, ok := s.victimsOn(now, e, worker)
		if !ok {
			return scanned < maxScannedWorkers
		}
		compared++
		better := best == "" || cost.compare(bestCost) < 0 || (cost == bestCost && worker < best)
		if better {
			best, bestVictims, bestCost = worker, victims, cost
		}
		return compared < maxComparedWorkers && scanned < maxScannedWorkers
	})
	return best, bestVictims
}

// victimsOn returns the tasks of a worker to preempt so that a task of the entry fits, and their cost.
func (s *Scheduler) victimsOn(now time.Duration, e *entry, worker string) ([]*runningTask, preemptionCost, bool) {
	var candidates []*runningTask
	for _, t := range s.runningByWorker[worker] {
		if s.preemptible(now, e, t) {
			candidates = append(candidates, t)
		}
	}
	free := s.index.Free(worker)
	if !s.fitsWithout(e, free, candidates) {
		return nil, preemptionCost{}, false
	}
	slices.SortFunc(candidates, func(a, b *runningTask) int { return s.compareVictims(a, b) })
	cost := preemptionCost{share: -1e9}
	var victims []*runningTask
	for _, t := range candidates {
		if e.amount.Fits(free) || len(victims) >= maxVictims {
			break
		}
		free = free.Add(t.reserved)
		cost.share = max(cost.share, -s.workspace(t.entry.job.Workspace).share)
		cost.lostRunTime += now - t.started
		victims = append(victims, t)
	}
	return victims, cost, e.amount.Fits(free) && len(victims) > 0
}

// fitsWithout reports whether a task of the entry would fit if all candidates were preempted.
func (s *Scheduler) fitsWithout(e *entry, free pj.Resources, candidates []*runningTask) bool {
	for _, t := range candidates {
		free = free.Add(t.reserved)
	}
	return e.amount.Fits(free)
}

// compareVictims orders tasks by the share of their workspaces, highest first, then newest first.
func (s *Scheduler) compareVictims(a, b *runningTask) int {
	shareA, shareB := s.workspace(a.entry.job.Workspace).share, s.workspace(b.entry.job.Workspace).share
	if d := cmp.Compare(shareB, shareA); d != 0 {
		return d
	}
	if d := cmp.Compare(b.started, a.started); d != 0 {
		return d
	}
	return a.key.compare(b.key)
}

// comparePreemptionOrder orders tasks for preemption: least urgent first, then by compareVictims.
func (s *Scheduler) comparePreemptionOrder(a, b *runningTask) int {
	if d := b.entry.job.Urgency.Rank() - a.entry.job.Urgency.Rank(); d != 0 {
		return d
	}
	return s.compareVictims(a, b)
}

// preemptible reports whether a task may be preempted, for the entry if e is not nil. Exempt are urgent
// work, gangs, work that may not be repeated, tasks that started less than minRunTime ago and, except
// services, jobs that were preempted maxPreemptionsPerTask times per task. So preemption neither
// cascades nor oscillates. For an entry, backfilled tasks and tasks of its own workspace may be
// preempted before minRunTime.
func (s *Scheduler) preemptible(now time.Duration, e *entry, t *runningTask) bool {
	if t.preempting || (e == nil && now-t.started < minRunTime) {
		return false
	}
	job := t.entry.job
	if job.Urgency == pj.Urgent || !job.Repeatable || job.Kind == pj.KindGang || t.preempting {
		return false
	}
	if t.entry.preemptions >= maxPreemptionsPerTask*job.Tasks && job.Kind != pj.KindService {
		return false
	}
	sameWorkspace := e != nil && e.job.Workspace == job.Workspace
	return now-t.started >= minRunTime || t.backfilled || sameWorkspace
}

// PreemptOverLimit preempts tasks of a workspace, the least urgent and newest first, until its usage is
// within the limit. Tasks that are already being preempted don't count as usage.
func (s *Scheduler) PreemptOverLimit(workspace string, limit pj.Resources) []pj.Preemption {
	usage := s.ledger.Usage(workspace)
	usage[pj.Slots] = 0
	var plan pj.Plan
	if usage.FitsWhereUsed(limit) {
		return nil
	}
	var candidates []*runningTask
	for _, t := range s.workspace(workspace).running {
		if t.preempting {
			usage = usage.Sub(t.reserved)
			continue
		}
		candidates = append(candidates, t)
	}
	slices.SortFunc(candidates, s.comparePreemptionOrder)
	for _, t := range candidates {
		if usage.FitsWhereUsed(limit) {
			break
		}
		usage = usage.Sub(t.reserved)
		s.preempt(t, &plan)
	}
	return plan.Preemptions
}

// PreemptOvercommitted preempts tasks of an overcommitted worker, the least urgent and newest first,
// until the resources reserved for its tasks are within its capacity. Tasks that are already being
// preempted don't count.
func (s *Scheduler) PreemptOvercommitted(worker string) []pj.Preemption {
	var plan pj.Plan
	free := s.index.Unreserved(worker)
	var candidates []*runningTask
	for _, t := range s.runningByWorker[worker] {
		if t.preempting {
			free = free.Add(t.reserved)
			continue
		}
		candidates = append(candidates, t)
	}
	slices.SortFunc(candidates, s.comparePreemptionOrder)
	for _, t := range candidates {
		if (pj.Resources{}).Fits(free) {
			break
		}
		free = free.Add(t.reserved)
		s.preempt(t, &plan)
	}
	return plan.Preemptions
}
