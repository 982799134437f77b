package scheduler

import (
	"time"

	pj "papayajunction"
)

// Next returns the tasks to start and to preempt now. Once the plan has maxStarts starts, no further
// class is served. The scheduler's state already includes the starts and preemptions.
func (s *Scheduler) Next(now time.Duration, maxStarts int) pj.Plan {
	var plan pj.Plan
	s.ageDeferred(now)
	s.reviewReservations(now, &plan)
	s.retryUnschedulable(now)
	s.serveReserved(now, &plan)
	s.unblockReservationOwners()
	s.serveReady(now, maxStarts, &plan)
	tried := make(map[*equivClass]struct{})
	for len(plan.Starts) < maxStarts && s.unblockForFreed(now, tried) {
		s.serveReadyTracked(now, maxStarts, &plan, tried)
	}
	if len(plan.Starts) < maxStarts {
		clear(s.freedWorkers)
	}
	s.rebalance(now, &plan)
	return plan
}

// serveReady serves ready classes until none is left or the plan has maxStarts starts.
func (s *Scheduler) serveReady(now time.Duration, maxStarts int, plan *pj.Plan) {
	s.serveReadyTracked(now, maxStarts, plan, nil)
}

// serveReadyTracked is like serveReady and adds the classes that became blocked to tried.
func (s *Scheduler) serveReadyTracked(now time.Duration, maxStarts int, plan *pj.Plan, tried map[*equivClass]struct{}) {
	for len(plan.Starts) < maxStarts {
		ws, rank := s.nextWorkspace()
		if ws == nil {
			return
		}
		c := ws.oldestReady(rank)
		s.serve(now, c, plan)
		if c.blocked != notBlocked && tried != nil {
			tried[c] = struct{}{}
		}
	}
}

// nextWorkspace returns the workspace to serve next and the rank of its work: first urgent work of
// workspaces within their fair share, then the workspace with the smallest share. At equal shares the
// most urgent work comes first.
func (s *Scheduler) nextWorkspace() (*workspace, int) {
	if ws := s.ready[0].peek(); ws != nil && s.ledger.WithinFairShare(ws.name) {
		return ws, 0
	}
	var best *workspace
	bestRank := 0
	for rank := range rankCount {
		ws := s.ready[rank].peek()
		if ws != nil && (best == nil || ws.share < best.share) {
			best, bestRank = ws, rank
		}
	}
	return best, bestRank
}

// serve starts the next task or gang of a class, or blocks the class.
func (s *Scheduler) serve(now time.Duration, c *equivClass, plan *pj.Plan) {
	e := c.peek()
	if e == nil {
		s.refreshClass(c)
		return
	}
	needed := e.amount
	if e.job.Kind == pj.KindGang {
		needed = e.amount.Mul(int64(len(e.pending)))
	}
	if !s.ledger.Allows(e.job.Workspace, needed) {
		s.block(c, blockedByLimit)
		return
	}
	c.headroomLimited = s.mustLeaveHeadroom(e, needed)
	if c.headroomLimited {
		if e.job.Kind == pj.KindGang || !s.startBackfilled(now, e, plan) {
			s.block(c, blockedByFit)
		}
		return
	}
	if s.startNext(now, e, plan) {
		s.refreshClass(c)
		return
	}
	s.block(c, blockedByFit)
	s.handleBlocked(now, e, plan)
}

// mustLeaveHeadroom reports whether the entry's workspace is above its fair share and would not leave
// the headroom free. Resources that are held for the entry already count as used.
func (s *Scheduler) mustLeaveHeadroom(e *entry, needed pj.Resources) bool {
	if s.ledger.WithinFairShare(e.job.Workspace) {
		return false
	}
	if e.reservation != nil {
		for _, amount := range e.reservation.holds {
			needed = needed.Sub(amount)
		}
		needed = needed.Max(pj.Resources{})
	}
	return !s.index.HasHeadroom(needed, headroomDivisor)
}

func (s *Scheduler) startNext(now time.Duration, e *entry, plan *pj.Plan) bool {
	if e.job.Kind == pj.KindGang {
		return s.startGang(now, e, plan)
	}
	return s.startOne(now, e, plan)
}

// handleBlocked makes resources available to blocked work: urgent work of a workspace within its fair
// share preempts; gangs reserve, and so does a task that is entitled to a reservation.
func (s *Scheduler) handleBlocked(now time.Duration, e *entry, plan *pj.Plan) {
	if e.job.Urgency == pj.Urgent && s.ledger.WithinFairShare(e.job.Workspace) && s.preemptFor(now, e, plan) {
		return
	}
	if e.job.Kind == pj.KindGang {
		s.reserve(now, e)
		return
	}
	if s.entitledToReservation(e) {
		s.reserveOne(now, e)
	}
}

// entitledToReservation reports whether the entry's workspace, with its next task running, would still
// have a smaller share than the next workspace to serve.
func (s *Scheduler) entitledToReservation(e *entry) bool {
	next, _ := s.nextWorkspace()
	if next == nil || next.name == e.job.Workspace {
		return false
	}
	increase := e.amount.DominantShare(s.ledger.Capacity()) / s.ledger.Weight(e.job.Workspace)
	return s.ledger.Share(e.job.Workspace)+increase < next.share
}
