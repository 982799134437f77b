package runs

import (
	"cmp"
	"slices"

	pj "papayajunction"
)

// claimGangs is how many gangs may keep room free while they wait for more.
const claimGangs = 3

// serveGang starts all tasks of a gang, or keeps what room there is for it.
func (p *plan) serveGang(u *unit) {
	n := len(u.pending)
	allowed := p.allows(u, u.amount.Times(int64(n)))
	if !allowed && p.limited[u.record.Workflow.Workspace] != u {
		p.askFirst(u)
		return
	}
	places := p.placeGang(u, n)
	stale := p.staleOf(u, places)
	if allowed && len(places) == n && len(stale) == 0 {
		p.unclaim(places, u.amount)
		p.startGang(u, places)
		return
	}
	switch {
	case len(places) < n && (p.gangs >= claimGangs || !p.couldFit(u, n)):
		p.unclaim(places, u.amount)
	case len(places) < n:
		p.gangs++
		p.gatherRoom(u, n-len(places))
	}
	if u.record.Workflow.Advice == nil {
		return
	}
	if len(places) < n || !allowed {
		stale = nil // their tickets would be too old once everything is there
	} else {
		p.addSpares(u, stale)
	}
	p.askFor(u, stale, n-len(places))
}

// staleOf returns the workers for which the unit has no fresh ticket.
func (p *plan) staleOf(u *unit, places []*worker) map[string]struct{} {
	stale := make(map[string]struct{})
	for _, w := range places {
		if t := u.good[w.ID]; u.record.Workflow.Advice != nil && !t.fresh(p.now) {
			stale[w.ID] = struct{}{}
		}
	}
	return stale
}

// startGang proposes all members with one run number.
func (p *plan) startGang(u *unit, places []*worker) {
	pending := u.pending
	u.pending = nil
	number := u.nextRun(0)
	for i, w := range places {
		p.start(u, pending[i], number, w)
	}
}

// gatherRoom keeps what is free on as many further workers, so that it grows to a member's room as tasks end there.
func (p *plan) gatherRoom(u *unit, members int) {
	type choice struct {
		w    *worker
		part float64
	}
	var choices []choice
	for w := range p.places(u) {
		if u.amount.FitsWhereUsed(w.Capacity) {
			choices = append(choices, choice{w: w, part: partFree(p.free(w), u.amount)})
		}
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(b.part, a.part) })
	for _, ch := range choices[:min(members, len(choices))] {
		p.claim(ch.w, p.free(ch.w).Min(u.amount).Max(pj.Resources{}))
	}
}

// partFree returns which part of an amount is free, in the dimension that lacks most.
func partFree(free, amount pj.Resources) float64 {
	part := 1.0
	for d := range amount {
		if amount[d] > 0 {
			part = min(part, float64(max(free[d], 0))/float64(amount[d]))
		}
	}
	return part
}

// addSpares adds further workers that the policy allows and that have room, because urgent work may take
// some of the chosen places before the answer is there.
func (p *plan) addSpares(u *unit, names map[string]struct{}) {
	for w, t := range p.places(u) {
		if len(names) >= nameMost {
			return
		}
		if !t.fresh(p.now) && p.room(w, u) > 0 {
			names[w.ID] = struct{}{}
		}
	}
}

// placeGang claims room for as many members of a gang as possible and returns where.
func (p *plan) placeGang(u *unit, n int) []*worker {
	places := p.spread(u, n, false)
	for _, w := range places {
		p.claim(w, u.amount)
	}
	return places
}

// couldFit reports whether the workers that the policy allows could hold a gang if they were empty.
func (p *plan) couldFit(u *unit, n int) bool {
	room := 0
	for w := range p.places(u) {
		each := u.amount.CountIn(w.Capacity)
		if u.spec.AntiAffinity > 0 {
			each = min(each, u.spec.AntiAffinity)
		}
		room += each
	}
	return room >= n
}
