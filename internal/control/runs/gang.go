package runs

import (
	"cmp"
	"slices"
	"time"

	pj "papayajunction"
)

// Limits of gangs that wait.
const (
	maxClaimingGangs = 3 // gangs that may claim capacity in one pass while they wait for more

	partialCandidates = 4                      // workers examined for each missing member
	earmarkMargin     = 200 * time.Millisecond // added to the time that the policy takes, for the way of the query and of its answer
)

// scheduleGang starts all tasks of a gang, or holds the capacity available for it if it is expected to start soon.
func (p *pass) scheduleGang(ts *taskSet) {
	n := len(ts.pending)
	withinLimit := p.withinLimit(ts, ts.amount.Mul(int64(n)))
	if !withinLimit && p.blockedBy[ts.record.Workflow.Workspace] != ts {
		p.prefetchTickets(ts)
		return
	}
	chosen := p.claimGang(ts, n)
	expired := p.withoutValidTicket(ts, chosen)
	if withinLimit && len(chosen) == n && len(expired) == 0 && p.c.mayStartGang(ts.record.Workflow.Workspace, n) {
		p.releaseClaims(ts, chosen)
		p.startGang(ts, chosen)
		return
	}
	if !p.holdForGang(ts, chosen, n-len(chosen)) {
		p.releaseClaims(ts, chosen)
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

// holdForGang keeps the capacity that a gang has claimed, and claims more for its missing members. It reports false if the gang is
// not expected to start soon, or has held capacity for too long.
func (p *pass) holdForGang(ts *taskSet, chosen []*worker, missing int) bool {
	idle := p.poolIdle(ts.record.Workflow.Pool)
	if !ts.workerHold.allowed(p.now, idle) {
		return false
	}
	if missing > 0 {
		if p.claimingGangs >= maxClaimingGangs {
			return false
		}
		partial, startAt := p.claimPartial(ts, chosen, missing, horizon(idle))
		if len(partial) < missing {
			return false
		}
		p.claimingGangs++
		p.extendClaims(ts, slices.Concat(chosen, partial), startAt)
	}
	p.keepHold(ts, &ts.workerHold, "workers")
	return true
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

// claimPartial claims what is free of the amounts of a gang's missing members where they are expected to fit first, so that the
// claims grow to full members as tasks end there. It returns the workers, and when all members are expected to fit; no workers
// if that isn't within the given time.
func (p *pass) claimPartial(ts *taskSet, chosen []*worker, missing int, within time.Duration) (workers []*worker, startAt time.Duration) {
	type opening struct {
		w  *worker
		at time.Duration
	}
	members := make(map[*worker]int)
	for _, w := range chosen {
		members[w]++
	}
	var openings []opening
	for _, w := range p.mostlyFree(ts, partialCandidates*missing) {
		n := missing
		if ts.spec.MaxTasksPerWorker > 0 {
			n = min(n, ts.spec.MaxTasksPerWorker-ts.onWorker[w.ID]-members[w])
		}
		for _, at := range p.openings(w, ts, n, within) {
			openings = append(openings, opening{w: w, at: at})
		}
	}
	if len(openings) < missing {
		return nil, 0
	}
	slices.SortStableFunc(openings, func(a, b opening) int { return cmp.Compare(a.at, b.at) })
	for _, o := range openings[:missing] {
		p.claim(o.w, ts, p.available(o.w, ts).Min(ts.amount).Max(pj.Resources{}))
		workers = append(workers, o.w)
		startAt = o.at
	}
	return workers, startAt
}

// mostlyFree returns up to n workers on which a task could run, those with the greatest free part of its amount.
func (p *pass) mostlyFree(ts *taskSet, n int) []*worker {
	type workerShare struct {
		w     *worker
		share float64
	}
	var candidates []workerShare
	for w := range p.eligible(ts) {
		if ts.amount.FitsWhereUsed(w.Capacity) {
			candidates = append(candidates, workerShare{w: w, share: availableShare(p.available(w, ts), ts.amount)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b workerShare) int { return cmp.Compare(b.share, a.share) })
	workers := make([]*worker, min(n, len(candidates)))
	for i := range workers {
		workers[i] = candidates[i].w
	}
	return workers
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
		p.claim(w, ts, ts.amount)
	}
	return chosen
}
