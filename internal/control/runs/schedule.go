package runs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pj "papayajunction"
)

// Limits of a scheduling pass. A pass costs more the more work waits. Without a pause that grows with its cost, a backlog
// takes the time of the events that would end it.
const (
	visitsPerMS     = 1000 // worker visits per millisecond of pause after a pass
	passPause       = 4    // least pause after a pass, as a multiple of the time that it took: passes take a fifth of the time
	maxPassInterval = 50 * time.Millisecond
)

// schedule runs one scheduling pass.
func (c *Controller) schedule(now time.Duration) {
	p := c.newPass(now)
	for _, ts := range p.ranked() {
		ts.runTime = c.expectedRunTime(ts)
		total := len(ts.pending)
		putBack := c.holdStrays(p.now, ts)
		switch {
		case len(ts.pending) == 0 || ts.spec.Gang && len(ts.pending) < total: // stray runs are still on workers
		case ts.spec.Gang:
			p.scheduleGang(ts)
		default:
			p.scheduleTasks(ts)
		}
		putBack()
		if len(ts.pending) == 0 {
			c.dequeue(ts)
		}
	}
	p.reportBlocked() // by what the pass before has held
	for workspace := range p.blockedBy {
		if ws := c.waiting.workspaces[workspace]; ws != nil {
			ws.blockedIn = p.number
		}
	}
	ended := c.options.Clock.Now()
	pause := max(time.Duration(p.visits/visitsPerMS)*time.Millisecond, passPause*(ended-now))
	c.nextPassAt = ended + min(pause, maxPassInterval)
}

// rankedSet is a task set with its sort keys in one pass.
type rankedSet struct {
	taskSet                       *taskSet
	priority, overShare, lateness int
}

// ranked returns the task sets to consider, in scheduling order. Within a priority, work that can still meet its objective
// precedes work that can't, so that a backlog doesn't delay all work submitted after it.
func (p *pass) ranked() []*taskSet {
	selected := p.selectTaskSets()
	sets := make([]rankedSet, len(selected))
	for i, ts := range selected {
		sets[i] = rankedSet{taskSet: ts, priority: ts.record.Workflow.Priority, overShare: p.c.overShare(ts), lateness: ts.lateness(p.now)}
	}
	slices.SortStableFunc(sets, func(a, b rankedSet) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.overShare, b.overShare), cmp.Compare(a.lateness, b.lateness))
	})
	ordered := make([]*taskSet, len(sets))
	for i := range sets {
		ordered[i] = sets[i].taskSet
	}
	return ordered
}

// overShare returns 1 for work of a workspace that uses more than its share of the fleet, else 0.
func (c *Controller) overShare(ts *taskSet) int {
	if c.ledger.WithinFairShare(ts.record.Workflow.Workspace) {
		return 0
	}
	return 1
}

// scheduleTasks starts as many tasks of a task set as possible.
func (p *pass) scheduleTasks(ts *taskSet) {
	if !p.withinLimit(ts, ts.amount) {
		p.prefetchTickets(ts)
		return
	}
	room := p.c.startRoom(ts.record.Workflow.Workspace)
	if room < len(ts.pending) {
		p.c.options.Events.Count("starts_held")
	}
	for _, w := range p.pack(ts, min(len(ts.pending), room), true) {
		if !p.withinLimit(ts, ts.amount) {
			p.prefetchTickets(ts)
			return
		}
		if w.eligibleIn != p.number {
			continue // its first task after a quarantine is a probe, and no other task may start beside it
		}
		index := ts.pending[0]
		ts.pending = ts.pending[1:]
		p.proposeStart(ts, index, ts.nextRun(index), w)
	}
	if len(ts.pending) > 0 && ts.record.Workflow.Advice != nil {
		p.requestTaskTickets(ts)
	}
}

// withinLimit reports whether the workspace's upper limit permits starting the given amount. A task set blocked by the
// limit also blocks the later work of its workspace in this pass, if enough of the limit is expected to be free soon.
func (p *pass) withinLimit(ts *taskSet, amount pj.Resources) bool {
	workspace := ts.record.Workflow.Workspace
	if p.c.options.State.Rules().Workspace(workspace) == nil {
		return true // as in limitAllows
	}
	if p.blockedBy[workspace] != nil && !p.passesHolds(ts) {
		return false
	}
	headroom := p.headroom(ts)
	if p.c.ledger.Allows(workspace, amount.Add(headroom)) {
		return true
	}
	if p.blockedBy[workspace] == nil {
		p.holdLimit(ts, amount)
	}
	if !ts.limitLogged {
		ts.limitLogged = true
		p.c.options.Events.Record("held_by_limit", "workflow", ts.id.Workflow, "step", ts.id, "workspace", workspace,
			"needs", amount, "headroom", headroom, "uses", p.c.ledger.Usage(workspace), "limit", p.c.ledger.Limit(workspace))
	}
	return false
}

// requestTaskTickets claims capacity on workers whose tickets have expired, and queries these and further workers.
func (p *pass) requestTaskTickets(ts *taskSet) {
	expired := make(map[string]struct{})
	chosen := p.pack(ts, len(ts.pending), false)
	holds := len(chosen) > 0 && ts.workerHold.allowed(p.now, p.poolIdle(ts.record.Workflow.Pool))
	if holds {
		p.keepHold(ts, &ts.workerHold, "workers")
	}
	for _, w := range chosen {
		if holds {
			p.claim(w, ts, ts.amount)
		}
		expired[w.ID] = struct{}{}
	}
	p.requestTickets(ts, expired, len(ts.pending)-len(chosen))
}

// requestTickets queries the workers with expired tickets, and further ones for the missing number of tasks. A gang needs all its
// tickets at the same time, so it sends several queries at once; other task sets start tasks with each answer.
func (p *pass) requestTickets(ts *taskSet, expired map[string]struct{}, missing int) {
	if len(ts.querying) > 0 || p.noAdvisorFor(ts) {
		return
	}
	maxWorkers := maxQueryWorkers
	if ts.spec.Gang {
		maxWorkers *= maxGangQueries
	}
	names := slices.Sorted(maps.Keys(expired))
	if missing > 0 {
		names = append(names, p.queryCandidates(ts, missing, maxWorkers)...)
	}
	names = names[:min(len(names), maxWorkers)]
	queries := (len(names) + maxQueryWorkers - 1) / maxQueryWorkers
	for i := range queries {
		p.query(ts, names[len(names)*i/queries:len(names)*(i+1)/queries])
	}
}

// prefetchTickets sends the first query of a task set ahead of time, so that the allowed workers are known when it may start.
func (p *pass) prefetchTickets(ts *taskSet) {
	if ts.record.Workflow.Advice != nil && len(ts.queried) == 0 {
		p.requestTickets(ts, nil, len(ts.pending))
	}
}

// proposeStart adds a run to the batch. The start order is sent once the run is committed.
func (p *pass) proposeStart(ts *taskSet, index, number int, w *worker) {
	v := &run{
		id:      pj.RunID{Task: pj.TaskID{StepID: ts.id, Index: index}, Run: number},
		taskSet: ts, worker: w, incarnation: w.Incarnation, ticket: ts.ticketToken(w), startedAt: p.now,
	}
	p.c.occupy(v)
	p.c.startOpened(v)
	p.c.batch.starts = append(p.c.batch.starts, v)
	if p.c.quarantine.RecordStart(w.ID) {
		w.unhealthyUntil = p.now + unhealthyBackoff
		w.eligibleIn = 0
	}
}
