package runs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pj "papayajunction"
)

// Bounds of one decision.
const (
	visitMost  = 400 // units that are looked at
	claimGangs = 3   // gangs that may keep room free while they wait for more
)

// plan is one decision: units are served in order, and room that a unit waits for is kept from
// those behind it.
type plan struct {
	c       *Controller
	now     time.Duration
	workers []*worker
	claimed map[*worker]pj.Resources
	gangs   int              // gangs that keep room
	limited map[string]*unit // by workspace: the unit that its upper limit holds back; those behind it wait too
}

// decide starts what can start.
func (c *Controller) decide(now time.Duration) {
	p := &plan{c: c, now: now, claimed: make(map[*worker]pj.Resources), limited: make(map[string]*unit)}
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		if w := c.workers[id]; w.accepts(now) {
			p.workers = append(p.workers, w)
		}
	}
	for _, u := range c.inOrder(now) {
		if u.spec.Gang {
			p.serveGang(u)
		} else {
			p.serveTasks(u)
		}
		if len(u.pending) == 0 {
			c.dequeue(u)
		}
	}
}

// inOrder returns the units to look at. Within a priority, what can still reach its objective goes before what can't,
// so that a backlog doesn't make everything late that comes after it.
func (c *Controller) inOrder(now time.Duration) []*unit {
	ready := slices.Clone(c.ready[:min(len(c.ready), visitMost)])
	slices.SortStableFunc(ready, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(a.record.Workflow.Priority, b.record.Workflow.Priority),
			cmp.Compare(a.lateness(now), b.lateness(now)),
		)
	})
	return ready
}

func (p *plan) free(w *worker) pj.Resources {
	return w.free.Sub(p.claimed[w])
}

func (p *plan) claim(w *worker, amount pj.Resources) {
	p.claimed[w] = p.claimed[w].Add(amount)
}

// suits reports whether tasks of a unit may run on a worker, whatever its room.
func (p *plan) suits(w *worker, u *unit) bool {
	if w.Pool != u.record.Workflow.Pool || (u.spec.Label != "" && !slices.Contains(w.Labels, u.spec.Label)) {
		return false
	}
	_, avoided := p.c.blame.Avoid(u.id.Workflow)[w.ID]
	return !avoided
}

// fits reports whether one more task of a unit may run on a worker now. extra is what the same decision
// has put there already.
func (p *plan) fits(w *worker, u *unit, extra int) bool {
	if u.spec.AntiAffinity > 0 && u.onWorker[w.ID]+extra >= u.spec.AntiAffinity {
		return false
	}
	return u.amount.FitsWhereUsed(p.free(w))
}

// best returns the worker on which the next task of a unit fits tightest, among those that the unit's
// policy allows and that pass the filter.
func (p *plan) best(u *unit, filter func(*worker) bool) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range p.workers {
		if !u.allowed(w) || !p.suits(w, u) || !filter(w) {
			continue
		}
		score := p.score(w, u)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// score is lower for better places: near the data, and with the least left over.
func (p *plan) score(w *worker, u *unit) float64 {
	left := p.free(w).Sub(u.amount)
	score := left.DominantShare(w.Capacity)
	if u.spec.DataRack != "" && u.spec.DataRack != w.Rack {
		score += 2
	}
	return score
}

// serveTasks starts as many tasks of a unit as possible.
func (p *plan) serveTasks(u *unit) {
	for len(u.pending) > 0 {
		if !p.allows(u, u.amount) {
			p.askFirst(u)
			return
		}
		w := p.best(u, func(w *worker) bool {
			_, fresh := u.fresh(p.now, w)
			return fresh && p.fits(w, u, 0)
		})
		if w == nil {
			break
		}
		index := u.pending[0]
		u.pending = u.pending[1:]
		p.start(u, index, u.nextRun(index), w)
	}
	if len(u.pending) == 0 || u.record.Workflow.Advice == nil {
		return
	}
	p.askForTasks(u)
}

// allows reports whether the workspace's upper limit lets a unit start more. What is held back by the limit
// is served before work of the same workspace that stands behind it, unless it could never start.
func (p *plan) allows(u *unit, amount pj.Resources) bool {
	workspace := u.record.Workflow.Workspace
	if p.limited[workspace] != nil {
		return false
	}
	headroom := p.c.demand.headroom(p.now, workspace, u.record.Workflow.Priority)
	if p.c.ledger.Allows(workspace, amount.Add(headroom)) {
		return true
	}
	if amount.FitsWhereUsed(p.c.ledger.Limit(workspace)) {
		p.limited[workspace] = u
	}
	if !u.limited {
		u.limited = true
		p.c.options.Events.Decided("held_by_limit", "workflow", u.id.Workflow, "step", u.id, "workspace", workspace,
			"needs", amount, "headroom", headroom, "uses", p.c.ledger.Use(workspace), "limit", p.c.ledger.Limit(workspace))
	}
	return false
}

// askForTasks keeps room on workers whose tickets have to be renewed, and asks for those and for more.
func (p *plan) askForTasks(u *unit) {
	stale := make(map[string]struct{})
	extra := make(map[*worker]int)
	missing := len(u.pending)
	for missing > 0 {
		w := p.best(u, func(w *worker) bool { return p.fits(w, u, extra[w]) })
		if w == nil {
			break
		}
		p.claim(w, u.amount)
		extra[w]++
		stale[w.ID] = struct{}{}
		missing--
	}
	p.askFor(u, stale, missing)
}

func (p *plan) askFor(u *unit, stale map[string]struct{}, missing int) {
	if u.asking {
		return
	}
	names := slices.Sorted(maps.Keys(stale))
	if missing > 0 {
		names = append(names, p.unknown(u, missing)...)
	}
	p.c.ask(p.now, u, names[:min(len(names), nameMost)])
}

// serveGang starts all tasks of a gang, or keeps what room there is for it.
func (p *plan) serveGang(u *unit) {
	n := len(u.pending)
	allowed := p.allows(u, u.amount.Times(int64(n)))
	if !allowed && p.limited[u.record.Workflow.Workspace] != u {
		p.askFirst(u)
		return
	}
	before := maps.Clone(p.claimed)
	places := p.placeGang(u, n)
	stale := make(map[string]struct{})
	for _, w := range places {
		if _, fresh := u.fresh(p.now, w); !fresh {
			stale[w.ID] = struct{}{}
		}
	}
	if allowed && len(places) == n && len(stale) == 0 {
		p.claimed = before
		pending := u.pending
		u.pending = nil
		number := u.nextRun(0)
		for i, w := range places {
			p.start(u, pending[i], number, w)
		}
		return
	}
	switch {
	case len(places) < n && (p.gangs >= claimGangs || !p.couldFit(u, n)):
		p.claimed = before
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

// askFirst asks about a unit for the first time, so that the workers are known when it may start.
func (p *plan) askFirst(u *unit) {
	if u.record.Workflow.Advice != nil && len(u.asked) == 0 {
		p.askFor(u, nil, len(u.pending))
	}
}

// gatherRoom keeps what is free on as many further workers, so that it grows to a member's room as tasks end there.
func (p *plan) gatherRoom(u *unit, members int) {
	type choice struct {
		w    *worker
		part float64
	}
	var choices []choice
	for _, w := range p.workers {
		if u.allowed(w) && p.suits(w, u) && u.amount.FitsWhereUsed(w.Capacity) {
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
	for _, w := range p.workers {
		if len(names) >= nameMost {
			return
		}
		if _, fresh := u.fresh(p.now, w); !fresh && u.allowed(w) && p.suits(w, u) && p.fits(w, u, 0) {
			names[w.ID] = struct{}{}
		}
	}
}

// placeGang claims room for as many members of a gang as possible and returns where.
func (p *plan) placeGang(u *unit, n int) []*worker {
	var places []*worker
	extra := make(map[*worker]int)
	for len(places) < n {
		w := p.best(u, func(w *worker) bool { return p.fits(w, u, extra[w]) })
		if w == nil {
			break
		}
		p.claim(w, u.amount)
		extra[w]++
		places = append(places, w)
	}
	return places
}

// couldFit reports whether the workers that the policy allows could hold a gang if they were empty.
func (p *plan) couldFit(u *unit, n int) bool {
	room := 0
	for _, w := range p.workers {
		if u.allowed(w) && p.suits(w, u) {
			each := times(w.Capacity, u.amount)
			if u.spec.AntiAffinity > 0 {
				each = min(each, u.spec.AntiAffinity)
			}
			room += each
		}
	}
	return room >= n
}

// start proposes a run; it is told to the worker once it is committed.
func (p *plan) start(u *unit, index, number int, w *worker) {
	text, _ := u.fresh(p.now, w)
	v := &run{
		id:   pj.RunID{Task: pj.TaskID{StepID: u.id, Index: index}, Run: number},
		unit: u, worker: w, ticket: text, startedAt: p.now,
	}
	p.c.occupy(v)
	p.c.batch.starts = append(p.c.batch.starts, v)
	if p.c.blame.Started(w.ID) {
		w.unhealthy = p.now + unhealthyFor
	}
}

// times returns how many of amount fit into room.
func times(room, amount pj.Resources) int {
	n := int64(1 << 30)
	for d := range amount {
		if amount[d] > 0 {
			n = min(n, max(room[d], 0)/amount[d])
		}
	}
	return int(n)
}
