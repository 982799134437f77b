package runs

import (
	"cmp"
	"iter"
	"slices"
	"time"

	pj "papayajunction"
)

// pass is one scheduling pass: task sets are considered in order, and capacity that a waiting task set claims is not
// available to those after it.
type pass struct {
	c             *Controller
	now           time.Duration
	number        uint64
	workers       []*worker           // schedulable workers, sorted by ID
	visits        int                 // pairs of a task set and a worker that were examined
	claimingGangs int                 // gangs that claim capacity while they wait for more
	blockedBy     map[string]*taskSet // by workspace: the task set that its upper limit blocks for a short time; later ones of the workspace wait too

	ending    map[endingKey]pj.Resources // results of endingWithin
	idlePools map[string]bool            // results of poolIdle
	rooms     map[poolLabel]room         // of roomFor

	noAdvisorShort, noAdvisorLong bool // no VM is available for a short or a long query
}

func (c *Controller) newPass(now time.Duration) *pass {
	c.passes++
	p := &pass{
		c: c, now: now, number: c.passes, workers: c.passWorkers[:0],
		blockedBy: make(map[string]*taskSet), ending: make(map[endingKey]pj.Resources), idlePools: make(map[string]bool),
	}
	for _, w := range c.sortedWorkers {
		if w.schedulable(now) {
			w.eligibleIn = p.number
			p.workers = append(p.workers, w)
		}
	}
	c.passWorkers = p.workers
	return p
}

// claim is capacity of a worker that a waiting task set keeps from later ones until the end of the pass.
type claim struct {
	owner  *taskSet
	amount pj.Resources
	until  time.Duration // when the owner is expected to start; work that ends before may use the capacity
}

// available returns the free capacity of a worker for a task set, without the claims of earlier task sets.
func (p *pass) available(w *worker, ts *taskSet) pj.Resources {
	free := w.free
	if w.claimedIn != p.number {
		return free
	}
	passes := p.passesHolds(ts)
	for i := range w.claims {
		cl := &w.claims[i]
		endsBefore := ts.runTime != 0 && p.now+ts.runTime <= cl.until
		if cl.owner != ts && (passes || endsBefore) {
			continue
		}
		free = free.Sub(cl.amount)
	}
	return free
}

// claim sets capacity of a worker aside until the end of the pass.
func (p *pass) claim(w *worker, ts *taskSet, amount pj.Resources) {
	if w.claimedIn != p.number {
		w.claimedIn, w.claims = p.number, w.claims[:0]
	}
	w.claims = append(w.claims, claim{owner: ts, amount: amount})
}

// releaseClaims ends the claims of a task set on the given workers.
func (p *pass) releaseClaims(ts *taskSet, workers []*worker) {
	for _, w := range workers {
		w.claims = slices.DeleteFunc(w.claims, func(cl claim) bool { return cl.owner == ts })
	}
}

// extendClaims sets the time at which a task set with claims on the given workers is expected to start.
func (p *pass) extendClaims(ts *taskSet, workers []*worker, until time.Duration) {
	for _, w := range workers {
		for i := range w.claims {
			if w.claims[i].owner == ts {
				w.claims[i].until = until
			}
		}
	}
}

// eligible yields the schedulable workers on which the tasks may run, whatever their free capacity, each with its
// ticket if the queue has a policy.
func (p *pass) eligible(ts *taskSet) iter.Seq2[*worker, *ticket] {
	avoided := p.c.quarantine.AvoidedWorkers(ts.id.Workflow)
	return func(yield func(*worker, *ticket) bool) {
		for w, t := range p.allowed(ts) {
			p.visits++
			if w.eligibleIn == p.number && ts.matches(w, avoided) && !yield(w, t) {
				return
			}
		}
	}
}

// allowed yields the workers that the policy has allowed for the task set, or all schedulable ones without a policy.
func (p *pass) allowed(ts *taskSet) iter.Seq2[*worker, *ticket] {
	return func(yield func(*worker, *ticket) bool) {
		if ts.record.Workflow.Advice == nil {
			for _, w := range p.workers {
				if !yield(w, nil) {
					return
				}
			}
			return
		}
		for _, t := range ts.tickets {
			if t.worker.removed && p.c.workers[t.worker.ID] != nil {
				t.worker = p.c.workers[t.worker.ID]
			}
			if !yield(t.worker, t) {
				return
			}
		}
	}
}

// earmarkPenalty ranks workers that are earmarked for a gang after those of the same kind that are not; a score without penalties
// is below 1.
const earmarkPenalty = 1.0

// expiredTicketPenalty ranks workers with expired tickets after all others: while a gang waits for the renewal of some tickets,
// its other tickets may expire.
const expiredTicketPenalty = 10.0

// failedPenalty ranks workers on which the workflow has failed after others.
const failedPenalty = 3.0

// candidate is a worker with its score and its capacity for the tasks of a task set.
type candidate struct {
	worker   *worker
	score    float64
	capacity int // tasks
}

// pack returns the workers for up to n tasks, best fit first: the tightest worker stays the tightest until
// it is full. validOnly skips workers without a valid ticket. pack claims nothing.
func (p *pass) pack(ts *taskSet, n int, validOnly bool) []*worker {
	var candidates []candidate
	for w, t := range p.eligible(ts) {
		if !ts.amount.FitsWhereUsed(p.available(w, ts)) || (validOnly && !t.valid(p.now)) {
			continue
		}
		if capacity := p.capacityFor(w, ts); capacity > 0 {
			score := p.score(w, ts)
			if !t.valid(p.now) {
				score += expiredTicketPenalty
			}
			candidates = append(candidates, candidate{worker: w, score: score, capacity: capacity})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	var workers []*worker
	for _, cand := range candidates {
		for range min(cand.capacity, n-len(workers)) {
			workers = append(workers, cand.worker)
		}
	}
	return workers
}

// capacityFor returns how many tasks of a task set could start on a worker now.
func (p *pass) capacityFor(w *worker, ts *taskSet) int {
	capacity := ts.amount.FitCount(p.available(w, ts))
	if ts.spec.MaxTasksPerWorker > 0 {
		capacity = min(capacity, ts.spec.MaxTasksPerWorker-ts.onWorker[w.ID])
	}
	return capacity
}

// score returns a lower value for a better worker: in the rack of the data, not slow, without failures of the workflow, not about
// to be used by a gang, and with the least capacity left over.
func (p *pass) score(w *worker, ts *taskSet) float64 {
	leftover := p.available(w, ts).Sub(ts.amount)
	score := leftover.DominantShare(w.Capacity)
	if ts.spec.DataRack != "" && ts.spec.DataRack != w.Rack {
		score += 2
	}
	if w.slow() {
		score += slowPenalty
	}
	if p.c.quarantine.FailedOn(ts.id.Workflow, w.ID) {
		score += failedPenalty
	}
	if w.earmarkedFor != ts && p.now < w.earmarkedUntil {
		score += earmarkPenalty
	}
	return score
}
