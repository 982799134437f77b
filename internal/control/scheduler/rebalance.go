package scheduler

import (
	"slices"
	"time"

	pj "papayajunction"
)

// Bounds of rebalancing.
const (
	rebalanceInterval = time.Second
	tolerance         = 0.02 // of the fleet, that a workspace may be ahead without giving way
	rebalancePart     = 0.01 // of the fleet, that gives way in one interval at most
)

// rebalance makes the newest tasks of the workspace furthest beyond its share give way, a few at a
// time, while one with a smaller share waits for room. Without it, what was started while the
// others had no work would keep its room until it ends by itself.
func (s *Scheduler) rebalance(now time.Duration, plan *pj.Plan) {
	if now < s.rebalancedAt+rebalanceInterval {
		return
	}
	s.rebalancedAt = now
	low := s.neediest()
	high := s.furthestAhead()
	if low == nil || high == nil {
		return
	}
	ahead := (high.share - low.share) * min(s.ledger.Weight(high.name), s.ledger.Weight(low.name))
	// What gives way moves both shares, so only half of the distance is to be made up for.
	room := min((ahead-tolerance)/2, rebalancePart)
	if room <= 0 {
		return
	}
	for _, t := range s.newestOf(now, high) {
		part := t.reservation.DominantShare(s.ledger.Capacity())
		if part > room {
			break
		}
		room -= part
		s.preempt(t, plan)
	}
}

// neediest returns the workspace with the smallest share of those that wait for room.
func (s *Scheduler) neediest() *space {
	var best *space
	for _, sp := range s.spaces {
		if !sp.waitsForRoom() {
			continue
		}
		if best == nil || sp.share < best.share || (sp.share == best.share && sp.name < best.name) {
			best = sp
		}
	}
	return best
}

func (sp *space) waitsForRoom() bool {
	for _, lanes := range sp.order {
		for _, l := range lanes {
			if l.live > 0 && l.blocked == blockedByFit {
				return true
			}
		}
	}
	return false
}

// furthestAhead returns the workspace with the greatest share, if that is beyond its share.
func (s *Scheduler) furthestAhead() *space {
	var best *space
	for _, sp := range s.spaces {
		if best == nil || sp.share > best.share || (sp.share == best.share && sp.name < best.name) {
			best = sp
		}
	}
	if best == nil || s.ledger.WithinShare(best.name) {
		return nil
	}
	return best
}

// newestOf returns the tasks of a workspace that may give way, least urgent and newest first.
func (s *Scheduler) newestOf(now time.Duration, sp *space) []*running {
	var candidates []*running
	for _, t := range sp.running {
		if s.preemptible(now, nil, t) {
			candidates = append(candidates, t)
		}
	}
	slices.SortFunc(candidates, s.compareForShedding)
	return candidates
}
