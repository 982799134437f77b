package runs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pj "papayajunction"
)

// Bounds of deciding.
const (
	visitMost   = 400  // units that one decision looks at
	visitsPerMS = 1000 // visits of workers for which the next decision waits a millisecond: a visit takes 50 ns, so deciding takes a twentieth of the time
	gapMost     = 50 * time.Millisecond
)

// decide starts what can start.
func (c *Controller) decide(now time.Duration) {
	p := c.newPlan(now)
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
	c.decideFrom = now + min(time.Duration(p.visits/visitsPerMS)*time.Millisecond, gapMost)
}

// rank is a unit's place in one decision.
type rank struct {
	unit                       *unit
	priority, beyond, lateness int
}

// inOrder returns the units to look at. Within a priority, what can still reach its objective goes before what can't,
// so that a backlog doesn't make everything late that comes after it.
func (c *Controller) inOrder(now time.Duration) []*unit {
	ranks := make([]rank, min(len(c.ready), visitMost))
	for i := range ranks {
		u := c.ready[i]
		ranks[i] = rank{unit: u, priority: u.record.Workflow.Priority, beyond: c.beyondShare(u), lateness: u.lateness(now)}
	}
	slices.SortStableFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.beyond, b.beyond), cmp.Compare(a.lateness, b.lateness))
	})
	units := make([]*unit, len(ranks))
	for i := range ranks {
		units[i] = ranks[i].unit
	}
	return units
}

// beyondShare returns 1 for work of a workspace that uses more than its share of the fleet, else 0.
func (c *Controller) beyondShare(u *unit) int {
	if c.ledger.WithinShare(u.record.Workflow.Workspace) {
		return 0
	}
	return 1
}

// serveTasks starts as many tasks of a unit as possible.
func (p *plan) serveTasks(u *unit) {
	if !p.allows(u, u.amount) {
		p.askFirst(u)
		return
	}
	for _, w := range p.spread(u, len(u.pending), true) {
		if !p.allows(u, u.amount) {
			p.askFirst(u)
			return
		}
		if w.openIn != p.number {
			continue // it gets one task for trial
		}
		index := u.pending[0]
		u.pending = u.pending[1:]
		p.start(u, index, u.nextRun(index), w)
	}
	if len(u.pending) > 0 && u.record.Workflow.Advice != nil {
		p.askForTasks(u)
	}
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
	places := p.spread(u, len(u.pending), false)
	for _, w := range places {
		p.claim(w, u.amount)
		stale[w.ID] = struct{}{}
	}
	p.askFor(u, stale, len(u.pending)-len(places))
}

func (p *plan) askFor(u *unit, stale map[string]struct{}, missing int) {
	if u.asking || p.allBusy(u) {
		return
	}
	names := slices.Sorted(maps.Keys(stale))
	if missing > 0 {
		names = append(names, p.unknown(u, missing)...)
	}
	p.ask(u, names[:min(len(names), nameMost)])
}

// askFirst asks about a unit for the first time, so that the workers are known when it may start.
func (p *plan) askFirst(u *unit) {
	if u.record.Workflow.Advice != nil && len(u.asked) == 0 {
		p.askFor(u, nil, len(u.pending))
	}
}

// start proposes a run; it is told to the worker once it is committed.
func (p *plan) start(u *unit, index, number int, w *worker) {
	v := &run{
		id:   pj.RunID{Task: pj.TaskID{StepID: u.id, Index: index}, Run: number},
		unit: u, worker: w, ticket: u.ticketText(w), startedAt: p.now,
	}
	p.c.occupy(v)
	p.c.batch.starts = append(p.c.batch.starts, v)
	if p.c.blame.Started(w.ID) {
		w.unhealthy = p.now + unhealthyFor
		w.openIn = 0
	}
}
