package scheduler

import (
	"time"

	pj "papayajunction"
)

// Next returns what is to be done now, with at most the given number of starts. The starts and
// preemptions are already counted in the accounts.
func (s *Scheduler) Next(now time.Duration, most int) pj.Plan {
	var plan pj.Plan
	s.age(now)
	s.reviewReservations(now, &plan)
	s.retryParked(now)
	s.serveOwners(now, &plan)
	s.wakeOwners()
	s.serveReady(now, most, &plan)
	tried := make(map[*lane]struct{})
	for len(plan.Starts) < most && s.wakeParked(now, tried) {
		s.serveReadyTried(now, most, &plan, tried)
	}
	if len(plan.Starts) < most {
		clear(s.dirty)
	}
	s.rebalance(now, &plan)
	return plan
}

// serveReady serves the lanes that are ready until none is or there are enough starts.
func (s *Scheduler) serveReady(now time.Duration, most int, plan *pj.Plan) {
	s.serveReadyTried(now, most, plan, nil)
}

// serveReadyTried also notes the lanes that were served in vain.
func (s *Scheduler) serveReadyTried(now time.Duration, most int, plan *pj.Plan, tried map[*lane]struct{}) {
	for len(plan.Starts) < most {
		sp, rank := s.nextSpace()
		if sp == nil {
			return
		}
		l := sp.oldestReady(rank)
		s.serve(now, l, plan)
		if l.blocked != notBlocked && tried != nil {
			tried[l] = struct{}{}
		}
	}
}

// nextSpace returns the workspace to serve next and the rank of its work: urgent work of workspaces
// that are within their share, then whatever workspace has the smallest share, most urgent first.
func (s *Scheduler) nextSpace() (*space, int) {
	if sp := s.ready[0].first(); sp != nil && s.ledger.WithinShare(sp.name) {
		return sp, 0
	}
	var best *space
	bestRank := 0
	for rank := range ranks {
		sp := s.ready[rank].first()
		if sp != nil && (best == nil || sp.share < best.share) {
			best, bestRank = sp, rank
		}
	}
	return best, bestRank
}

// serve starts the next task or gang of a lane, or blocks the lane.
func (s *Scheduler) serve(now time.Duration, l *lane, plan *pj.Plan) {
	e := l.first()
	if e == nil {
		s.refreshLane(l)
		return
	}
	needed := e.amount
	if e.job.Kind == pj.KindGang {
		needed = e.amount.Times(int64(len(e.pending)))
	}
	if !s.ledger.Allows(e.job.Workspace, needed) {
		s.block(l, blockedByLimit)
		return
	}
	l.spared = s.mustSpare(e, needed)
	if l.spared {
		if e.job.Kind == pj.KindGang || !s.startBackfilled(now, e, plan) {
			s.block(l, blockedByFit)
		}
		return
	}
	if s.startAny(now, e, plan) {
		s.refreshLane(l)
		return
	}
	s.block(l, blockedByFit)
	s.whenBlocked(now, e, plan)
}

// mustSpare reports whether the entry's workspace is beyond its share and would not leave enough of
// the cell free. Room that is held for the entry is taken already.
func (s *Scheduler) mustSpare(e *entry, needed pj.Resources) bool {
	if s.ledger.WithinShare(e.job.Workspace) {
		return false
	}
	if e.reservation != nil {
		for _, amount := range e.reservation.holds {
			needed = needed.Sub(amount)
		}
		needed = needed.Max(pj.Resources{})
	}
	return !s.index.Spare(needed, sparePart)
}

func (s *Scheduler) startAny(now time.Duration, e *entry, plan *pj.Plan) bool {
	if e.job.Kind == pj.KindGang {
		return s.startGang(now, e, plan)
	}
	return s.startOne(now, e, plan)
}

// whenBlocked makes room for work that can't wait: urgent work preempts, gangs reserve, and so does
// a workspace that is further below its share than the task would lift it.
func (s *Scheduler) whenBlocked(now time.Duration, e *entry, plan *pj.Plan) {
	if e.job.Urgency == pj.Urgent && s.ledger.WithinShare(e.job.Workspace) && s.preemptFor(now, e, plan) {
		return
	}
	if e.job.Kind == pj.KindGang {
		s.reserve(now, e)
		return
	}
	if s.deserves(e) {
		s.reserveOne(now, e)
	}
}

// deserves reports whether the entry's workspace would still have the smallest share of those that
// are ready if its next task ran.
func (s *Scheduler) deserves(e *entry) bool {
	next, _ := s.nextSpace()
	if next == nil || next.name == e.job.Workspace {
		return false
	}
	lift := e.amount.DominantShare(s.ledger.Capacity()) / s.ledger.Weight(e.job.Workspace)
	return s.ledger.Share(e.job.Workspace)+lift < next.share
}
