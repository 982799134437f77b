package runs

import (
	"errors"
	"slices"
	"strings"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// Times of looking at workers.
const (
	lookWait     = 1500 * time.Millisecond // how long a worker may hold back its answer
	lookGap      = 40 * time.Millisecond   // least time between two looks; ends in between are told together
	lookRetry    = 250 * time.Millisecond  // after a look without an answer
	quietAfter   = 1900 * time.Millisecond // without an answer a worker gets no new task
	extendWithin = 2200 * time.Millisecond // without an answer a worker's lease isn't made longer
	leaveDelay   = 400 * time.Millisecond  // from a worker's last call until its process has surely ended
	stopRetry    = 600 * time.Millisecond
)

// worker is what the leader knows of a called worker.
type worker struct {
	pj.CalledWorker

	free      pj.Resources
	runs      map[pj.RunID]*run
	acked     int64 // ends up to this number are committed
	leftAt    time.Duration
	usable    bool
	forgotten bool // it is not among the workers any more
	looking   bool

	heard      bool          // it answered a look of this leader
	heardAt    time.Duration // when it last did
	clockMS    int64         // its clock was at least this at clockAt
	clockAt    time.Duration
	untilMS    int64         // latest end of its lease that this leader has sent
	boundUntil time.Duration // until then a lease may run that is longer than untilMS says
	nextLook   time.Duration
	unhealthy  time.Duration // until then it gets no new task
	openIn     uint64        // the decision in which it takes new tasks
	claimedIn  uint64        // the decision in which room is claimed
	claimed    pj.Resources  // by units that wait for more
	slowness   float64       // usual run times that a run takes here, as lately seen; 0 if nothing was seen
}

func (c *Controller) addWorker(info pj.CalledWorker) *worker {
	w := &worker{CalledWorker: info, free: info.Capacity, runs: make(map[pj.RunID]*run), heardAt: c.since}
	c.workers[info.ID] = w
	at, _ := slices.BinarySearchFunc(c.sorted, info.ID, compareID)
	c.sorted = slices.Insert(c.sorted, at, w)
	c.refreshCapacity()
	return w
}

// Workers returns how many workers are known.
func (c *Controller) Workers() int {
	return len(c.workers)
}

func (c *Controller) refreshCapacity() {
	var total pj.Resources
	for _, w := range c.workers {
		if w.leftAt == 0 {
			total = total.Add(w.Capacity)
		}
	}
	c.ledger.SetCapacity(total)
}

// Announce takes in what a worker says of itself and calls done once that is committed.
func (c *Controller) Announce(info pj.CalledWorker, done func(error)) {
	held, ok := c.options.State.Worker(info.ID)
	if ok && (held.Born > info.Born || (held.Born == info.Born && held.Sequence >= info.Sequence)) {
		done(nil) // overtaken by a later announcement
		return
	}
	if w := c.workers[info.ID]; ok && w != nil && w.leftAt == 0 && held.Born == info.Born && held.SameAs(&info) {
		w.RemainingMS = info.RemainingMS
		done(nil)
		return
	}
	c.batch.workers = append(c.batch.workers, announcement{worker: info, done: done})
	c.dirty = true
}

// announced takes in a committed announcement.
func (c *Controller) announced(info pj.CalledWorker) {
	w := c.workers[info.ID]
	if w == nil {
		w = c.addWorker(info)
	} else if info.Born >= w.Born {
		if info.Born > w.Born {
			w.rebirth(c.options.Clock.Now())
			w.clockMS, w.heard = 0, false
		}
		used := w.Capacity.Sub(w.free)
		w.CalledWorker = info
		w.free = info.Capacity.Sub(used)
		w.leftAt = 0
		c.refreshCapacity()
	}
	c.options.Events.Decided("worker_changed", "worker", info.ID, "born", info.Born, "address", info.Address,
		"zone", info.Zone, "draining", info.Draining, "capacity", info.Capacity)
	c.dirty = true
	w.nextLook = 0
	c.look(w)
}

// Leave takes in that a worker ends, and calls done once that is committed.
func (c *Controller) Leave(id string, done func(error)) {
	w := c.workers[id]
	if w == nil || !w.Draining {
		done(nil)
		return
	}
	c.removeWorker(w, "left", done)
}

func (c *Controller) removeWorker(w *worker, why string, done func(error)) {
	if w.leftAt != 0 {
		done(nil)
		return
	}
	w.leftAt = max(c.options.Clock.Now(), 1)
	c.refreshCapacity()
	c.options.Events.Decided("worker_gone", "worker", w.ID, "born", w.Born, "why", why, "runs", len(w.runs))
	leave := workflow.Command{Leave: []workflow.WorkerLife{{ID: w.ID, Born: w.Born}}}
	c.commit(leave, func(_ workflow.Result, err error) { done(err) })
}

// accepts reports whether new tasks may start on the worker. What runs on a draining one stays there until it leaves.
func (w *worker) accepts(now time.Duration) bool {
	return w.usable && !w.Draining && w.leftAt == 0 && now >= w.unhealthy
}

// rebirth notes that the worker is in another life. A start that was meant for the life before may have reached this one;
// its lease is named on the earlier life's clock, so only the longest lease bounds it.
func (w *worker) rebirth(now time.Duration) {
	w.acked = 0
	w.untilMS = 0
	w.boundUntil = now + longestLease + leaseMargin
}

// lowerClock returns what the worker's clock shows at least.
func (w *worker) lowerClock(now time.Duration) int64 {
	passed := float64(now-w.clockAt) * clockSlack / float64(time.Millisecond)
	return w.clockMS + int64(passed)
}

// leaseOver reports whether everything that the worker was told to run has surely been killed.
func (c *Controller) leaseOver(now time.Duration, w *worker) bool {
	earlier := c.since + time.Duration(float64(c.options.Lease)/clockSlack) + leaseMargin
	if now < earlier || now < w.boundUntil {
		return false // a lease of the leader before, or one given to the life before, may still run
	}
	if w.untilMS == 0 {
		return true
	}
	return w.clockMS > 0 && w.lowerClock(now) > w.untilMS+leaseMargin.Milliseconds()
}

// leaseEnd returns the end of a lease that begins now, on the worker's clock, and notes that it was
// given. It is 0 while the clock isn't known.
func (c *Controller) leaseEnd(now time.Duration, w *worker) int64 {
	if w.clockMS == 0 {
		return 0
	}
	until := w.lowerClock(now) + c.options.Lease.Milliseconds()
	w.untilMS = max(w.untilMS, until)
	return until
}

// look sends a look at a worker unless one is under way.
func (c *Controller) look(w *worker) {
	now := c.options.Clock.Now()
	if w.looking || w.Address == "" || now < w.nextLook || c.deposed || !c.options.Group.Serving() {
		return
	}
	w.looking = true
	w.nextLook = now + lookGap
	order := pj.HoldOrder{Fence: c.options.Term, Ack: w.acked}
	if w.heard {
		order.Wait = lookWait
		if now <= w.heardAt+extendWithin {
			order.UntilMS = c.leaseEnd(now, w)
		}
	}
	born := w.Born
	c.options.Orders.Hold(w.CalledWorker, order, func(a pj.HoldAnswer, err error) {
		w.looking = false
		if c.closed || c.workers[w.ID] != w {
			return
		}
		if w.Born != born {
			// The answer may be of the life before.
			c.look(w)
			return
		}
		c.looked(w, now, a, err)
	})
}

// looked takes in the answer to a look that was sent at the given time.
func (c *Controller) looked(w *worker, sent time.Duration, a pj.HoldAnswer, err error) {
	now := c.options.Clock.Now()
	if err != nil {
		c.lookFailed(now, w, err)
		return
	}
	if a.Born != 0 && a.Born != w.Born {
		if a.Born < w.Born {
			w.nextLook = now + lookRetry
			return
		}
		c.options.Events.Decided("worker_restarted", "worker", w.ID, "born", a.Born, "before", w.Born, "runs", len(w.runs))
		w.Born = a.Born
		w.rebirth(now)
	}
	if !w.heard {
		c.options.Events.Decided("worker_heard", "worker", w.ID, "running", len(a.Running), "finished", len(a.Finished), "recorded", len(w.runs))
	}
	w.heard = true
	w.heardAt = now
	w.clockMS, w.clockAt = a.ClockMS, now
	c.setUsable(now, w)
	c.readRows(now, w, sent, a)
	if _, waits := c.batch.acks[w]; !waits {
		c.look(w)
	}
	c.dirty = true
}

func (c *Controller) lookFailed(now time.Duration, w *worker, err error) {
	w.nextLook = now + lookRetry
	var refused *pj.RefusedError
	if !errors.As(err, &refused) {
		c.options.Events.Count("look_unanswered")
		return
	}
	switch refused.Reason {
	case pj.RefusedFence:
		c.depose(w, "look")
	case pj.RefusedOtherLife:
		for _, v := range w.runs {
			c.end(v, pj.EndLost, v.saved)
		}
		c.removeWorker(w, "another worker answers at its address", func(error) {})
	default:
		w.unhealthy = now + unhealthyFor
	}
}

// depose stops all orders because a worker has heard a newer leader.
func (c *Controller) depose(w *worker, order string) {
	if !c.deposed {
		c.deposed = true
		c.options.Events.Decided("deposed", "worker", w.ID, "order", order, "term", c.options.Term)
	}
}

// readRows compares what the worker lists with what is recorded.
func (c *Controller) readRows(now time.Duration, w *worker, sent time.Duration, a pj.HoldAnswer) {
	listed := make(map[pj.RunID]struct{}, len(a.Running)+len(a.Finished))
	for i := range a.Running {
		row := &a.Running[i]
		listed[row.Run] = struct{}{}
		c.readRunning(now, w, row)
	}
	for i := range a.Finished {
		listed[a.Finished[i].Run] = struct{}{}
	}
	c.readFinished(w, a.Finished)
	if a.Partial {
		return
	}
	for id, v := range w.runs {
		if _, ok := listed[id]; !ok {
			c.missing(now, v, sent)
		}
	}
}

// readFinished commits the listed ends. They are acknowledged once they are committed, those that an earlier
// command still commits with that command.
func (c *Controller) readFinished(w *worker, rows []pj.EndRow) {
	for i := range rows {
		row := &rows[i]
		v := w.runs[row.Run]
		if v != nil && v.ending {
			return
		}
		if v != nil {
			c.end(v, row.How, row.Saved)
		}
		if row.Number > w.acked {
			if c.batch.acks == nil {
				c.batch.acks = make(map[*worker]int64)
			}
			c.batch.acks[w] = max(c.batch.acks[w], row.Number)
		}
	}
}

func (c *Controller) readRunning(now time.Duration, w *worker, row *pj.RunningRow) {
	v := w.runs[row.Run]
	if v == nil {
		// It isn't recorded here: a late order was carried out, or its workflow has ended.
		c.options.Events.Decided("stray_run", "worker", w.ID, "run", row.Run.Task, "number", row.Run.Run)
		c.options.Orders.Stop(w.CalledWorker, row.Run, c.options.Term, func(int64, error) {})
		return
	}
	if v.settledAt == 0 || v.adopted {
		v.adopted = false
		c.settle(v, true)
	}
	c.watchProgress(now, v, row)
	if row.Saved != "" {
		v.saved = row.Saved
	}
	step := v.unit.record.Step(v.unit.id)
	switch {
	case v.stopping != "":
		if now >= v.stopSentAt+stopRetry {
			c.sendStop(v)
		}
	case step == nil || step.Done():
		c.stop(v, "its step is done")
	}
}

// missing handles a run that the worker doesn't list.
func (c *Controller) missing(now time.Duration, v *run, sent time.Duration) {
	switch {
	case v.phase != phaseStarted || v.ending:
	case v.settledAt != 0 && v.settledAt <= sent:
		c.end(v, pj.EndLost, v.saved)
	case v.settledAt == 0 && v.unanswered && now >= v.stopSentAt+stopRetry:
		c.stop(v, "its start was not answered")
	}
}

// tickWorkers looks at workers whose time has come and gives up what silent ones ran.
func (c *Controller) tickWorkers(now time.Duration) {
	for _, w := range slices.Clone(c.sorted) {
		c.setUsable(now, w)
		c.look(w)
		gone := w.leftAt != 0 && now >= w.leftAt+leaveDelay && w.leftAt > c.since
		if gone || (now > w.heardAt+quietAfter && c.leaseOver(now, w)) {
			c.giveUp(now, w)
		}
	}
}

func (c *Controller) giveUp(now time.Duration, w *worker) {
	for _, v := range w.runs {
		if v.phase == phaseStarted && !v.ending {
			c.options.Events.Decided("lease_over", "worker", w.ID, "run", v.id.Task, "number", v.id.Run,
				"silent", now-w.heardAt, "until_ms", w.untilMS)
			c.end(v, pj.EndLost, v.saved)
		}
	}
	if len(w.runs) == 0 && (w.leftAt != 0 || now > w.heardAt+forgetAfter) {
		if w.leftAt == 0 {
			c.removeWorker(w, "silent", func(error) {})
			return
		}
		delete(c.workers, w.ID)
		w.forgotten = true
		if at, ok := slices.BinarySearchFunc(c.sorted, w.ID, compareID); ok {
			c.sorted = slices.Delete(c.sorted, at, at+1)
		}
	}
}

func compareID(w *worker, id string) int {
	return strings.Compare(w.ID, id)
}

func (c *Controller) setUsable(now time.Duration, w *worker) {
	usable := w.heard && now <= w.heardAt+quietAfter && !c.blame.Quarantined(now, w.ID)
	if usable != w.usable {
		w.usable = usable
		c.options.Events.Decided("worker_usable", "worker", w.ID, "usable", usable, "heard", now-w.heardAt, "runs", len(w.runs))
	}
}
