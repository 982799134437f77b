package accountant

import (
	"slices"
	"strings"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/cell"
)

// Times of announcements.
const (
	announceHold  = 1600 * time.Millisecond // the longest time for which an answer is held back
	announceAgain = 150 * time.Millisecond  // for an endpoint of which more must be known soon
)

// Bounds of making tasks give way to a lowered upper limit.
const (
	overBeforeShed = 3               // allotments in a row that are too small
	capLasts       = 5 * time.Second // after the last of them
)

// limitCap keeps a workspace from starting tasks again in place of those that had to give way.
type limitCap struct {
	value pj.Resources
	until time.Duration
}

// heldAnnouncement is an announcement whose answer is held back, so that the endpoint learns at
// once when this VM leads no more, and need not announce itself often.
type heldAnnouncement struct {
	reply func(pj.AnnouncementReply, error)
	until time.Duration
}

// Announce takes in an endpoint's announcement. reply is called once: at once for the first
// announcement of an endpoint and for one that leaves, else after some time.
func (a *Accountant) Announce(an pj.Announcement, reply func(pj.AnnouncementReply, error)) {
	if !a.options.Group.Serving() {
		reply(pj.AnnouncementReply{}, a.notServing())
		return
	}
	if an.Zone != a.options.Zone {
		reply(pj.AnnouncementReply{}, pj.Refuse(pj.CodeBadRequest, "endpoint %s is in zone %q and announced itself to zone %s",
			an.Endpoint, an.Zone, a.options.Zone))
		return
	}
	now := a.options.Clock.Now()
	drained := a.options.State.Drained(pj.DrainTarget{Kind: pj.DrainEndpoint, Name: an.Endpoint})
	an.Leaving = an.Leaving || drained
	settled, err := a.table.Announce(now, an)
	if held, ok := a.announced[an.Endpoint]; ok {
		delete(a.announced, an.Endpoint)
		held.reply(pj.AnnouncementReply{}, nil)
	}
	if err != nil || (an.Leaving && !drained) || !settled {
		reply(pj.AnnouncementReply{RenewWithinMS: announceAgain.Milliseconds()}, err)
		return
	}
	hold := min(announceHold, time.Duration(an.TTLMS)*time.Millisecond/3)
	a.announced[an.Endpoint] = heldAnnouncement{reply: reply, until: now + hold}
}

// Drain takes a worker or endpoint out of service, or puts it back, until operators say otherwise.
func (a *Accountant) Drain(d pj.Drain, done func(error)) {
	a.commit(cell.Command{Drain: &d}, func(r pj.CommitResult) {
		if !a.closed {
			a.tickWorkers(a.options.Clock.Now())
			a.answerAnnouncement(d)
		}
		done(r.Err)
	})
}

// answerAnnouncement makes a drained endpoint announce itself anew, which puts the change into force.
func (a *Accountant) answerAnnouncement(d pj.Drain) {
	if held, ok := a.announced[d.Name]; ok && d.Kind == pj.DrainEndpoint {
		delete(a.announced, d.Name)
		held.reply(pj.AnnouncementReply{}, nil)
	}
}

func (a *Accountant) tickAnnouncements(now time.Duration) {
	for name, held := range a.announced {
		if now >= held.until {
			delete(a.announced, name)
			held.reply(pj.AnnouncementReply{}, nil)
		}
	}
}

func (a *Accountant) notServing() *pj.Error {
	return pj.Refuse(pj.CodeNoQuorum, "zone %s has no quorum here", a.options.Zone)
}

// Grant asks for a slot for a request; reply is called once, at once or later.
func (a *Accountant) Grant(r pj.GrantRequest, reply func(pj.Grant, error)) {
	if !a.options.Group.Serving() {
		reply(pj.Grant{}, a.notServing())
		return
	}
	q, ok := a.options.Config().Queues[r.Queue]
	if !ok || q.Kind != pj.KindRequest {
		reply(pj.Grant{}, pj.Refuse(pj.CodeUnknownQueue, "queue %s takes no requests", r.Queue))
		return
	}
	a.table.Request(a.options.Clock.Now(), q, r, reply)
}

// Release gives a slot back.
func (a *Accountant) Release(r pj.GrantRelease) {
	a.table.Release(a.options.Clock.Now(), r)
}

// Abandon drops a request whose caller has gone.
func (a *Accountant) Abandon(queue, request string) {
	a.table.Abandon(a.options.Clock.Now(), queue, request)
}

// AllotmentReport returns what the fleet leader is to hear of this cell.
func (a *Accountant) AllotmentReport() pj.AllotmentReport {
	r := pj.AllotmentReport{Cell: a.options.Zone, Term: a.options.Term, Full: true}
	r.Capacity = a.Capacity()
	waiting := make(map[string]pj.Resources)
	counts := make(map[string]int)
	a.scheduler.Waiting(func(workspace, _ string, tasks int, needed pj.Resources, _ string) {
		waiting[workspace] = waiting[workspace].Add(needed)
		counts[workspace] += tasks
	})
	a.table.Waiting(func(q pj.Queue, n, _ int) {
		waiting[q.Workspace] = waiting[q.Workspace].Add(pj.Resources{pj.Slots: int64(n)})
		counts[q.Workspace] += n
	})
	for name := range a.known {
		r.Demands = append(r.Demands, pj.CellDemand{
			Committed: a.options.State.Allotment(name),
			Use:       a.ledger.Use(name),
			Waiting:   waiting[name],
			Count:     counts[name],
		})
	}
	return r
}

// Capacity returns the capacity of the cell's workers and endpoints.
func (a *Accountant) Capacity() pj.Resources {
	var sum pj.Resources
	for _, w := range a.workers {
		sum = sum.Add(w.capacity)
	}
	sum[pj.Slots] = a.table.Capacity(a.options.Clock.Now())
	return sum
}

// SetFleet takes in what the fleet leader answered: new allotments, use elsewhere and capacity.
func (a *Accountant) SetFleet(reply pj.AllotmentReply) {
	if a.closed {
		return
	}
	a.scheduler.SetFleetCapacity(reply.Capacity)
	remote := make(map[string]pj.Resources, len(reply.Remote))
	for _, u := range reply.Remote {
		remote[u.Workspace] = u.Use
		a.known[u.Workspace] = struct{}{}
	}
	for name := range a.known {
		a.scheduler.SetRemote(name, remote[name])
	}
	a.commitAllotments(reply.Targets)
}

// commitAllotments puts new allotments into force. From the proposal on, nothing is started that
// a smaller allotment would not allow.
func (a *Accountant) commitAllotments(targets []pj.Allotment) {
	var commits []cell.AllotCommit
	for _, t := range targets {
		held := a.options.State.Allotment(t.Workspace)
		if _, busy := a.pending[t.Workspace]; busy || t.Seq <= held.Seq {
			continue
		}
		a.noteOver(t)
		a.pending[t.Workspace] = t
		a.known[t.Workspace] = struct{}{}
		commits = append(commits, cell.AllotCommit{Allotment: t, SlotsUsed: a.table.SlotsUsed(t.Workspace)})
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
			delete(a.pending, c.Workspace)
		}
		a.refreshWorkspaces()
		a.Decide()
	})
}

// noteOver makes tasks give way once several allotments in a row were smaller than what is in use.
// A single one may only be late; several mean that the upper limit was lowered.
func (a *Accountant) noteOver(t pj.Allotment) {
	use := a.ledger.Use(t.Workspace)
	use[pj.Slots] = 0
	if use.FitsWhereUsed(t.Value) {
		delete(a.over, t.Workspace)
		delete(a.caps, t.Workspace)
		return
	}
	a.over[t.Workspace]++
	if a.over[t.Workspace] >= overBeforeShed {
		a.caps[t.Workspace] = limitCap{value: t.Value, until: a.options.Clock.Now() + capLasts}
		a.preempt(a.scheduler.Shed(t.Workspace, t.Value))
	}
}

func (a *Accountant) dropCaps(now time.Duration) {
	for name, c := range a.caps {
		if now > c.until {
			delete(a.caps, name)
			a.refreshWorkspaces()
		}
	}
}

// CellStatus returns the operators' view of the cell.
func (a *Accountant) CellStatus() pj.CellStatus {
	now := a.options.Clock.Now()
	st := pj.CellStatus{Zone: a.options.Zone, Endpoints: a.table.Endpoints(now)}
	for _, w := range a.workers {
		st.Workers = append(st.Workers, pj.WorkerStatus{
			Name: w.name, Rack: w.rack, State: w.state, Capacity: w.capacity,
			Reserved: a.scheduler.Index().Reserved(w.name), Tasks: len(w.attempts),
		})
	}
	counts := make(map[string]int)
	queues := make(map[string]pj.QueueStatus)
	a.scheduler.Waiting(func(workspace, queue string, tasks int, _ pj.Resources, why string) {
		counts[workspace] += tasks
		q := queues[queue]
		queues[queue] = pj.QueueStatus{Name: queue, Waiting: q.Waiting + tasks, Reason: why}
	})
	for _, v := range a.attempts {
		if v.record != nil {
			q := queues[v.record.Job.Queue]
			q.Name = v.record.Job.Queue
			q.Running++
			queues[q.Name] = q
		}
	}
	a.table.Waiting(func(q pj.Queue, waiting, running int) {
		counts[q.Workspace] += waiting
		queues[q.Name] = pj.QueueStatus{Name: q.Name, Waiting: waiting, Running: running}
	})
	for _, q := range queues {
		st.Queues = append(st.Queues, q)
	}
	for name := range a.known {
		st.Use = append(st.Use, pj.CellUse{
			Workspace: name, Use: a.ledger.Use(name), Allotment: a.options.State.Allotment(name).Value, Waiting: counts[name],
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
