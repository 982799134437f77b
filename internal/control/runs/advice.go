package runs

import (
	"math"
	"slices"
	"time"

	pj "papayajunction"
)

// Limits and weights of advice queries.
const (
	maxQueryWorkers     = 30                     // workers in one query
	maxGangQueries      = 4                      // queries of one gang in flight
	queryStride         = 31                     // workers between the starting points of two queries
	minQueryWorkers     = 12                     // workers in a first query, if there are so many
	extraQueryCost      = 0.35                   // fraction of the fixed decision time that the workers of a query may add; a query is extended up to this
	oversampling        = 1.6                    // factor by which a query names more workers than the step is expected to need
	initialAllowedShare = 0.5                    // assumed fraction of workers that a policy allows, before its first answer
	allowedShareWeight  = 0.1                    // weight of one answer in the moving average of the allowed fraction
	ticketMargin        = 250 * time.Millisecond // deducted from the validity, for the transit time of the answer and of the start order
	overheadWeight      = 0.2                    // weight of one answer in the moving average of an advisor's overhead
	maxBacklog          = 300 * time.Millisecond // of the queries of a VM, up to which it is sent further short queries
	longQuery           = 50 * time.Millisecond  // expected time from which a query counts as long
	idleAdvisorRatio    = 4                      // one VM in so many is kept free of long queries
	queryTimeoutMargin  = time.Second            // added to the expected time of the answer
	advisorBackoff      = time.Second            // after a failed query
)

// ticket permits the tasks of a step to start on one incarnation of a worker until it expires.
type ticket struct {
	worker      *worker
	token       string
	incarnation int64
	expiresAt   time.Duration
}

// valid reports whether a task may start with the ticket now. A nil ticket is valid: it stands for a queue without a policy.
func (t *ticket) valid(now time.Duration) bool {
	return t == nil || (t.incarnation == t.worker.Incarnation && now < t.expiresAt)
}

// advisor is a VM that can query the policy. Each VM handles its queries one after the other.
type advisor struct {
	vm           string
	busyUntil    time.Duration
	backoffUntil time.Duration
	overhead     time.Duration // moving average of the time that an answer takes beyond the policy's own
}

// SetAdvisors sets the VMs that can query the policy now.
func (c *Controller) SetAdvisors(vms []string) {
	for vm := range c.advisors {
		if !slices.Contains(vms, vm) {
			delete(c.advisors, vm)
		}
	}
	for _, vm := range vms {
		if c.advisors[vm] == nil {
			c.advisors[vm] = &advisor{vm: vm}
			c.dirty = true
		}
	}
}

// pickAdvisor returns the VM with the earliest expected answer, or nil if all are too busy or in backoff. Long queries
// go only to idle VMs and leave some of them idle, so that short queries don't queue behind them.
func (c *Controller) pickAdvisor(now, cost time.Duration) *advisor {
	backlog := maxBacklog
	if cost >= longQuery {
		if c.idleAdvisors(now) <= max(1, len(c.advisors)/idleAdvisorRatio) && len(c.advisors) > 1 {
			return nil
		}
		backlog = 0
	}
	var best *advisor
	var bestAt time.Duration
	for _, a := range c.advisors {
		if now < a.backoffUntil || a.busyUntil > now+backlog {
			continue
		}
		at := max(a.busyUntil, now) + a.overhead
		if best == nil || at < bestAt || (at == bestAt && a.vm < best.vm) {
			best, bestAt = a, at
		}
	}
	return best
}

func (c *Controller) idleAdvisors(now time.Duration) int {
	idle := 0
	for _, a := range c.advisors {
		if now >= a.backoffUntil && now >= a.busyUntil {
			idle++
		}
	}
	return idle
}

// observeOverhead updates an advisor's overhead from the delay of an answer beyond its expected time.
func (a *advisor) observeOverhead(now, expected time.Duration) {
	delay := max(now-expected, 0)
	a.overhead += time.Duration(overheadWeight * float64(delay-a.overhead))
}

// queryCost returns how long the policy takes for a query about the given number of workers.
func (ts *taskSet) queryCost(workers int) time.Duration {
	policy := ts.record.Workflow.Advice
	return time.Duration((policy.DecisionMS + policy.PerWorkerMS*float64(workers)) * float64(time.Millisecond))
}

// noAdvisorFor reports whether this pass has already found no VM for a query of the task set's length.
func (p *pass) noAdvisorFor(ts *taskSet) bool {
	return *p.noAdvisor(ts.queryCost(0))
}

// noAdvisor returns the flag that no VM was found for queries of this length.
func (p *pass) noAdvisor(cost time.Duration) *bool {
	if cost >= longQuery {
		return &p.noAdvisorLong
	}
	return &p.noAdvisorShort
}

// query asks the policy which of the workers may run the step.
func (p *pass) query(ts *taskSet, workers []string) {
	if len(workers) == 0 {
		return
	}
	c, now, cost := p.c, p.now, ts.queryCost(len(workers))
	a := c.pickAdvisor(now, cost)
	if a == nil {
		*p.noAdvisor(cost) = true
		return
	}
	a.busyUntil = max(a.busyUntil, now) + cost
	incarnations := make(map[string]int64, len(workers))
	for _, id := range workers {
		incarnations[id] = c.workers[id].Incarnation
		ts.querying[id] = struct{}{}
	}
	expected := a.busyUntil
	c.options.Orders.Advise(a.vm, ts.id, workers, expected-now+queryTimeoutMargin, func(answer pj.Advice, err error) {
		for id := range incarnations {
			delete(ts.querying, id)
		}
		c.dirty = true
		if c.closed {
			return
		}
		a.observeOverhead(c.options.Clock.Now(), expected)
		c.handleAdvice(now, ts, a, incarnations, answer, err)
	})
}

func (c *Controller) handleAdvice(sent time.Duration, ts *taskSet, a *advisor, incarnations map[string]int64, answer pj.Advice, err error) {
	now := c.options.Clock.Now()
	if err != nil {
		a.backoffUntil = now + advisorBackoff
		c.options.Events.Record("advice_failed", "workflow", ts.id.Workflow, "step", ts.id, "vm", a.vm, "took", now-sent, "err", err)
		return
	}
	for id := range incarnations {
		ts.queried[id] = true
	}
	if ts.queued {
		c.waiting.answered = append(c.waiting.answered, ts)
	}
	validity := time.Duration(answer.ValidityMS) * time.Millisecond
	if answer.ValidityMS == 0 {
		validity = time.Duration(ts.record.Workflow.Advice.ValidityMS) * time.Millisecond
	}
	allowedWorkers := make(map[string]struct{}, len(answer.Tickets))
	for _, t := range answer.Tickets {
		if incarnation, named := incarnations[t.Worker]; named {
			allowedWorkers[t.Worker] = struct{}{}
			ts.storeTicket(ticket{worker: c.workers[t.Worker], token: t.Ticket, incarnation: incarnation, expiresAt: now + validity - ticketMargin})
		}
	}
	queue := ts.record.Workflow.Queue
	allowed := float64(len(allowedWorkers)) / float64(len(incarnations))
	c.allowedShares[queue] = c.allowedShare(queue)*(1-allowedShareWeight) + allowed*allowedShareWeight
	c.options.Events.Record("advice", "workflow", ts.id.Workflow, "step", ts.id, "vm", a.vm, "took", now-sent,
		"named", len(incarnations), "good", len(answer.Tickets))
}

// allowedShare returns the estimated fraction of workers that a queue's policy allows.
func (c *Controller) allowedShare(queue string) float64 {
	if s, ok := c.allowedShares[queue]; ok {
		return max(s, 1.0/maxQueryWorkers)
	}
	return initialAllowedShare
}

// expireTicket makes the ticket of a worker invalid, because the worker refused it.
func (ts *taskSet) expireTicket(worker string) {
	if t := ts.ticketFor[worker]; t != nil {
		t.expiresAt = 0
	}
}

// storeTicket adds a ticket or replaces the earlier one for the same worker.
func (ts *taskSet) storeTicket(t ticket) {
	if t.worker == nil {
		return // the worker was removed meanwhile
	}
	if stored := ts.ticketFor[t.worker.ID]; stored != nil {
		*stored = t
		return
	}
	ts.ticketFor[t.worker.ID] = &t
	ts.tickets = append(ts.tickets, &t)
}

// ticketToken returns the token that a start order to the worker carries.
func (ts *taskSet) ticketToken(w *worker) string {
	if t := ts.ticketFor[w.ID]; t != nil {
		return t.token
	}
	return ""
}

// queryCandidates returns workers to query for a number of tasks: those with the most available capacity among those
// not queried yet.
func (p *pass) queryCandidates(ts *taskSet, tasks, maxWorkers int) []string {
	most := p.mostAvailable(ts, min(p.queryWidth(ts, tasks), maxWorkers))
	names := make([]string, 0, len(most))
	for _, cand := range most {
		if len(ts.queried) > 0 && cand.capacity == 0 && !ts.spec.Gang {
			break // a further query is only worth its cost for workers that could start a task now
		}
		names = append(names, cand.worker.ID)
	}
	return names
}

// queryWidth returns how many workers should be queried for a number of tasks.
func (p *pass) queryWidth(ts *taskSet, tasks int) int {
	allowed := p.c.allowedShare(ts.record.Workflow.Queue)
	want := max(minQueryWorkers, int(math.Ceil(float64(tasks)*oversampling/allowed)))
	if policy := ts.record.Workflow.Advice; policy.PerWorkerMS > 0 {
		want = max(want, int(extraQueryCost*policy.DecisionMS/policy.PerWorkerMS))
	}
	return want
}

// mostAvailable returns up to n workers that were not queried yet, in descending order of the number of tasks that they could start
// now. It keeps only the n best while it visits all, because sorting them would take several times as long in a large fleet.
func (p *pass) mostAvailable(ts *taskSet, n int) []candidate {
	most := make([]candidate, 0, n+1)
	avoided := p.c.quarantine.AvoidedWorkers(ts.id.Workflow)
	p.visits += len(p.workers)
	p.c.queryOffset += queryStride
	for i := range p.workers {
		w := p.workers[(p.c.queryOffset+i)%len(p.workers)]
		capacity := ts.amount.FitCount(p.available(w, ts))
		if len(most) == n && capacity <= most[n-1].capacity {
			continue
		}
		if ts.queried[w.ID] || !ts.matches(w, avoided) {
			continue
		}
		at, _ := slices.BinarySearchFunc(most, capacity, func(c candidate, capacity int) int {
			if c.capacity >= capacity {
				return -1
			}
			return 1
		})
		most = slices.Insert(most, at, candidate{worker: w, capacity: capacity})
		most = most[:min(len(most), n)]
	}
	return most
}
