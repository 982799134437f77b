package runs

import (
	"cmp"
	"errors"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// What a leader says to one incarnation of a worker may be heard by the next: the worker can't tell them apart, a connection may outlive a
// process, and a call without an answer may be carried out seconds later. So a call's effect on the next incarnation must be
// harmless or ended by a higher fencing token:
//
//   - Once a restart is noticed, the worker's fencing token is raised. Only answers to calls with that token count, and they prove that
//     calls for the earlier incarnation have no effect any more.
//   - The lease that such a call may have set is bounded by Options.MaxLease only, from the first of these answers on. Other leaders learn
//     of it from workflow.State.Unsettled.
//   - Ends are acknowledged only while the current incarnation has listed every run that was sent to the worker, as an answer to a start
//     may be another's, and a start has a higher token than each acknowledgement that has no answer yet. So an acknowledgement that the next incarnation
//     receives can't cover ends there that nobody has read.

// maxAckDelay is the time for which an acknowledgement may be withheld. Then nothing starts on the worker until all runs there are listed.
const maxAckDelay = 500 * time.Millisecond

// raiseFence raises a worker's fencing token: earlier calls have no effect once a later one has reached the worker.
func (c *Controller) raiseFence(w *worker) {
	if c.fence+1 >= c.options.Term+FencesPerTerm {
		c.depose(w, "raise of the fencing token")
		return
	}
	c.fence++
	w.fence, w.acksOpen = c.fence, 0
}

// startFence returns the fencing token of a start that is sent now.
func (c *Controller) startFence(w *worker) uint64 {
	if w.acksOpen > 0 {
		c.raiseFence(w)
	}
	return w.fence
}

// acknowledged records that a poll was answered or refused.
func (w *worker) acknowledged(request pj.PollRequest, err error) {
	var refused *pj.RefusedError
	if request.Ack == 0 || (err != nil && !errors.As(err, &refused)) {
		return
	}
	if request.Fence == w.fence {
		w.acksOpen--
	}
	if err == nil {
		w.noted = max(w.noted, request.Ack)
	}
}

// mayRunElsewhere reports whether a run whose worker is silent may be on another incarnation than its start was meant for, with the longest
// lease that one holds.
func (c *Controller) mayRunElsewhere(now time.Duration, v *run) bool {
	return v.fence != 0 && !v.confirmed && now < v.worker.grantedAt+c.maxLeaseSpan()
}

// maxLeaseSpan returns the longest time that a lease lasts, whatever end a call has set.
func (c *Controller) maxLeaseSpan() time.Duration {
	return time.Duration(float64(c.options.MaxLease)/minClockRate) + leaseMargin
}

// ackFor returns the number up to which a poll acknowledges ends, or 0 for none that are new. If a worker lists only a part of its ends, it must be told
// of these before it lists the others.
func (w *worker) ackFor(now time.Duration) int64 {
	if w.acked <= w.noted {
		w.withheldAt = 0
		return 0
	}
	for _, v := range w.runs {
		if v.fence != 0 && !v.confirmed && !w.partial {
			w.withheldAt = cmp.Or(w.withheldAt, max(now, 1))
			return 0
		}
	}
	w.withheldAt = 0
	return w.acked
}

// restarted resets what the earlier incarnation of the worker has told and been told.
func (c *Controller) restarted(now time.Duration, w *worker) {
	w.acked, w.noted, w.leaseEndMS, w.clockMS = 0, 0, 0, 0
	w.polled, w.partial, w.strayAt, w.withheldAt, w.knownSince = false, false, 0, 0, now
	w.retiring = false                        // this incarnation hasn't asked to leave
	w.polling, w.pollingAtOnce = false, false // polls of the earlier incarnation are not waited for
	w.unsettled, w.unknownLeaseUntil = true, now+c.maxLeaseSpan()
	for _, v := range w.runs {
		v.confirmed = false
	}
	c.raiseFence(w)
}

// settle commits that a worker's lease is known again, see workflow.State.Unsettled.
func (c *Controller) settle(now time.Duration, w *worker) {
	if !w.unsettled || !w.polled || now < w.unknownLeaseUntil {
		return
	}
	w.unsettled = false
	if !c.options.State.Unsettled(w.ID) {
		return
	}
	c.batch.settled = append(c.batch.settled, workflow.WorkerIncarnation{ID: w.ID, Incarnation: w.Incarnation})
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
