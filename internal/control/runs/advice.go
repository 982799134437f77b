package runs

import (
	"math"
	"slices"
	"time"

	pj "papayajunction"
)

// Bounds of questions about a step.
const (
	nameMost       = 30                     // workers named in one question
	nameLeast      = 12                     // workers named in a first question, if there are so many
	namePart       = 0.35                   // of the decision's own time that further names may add
	nameSpare      = 1.6                    // how many more workers are named than the step probably needs
	firstShare     = 0.5                    // part of the workers that is taken to be allowed before anything is known
	shareWeight    = 0.1                    // of one answer in the part that is learned
	ticketSlack    = 250 * time.Millisecond // from an answer's way and a start's way
	distanceWeight = 0.2                    // of one answer in an asker's distance
	backlogMost    = 300 * time.Millisecond // that a short question may wait behind others
	longQuestion   = 50 * time.Millisecond
	idleReserve    = 4           // one VM in so many is kept free of long questions
	askSlack       = time.Second // on top of the time that an answer should take
	askerRecovery  = time.Second // after a question without an answer
)

// ticket lets the tasks of a step start on one life of a worker for some time.
type ticket struct {
	worker *worker
	text   string
	born   int64
	until  time.Duration
}

// fresh reports whether a task may start with the ticket now; without a policy none is needed.
func (t *ticket) fresh(now time.Duration) bool {
	return t == nil || (t.born == t.worker.Born && now < t.until)
}

// asker is a VM that can ask the policy; each VM's questions are answered one after the other.
type asker struct {
	vm        string
	busyUntil time.Duration
	notBefore time.Duration
	distance  time.Duration // what an answer takes on top of the policy's own time, as seen so far
}

// SetAskers names the VMs that can ask for advice now.
func (c *Controller) SetAskers(vms []string) {
	for vm := range c.askers {
		if !slices.Contains(vms, vm) {
			delete(c.askers, vm)
		}
	}
	for _, vm := range vms {
		if c.askers[vm] == nil {
			c.askers[vm] = &asker{vm: vm}
			c.dirty = true
		}
	}
}

// pickAsker returns the VM whose answer would be here first, or nil if all are too busy. Long questions
// wait for an idle VM and leave some idle, so that short ones needn't wait behind them.
func (c *Controller) pickAsker(now, cost time.Duration) *asker {
	backlog := backlogMost
	if cost >= longQuestion {
		if c.idleAskers(now) <= max(1, len(c.askers)/idleReserve) && len(c.askers) > 1 {
			return nil
		}
		backlog = 0
	}
	var best *asker
	var bestAt time.Duration
	for _, a := range c.askers {
		if now < a.notBefore || a.busyUntil > now+backlog {
			continue
		}
		at := max(a.busyUntil, now) + a.distance
		if best == nil || at < bestAt || (at == bestAt && a.vm < best.vm) {
			best, bestAt = a, at
		}
	}
	return best
}

func (c *Controller) idleAskers(now time.Duration) int {
	idle := 0
	for _, a := range c.askers {
		if now >= a.notBefore && now >= a.busyUntil {
			idle++
		}
	}
	return idle
}

// answered learns how far away a VM is from an answer that was expected at a.busyUntil when it was asked for.
func (a *asker) answered(now, expected time.Duration) {
	late := max(now-expected, 0)
	a.distance += time.Duration(distanceWeight * float64(late-a.distance))
}

// cost returns how long a question about so many workers takes.
func (u *unit) cost(names int) time.Duration {
	policy := u.record.Workflow.Advice
	return time.Duration((policy.DecisionMS + policy.PerWorkerMS*float64(names)) * float64(time.Millisecond))
}

// allBusy reports whether this decision has already found no VM for questions like the unit's.
func (p *plan) allBusy(u *unit) bool {
	return *p.busy(u.cost(0))
}

// busy holds whether no VM was found for questions that take as long.
func (p *plan) busy(cost time.Duration) *bool {
	if cost >= longQuestion {
		return &p.busyLong
	}
	return &p.busyShort
}

// ask asks which of the workers may run a step.
func (p *plan) ask(u *unit, names []string) {
	if len(names) == 0 {
		return
	}
	c, now, cost := p.c, p.now, u.cost(len(names))
	a := c.pickAsker(now, cost)
	if a == nil {
		*p.busy(cost) = true
		return
	}
	a.busyUntil = max(a.busyUntil, now) + cost
	u.asking = true
	lives := make(map[string]int64, len(names))
	for _, id := range names {
		lives[id] = c.workers[id].Born
	}
	expected := a.busyUntil
	c.options.Orders.Advise(a.vm, u.id, names, expected-now+askSlack, func(answer pj.Advice, err error) {
		u.asking = false
		c.dirty = true
		if c.closed {
			return
		}
		a.answered(c.options.Clock.Now(), expected)
		c.advised(now, u, a, lives, answer, err)
	})
}

func (c *Controller) advised(asked time.Duration, u *unit, a *asker, lives map[string]int64, answer pj.Advice, err error) {
	now := c.options.Clock.Now()
	if err != nil {
		a.notBefore = now + askerRecovery
		c.options.Events.Decided("advice_failed", "workflow", u.id.Workflow, "step", u.id, "vm", a.vm, "took", now-asked, "err", err)
		return
	}
	for id := range lives {
		u.asked[id] = true
	}
	validity := time.Duration(answer.ValidityMS) * time.Millisecond
	if answer.ValidityMS == 0 {
		validity = time.Duration(u.record.Workflow.Advice.ValidityMS) * time.Millisecond
	}
	for _, t := range answer.Good {
		u.takeTicket(ticket{worker: c.workers[t.Worker], text: t.Ticket, born: lives[t.Worker], until: now + validity - ticketSlack})
	}
	queue := u.record.Workflow.Queue
	share := float64(len(answer.Good)) / float64(len(lives))
	c.shares[queue] = c.share(queue)*(1-shareWeight) + share*shareWeight
	c.options.Events.Decided("advice", "workflow", u.id.Workflow, "step", u.id, "vm", a.vm, "took", now-asked,
		"named", len(lives), "good", len(answer.Good))
}

// share returns which part of the workers a queue's policy probably allows.
func (c *Controller) share(queue string) float64 {
	if s, ok := c.shares[queue]; ok {
		return max(s, 1.0/nameMost)
	}
	return firstShare
}

func (u *unit) dropTicket(worker string) {
	if t := u.good[worker]; t != nil {
		t.until = 0
	}
}

// takeTicket keeps a ticket in place of an earlier one for the same worker.
func (u *unit) takeTicket(t ticket) {
	if t.worker == nil {
		return // it has left meanwhile
	}
	if held := u.good[t.worker.ID]; held != nil {
		*held = t
		return
	}
	u.good[t.worker.ID] = &t
	u.tickets = append(u.tickets, &t)
}

// ticketText returns what a start on the worker carries.
func (u *unit) ticketText(w *worker) string {
	if t := u.good[w.ID]; t != nil {
		return t.text
	}
	return ""
}

// unknown returns workers to ask about for a number of tasks: those with most room that weren't asked about.
func (p *plan) unknown(u *unit, tasks int) []string {
	type choice struct {
		id   string
		room int
	}
	var choices []choice
	avoided := p.c.blame.Avoid(u.id.Workflow)
	for _, w := range p.workers {
		if u.asked[w.ID] || !u.suits(w, avoided) {
			continue
		}
		choices = append(choices, choice{id: w.ID, room: u.amount.CountIn(p.free(w))})
	}
	slices.SortFunc(choices, func(a, b choice) int { return b.room - a.room })
	share := p.c.share(u.record.Workflow.Queue)
	want := max(nameLeast, int(math.Ceil(float64(tasks)*nameSpare/share)))
	if policy := u.record.Workflow.Advice; policy.PerWorkerMS > 0 {
		want = max(want, int(namePart*policy.DecisionMS/policy.PerWorkerMS))
	}
	want = min(want, nameMost, len(choices))
	names := make([]string, 0, want)
	for _, ch := range choices[:want] {
		if len(u.asked) > 0 && ch.room == 0 && !u.spec.Gang {
			break // asking again pays only for workers that could start something now
		}
		names = append(names, ch.id)
	}
	return names
}
