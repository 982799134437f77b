package runs

import "time"

// Load says how much a leader has before it.
type Load struct {
	Steps   int           // with tasks that could start
	Tasks   int           // of these steps
	Asking  int           // of these steps, those for which an answer of the policy is awaited
	Oldest  time.Duration // for which the first of them has waited
	Running int           // runs that hold capacity
}

// Load returns what waits and what runs now.
func (c *Controller) Load() Load {
	now := c.options.Clock.Now()
	l := Load{Steps: len(c.ready)}
	for _, u := range c.ready {
		l.Tasks += len(u.pending)
		l.Oldest = max(l.Oldest, now-u.since)
		if u.asking {
			l.Asking++
		}
	}
	for _, w := range c.workers {
		l.Running += len(w.runs)
	}
	return l
}
