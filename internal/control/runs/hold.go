package runs

import (
	"cmp"
	"math"
	"slices"
	"time"

	pj "papayajunction"
)

// Limits of the time for which a task set that can't start yet keeps later ones from using free workers or the rest of its
// workspace's upper limit. Work that could run beside it must not wait for long, even if runs take longer than expected.
const (
	maxHold           = 2500 * time.Millisecond // without a pause, and before the expected start
	holdPause         = 500 * time.Millisecond  // in which later task sets may start; doubles with each hold that didn't end with a start
	maxHoldPauseShift = 3
)

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

// mayHold reports whether a task set may hold capacity or its workspace's limit in this pass.
func (p *pass) mayHold(ts *taskSet) bool {
	pause := holdPause << min(max(ts.holds-1, 0), maxHoldPauseShift)
	if p.now > ts.heldAt+pause {
		ts.heldSince = p.now
		ts.holds++
	}
	return p.now <= ts.heldSince+maxHold
}

// hold records that a task set holds capacity or its workspace's limit in this pass.
func (p *pass) hold(ts *taskSet, what string) {
	if ts.heldAt < ts.heldSince {
		p.c.options.Events.Record("hold", "workflow", ts.id.Workflow, "step", ts.id, "workspace", ts.record.Workflow.Workspace,
			"of", what, "holds", ts.holds, "pending", len(ts.pending))
	}
	ts.heldAt = p.now
}

// headroom returns what a task set must leave free of its workspace's upper limit for more urgent work that may come. A
// workspace that uses less than half of its limit doesn't keep work waiting for that.
func (p *pass) headroom(ts *taskSet) pj.Resources {
	workspace := ts.record.Workflow.Workspace
	unused := p.c.ledger.Usage(workspace).Mul(2).FitsWhereUsed(p.c.ledger.Limit(workspace))
	if unused && p.now > ts.readySince+maxHold {
		return pj.Resources{}
	}
	return p.c.usage.headroom(p.now, workspace, ts.record.Workflow.Priority)
}

// limitFreeSoon reports whether the workspace's upper limit is expected to allow an amount within maxHold, as its runs end.
func (p *pass) limitFreeSoon(workspace string, amount pj.Resources) bool {
	limit := p.c.ledger.Limit(workspace)
	if !amount.FitsWhereUsed(limit) {
		return false
	}
	return amount.FitsWhereUsed(limit.Sub(p.c.ledger.Usage(workspace)).Add(p.endingSoon(workspace)))
}

// endingSoon returns what the runs of a workspace use that are expected to end within maxHold.
func (p *pass) endingSoon(workspace string) pj.Resources {
	if amount, ok := p.endingByWorkspace[workspace]; ok {
		return amount
	}
	var amount pj.Resources
	live := p.c.byWorkspace[workspace]
	p.visits += len(live)
	for v := range live {
		if p.c.expectedEnd(p.now, v) <= p.now+maxHold {
			amount = amount.Add(v.taskSet.amount)
		}
	}
	p.endingByWorkspace[workspace] = amount
	return amount
}

// openings returns when a worker is expected to have capacity for each of up to n further tasks, in order; only times within maxHold.
func (p *pass) openings(w *worker, ts *taskSet, n int) []time.Duration {
	type ending struct {
		at     time.Duration
		amount pj.Resources
	}
	p.visits += len(w.runs)
	var endings []ending
	for _, v := range w.runs {
		if at := p.c.expectedEnd(p.now, v); at <= p.now+maxHold {
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
