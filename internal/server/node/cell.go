package node

import (
	"context"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/config/topology"
	"papayajunction/internal/control/cell"
	"papayajunction/internal/control/coordinator"
	"papayajunction/internal/control/replica"
	"papayajunction/internal/server/operation"
)

// cellMember is this VM's part in one zone's group. Its fields belong to the control goroutine.
type cellMember struct {
	node       *Node
	zone       string
	group      *replica.Group
	state      *cell.State
	accountant *coordinator.Coordinator // nil unless this VM leads
	fleetTerm  uint64
	reports    uint64                   // allotment reports answered by the fleet leader of fleetTerm
	reported   map[string]pj.CellDemand // what the fleet leader knows, by workspace
}

func (c *cellMember) leadChanged(serving bool, term uint64) {
	if c.accountant != nil {
		c.accountant.Close()
		c.accountant = nil
		c.node.log("event", "cell_lead_lost", "zone", c.zone, "term", term)
	}
	if !serving {
		return
	}
	c.reports = 0
	c.node.log("event", "cell_lead_gained", "zone", c.zone, "term", term)
	c.accountant = coordinator.New(coordinator.Options{
		Zone: c.zone, Term: term, State: c.state, Group: c.group, Clock: c.node.clock,
		UnixMilli: func() int64 { return time.Now().UnixMilli() },
		Rand:      newRand(),
		Config:    c.node.directory.Configuration,
		Events:    &cellEvents{node: c.node, zone: c.zone},
	})
}

func (c *cellMember) tick() {
	if c.accountant != nil {
		c.accountant.Tick()
	}
}

// cellEvents writes what happens in a cell to the log and the metrics.
type cellEvents struct {
	node *Node
	zone string
}

// TaskStarted is part of accountant.Events.
func (e *cellEvents) TaskStarted(job *pj.Job, st pj.Start) {
	e.node.log("event", "task_started", "zone", e.zone, "job", job.ID, "task", st.Task, "worker", st.Worker,
		"queue", job.Queue, "workspace", job.Workspace, "waited", st.Waited.Round(time.Millisecond))
	e.node.histogram("papaya_task_wait_seconds", job.Workspace, string(job.Kind), job.Urgency).Update(st.Waited.Seconds())
}

// TaskEnded is part of accountant.Events.
func (e *cellEvents) TaskEnded(job *pj.Job, end cell.EndAttempt, run time.Duration) {
	e.node.log("event", "task_ended", "zone", e.zone, "job", job.ID, "task", end.Attempt.Task,
		"attempt", end.Attempt.Number, "phase", end.Phase, "reason", end.Reason)
	e.node.histogram("papaya_task_run_seconds", job.Workspace, string(job.Kind), job.Urgency).Update(run.Seconds())
}

// WorkerChanged is part of accountant.Events.
func (e *cellEvents) WorkerChanged(worker, state, detail string) {
	e.node.log("event", "worker_changed", "zone", e.zone, "worker", worker, "state", state, "detail", detail)
}

// withCell runs work on the control goroutine if this VM leads the zone's cell.
func withCell[R any](ctx context.Context, n *Node, zone string, work func(a *coordinator.Coordinator, reply func(R, error))) (R, error) {
	return operation.Await(ctx, n.loop, func(reply func(R, error)) {
		c := n.cells[zone]
		if c == nil || c.accountant == nil || !c.group.Serving() {
			var none R
			reply(none, n.notLeader(topology.CellGroup(zone)))
			return
		}
		work(c.accountant, reply)
	})
}

// reportAllotments tells the fleet leader about each cell that this VM leads.
func (n *Node) reportAllotments(ctx context.Context) {
	for _, zone := range n.topology.Zones() {
		report, err := withCell(ctx, n, zone, func(a *coordinator.Coordinator, reply func(pj.AllotmentReport, error)) {
			reply(n.cells[zone].changes(a.AllotmentReport()), nil)
		})
		if err != nil {
			continue
		}
		var answer pj.AllotmentReply
		ctx, cancel := context.WithTimeout(ctx, tryTimeout)
		err = n.callLeader(ctx, topology.FleetGroup, opAllotments, 0, report, &answer)
		cancel()
		if err != nil {
			continue
		}
		n.loop.Post(func() {
			c := n.cells[zone]
			c.answered(report, answer)
			if c.accountant != nil {
				c.accountant.ApplyAllotmentReply(answer)
			}
		})
	}
}

// fullEvery is how many allotment reports go by until one lists every workspace again.
const fullEvery = 40

// changes leaves out what the fleet leader knows already, except now and then.
func (c *cellMember) changes(r pj.AllotmentReport) pj.AllotmentReport {
	r.FleetTerm = c.fleetTerm
	if c.reports%fullEvery == 0 {
		return r
	}
	r.Full = false
	r.Demands = slices.DeleteFunc(r.Demands, func(d pj.CellDemand) bool {
		return c.reported[d.Committed.Workspace] == d
	})
	return r
}

// answered notes what the fleet leader has heard. A new leader is told everything.
func (c *cellMember) answered(r pj.AllotmentReport, answer pj.AllotmentReply) {
	c.reports++
	if answer.FleetTerm != c.fleetTerm || answer.NeedFull {
		c.fleetTerm = answer.FleetTerm
		c.reports = 0
	}
	if r.Full || c.reported == nil {
		c.reported = make(map[string]pj.CellDemand)
	}
	for _, d := range r.Demands {
		c.reported[d.Committed.Workspace] = d
	}
}

// jobQuery asks for a job; Workspace is empty for operators.
type jobQuery struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	WaitMS    int64  `json:"wait_ms,omitempty"`
}

// zonedGrant is a grant request for a zone.
type zonedGrant struct {
	Zone    string          `json:"zone"`
	Request pj.GrantRequest `json:"request"`
}

// zonedRelease is a release for a zone.
type zonedRelease struct {
	Zone    string          `json:"zone"`
	Release pj.GrantRelease `json:"release"`
}

// abandon tells that the caller of a request has gone.
type abandon struct {
	Zone    string `json:"zone"`
	Queue   string `json:"queue"`
	Request string `json:"request"`
}

func (n *Node) runSubmit(ctx context.Context, job pj.Job) (pj.JobStatus, error) {
	return withCell(ctx, n, pj.HomeZone(job.ID), func(a *coordinator.Coordinator, reply func(pj.JobStatus, error)) {
		a.Submit(job, reply)
	})
}

func (n *Node) runCancel(ctx context.Context, q jobQuery) (pj.JobStatus, error) {
	return withCell(ctx, n, pj.HomeZone(q.ID), func(a *coordinator.Coordinator, reply func(pj.JobStatus, error)) {
		a.Cancel(q.ID, q.Workspace, reply)
	})
}

func (n *Node) runJob(ctx context.Context, q jobQuery) (pj.JobStatus, error) {
	return withCell(ctx, n, pj.HomeZone(q.ID), func(a *coordinator.Coordinator, reply func(pj.JobStatus, error)) {
		a.Status(q.ID, q.Workspace, time.Duration(q.WaitMS)*time.Millisecond, reply)
	})
}

func (n *Node) runReport(ctx context.Context, r pj.WorkerReport) (pj.WorkerReportReply, error) {
	return withCell(ctx, n, r.Zone, func(a *coordinator.Coordinator, reply func(pj.WorkerReportReply, error)) {
		a.Report(r, reply)
	})
}

func (n *Node) runAnnounce(ctx context.Context, an pj.EndpointAnnouncement) (pj.EndpointAnnouncementReply, error) {
	return withCell(ctx, n, an.Zone, func(a *coordinator.Coordinator, reply func(pj.EndpointAnnouncementReply, error)) {
		a.Announce(an, reply)
	})
}

func (n *Node) runGrant(ctx context.Context, g zonedGrant) (pj.Grant, error) {
	return withCell(ctx, n, g.Zone, func(a *coordinator.Coordinator, reply func(pj.Grant, error)) {
		a.Grant(g.Request, reply)
	})
}

func (n *Node) runRelease(ctx context.Context, r zonedRelease) (struct{}, error) {
	return withCell(ctx, n, r.Zone, func(a *coordinator.Coordinator, reply func(struct{}, error)) {
		a.Release(r.Release)
		reply(struct{}{}, nil)
	})
}

func (n *Node) runAbandon(ctx context.Context, b abandon) (struct{}, error) {
	return withCell(ctx, n, b.Zone, func(a *coordinator.Coordinator, reply func(struct{}, error)) {
		a.Abandon(b.Queue, b.Request)
		reply(struct{}{}, nil)
	})
}

func (n *Node) runDrain(ctx context.Context, d pj.Drain) (struct{}, error) {
	return withCell(ctx, n, d.Zone, func(a *coordinator.Coordinator, reply func(struct{}, error)) {
		a.Drain(d, func(err error) { reply(struct{}{}, err) })
	})
}

func (n *Node) runCellStatus(ctx context.Context, zone string) (pj.CellStatus, error) {
	return withCell(ctx, n, zone, func(a *coordinator.Coordinator, reply func(pj.CellStatus, error)) {
		st := a.CellStatus()
		st.Leader = n.settings.VM
		reply(st, nil)
	})
}
