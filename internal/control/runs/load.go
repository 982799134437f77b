package runs

import "time"

// Load describes the leader's backlog.
type Load struct {
	WaitingSteps   int           // steps with tasks that could start
	WaitingTasks   int           // pending tasks of these steps
	AwaitingAdvice int           // those of these steps with an advice query in flight
	OldestWait     time.Duration // longest time that one of these steps has waited
	Running        int           // runs that hold capacity
	Blocked        []Blocked     // waiting steps by what blocks them, one element for each reason, or none before the first report
}

// Blocked describes the waiting steps that one reason keeps from starting, as of the last report.
type Blocked struct {
	Reason string // "limit", "label", "capacity", "ticket", or "none" for steps that may start as far as is known
	Steps  int
	Oldest time.Duration // longest time that one of these steps has waited
}

// Limits of reports on blocked steps.
const (
	blockedReportInterval = time.Second
	blockedLogDelay       = 2 * time.Second // shorter waits aren't logged
)

// reportBlocked counts the steps that still wait after the pass by what blocks them, and records changes of what blocks a class.
func (p *pass) reportBlocked() {
	c := p.c
	if p.now < c.blockedReportedAt+blockedReportInterval {
		return
	}
	c.blockedReportedAt = p.now
	p.rooms = nil // runs were started in this pass
	c.blocked = make([]Blocked, blockReasons)
	for reason := range blockReasons {
		c.blocked[reason].Reason = reason.String()
	}
	for cl := range c.waiting.all {
		reason := p.checkClass(cl)
		b, oldest := &c.blocked[reason], cl.oldestWait(p.now)
		b.Steps += len(cl.sets)
		b.Oldest = max(b.Oldest, oldest)
		if oldest >= blockedLogDelay && (!cl.reported || cl.reportedReason != reason) {
			cl.reported, cl.reportedReason = true, reason
			ts := cl.sets[0]
			c.options.Events.Record("step_waits", "workflow", ts.id.Workflow, "step", ts.id, "workspace", cl.key.workspace, "reason", reason,
				"since", oldest, "alike", len(cl.sets))
		}
	}
}

// oldestWait returns the longest time that a task set of the class has waited.
func (cl *class) oldestWait(now time.Duration) time.Duration {
	var oldest time.Duration
	for _, ts := range cl.sets {
		oldest = max(oldest, now-ts.readySince)
	}
	return oldest
}

// Load returns the current backlog and the number of runs.
func (c *Controller) Load() Load {
	now := c.options.Clock.Now()
	l := Load{WaitingSteps: len(c.waiting.ordered), Blocked: c.blocked}
	for _, ts := range c.waiting.ordered {
		l.WaitingTasks += len(ts.pending)
		l.OldestWait = max(l.OldestWait, now-ts.readySince)
		if len(ts.querying) > 0 {
			l.AwaitingAdvice++
		}
	}
	for _, w := range c.workers {
		l.Running += len(w.runs)
	}
	return l
}
