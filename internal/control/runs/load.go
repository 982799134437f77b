package runs

import "time"

// Load describes the leader's backlog.
type Load struct {
	Steps   int           // steps with tasks that could start
	Tasks   int           // pending tasks of these steps
	Asking  int           // those of these steps with an advice query in flight
	Oldest  time.Duration // longest time that one of these steps has waited
	Running int           // runs that hold capacity
}

// Load returns the current backlog and the number of runs.
func (c *Controller) Load() Load {
	now := c.options.Clock.Now()
	l := Load{Steps: len(c.ready)}
	for _, ts := range c.ready {
		l.Tasks += len(ts.pending)
		l.Oldest = max(l.Oldest, now-ts.readySince)
		if ts.querying {
			l.Asking++
		}
	}
	for _, w := range c.workers {
		l.Running += len(w.runs)
	}
	return l
}
