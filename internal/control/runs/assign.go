package runs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pj "papayajunction"
)

// visitMost bounds how many units one decision looks at.
const visitMost = 400

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
			cmp.Compare(c.beyondShare(a), c.beyondShare(b)),
			cmp.Compare(a.lateness(now), b.lateness(now)),
		)
	})
	return ready
}

// beyondShare returns 1 for work of a workspace that uses more than its share of the fleet, else 0.
func (c *Controller) beyondShare(u *unit) int {
	if c.ledger.WithinShare(u.record.Workflow.Workspace) {
		return 0
	}
	return 1
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
	if w.slow() {
		score += slowScore
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
	if p.c.options.State.Rules().Team(workspace) == nil {
		return true // an open queue's work, or that of a workspace which has left: no rule limits it
	}
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

// askFirst asks about a unit for the first time, so that the workers are known when it may start.
func (p *plan) askFirst(u *unit) {
	if u.record.Workflow.Advice != nil && len(u.asked) == 0 {
		p.askFor(u, nil, len(u.pending))
	}
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
