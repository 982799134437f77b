package runs

import "time"

// What a leader says to one incarnation of a worker may be heard by the next: the worker can't tell them apart, a connection may outlive a
// process, and a call without an answer may be carried out seconds later. So a call's effect on the next incarnation must be
// harmless or ended by a higher fencing token. Once a restart is noticed, the worker's fencing token is raised. Only answers
// to calls with that token count, and they prove that calls for the earlier incarnation have no effect any more.

// raiseFence raises a worker's fencing token: earlier calls have no effect once a later one has reached the worker.
func (c *Controller) raiseFence(w *worker) {
	if c.fence+1 >= c.options.Term+FencesPerTerm {
		c.depose(w, "raise of the fencing token")
		return
	}
	c.fence++
	w.fence = c.fence
	c.options.Events.Record("fence_raised", "worker", w.ID, "born", w.Incarnation, "fence", w.fence, "term", c.options.Term)
}

// restarted resets what the earlier incarnation of the worker has told and been told.
func (c *Controller) restarted(now time.Duration, w *worker) {
	w.acked, w.leaseEndMS, w.clockMS = 0, 0, 0
	w.polled, w.knownSince = false, now
	w.polling, w.pollingAtOnce = false, false // polls of the earlier incarnation are not waited for
	w.unknownLeaseUntil = now + maxLease + leaseMargin
	c.raiseFence(w)
}

// refusedByFence handles a refusal because of a higher fencing token: if this leader has raised the worker's token since the call was
// sent, a later call has overtaken it, else there is a newer leader. It reports whether the call was overtaken.
func (c *Controller) refusedByFence(w *worker, fence uint64, order string) (overtaken bool) {
	if fence < w.fence {
		return true
	}
	c.depose(w, order)
	return false
}
