package runs

import (
	"errors"
	"slices"
	"strings"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// Intervals and timeouts of polls and orders.
const (
	pollWait           = 1500 * time.Millisecond // long poll: how long a worker may delay its answer
	lossyPollWait      = 250 * time.Millisecond  // shorter, for a worker that left a poll or an order unanswered within lossMemory: the next lost answer is noticed sooner
	lossMemory         = 10 * time.Second
	pollAtOnceInterval = 100 * time.Millisecond  // between two polls that a worker answers at once, while the outcome of a start order there is unknown
	minPollInterval    = 40 * time.Millisecond   // ends in between are reported together
	pollRetryDelay     = 250 * time.Millisecond  // after a poll without an answer
	unresponsiveAfter  = 1900 * time.Millisecond // without an answer for this long, a worker receives no new task
	leaseRenewalWindow = 2200 * time.Millisecond // without an answer for this long, a worker's lease isn't renewed
	drainPollWait      = 500 * time.Millisecond  // of a draining worker, whose lease is shorter
	drainLease         = 2400 * time.Millisecond // of a draining worker: bounds how long its tasks wait if it exits without listing their ends
	stopRetryInterval  = 600 * time.Millisecond
	maxClockSkew       = time.Minute // wall clocks of VMs and workers differ by less; a later start time is not a worker's
)

// worker is the leader's state of a polled worker.
type worker struct {
	pj.PolledWorker

	free          pj.Resources
	runs          map[pj.RunID]*run
	acked         int64 // number of the last committed end, which polls acknowledge
	retiring      bool  // it has sent a leave call, or is being evicted: once nothing can run there, it is removed
	removing      bool  // its removal is being committed
	usable        bool
	removed       bool // no longer in Controller.workers
	polling       bool
	pollingAtOnce bool // a poll that is answered at once is in flight

	fence      uint64        // fencing token of calls to it
	acksOpen   int           // polls with an acknowledgement and the current token that have no answer
	noted      int64         // highest number that an answered poll has acknowledged
	withheldAt time.Duration // since when an acknowledgement is withheld; 0 if none is
	partial    bool          // its last answer listed only a part of its ends

	strayAt        time.Duration // when it last listed a run that isn't live; 0 if its last answer lists none
	strays         int           // number of its entries in Controller.strays
	unansweredAt   time.Duration // when a poll or an order there last got no answer; 0 if none did
	nextPollAtOnce time.Duration

	described         int64         // incarnation that announced the worker's description; tasks start only while it is the current one
	confirmedAddress  string        // address at which it last answered a poll of this leader
	polled            bool          // it has answered a poll of this leader
	polledAt          time.Duration // time of its last answer; initially the time of the election
	knownSince        time.Duration // when this leader learned of its incarnation
	clockMS           int64         // lower bound of the worker's clock at clockReadAt; 0 while unknown
	clockReadAt       time.Duration
	grantedAt         time.Duration // when this leader last sent a lease end
	leaseEndMS        int64         // latest lease end that this leader has sent, on the worker's clock
	unsettled         bool          // a call that was meant for an earlier incarnation may have set its lease
	unknownLeaseUntil time.Duration // until then, a lease that ends after leaseEndMS may be in force
	nextPollAt        time.Duration
	unhealthyUntil    time.Duration // until then, the worker receives no new task
	eligibleIn        uint64        // last pass in which it may receive new tasks
	claimedIn         uint64        // pass to which claims belong
	claims            []claim       // of task sets that wait for more capacity
	earmarkedFor      *taskSet      // gang that is about to start here; see pass.earmark
	earmarkedUntil    time.Duration
	slowness          float64 // moving average of the time of a run here, as a multiple of its queue's mean; 0 without a sample
}

func (c *Controller) addWorker(info pj.PolledWorker) *worker {
	w := &worker{PolledWorker: info, described: info.Incarnation, free: info.Capacity, runs: make(map[pj.RunID]*run), polledAt: c.electedAt, knownSince: c.options.Clock.Now(), fence: c.fence}
	if c.options.State.Unsettled(w.ID) {
		w.unsettled, w.unknownLeaseUntil = true, w.knownSince+c.maxLeaseSpan()
	}
	c.workers[info.ID] = w
	at, _ := slices.BinarySearchFunc(c.sortedWorkers, info.ID, compareID)
	c.sortedWorkers = slices.Insert(c.sortedWorkers, at, w)
	c.refreshCapacity()
	return w
}

// WorkerCount returns the number of workers.
func (c *Controller) WorkerCount() int {
	return len(c.workers)
}

func (c *Controller) refreshCapacity() {
	var total pj.Resources
	for _, w := range c.workers {
		if !w.retiring {
			total = total.Add(w.Capacity)
		}
	}
	c.ledger.SetCapacity(total)
}

// Announce registers a worker or updates its description, and calls done once that is committed. An announcement that
// can't come from the worker is refused.
func (c *Controller) Announce(info pj.PolledWorker, done func(error)) {
	recorded, ok := c.options.State.Worker(info.ID)
	if ok && (recorded.Incarnation > info.Incarnation || (recorded.Incarnation == info.Incarnation && recorded.Sequence >= info.Sequence)) {
		done(nil) // a later announcement is already committed
		return
	}
	if err := c.checkAnnouncement(&info); err != nil {
		c.options.Events.Record("announcement_refused", "worker", info.ID, "born", info.Incarnation, "address", info.Address, "err", err)
		done(err)
		return
	}
	if w := c.workers[info.ID]; ok && w != nil && !w.removing && recorded.Incarnation == info.Incarnation && recorded.SameAs(&info) {
		w.RemainingMS = info.RemainingMS
		done(nil)
		return
	}
	c.batch.workers = append(c.batch.workers, announcement{worker: info, done: done})
	c.dirty = true
}

// checkAnnouncement returns an error if an announcement contradicts what is known, so that an entry that another program
// wrote under a worker's id doesn't put the worker out of use.
func (c *Controller) checkAnnouncement(info *pj.PolledWorker) error {
	if info.Incarnation > c.latestIncarnation() {
		return pj.Refuse(pj.CodeBadRequest, "worker %s: incarnation %d starts in the future", info.ID, info.Incarnation)
	}
	recorded, known := c.options.State.Worker(info.ID)
	if rules := c.options.State.Rules(); !known && rules.Document != nil && !slices.Contains(rules.Pools, info.Pool) {
		return pj.Refuse(pj.CodeBadRequest, "worker %s: no pool %s", info.ID, info.Pool)
	}
	if known && info.Incarnation != 0 && info.Incarnation == recorded.Incarnation && !recorded.SameDescription(info) {
		return pj.Refuse(pj.CodeConflict, "worker %s: incarnation %d was announced with another description", info.ID, info.Incarnation)
	}
	if w := c.workers[info.ID]; w != nil && (w.Address != info.Address || w.Incarnation < info.Incarnation) && c.answers(w) {
		c.pollAtOnce(w) // shows whether another incarnation answers there now; the worker announces itself again
		return pj.Refuse(pj.CodeConflict, "incarnation %d of worker %s still answers at %s", w.Incarnation, info.ID, w.Address)
	}
	return nil
}

// answers reports whether a worker has lately answered this leader at its address.
func (c *Controller) answers(w *worker) bool {
	return w.confirmedAddress == w.Address && c.options.Clock.Now() <= w.polledAt+unresponsiveAfter
}

// latestIncarnation returns the latest start time that a worker can have, in Unix milliseconds.
func (c *Controller) latestIncarnation() int64 {
	return c.options.UnixMilli() + maxClockSkew.Milliseconds()
}

// announcementCommitted updates the worker from a committed announcement, and polls it.
func (c *Controller) announcementCommitted(info pj.PolledWorker) {
	w := c.workers[info.ID]
	if w == nil {
		w = c.addWorker(info)
		if w.unsettled {
			c.raiseFence(w) // it was known before
		}
	} else if info.Incarnation >= w.Incarnation {
		if info.Incarnation > w.Incarnation {
			c.restarted(c.options.Clock.Now(), w)
		}
		w.retiring = w.retiring && info.Draining
		used := w.Capacity.Sub(w.free)
		w.PolledWorker, w.described = info, info.Incarnation
		w.free = info.Capacity.Sub(used)
		w.unsettled = w.unsettled || c.options.State.Unsettled(info.ID)
		c.refreshCapacity()
	}
	c.options.Events.Record("worker_changed", "worker", info.ID, "born", info.Incarnation, "address", info.Address,
		"zone", info.Zone, "draining", info.Draining, "capacity", info.Capacity)
	c.dirty = true
	w.nextPollAt = 0
	c.poll(w)
}

// Leave stops the runs of a draining worker and then removes it. done is called with true once that is committed. With false, the worker
// should not exit yet, and the call must be repeated: the tasks can't start elsewhere before the worker has listed the ends of the runs or its
// lease has expired.
func (c *Controller) Leave(id string, done func(removed bool, err error)) {
	w := c.workers[id]
	if w == nil || !w.Draining {
		done(true, nil)
		return
	}
	c.retire(w, "left")
	if !w.idle() || w.removing {
		done(false, nil)
		return
	}
	c.remove(w, func(err error) { done(err == nil, err) })
}

// retire stops the runs of a worker that is to be removed.
func (c *Controller) retire(w *worker, why string) {
	if w.retiring {
		return
	}
	w.retiring = true
	c.refreshCapacity()
	c.options.Events.Record("worker_retiring", "worker", w.ID, "born", w.Incarnation, "why", why, "runs", len(w.runs), "strays", w.strays)
	for _, v := range w.runs {
		c.stop(v, "the worker leaves")
	}
	w.nextPollAt = 0
	c.poll(w)
}

// idle reports whether no run can be on the worker.
func (w *worker) idle() bool {
	return len(w.runs) == 0 && w.strays == 0
}

// remove commits the removal of an idle worker.
func (c *Controller) remove(w *worker, done func(error)) {
	w.removing = true
	c.options.Events.Record("worker_gone", "worker", w.ID, "born", w.Incarnation)
	removal := workflow.Command{RemoveWorkers: []workflow.WorkerIncarnation{{ID: w.ID, Incarnation: w.Incarnation}}}
	c.commit(removal, func(_ workflow.Result, err error) {
		w.removing = false
		if _, recorded := c.options.State.Worker(w.ID); err == nil && !recorded && w.idle() && c.workers[w.ID] == w {
			c.drop(w)
		}
		done(err)
	})
}

// drop forgets a worker that is no longer recorded.
func (c *Controller) drop(w *worker) {
	delete(c.workers, w.ID)
	w.removed = true
	if at, ok := slices.BinarySearchFunc(c.sortedWorkers, w.ID, compareID); ok {
		c.sortedWorkers = slices.Delete(c.sortedWorkers, at, at+1)
	}
}

// schedulable reports whether new tasks may start on the worker. The runs of a draining worker stay there until it leaves.
// A new incarnation may have other labels and another capacity, so it must have announced them.
func (w *worker) schedulable(now time.Duration) bool {
	return w.usable && w.described == w.Incarnation && w.strayAt == 0 && !w.Draining && !w.retiring && now >= w.unhealthyUntil &&
		(w.withheldAt == 0 || now < w.withheldAt+maxAckDelay)
}

// minClockMS returns a lower bound of the worker's clock.
func (w *worker) minClockMS(now time.Duration) int64 {
	elapsed := float64(now-w.clockReadAt) * minClockRate / float64(time.Millisecond)
	return w.clockMS + int64(elapsed)
}

// handleRestart handles the answer of another incarnation than the current one. It returns false if that one isn't later.
func (c *Controller) handleRestart(now time.Duration, w *worker, incarnation, clockMS int64) bool {
	if incarnation <= w.Incarnation || incarnation > c.latestIncarnation() {
		return false
	}
	before, clockBeforeMS, untilBeforeMS := w.Incarnation, w.minClockMS(now), w.leaseEndMS
	w.Incarnation = incarnation
	c.restarted(now, w)
	c.options.Events.Record("worker_restarted", "worker", w.ID, "born", incarnation, "before", before, "runs", len(w.runs),
		"clock_ms", clockMS, "clock_before_ms", clockBeforeMS, "until_before_ms", untilBeforeMS, "fence", w.fence)
	return true
}

// leaseExpired reports whether the worker's leases have certainly expired, so that it has killed all its runs.
func (c *Controller) leaseExpired(now time.Duration, w *worker) bool {
	if now < c.electedAt+c.previousLease(w) || now < w.unknownLeaseUntil {
		return false
	}
	if w.leaseEndMS == 0 {
		return true
	}
	return w.clockMS > 0 && w.minClockMS(now) > w.leaseEndMS+leaseMargin.Milliseconds()
}

// previousLease returns how long after the election leases of earlier leaders may last. They are no longer than this one's, but for those
// that reached another incarnation than they were meant for. A worker that this leader hasn't heard may be another one than the
// recorded.
func (c *Controller) previousLease(w *worker) time.Duration {
	lease := time.Duration(float64(c.options.Lease)/minClockRate) + leaseMargin
	if w.confirmedAddress == "" {
		return max(lease, c.maxLeaseSpan())
	}
	return lease
}

// grantLease records a lease that begins now and returns its end on the worker's clock, or 0 while that clock
// is unknown.
func (c *Controller) grantLease(now time.Duration, w *worker) int64 {
	if w.clockMS == 0 {
		return 0
	}
	lease := c.options.Lease
	if w.Draining {
		lease = min(lease, drainLease)
	}
	end := w.minClockMS(now) + lease.Milliseconds()
	w.leaseEndMS, w.grantedAt = max(w.leaseEndMS, end), now
	return end
}

// poll polls a worker unless a poll is in flight or not yet due.
func (c *Controller) poll(w *worker) {
	now := c.options.Clock.Now()
	if w.polling || w.Address == "" || now < w.nextPollAt || c.deposed || !c.options.Group.Serving() {
		return
	}
	w.polling = true
	w.nextPollAt = now + minPollInterval
	request := pj.PollRequest{Fence: w.fence, Ack: w.ackFor(now)}
	if w.polled {
		request.MaxWait = w.pollWait(now)
		request.LeaseUntilMS = c.renewedLease(now, w)
	}
	c.sendPoll(now, w, request, &w.polling)
}

// pollWait returns how long the worker may delay its answer to a poll.
func (w *worker) pollWait(now time.Duration) time.Duration {
	if w.unansweredAt != 0 && now < w.unansweredAt+lossMemory {
		return lossyPollWait
	}
	if w.Draining {
		return drainPollWait
	}
	return pollWait
}

// renewedLease returns the end of the lease that a poll renews, or 0 if it must not be renewed.
func (c *Controller) renewedLease(now time.Duration, w *worker) int64 {
	if now > w.polledAt+leaseRenewalWindow || w.retiring {
		return 0
	}
	return c.grantLease(now, w)
}

// pollAtOnce polls a worker that must answer at once, beside a poll that may be in flight.
func (c *Controller) pollAtOnce(w *worker) {
	now := c.options.Clock.Now()
	if w.pollingAtOnce || !w.polled || w.Address == "" || now < w.nextPollAtOnce || c.deposed || !c.options.Group.Serving() {
		return
	}
	w.pollingAtOnce, w.nextPollAtOnce = true, now+pollAtOnceInterval
	request := pj.PollRequest{Fence: w.fence, Ack: w.ackFor(now), LeaseUntilMS: c.renewedLease(now, w)}
	c.sendPoll(now, w, request, &w.pollingAtOnce)
}

// sendPoll sends a poll and handles its answer. inFlight is reset once the outcome is known.
func (c *Controller) sendPoll(now time.Duration, w *worker, request pj.PollRequest, inFlight *bool) {
	incarnation := w.Incarnation
	if request.Ack > 0 {
		w.acksOpen++
	}
	c.options.Orders.Poll(w.PolledWorker, request, func(response pj.PollResponse, err error) {
		if c.closed || c.workers[w.ID] != w {
			return
		}
		if w.Incarnation != incarnation { // the answer may be from an earlier one
			if err == nil && response.Incarnation == w.Incarnation {
				c.holdListed(w, &response)
			}
			return
		}
		*inFlight = false
		w.acknowledged(request, err)
		if err != nil {
			c.pollFailed(c.options.Clock.Now(), w, request, err)
			return
		}
		c.handlePollResponse(w, now, request.Fence, response)
	})
}

// hasOpenStart reports whether a start order for the worker got no answer, and its outcome is still unknown.
func (w *worker) hasOpenStart() bool {
	for _, v := range w.runs {
		if v.unansweredAt != 0 && v.resolvedAt == 0 {
			return true
		}
	}
	return false
}

// hasUnlistedStart reports whether a long-running task was started that the worker hasn't listed. If the worker falls silent before, the task
// counts as lost only after the longest lease, see mayRunElsewhere.
func (w *worker) hasUnlistedStart() bool {
	for _, v := range w.runs {
		if v.taskSet.spec.LongRunning && v.fence != 0 && v.resolvedAt != 0 && !v.confirmed && !v.ending {
			return true
		}
	}
	return false
}

// handlePollResponse handles the answer to a poll that was sent at the given time.
func (c *Controller) handlePollResponse(w *worker, sent time.Duration, fence uint64, response pj.PollResponse) {
	now := c.options.Clock.Now()
	if response.Incarnation != 0 && response.Incarnation != w.Incarnation {
		w.nextPollAt = now + pollRetryDelay
		if c.handleRestart(now, w, response.Incarnation, response.ClockMS) {
			c.holdListed(w, &response)
			w.nextPollAt = now
			c.poll(w) // with the raised token: before that, calls that were meant for the earlier incarnation may change what this one lists
		}
		return
	}
	if !w.polled {
		c.options.Events.Record("worker_heard", "worker", w.ID, "running", len(response.Running), "finished", len(response.Finished), "recorded", len(w.runs),
			"clock_ms", response.ClockMS)
	}
	if w.unsettled && !w.polled {
		w.unknownLeaseUntil = now + c.maxLeaseSpan()
	}
	w.polled = true
	w.partial = response.Partial
	w.confirmedAddress = w.Address
	w.polledAt = now
	w.clockMS, w.clockReadAt = response.ClockMS, now
	c.updateUsable(now, w)
	c.reconcile(now, w, sent, fence, response)
	if _, uncommitted := c.batch.acks[w]; !uncommitted {
		c.poll(w)
	}
	if w.hasUnlistedStart() {
		w.nextPollAtOnce = 0 // what this answer doesn't show was started after the poll was sent
		c.pollAtOnce(w)
	}
	c.dirty = true
}

func (c *Controller) pollFailed(now time.Duration, w *worker, request pj.PollRequest, err error) {
	w.nextPollAt = now + pollRetryDelay
	var refused *pj.RefusedError
	if !errors.As(err, &refused) || refused.Reason == pj.RefusedUnreachable {
		w.unansweredAt = max(now, 1)
		c.options.Events.Count("look_unanswered")
		return
	}
	switch refused.Reason {
	case pj.RefusedStaleFence:
		if c.refusedByFence(w, request.Fence, "look") {
			w.nextPollAt = now
		}
	case pj.RefusedIncarnation:
		c.replacedAtAddress(now, w)
	case pj.RefusedRestarted:
		c.refusedRestarted(now, w, refused)
	default:
		w.unhealthyUntil = now + unhealthyBackoff
	}
}

// refusedRestarted polls a worker that has refused a call because it has restarted.
func (c *Controller) refusedRestarted(now time.Duration, w *worker, refused *pj.RefusedError) {
	if c.handleRestart(now, w, refused.Incarnation, refused.ClockMS) {
		w.nextPollAt = now
		c.poll(w)
	}
}

// replacedAtAddress handles the answer of another worker at a worker's address. The address may be wrong, or have been reassigned while the
// worker runs on out of reach: runs go on until their leases expire.
func (c *Controller) replacedAtAddress(now time.Duration, w *worker) {
	w.unhealthyUntil = now + unhealthyBackoff
	if w.idle() {
		c.retire(w, "another worker answers at its address")
	}
}

// depose stops all orders after a worker has refused one because of a newer term.
func (c *Controller) depose(w *worker, order string) {
	if !c.deposed {
		c.deposed = true
		c.options.Events.Record("deposed", "worker", w.ID, "order", order, "term", c.options.Term)
	}
}

// reconcile compares the runs that the worker lists with those recorded.
func (c *Controller) reconcile(now time.Duration, w *worker, sent time.Duration, fence uint64, response pj.PollResponse) {
	if sent >= w.strayAt {
		w.strayAt = 0
	}
	listed := make(map[pj.RunID]struct{}, len(response.Running)+len(response.Finished))
	for i := range response.Running {
		status := &response.Running[i]
		listed[status.Run] = struct{}{}
		c.reconcileRunning(now, w, status)
	}
	for i := range response.Finished {
		listed[response.Finished[i].Run] = struct{}{}
	}
	c.clearStrays(w, sent, &response)
	c.reconcileFinished(now, w, response.Finished)
	if response.Partial {
		return
	}
	for id, v := range w.runs {
		if _, ok := listed[id]; !ok {
			c.reconcileMissing(now, v, sent, fence)
		}
	}
}

// reconcileFinished adds the listed ends to the batch. They are acknowledged once committed. Ends that an earlier command
// is still committing are acknowledged with that command.
func (c *Controller) reconcileFinished(now time.Duration, w *worker, ended []pj.EndedRun) {
	for i := range ended {
		end := &ended[i]
		v := w.runs[end.Run]
		if v != nil && v.ending {
			return
		}
		switch {
		case v != nil:
			c.end(v, end.Outcome, end.Checkpoint)
		case c.lateDone(end):
			c.batch.lateDone = append(c.batch.lateDone, end.Run)
			c.holdStray(now, w, end.Run, false) // a start of the task may be in an earlier command
		}
		if end.Number > w.acked {
			if c.batch.acks == nil {
				c.batch.acks = make(map[*worker]int64)
			}
			c.batch.acks[w] = max(c.batch.acks[w], end.Number)
		}
	}
}

func (c *Controller) reconcileRunning(now time.Duration, w *worker, status *pj.RunStatus) {
	v := w.runs[status.Run]
	if v == nil {
		c.stopStray(now, w, status.Run)
		return
	}
	if !v.confirmed {
		v.confirmed = true
		c.resolveStart(v, true)
	}
	c.quarantine.RecordRunning(now, v.startedAt, w.ID)
	c.checkProgress(now, v, status)
	if status.Checkpoint != "" {
		v.checkpoint = status.Checkpoint
	}
	step := v.taskSet.record.Step(v.taskSet.id)
	switch {
	case v.stopReason != "":
		if now >= v.stopSentAt+stopRetryInterval {
			c.sendStop(v)
		}
	case step == nil || step.Done():
		c.stop(v, "the step is done")
	}
}

// reconcileMissing handles a recorded run that the worker doesn't list in its answer to a poll with the given token.
func (c *Controller) reconcileMissing(now time.Duration, v *run, sent time.Duration, fence uint64) {
	switch {
	case v.phase != phaseCommitted || v.ending:
	case (v.resolvedAt != 0 && v.resolvedAt <= sent) || (v.fence != 0 && v.fence < fence): // in the second case the worker has a higher token and refuses the start
		c.end(v, pj.EndWorkerLost, v.checkpoint)
	case v.resolvedAt == 0 && v.unansweredAt != 0 && v.unansweredAt <= sent && now >= v.stopSentAt+stopRetryInterval:
		c.stop(v, "the start order was not answered")
		if v.taskSet.spec.Gang {
			c.stopGang(v, "the start order of a member of the gang was not answered")
		}
	}
}

// tickWorkers polls workers that are due, ends the runs of those whose lease has expired, and removes those that are to be removed.
func (c *Controller) tickWorkers(now time.Duration) {
	for _, w := range slices.Clone(c.sortedWorkers) {
		c.updateUsable(now, w)
		c.settle(now, w)
		c.poll(w)
		if w.hasOpenStart() || w.hasUnlistedStart() {
			c.pollAtOnce(w)
		}
		if now > w.polledAt+unresponsiveAfter && c.leaseExpired(now, w) {
			c.evict(now, w)
		}
		if w.retiring && !w.removing && w.idle() {
			c.remove(w, func(error) {})
		}
	}
}

// evict commits the runs of a worker whose lease has expired as lost, and removes the worker once it has none.
func (c *Controller) evict(now time.Duration, w *worker) {
	for _, v := range w.runs {
		if v.phase == phaseCommitted && !v.ending && !c.mayRunElsewhere(now, v) {
			c.options.Events.Record("lease_over", "worker", w.ID, "run", v.id.Task, "number", v.id.Run,
				"silent", now-w.polledAt, "until_ms", w.leaseEndMS, "clock_ms", w.minClockMS(now))
			c.end(v, pj.EndWorkerLost, v.checkpoint)
		}
	}
	c.clearStrays(w, now, &pj.PollResponse{})
	if w.idle() && now > max(w.polledAt, w.knownSince)+removeAfter {
		c.retire(w, "silent")
	}
}

func compareID(w *worker, id string) int {
	return strings.Compare(w.ID, id)
}

func (c *Controller) updateUsable(now time.Duration, w *worker) {
	usable := w.polled && now <= w.polledAt+unresponsiveAfter && !c.quarantine.Quarantined(now, w.ID)
	if usable != w.usable {
		w.usable = usable
		c.options.Events.Record("worker_usable", "worker", w.ID, "usable", usable, "heard", now-w.polledAt, "runs", len(w.runs))
	}
}
