package scheduler

import (
	"slices"
	"time"

	pj "papayajunction"
)

// Limits on rebalancing.
const (
	rebalanceInterval  = time.Second
	rebalanceTolerance = 0.02 // fraction of the fleet by which the highest share may exceed the lowest without preemption
	maxRebalance       = 0.01 // maximum fraction of the fleet to preempt in one interval
)

// rebalance preempts the least urgent and newest tasks of the workspace with the highest share above
// its fair share, a few at a time, while work of a workspace with a lower share is blocked by fit.
// Otherwise tasks that started while other workspaces had no work would keep their resources until
// they end.
func (s *Scheduler) rebalance(now time.Duration, plan *pj.Plan) {
	if now < s.rebalancedAt+rebalanceInterval {
		return
	}
	s.rebalancedAt = now
	low := s.lowestBlockedShare()
	high := s.highestExcessShare()
	if low == nil || high == nil {
		return
	}
	gap := (high.share - low.share) * min(s.ledger.Weight(high.name), s.ledger.Weight(low.name))
	// Moving resources changes both shares, so half of the gap is enough.
	budget := min((gap-rebalanceTolerance)/2, maxRebalance)
	if budget <= 0 {
		return
	}
	for _, t := range s.preemptionCandidates(now, high) {
		fraction := t.reserved.DominantShare(s.ledger.Capacity())
		if fraction > budget {
			break
		}
		budget -= fraction
		s.preempt(t, plan)
	}
}

// lowestBlockedShare returns the workspace with the lowest share of those with work blocked by fit.
func (s *Scheduler) lowestBlockedShare() *workspace {
	var best *workspace
	for _, ws := range s.workspaces {
		if !ws.hasClassBlockedByFit() {
			continue
		}
		if best == nil || ws.share < best.share || (ws.share == best.share && ws.name < best.name) {
			best = ws
		}
	}
	return best
}

func (ws *workspace) hasClassBlockedByFit() bool {
	for _, classes := range ws.classesByRank {
		for _, c := range classes {
			if c.activeJobs > 0 && c.blocked == blockedByFit {
				return true
			}
		}
	}
	return false
}

// highestExcessShare returns the workspace with the highest share, or nil if that workspace is within
// its fair share.
func (s *Scheduler) highestExcessShare() *workspace {
	var best *workspace
	for _, ws := range s.workspaces {
		if best == nil || ws.share > best.share || (ws.share == best.share && ws.name < best.name) {
			best = ws
		}
	}
	if best == nil || s.ledger.WithinFairShare(best.name) {
		return nil
	}
	return best
}

// preemptionCandidates returns the preemptible tasks of a workspace, least urgent and newest first.
func (s *Scheduler) preemptionCandidates(now time.Duration, ws *workspace) []*runningTask {
	var candidates []*runningTask
	for _, t := range ws.running {
		if s.preemptible(now, nil, t) {
			candidates = append(candidates, t)
		}
	}
	slices.SortFunc(candidates, s.comparePreemptionOrder)
	return candidates
}
