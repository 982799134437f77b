package runs

import "time"

// Load describes the leader's backlog.
type Load struct {
	WaitingSteps   int           // steps with tasks that could start
	WaitingTasks   int           // pending tasks of these steps
	AwaitingAdvice int           // those of these steps with an advice query in flight
	OldestWait     time.Duration // longest time that one of these steps has waited
	Running        int           // runs that hold capacity
}

// Load returns the current backlog and the number of runs.
func (c *Controller) Load() Load {
	now := c.options.Clock.Now()
	l := Load{WaitingSteps: len(c.ready)}
	for _, ts := range c.ready {
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
