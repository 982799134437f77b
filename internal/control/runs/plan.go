package runs

import (
	"cmp"
	"iter"
	"slices"
	"time"

	pj "papayajunction"
)

// plan is one decision: units are served in order, and room that a unit waits for is kept from
// those behind it.
type plan struct {
	c       *Controller
	now     time.Duration
	number  uint64
	workers []*worker        // those that take new tasks, in order of their ids
	visits  int              // how many pairs of a unit and a worker were looked at
	gangs   int              // gangs that keep room
	limited map[string]*unit // by workspace: the unit that its upper limit holds back; those behind it wait too

	busyShort, busyLong bool // no VM takes a short, or a long, question now
}

func (c *Controller) newPlan(now time.Duration) *plan {
	c.decisions++
	p := &plan{c: c, now: now, number: c.decisions, limited: make(map[string]*unit)}
	for _, w := range c.sorted {
		if w.accepts(now) {
			w.openIn = p.number
			p.workers = append(p.workers, w)
		}
	}
	return p
}

// free returns the room of a worker that no unit in front keeps.
func (p *plan) free(w *worker) pj.Resources {
	if w.claimedIn != p.number {
		return w.free
	}
	return w.free.Sub(w.claimed)
}

// claim keeps room on a worker until the end of the decision; a negative amount gives it back.
func (p *plan) claim(w *worker, amount pj.Resources) {
	if w.claimedIn != p.number {
		w.claimedIn, w.claimed = p.number, pj.Resources{}
	}
	w.claimed = w.claimed.Add(amount)
}

func (p *plan) unclaim(places []*worker, amount pj.Resources) {
	for _, w := range places {
		p.claim(w, pj.Resources{}.Sub(amount))
	}
}

// places yields the workers that take new tasks and on which the unit's tasks may run, whatever their room, with the
// ticket for it if the queue has a policy.
func (p *plan) places(u *unit) iter.Seq2[*worker, *ticket] {
	avoided := p.c.blame.Avoid(u.id.Workflow)
	return func(yield func(*worker, *ticket) bool) {
		for w, t := range p.candidates(u) {
			p.visits++
			if w.openIn == p.number && u.suits(w, avoided) && !yield(w, t) {
				return
			}
		}
	}
}

// candidates yields the workers that a unit's policy is known to allow, or all without one.
func (p *plan) candidates(u *unit) iter.Seq2[*worker, *ticket] {
	return func(yield func(*worker, *ticket) bool) {
		if u.record.Workflow.Advice == nil {
			for _, w := range p.workers {
				if !yield(w, nil) {
					return
				}
			}
			return
		}
		for _, t := range u.tickets {
			if t.worker.forgotten && p.c.workers[t.worker.ID] != nil {
				t.worker = p.c.workers[t.worker.ID]
			}
			if !yield(t.worker, t) {
				return
			}
		}
	}
}

// staleScore puts workers whose tickets have to be renewed behind all others: while a gang waits for their tickets, the others'
// become too old.
const staleScore = 10.0

// place is a worker with the room that it has for tasks of a unit.
type place struct {
	worker *worker
	score  float64
	room   int // tasks
}

// spread returns where up to n tasks of a unit would start, tightest places first: the tightest stays the tightest until
// it is full. fresh asks for tickets that are valid now. Nothing is claimed.
func (p *plan) spread(u *unit, n int, fresh bool) []*worker {
	var choices []place
	for w, t := range p.places(u) {
		if !u.amount.FitsWhereUsed(p.free(w)) || (fresh && !t.fresh(p.now)) {
			continue
		}
		if room := p.room(w, u); room > 0 {
			score := p.score(w, u)
			if !t.fresh(p.now) {
				score += staleScore
			}
			choices = append(choices, place{worker: w, score: score, room: room})
		}
	}
	slices.SortStableFunc(choices, func(a, b place) int { return cmp.Compare(a.score, b.score) })
	var workers []*worker
	for _, choice := range choices {
		for range min(choice.room, n-len(workers)) {
			workers = append(workers, choice.worker)
		}
	}
	return workers
}

// room returns how many tasks of a unit could start on a worker now.
func (p *plan) room(w *worker, u *unit) int {
	room := u.amount.CountIn(p.free(w))
	if u.spec.AntiAffinity > 0 {
		room = min(room, u.spec.AntiAffinity-u.onWorker[w.ID])
	}
	return room
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
