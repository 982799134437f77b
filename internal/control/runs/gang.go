package runs

import (
	"cmp"
	"slices"
	"time"

	pj "papayajunction"
)

// Limits of gangs that wait.
const (
	maxClaimingGangs = 3                      // gangs that may claim capacity in one pass while they wait for more
	earmarkMargin    = 200 * time.Millisecond // added to the time that the policy takes, for the way of the query and of its answer
)

// scheduleGang starts all tasks of a gang, or claims the capacity available for it.
func (p *pass) scheduleGang(ts *taskSet) {
	n := len(ts.pending)
	withinLimit := p.withinLimit(ts, ts.amount.Mul(int64(n)))
	if !withinLimit && p.blockedBy[ts.record.Workflow.Workspace] != ts {
		p.prefetchTickets(ts)
		return
	}
	chosen := p.claimGang(ts, n)
	expired := p.withoutValidTicket(ts, chosen)
	if withinLimit && len(chosen) == n && len(expired) == 0 {
		p.releaseClaims(chosen, ts.amount)
		p.startGang(ts, chosen)
		return
	}
	switch {
	case len(chosen) < n && (p.claimingGangs >= maxClaimingGangs || !p.fitsWhenIdle(ts, n)):
		p.releaseClaims(chosen, ts.amount)
	case len(chosen) < n:
		p.claimingGangs++
		p.claimPartial(ts, n-len(chosen))
	}
	if ts.record.Workflow.Advice == nil {
		return
	}
	if len(chosen) < n || !withinLimit {
		expired = nil // renewed tickets would expire again before the gang can start
	} else {
		p.earmark(ts, chosen)
		p.addAlternatives(ts, expired)
	}
	p.requestTickets(ts, expired, n-len(chosen))
}

// earmark marks the workers on which a gang will start once its tickets are renewed. Other work, even if more urgent, starts there
// only if no other worker has room: each start there would make the gang begin anew.
func (p *pass) earmark(ts *taskSet, workers []*worker) {
	until := p.now + ts.queryCost(maxQueryWorkers) + earmarkMargin
	for _, w := range workers {
		w.earmarkedFor, w.earmarkedUntil = ts, until
	}
}

// withoutValidTicket returns those of the workers for which the task set has no valid ticket. Without a policy there are none.
func (p *pass) withoutValidTicket(ts *taskSet, workers []*worker) map[string]struct{} {
	expired := make(map[string]struct{})
	for _, w := range workers {
		if t := ts.ticketFor[w.ID]; ts.record.Workflow.Advice != nil && !t.valid(p.now) {
			expired[w.ID] = struct{}{}
		}
	}
	return expired
}

// startGang proposes all members with one run number.
func (p *pass) startGang(ts *taskSet, workers []*worker) {
	pending := ts.pending
	ts.pending = nil
	number := ts.nextRun(0)
	for i, w := range workers {
		p.proposeStart(ts, pending[i], number, w)
	}
}

// claimPartial claims the free part of a member's amount on one further worker for each missing member, so that the claims
// grow to full members as tasks end there.
func (p *pass) claimPartial(ts *taskSet, members int) {
	type workerShare struct {
		w     *worker
		share float64
	}
	var candidates []workerShare
	for w := range p.eligible(ts) {
		if ts.amount.FitsWhereUsed(w.Capacity) {
			candidates = append(candidates, workerShare{w: w, share: availableShare(p.available(w), ts.amount)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b workerShare) int { return cmp.Compare(b.share, a.share) })
	for _, cand := range candidates[:min(members, len(candidates))] {
		p.claim(cand.w, p.available(cand.w).Min(ts.amount).Max(pj.Resources{}))
	}
}

// availableShare returns the fraction of an amount that is free, in the scarcest dimension.
func availableShare(free, amount pj.Resources) float64 {
	share := 1.0
	for d := range amount {
		if amount[d] > 0 {
			share = min(share, float64(max(free[d], 0))/float64(amount[d]))
		}
	}
	return share
}

// addAlternatives adds further allowed workers with capacity to a query, because urgent work may take capacity on
// the chosen workers before the answer arrives.
func (p *pass) addAlternatives(ts *taskSet, query map[string]struct{}) {
	for w, t := range p.eligible(ts) {
		if len(query) >= maxQueryWorkers*maxGangQueries {
			return
		}
		if !t.valid(p.now) && p.capacityFor(w, ts) > 0 {
			query[w.ID] = struct{}{}
		}
	}
}

// claimGang claims capacity for as many members of a gang as possible and returns their workers.
func (p *pass) claimGang(ts *taskSet, n int) []*worker {
	chosen := p.pack(ts, n, false)
	for _, w := range chosen {
		p.claim(w, ts.amount)
	}
	return chosen
}

// fitsWhenIdle reports whether the allowed workers could hold the gang if nothing ran on them.
func (p *pass) fitsWhenIdle(ts *taskSet, n int) bool {
	capacity := 0
	for w := range p.eligible(ts) {
		each := ts.amount.FitCount(w.Capacity)
		if ts.spec.MaxTasksPerWorker > 0 {
			each = min(each, ts.spec.MaxTasksPerWorker)
		}
		capacity += each
	}
	return capacity >= n
}
