package runs

import (
	"slices"

	pj "papayajunction"
)

// Places of a pass for task sets, if more wait. They bound its cost.
const (
	maxTaskSetsPerPass = 400  // task sets that one pass considers
	answeredPlaces     = 100  // of these, for task sets whose advice has arrived
	firstPlaces        = 300  // for those and for the first ones in scheduling order
	minWorkspacePlaces = 8    // of the first ones, for a workspace, if there are many, or if its upper limit blocks it
	maxFirstVisits     = 2000 // task sets among which the first ones are sought
	maxTurnVisits      = 500  // classes that may have a turn
	placesPerTurn      = 20   // of one class
)

// blockReason is why a class of task sets can't start, as far as this is known without looking at workers. Task sets of a class that isn't
// blocked may still not find a worker.
type blockReason uint8

const (
	notBlocked        blockReason = iota
	blockedByLimit                // its workspace's upper limit is used up, or held by other work
	blockedByLabel                // no worker that receives new tasks has the label
	blockedByCapacity             // on no worker is enough free
	blockedByTicket               // its advice hasn't arrived
	blockReasons
)

var blockReasonNames = [blockReasons]string{"none", "limit", "label", "capacity", "ticket"}

// String returns the name of the reason in logs and metrics.
func (r blockReason) String() string {
	return blockReasonNames[r]
}

// selectTaskSets returns the task sets that the pass considers, in scheduling order: all if there are few, else those whose advice has
// arrived, the first ones of each workspace, and others that may start, which take turns. What is blocked takes no place of what may start.
func (p *pass) selectTaskSets() []*taskSet {
	s := &p.c.waiting
	if len(s.ordered) <= maxTaskSetsPerPass {
		s.answered = s.answered[:0]
		return slices.Clone(s.ordered)
	}
	selected := make([]*taskSet, 0, maxTaskSetsPerPass)
	selected = p.selectAnswered(selected)
	selected = p.selectFirst(selected)
	selected = p.selectTurns(selected)
	slices.SortFunc(selected, (*taskSet).compare)
	return selected
}

// selectAnswered selects task sets whose advice has arrived: their tickets expire.
func (p *pass) selectAnswered(selected []*taskSet) []*taskSet {
	s := &p.c.waiting
	n := min(len(s.answered), answeredPlaces)
	for _, ts := range s.answered[:n] {
		if ts.queued && ts.selectedIn != p.number {
			selected = p.selectOne(selected, ts)
		}
	}
	s.answered = slices.Delete(s.answered, 0, n)
	return selected
}

func (p *pass) selectOne(selected []*taskSet, ts *taskSet) []*taskSet {
	ts.selectedIn = p.number
	return append(selected, ts)
}

// selectFirst selects the first task sets, of blocked classes only the first one, which holds what becomes free and gets tickets ahead of time.
// The workspaces share the places.
func (p *pass) selectFirst(selected []*taskSet) []*taskSet {
	s := &p.c.waiting
	perWorkspace := max(firstPlaces/len(s.workspaces), minWorkspacePlaces)
	for _, ts := range s.ordered[:min(len(s.ordered), maxFirstVisits)] {
		if len(selected) >= firstPlaces {
			break
		}
		if ts.selectedIn == p.number {
			continue
		}
		places := perWorkspace
		switch p.blockReason(ts.class) {
		case notBlocked:
		case blockedByLimit:
			places = minWorkspacePlaces
			fallthrough
		default:
			if ts != ts.class.sets[0] {
				continue
			}
		}
		if ts.class.workspace.takePlace(p.number, places) {
			selected = p.selectOne(selected, ts)
		}
	}
	return selected
}

// selectTurns gives the remaining places to classes that may start, in turn. Blocked classes pass their turns on.
func (p *pass) selectTurns(selected []*taskSet) []*taskSet {
	turns := &p.c.waiting.turns
	skipped := 0 // turns since a task set was selected
	for range maxTurnVisits {
		if len(selected) == maxTaskSetsPerPass || skipped == turns.Len() {
			break
		}
		e := turns.Front()
		turns.MoveToBack(e)
		skipped++
		cl, ok := e.Value.(*class)
		if !ok || p.blockReason(cl) != notBlocked {
			continue
		}
		for range min(placesPerTurn, maxTaskSetsPerPass-len(selected)) {
			ts := cl.nextTurn(p.number)
			if ts == nil {
				break
			}
			selected = p.selectOne(selected, ts)
			skipped = 0
		}
	}
	return selected
}

// blockReason returns why the task sets of a class can't start now. It looks neither at workers nor at task sets, so that the cost of a pass
// doesn't grow with those that are blocked.
func (p *pass) blockReason(cl *class) blockReason {
	if cl.checkedIn != p.number {
		cl.checkedIn, cl.blocked = p.number, p.checkClass(cl)
	}
	return cl.blocked
}

func (p *pass) checkClass(cl *class) blockReason {
	key := &cl.key
	needed := key.amount.Mul(int64(max(key.gang, 1)))
	heldBack := cl.workspace.heldByLimit(p.number) && !key.longRunning
	if heldBack || !p.limitAllows(key.workspace, needed) {
		return blockedByLimit
	}
	room, ok := p.roomFor(key.pool, key.label)
	switch {
	case !ok:
		return blockedByLabel
	case !key.amount.FitsWhereUsed(room.largest) || !needed.FitsWhereUsed(room.total):
		return blockedByCapacity
	case cl.sets[0].awaitsFirstAdvice():
		return blockedByTicket
	}
	return notBlocked
}

// limitAllows reports whether a workspace's upper limit allows a further amount.
func (p *pass) limitAllows(workspace string, amount pj.Resources) bool {
	if p.c.options.State.Rules().Workspace(workspace) == nil {
		return true // work of an open queue or of a removed workspace has no limit
	}
	return p.c.ledger.Allows(workspace, amount)
}

// poolLabel identifies the workers of a pool with a label, or all of them if it is "".
type poolLabel struct {
	pool, label string
}

// room is what is free on a number of workers, whatever waiting task sets claim of it.
type room struct {
	largest pj.Resources // on one of them, in each dimension
	total   pj.Resources
}

// roomFor returns the room on the schedulable workers of a pool with a label, "" for any. ok is false if there is no such worker.
func (p *pass) roomFor(pool, label string) (r room, ok bool) {
	if p.rooms == nil {
		p.rooms = make(map[poolLabel]room)
		p.visits += len(p.workers)
		for _, w := range p.workers {
			p.addRoom(w, "")
			for _, label := range w.Labels {
				p.addRoom(w, label)
			}
		}
	}
	r, ok = p.rooms[poolLabel{pool: pool, label: label}]
	return r, ok
}

func (p *pass) addRoom(w *worker, label string) {
	key := poolLabel{pool: w.Pool, label: label}
	r, free := p.rooms[key], w.free.Max(pj.Resources{})
	p.rooms[key] = room{largest: r.largest.Max(free), total: r.total.Add(free)}
}

// awaitsFirstAdvice reports whether the task set can neither start nor hold workers before a query is answered.
func (ts *taskSet) awaitsFirstAdvice() bool {
	return len(ts.querying) > 0 && len(ts.tickets) == 0
}
