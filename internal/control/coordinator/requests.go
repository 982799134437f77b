package coordinator

import (
	"slices"
	"strings"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/cell"
)

// Times of announcement replies.
const (
	maxAnnounceHold = 1600 * time.Millisecond // the longest time a reply is held (long poll)
	announceRetry   = 150 * time.Millisecond  // when the endpoint must announce itself again if the reply was not held
)

// Preemption after a workspace's upper limit was lowered.
const (
	minOverAllotments  = 3               // consecutive allotments below current usage before tasks are preempted
	temporaryLimitTime = 5 * time.Second // how long the temporary limit lasts after the last of them
)

// temporaryLimit keeps a workspace from starting new tasks in place of those that were preempted.
type temporaryLimit struct {
	value pj.Resources
	until time.Duration
}

// heldAnnouncement is an announcement whose reply is held (long poll), so that the endpoint is
// notified at once when this VM loses leadership and doesn't have to announce itself often.
type heldAnnouncement struct {
	reply func(pj.EndpointAnnouncementReply, error)
	until time.Duration
}

// Announce processes an endpoint's announcement. reply is called once: immediately if this VM has no
// quorum, the announcement is invalid, the endpoint itself announces that it is draining (an operator
// has not drained it), or requests granted by an earlier leader may still be in flight on it;
// otherwise after at most maxAnnounceHold.
func (c *Coordinator) Announce(an pj.EndpointAnnouncement, reply func(pj.EndpointAnnouncementReply, error)) {
	if !c.options.Group.Serving() {
		reply(pj.EndpointAnnouncementReply{}, c.noQuorumError())
		return
	}
	if an.Zone != c.options.Zone {
		reply(pj.EndpointAnnouncementReply{}, pj.Refuse(pj.CodeBadRequest, "endpoint %s of zone %q announced itself to zone %s",
			an.Endpoint, an.Zone, c.options.Zone))
		return
	}
	now := c.options.Clock.Now()
	drained := c.options.State.Drained(pj.DrainTarget{Kind: pj.DrainEndpoint, Name: an.Endpoint})
	an.Draining = an.Draining || drained
	reconciled, err := c.slotTable.Announce(now, an)
	if held, ok := c.heldAnnouncements[an.Endpoint]; ok {
		delete(c.heldAnnouncements, an.Endpoint)
		held.reply(pj.EndpointAnnouncementReply{}, nil)
	}
	term := c.slotTable.Term(now)
	if err != nil || (an.Draining && !drained) || !reconciled {
		renew := announceRetry
		if an.Incarnation != "" && an.Term < term {
			renew = 0 // the next announcement names the term
		}
		reply(pj.EndpointAnnouncementReply{Term: term, RenewWithinMS: renew.Milliseconds()}, err)
		return
	}
	hold := min(maxAnnounceHold, time.Duration(an.TTLMS)*time.Millisecond/3)
	c.heldAnnouncements[an.Endpoint] = heldAnnouncement{reply: reply, until: now + hold}
}

// Drain stops the assignment of new work to a worker or endpoint, or resumes it. The setting lasts until
// the next drain request for the same target.
func (c *Coordinator) Drain(d pj.Drain, done func(error)) {
	c.commit(cell.Command{Drain: &d}, func(r pj.CommitResult) {
		if !c.closed {
			c.tickWorkers(c.options.Clock.Now())
			c.replyToHeldAnnouncement(d)
		}
		done(r.Err)
	})
}

// replyToHeldAnnouncement makes the endpoint of a drain request announce itself again, which applies
// the change.
func (c *Coordinator) replyToHeldAnnouncement(d pj.Drain) {
	if held, ok := c.heldAnnouncements[d.Name]; ok && d.Kind == pj.DrainEndpoint {
		delete(c.heldAnnouncements, d.Name)
		held.reply(pj.EndpointAnnouncementReply{}, nil)
	}
}

func (c *Coordinator) tickAnnouncements(now time.Duration) {
	for name, held := range c.heldAnnouncements {
		if now >= held.until {
			delete(c.heldAnnouncements, name)
			held.reply(pj.EndpointAnnouncementReply{}, nil)
		}
	}
}

func (c *Coordinator) noQuorumError() *pj.Error {
	return pj.Refuse(pj.CodeNoQuorum, "no quorum for zone %s on this VM", c.options.Zone)
}

// Grant requests an endpoint slot for a request. reply is called once, immediately or later.
func (c *Coordinator) Grant(r pj.GrantRequest, reply func(pj.Grant, error)) {
	if !c.options.Group.Serving() {
		reply(pj.Grant{}, c.noQuorumError())
		return
	}
	q, ok := c.options.Config().Queues[r.Queue]
	if !ok || q.Kind != pj.KindRequest {
		reply(pj.Grant{}, pj.Refuse(pj.CodeUnknownQueue, "queue %s does not exist or is not a request queue", r.Queue))
		return
	}
	c.slotTable.Request(c.options.Clock.Now(), q, r, reply)
}

// Release returns a granted slot.
func (c *Coordinator) Release(r pj.GrantRelease) {
	c.slotTable.Release(c.options.Clock.Now(), r)
}

// Abandon removes a request whose caller has disconnected.
func (c *Coordinator) Abandon(queue, request string) {
	c.slotTable.Abandon(c.options.Clock.Now(), queue, request)
}

// AllotmentReport returns this cell's capacity and demand for the fleet leader.
func (c *Coordinator) AllotmentReport() pj.AllotmentReport {
	r := pj.AllotmentReport{Cell: c.options.Zone, Term: c.options.Term, Full: true}
	r.Capacity = c.Capacity()
	waiting := make(map[string]pj.Resources)
	counts := make(map[string]int)
	c.scheduler.EachPending(func(workspace, _ string, tasks int, needed pj.Resources, _ string) {
		waiting[workspace] = waiting[workspace].Add(needed)
		counts[workspace] += tasks
	})
	c.slotTable.EachQueue(func(q pj.Queue, n, _ int) {
		waiting[q.Workspace] = waiting[q.Workspace].Add(pj.Resources{pj.Slots: int64(n)})
		counts[q.Workspace] += n
	})
	for name := range c.workspaces {
		r.Demands = append(r.Demands, pj.CellDemand{
			Committed:    c.options.State.Allotment(name),
			Usage:        c.ledger.Usage(name),
			Waiting:      waiting[name],
			WaitingCount: counts[name],
		})
	}
	return r
}

// Capacity returns the capacity of the cell's workers and endpoints.
func (c *Coordinator) Capacity() pj.Resources {
	var sum pj.Resources
	for _, w := range c.workers {
		sum = sum.Add(w.capacity)
	}
	sum[pj.Slots] = c.slotTable.Capacity(c.options.Clock.Now())
	return sum
}

// ApplyAllotmentReply applies the fleet leader's reply: new allotments, usage in other
// cells and fleet capacity.
func (c *Coordinator) ApplyAllotmentReply(reply pj.AllotmentReply) {
	if c.closed {
		return
	}
	c.scheduler.SetFleetCapacity(reply.Capacity)
	remote := make(map[string]pj.Resources, len(reply.Remote))
	for _, u := range reply.Remote {
		remote[u.Workspace] = u.Usage
		c.workspaces[u.Workspace] = struct{}{}
	}
	for name := range c.workspaces {
		c.scheduler.SetRemoteUsage(name, remote[name])
	}
	c.commitAllotments(reply.Targets)
}

// commitAllotments commits new allotments. A smaller allotment limits starts from the moment it is
// proposed, before it is committed.
func (c *Coordinator) commitAllotments(targets []pj.Allotment) {
	var commits []cell.AllotmentCommit
	for _, t := range targets {
		current := c.options.State.Allotment(t.Workspace)
		if _, pending := c.pendingAllotments[t.Workspace]; pending || t.Seq <= current.Seq {
			continue
		}
		c.checkOverAllotment(t)
		c.pendingAllotments[t.Workspace] = t
		c.workspaces[t.Workspace] = struct{}{}
		commits = append(commits, cell.AllotmentCommit{Allotment: t, SlotsUsed: c.slotTable.SlotsUsed(t.Workspace)})
	}
	if len(commits) == 0 {
		return
	}
	c.refreshWorkspaces()
	c.commit(cell.Command{Allot: commits}, func(pj.CommitResult) {
		if c.closed {
			return
		}
		for _, committed := range commits {
			delete(c.pendingAllotments, committed.Workspace)
		}
		c.refreshWorkspaces()
		c.Schedule()
	})
}

// checkOverAllotment preempts tasks of a workspace after several consecutive allotments below its
// current usage. A single one may just be out of date; several mean that the upper limit was lowered.
func (c *Coordinator) checkOverAllotment(t pj.Allotment) {
	usage := c.ledger.Usage(t.Workspace)
	usage[pj.Slots] = 0
	if usage.FitsWhereUsed(t.Value) {
		delete(c.overAllotments, t.Workspace)
		delete(c.temporaryLimits, t.Workspace)
		return
	}
	c.overAllotments[t.Workspace]++
	if c.overAllotments[t.Workspace] >= minOverAllotments {
		c.temporaryLimits[t.Workspace] = temporaryLimit{value: t.Value, until: c.options.Clock.Now() + temporaryLimitTime}
		c.preempt(c.scheduler.PreemptOverLimit(t.Workspace, t.Value))
	}
}

func (c *Coordinator) expireTemporaryLimits(now time.Duration) {
	for name, limit := range c.temporaryLimits {
		if now > limit.until {
			delete(c.temporaryLimits, name)
			c.refreshWorkspaces()
		}
	}
}

// CellStatus returns the status of the cell for operators.
func (c *Coordinator) CellStatus() pj.CellStatus {
	now := c.options.Clock.Now()
	st := pj.CellStatus{Zone: c.options.Zone, Endpoints: c.slotTable.Endpoints(now)}
	for _, w := range c.workers {
		st.Workers = append(st.Workers, pj.WorkerStatus{
			Name: w.name, Rack: w.rack, State: w.state, Capacity: w.capacity,
			Reserved: c.scheduler.Index().Reserved(w.name), Tasks: len(w.attempts),
		})
	}
	counts := make(map[string]int)
	queues := make(map[string]pj.QueueStatus)
	c.scheduler.EachPending(func(workspace, queue string, tasks int, _ pj.Resources, reason string) {
		counts[workspace] += tasks
		q := queues[queue]
		queues[queue] = pj.QueueStatus{Name: queue, Waiting: q.Waiting + tasks, Reason: reason}
	})
	for _, v := range c.attempts {
		if v.record != nil {
			q := queues[v.record.Job.Queue]
			q.Name = v.record.Job.Queue
			q.Running++
			queues[q.Name] = q
		}
	}
	c.slotTable.EachQueue(func(q pj.Queue, waiting, running int) {
		counts[q.Workspace] += waiting
		queues[q.Name] = pj.QueueStatus{Name: q.Name, Waiting: waiting, Running: running}
	})
	for _, q := range queues {
		st.Queues = append(st.Queues, q)
	}
	for name := range c.workspaces {
		st.Usage = append(st.Usage, pj.CellUsage{
			Workspace: name, Usage: c.ledger.Usage(name), Allotment: c.options.State.Allotment(name).Value, Waiting: counts[name],
		})
	}
	sortStatus(&st)
	return st
}

func sortStatus(st *pj.CellStatus) {
	slices.SortFunc(st.Workers, func(a, b pj.WorkerStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(st.Queues, func(a, b pj.QueueStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(st.Usage, func(a, b pj.CellUsage) int { return strings.Compare(a.Workspace, b.Workspace) })
}
