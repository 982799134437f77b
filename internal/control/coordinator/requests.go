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
	minOverAllotments  = 3               // consecutive allotments below current use before tasks are preempted
	temporaryLimitTime = 5 * time.Second // how long the temporary limit stays after the last of them
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

// Announce processes an endpoint's announcement. reply is called once: immediately if the
// announcement is invalid, the endpoint itself is leaving (not drained by an operator), or requests
// granted by an earlier leader may still be in flight on it; otherwise after at most maxAnnounceHold.
func (a *Coordinator) Announce(an pj.EndpointAnnouncement, reply func(pj.EndpointAnnouncementReply, error)) {
	if !a.options.Group.Serving() {
		reply(pj.EndpointAnnouncementReply{}, a.noQuorumError())
		return
	}
	if an.Zone != a.options.Zone {
		reply(pj.EndpointAnnouncementReply{}, pj.Refuse(pj.CodeBadRequest, "endpoint %s of zone %q announced itself to zone %s",
			an.Endpoint, an.Zone, a.options.Zone))
		return
	}
	now := a.options.Clock.Now()
	drained := a.options.State.Drained(pj.DrainTarget{Kind: pj.DrainEndpoint, Name: an.Endpoint})
	an.Draining = an.Draining || drained
	reconciled, err := a.slotTable.Announce(now, an)
	if held, ok := a.heldAnnouncements[an.Endpoint]; ok {
		delete(a.heldAnnouncements, an.Endpoint)
		held.reply(pj.EndpointAnnouncementReply{}, nil)
	}
	if err != nil || (an.Draining && !drained) || !reconciled {
		reply(pj.EndpointAnnouncementReply{RenewWithinMS: announceRetry.Milliseconds()}, err)
		return
	}
	hold := min(maxAnnounceHold, time.Duration(an.TTLMS)*time.Millisecond/3)
	a.heldAnnouncements[an.Endpoint] = heldAnnouncement{reply: reply, until: now + hold}
}

// Drain takes a worker or endpoint out of service, or puts it back, until the next drain request for it.
func (a *Coordinator) Drain(d pj.Drain, done func(error)) {
	a.commit(cell.Command{Drain: &d}, func(r pj.CommitResult) {
		if !a.closed {
			a.tickWorkers(a.options.Clock.Now())
			a.replyToHeldAnnouncement(d)
		}
		done(r.Err)
	})
}

// replyToHeldAnnouncement makes the endpoint of a drain request announce itself again, which applies
// the change.
func (a *Coordinator) replyToHeldAnnouncement(d pj.Drain) {
	if held, ok := a.heldAnnouncements[d.Name]; ok && d.Kind == pj.DrainEndpoint {
		delete(a.heldAnnouncements, d.Name)
		held.reply(pj.EndpointAnnouncementReply{}, nil)
	}
}

func (a *Coordinator) tickAnnouncements(now time.Duration) {
	for name, held := range a.heldAnnouncements {
		if now >= held.until {
			delete(a.heldAnnouncements, name)
			held.reply(pj.EndpointAnnouncementReply{}, nil)
		}
	}
}

func (a *Coordinator) noQuorumError() *pj.Error {
	return pj.Refuse(pj.CodeNoQuorum, "no quorum for zone %s on this VM", a.options.Zone)
}

// Grant requests an endpoint slot for a request. reply is called once, immediately or later.
func (a *Coordinator) Grant(r pj.GrantRequest, reply func(pj.Grant, error)) {
	if !a.options.Group.Serving() {
		reply(pj.Grant{}, a.noQuorumError())
		return
	}
	q, ok := a.options.Config().Queues[r.Queue]
	if !ok || q.Kind != pj.KindRequest {
		reply(pj.Grant{}, pj.Refuse(pj.CodeUnknownQueue, "queue %s does not exist or is not a request queue", r.Queue))
		return
	}
	a.slotTable.Request(a.options.Clock.Now(), q, r, reply)
}

// Release returns a granted slot.
func (a *Coordinator) Release(r pj.GrantRelease) {
	a.slotTable.Release(a.options.Clock.Now(), r)
}

// Abandon removes a request whose caller has disconnected.
func (a *Coordinator) Abandon(queue, request string) {
	a.slotTable.Abandon(a.options.Clock.Now(), queue, request)
}

// AllotmentReport returns this cell's capacity and demand for the fleet leader.
func (a *Coordinator) AllotmentReport() pj.AllotmentReport {
	r := pj.AllotmentReport{Cell: a.options.Zone, Term: a.options.Term, Full: true}
	r.Capacity = a.Capacity()
	waiting := make(map[string]pj.Resources)
	counts := make(map[string]int)
	a.scheduler.EachPending(func(workspace, _ string, tasks int, needed pj.Resources, _ string) {
		waiting[workspace] = waiting[workspace].Add(needed)
		counts[workspace] += tasks
	})
	a.slotTable.EachQueue(func(q pj.Queue, n, _ int) {
		waiting[q.Workspace] = waiting[q.Workspace].Add(pj.Resources{pj.Slots: int64(n)})
		counts[q.Workspace] += n
	})
	for name := range a.workspaces {
		r.Demands = append(r.Demands, pj.CellDemand{
			Committed:    a.options.State.Allotment(name),
			Use:          a.ledger.Usage(name),
			Waiting:      waiting[name],
			WaitingCount: counts[name],
		})
	}
	return r
}

// Capacity returns the capacity of the cell's workers and endpoints.
func (a *Coordinator) Capacity() pj.Resources {
	var sum pj.Resources
	for _, w := range a.workers {
		sum = sum.Add(w.capacity)
	}
	sum[pj.Slots] = a.slotTable.Capacity(a.options.Clock.Now())
	return sum
}

// ApplyAllotmentReply applies the fleet leader's reply: new allotments, use in other cells and fleet capacity.
func (a *Coordinator) ApplyAllotmentReply(reply pj.AllotmentReply) {
	if a.closed {
		return
	}
	a.scheduler.SetFleetCapacity(reply.Capacity)
	remote := make(map[string]pj.Resources, len(reply.Remote))
	for _, u := range reply.Remote {
		remote[u.Workspace] = u.Use
		a.workspaces[u.Workspace] = struct{}{}
	}
	for name := range a.workspaces {
		a.scheduler.SetRemoteUsage(name, remote[name])
	}
	a.commitAllotments(reply.Targets)
}

// commitAllotments commits new allotments. A smaller allotment limits starts from the moment it is
// proposed, before it is committed.
func (a *Coordinator) commitAllotments(targets []pj.Allotment) {
	var commits []cell.AllotCommit
	for _, t := range targets {
		current := a.options.State.Allotment(t.Workspace)
		if _, pending := a.pendingAllotments[t.Workspace]; pending || t.Seq <= current.Seq {
			continue
		}
		a.checkOverAllotment(t)
		a.pendingAllotments[t.Workspace] = t
		a.workspaces[t.Workspace] = struct{}{}
		commits = append(commits, cell.AllotCommit{Allotment: t, SlotsUsed: a.slotTable.SlotsUsed(t.Workspace)})
	}
	if len(commits) == 0 {
		return
	}
	a.refreshWorkspaces()
	a.commit(cell.Command{Allot: commits}, func(pj.CommitResult) {
		if a.closed {
			return
		}
		for _, c := range commits {
			delete(a.pendingAllotments, c.Workspace)
		}
		a.refreshWorkspaces()
		a.Schedule()
	})
}

// checkOverAllotment preempts tasks of a workspace after several consecutive allotments below its
// current use. A single one may just be out of date; several mean that the upper limit was lowered.
func (a *Coordinator) checkOverAllotment(t pj.Allotment) {
	use := a.ledger.Usage(t.Workspace)
	use[pj.Slots] = 0
	if use.FitsWhereUsed(t.Value) {
		delete(a.overAllotments, t.Workspace)
		delete(a.temporaryLimits, t.Workspace)
		return
	}
	a.overAllotments[t.Workspace]++
	if a.overAllotments[t.Workspace] >= minOverAllotments {
		a.temporaryLimits[t.Workspace] = temporaryLimit{value: t.Value, until: a.options.Clock.Now() + temporaryLimitTime}
		a.preempt(a.scheduler.PreemptOverLimit(t.Workspace, t.Value))
	}
}

func (a *Coordinator) expireTemporaryLimits(now time.Duration) {
	for name, limit := range a.temporaryLimits {
		if now > limit.until {
			delete(a.temporaryLimits, name)
			a.refreshWorkspaces()
		}
	}
}

// CellStatus returns the status of the cell for operators.
func (a *Coordinator) CellStatus() pj.CellStatus {
	now := a.options.Clock.Now()
	st := pj.CellStatus{Zone: a.options.Zone, Endpoints: a.slotTable.Endpoints(now)}
	for _, w := range a.workers {
		st.Workers = append(st.Workers, pj.WorkerStatus{
			Name: w.name, Rack: w.rack, State: w.state, Capacity: w.capacity,
			Reserved: a.scheduler.Index().Reserved(w.name), Tasks: len(w.attempts),
		})
	}
	counts := make(map[string]int)
	queues := make(map[string]pj.QueueStatus)
	a.scheduler.EachPending(func(workspace, queue string, tasks int, _ pj.Resources, reason string) {
		counts[workspace] += tasks
		q := queues[queue]
		queues[queue] = pj.QueueStatus{Name: queue, Waiting: q.Waiting + tasks, Reason: reason}
	})
	for _, v := range a.attempts {
		if v.record != nil {
			q := queues[v.record.Job.Queue]
			q.Name = v.record.Job.Queue
			q.Running++
			queues[q.Name] = q
		}
	}
	a.slotTable.EachQueue(func(q pj.Queue, waiting, running int) {
		counts[q.Workspace] += waiting
		queues[q.Name] = pj.QueueStatus{Name: q.Name, Waiting: waiting, Running: running}
	})
	for _, q := range queues {
		st.Queues = append(st.Queues, q)
	}
	for name := range a.workspaces {
		st.Use = append(st.Use, pj.CellUse{
			Workspace: name, Use: a.ledger.Usage(name), Allotment: a.options.State.Allotment(name).Value, Waiting: counts[name],
		})
	}
	sortStatus(&st)
	return st
}

func sortStatus(st *pj.CellStatus) {
	slices.SortFunc(st.Workers, func(a, b pj.WorkerStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(st.Queues, func(a, b pj.QueueStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(st.Use, func(a, b pj.CellUse) int { return strings.Compare(a.Workspace, b.Workspace) })
}
