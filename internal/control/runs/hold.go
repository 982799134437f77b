package runs

import (
	"cmp"
	"math"
	"slices"
	"time"

	pj "papayajunction"
)

// Limits of the time for which a task set that can't start yet keeps later ones from free workers, or from the rest of its
// workspace's upper limit: before its expected start, and altogether without a pause, as runs may take longer than expected.
const (
	maxHold           = 10 * time.Second        // while at least half of the fleet, or of the limit, is in use
	maxIdleHold       = 2500 * time.Millisecond // otherwise: work that could run beside it must not wait for long
	holdPause         = 500 * time.Millisecond  // in which later task sets may start; doubles with each hold that didn't end with a start
	maxHoldPauseShift = 3
)

// hold is what a task set keeps from later ones while it waits for more. The zero value holds nothing.
type hold struct {
	since     time.Duration // when it began
	at        time.Duration // last pass in which it was in force
	idleSince time.Duration // since when most of what it is a part of is unused
	count     int           // holds so far, with pauses in between
}

// allowed reports whether the hold may be in force now. idle: most of what it is a part of is unused.
func (h *hold) allowed(now time.Duration, idle bool) bool {
	pause := holdPause << min(max(h.count-1, 0), maxHoldPauseShift)
	if now > h.at+pause {
		h.since, h.idleSince = now, now
	}
	if !idle {
		h.idleSince = now
	}
	return now <= h.since+maxHold && now <= h.idleSince+maxIdleHold
}

// keep records that the hold is in force, and reports whether it begins now.
func (h *hold) keep(now time.Duration) (begins bool) {
	begins = h.count == 0 || h.at < h.since
	if begins {
		h.count++
	}
	h.at = now
	return begins
}

// horizon returns how far ahead a start must be expected for a hold.
func horizon(idle bool) time.Duration {
	if idle {
		return maxIdleHold
	}
	return maxHold
}

// keepHold keeps a hold of a task set in force.
func (p *pass) keepHold(ts *taskSet, h *hold, of string) {
	if h.keep(p.now) {
		p.c.options.Events.Record("hold", "workflow", ts.id.Workflow, "step", ts.id, "workspace", ts.record.Workflow.Workspace,
			"of", of, "holds", h.count, "pending", len(ts.pending))
	}
}

// passesHolds reports whether holds of other work don't apply to a task set: long-running tasks are to run all the time.
func (p *pass) passesHolds(ts *taskSet) bool {
	return ts.spec.LongRunning && p.now > ts.readySince+maxIdleHold
}

// unlimited is the expected run time of long-running tasks. It is far from overflowing when it is added to a time.
const unlimited = time.Duration(math.MaxInt64 / 4)

// expectedRunTime returns the mean run time of the queue's tasks, or the caller's estimate before any has ended:
// 0 if there is none.
func (c *Controller) expectedRunTime(ts *taskSet) time.Duration {
	if ts.spec.LongRunning {
		return unlimited
	}
	if mean := c.durations[ts.record.Workflow.Queue]; mean > 0 {
		return mean
	}
	return time.Duration(ts.spec.EstimateMS) * time.Millisecond
}

// expectedEnd returns when a run is expected to end. A run that is overdue is expected to take as long again as it is overdue.
func (c *Controller) expectedEnd(now time.Duration, v *run) time.Duration {
	runTime := c.expectedRunTime(v.taskSet)
	elapsed := now - v.startedAt
	if elapsed <= runTime {
		return v.startedAt + runTime
	}
	return now + elapsed - runTime
}

// limitIdle reports whether less than half of a workspace's upper limit is in use.
func (p *pass) limitIdle(workspace string) bool {
	return p.c.ledger.Usage(workspace).DominantShare(p.c.ledger.Limit(workspace)) < 0.5
}

// poolIdle reports whether less than half of the capacity of a pool's schedulable workers is in use.
func (p *pass) poolIdle(pool string) bool {
	if idle, ok := p.idlePools[pool]; ok {
		return idle
	}
	var used, capacity pj.Resources
	for _, w := range p.workers {
		if w.Pool == pool {
			used, capacity = used.Add(w.Capacity.Sub(w.free)), capacity.Add(w.Capacity)
		}
	}
	p.idlePools[pool] = used.DominantShare(capacity) < 0.5
	return p.idlePools[pool]
}

// headroom returns what a task set must leave free of its workspace's upper limit for more urgent work that may come. A
// workspace that uses less than half of its limit doesn't keep work waiting for that.
func (p *pass) headroom(ts *taskSet) pj.Resources {
	workspace := ts.record.Workflow.Workspace
	if p.limitIdle(workspace) && p.now > ts.readySince+maxIdleHold {
		return pj.Resources{}
	}
	return p.c.usage.headroom(p.now, workspace, ts.record.Workflow.Priority)
}

// holdLimit makes the later work of a task set's workspace wait if the upper limit is expected to allow the amount soon, as runs end.
func (p *pass) holdLimit(ts *taskSet, amount pj.Resources) {
	workspace := ts.record.Workflow.Workspace
	idle := p.limitIdle(workspace)
	limit := p.c.ledger.Limit(workspace)
	if !amount.FitsWhereUsed(limit) || !ts.limitHold.allowed(p.now, idle) {
		return
	}
	free := limit.Sub(p.c.ledger.Usage(workspace))
	if amount.FitsWhereUsed(free.Add(p.endingWithin(workspace, horizon(idle)))) {
		p.blockedBy[workspace] = ts
		p.keepHold(ts, &ts.limitHold, "limit")
	}
}

// endingKey identifies a result of endingWithin.
type endingKey struct {
	workspace string
	within    time.Duration
}

// endingWithin returns what the runs of a workspace use that are expected to end within a time.
func (p *pass) endingWithin(workspace string, within time.Duration) pj.Resources {
	key := endingKey{workspace: workspace, within: within}
	if amount, ok := p.ending[key]; ok {
		return amount
	}
	var amount pj.Resources
	live := p.c.byWorkspace[workspace]
	p.visits += len(live)
	for v := range live {
		if p.c.expectedEnd(p.now, v) <= p.now+within {
			amount = amount.Add(v.taskSet.amount)
		}
	}
	p.ending[key] = amount
	return amount
}

// openings returns when a worker is expected to have capacity for each of up to n further tasks, in order; only times within the given one.
func (p *pass) openings(w *worker, ts *taskSet, n int, within time.Duration) []time.Duration {
	type ending struct {
		at     time.Duration
		amount pj.Resources
	}
	p.visits += len(w.runs)
	var endings []ending
	for _, v := range w.runs {
		if at := p.c.expectedEnd(p.now, v); at <= p.now+within {
			endings = append(endings, ending{at: at, amount: v.taskSet.amount})
		}
	}
	slices.SortFunc(endings, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	free := p.available(w, ts)
	var openings []time.Duration
	for _, e := range endings {
		free = free.Add(e.amount)
		for len(openings) < min(n, ts.amount.FitCount(free)) {
			openings = append(openings, e.at)
		}
	}
	return openings
}
