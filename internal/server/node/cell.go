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

// cellMember is this VM's member of one zone's cell group. Its fields are used on the control goroutine only.
type cellMember struct {
	node         *Node
	zone         string
	group        *replica.Group
	state        *cell.State
	coordinator  *coordinator.Coordinator // nil unless this VM leads
	fleetTerm    uint64                   // term of the fleet leader that replied last
	ackedReports uint64                   // allotment reports that the fleet leader of fleetTerm has acknowledged
	ackedDemands map[string]pj.CellDemand // last demand that the fleet leader has acknowledged, by workspace
}

func (c *cellMember) leadershipChanged(serving bool, term uint64) {
	if c.coordinator != nil {
		c.coordinator.Close()
		c.coordinator = nil
		c.node.log("event", "cell_lead_lost", "zone", c.zone, "term", term)
	}
	if !serving {
		return
	}
	c.ackedReports = 0
	c.node.log("event", "cell_lead_gained", "zone", c.zone, "term", term)
	c.coordinator = coordinator.New(coordinator.Options{
		Zone: c.zone, Term: term, State: c.state, Group: c.group, Clock: c.node.clock,
		UnixMilli: func() int64 { return time.Now().UnixMilli() },
		Rand:      newRand(),
		Config:    c.node.directory.Configuration,
		Events:    &cellEvents{node: c.node, zone: c.zone},
	})
}

func (c *cellMember) tick() {
	if c.coordinator != nil {
		c.coordinator.Tick()
	}
}

// cellEvents records the events of a cell in the log and the metrics.
type cellEvents struct {
	node *Node
	zone string
}

// TaskStarted implements coordinator.Events.
func (e *cellEvents) TaskStarted(job *pj.Job, st pj.Start) {
	e.node.log("event", "task_started", "zone", e.zone, "job", job.ID, "task", st.Task, "worker", st.Worker,
		"queue", job.Queue, "workspace", job.Workspace, "waited", st.Waited.Round(time.Millisecond))
	e.node.histogram("papaya_task_wait_seconds", job.Workspace, string(job.Kind), job.Urgency).Update(st.Waited.Seconds())
}

// TaskEnded implements coordinator.Events.
func (e *cellEvents) TaskEnded(job *pj.Job, end cell.EndAttempt, run time.Duration) {
	e.node.log("event", "task_ended", "zone", e.zone, "job", job.ID, "task", end.Attempt.Task,
		"attempt", end.Attempt.Number, "phase", end.Phase, "reason", end.Reason)
	e.node.histogram("papaya_task_run_seconds", job.Workspace, string(job.Kind), job.Urgency).Update(run.Seconds())
}

// WorkerChanged implements coordinator.Events.
func (e *cellEvents) WorkerChanged(worker, state, detail string) {
	e.node.log("event", "worker_changed", "zone", e.zone, "worker", worker, "state", state, "detail", detail)
}

// runIfCellLeader runs work on the control goroutine if this VM is the leader of the zone's cell; otherwise it returns
// CodeNotLeader.
func runIfCellLeader[R any](ctx context.Context, n *Node, zone string, work func(c *coordinator.Coordinator, reply func(R, error))) (R, error) {
	return operation.RunOnLoop(ctx, n.loop, func(reply func(R, error)) {
		member := n.cells[zone]
		if member == nil || member.coordinator == nil || !member.group.Serving() {
			var zero R
			reply(zero, n.notLeader(topology.CellGroup(zone)))
			return
		}
		work(member.coordinator, reply)
	})
}

// reportAllotments sends the fleet leader an allotment report for each cell that this VM leads.
func (n *Node) reportAllotments(ctx context.Context) {
	for _, zone := range n.topology.Zones() {
		report, err := runIfCellLeader(ctx, n, zone, func(c *coordinator.Coordinator, reply func(pj.AllotmentReport, error)) {
			reply(n.cells[zone].omitUnchanged(c.AllotmentReport()), nil)
		})
		if err != nil {
			continue
		}
		var reply pj.AllotmentReply
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		err = n.callLeader(ctx, topology.FleetGroup, opAllotments, 0, report, &reply)
		cancel()
		if err != nil {
			continue
		}
		n.loop.Post(func() {
			c := n.cells[zone]
			c.recordReply(report, reply)
			if c.coordinator != nil {
				c.coordinator.ApplyAllotmentReply(reply)
			}
		})
	}
}

// fullReportPeriod is the number of allotment reports from one full report, which lists every workspace, to the next.
const fullReportPeriod = 40

// omitUnchanged removes the demands that the fleet leader has already acknowledged, except from every
// fullReportPeriod-th report.
func (c *cellMember) omitUnchanged(r pj.AllotmentReport) pj.AllotmentReport {
	r.FleetTerm = c.fleetTerm
	if c.ackedReports%fullReportPeriod == 0 {
		return r
	}
	r.Full = false
	r.Demands = slices.DeleteFunc(r.Demands, func(d pj.CellDemand) bool {
		return c.ackedDemands[d.Committed.Workspace] == d
	})
	return r
}

// recordReply records which demands the fleet leader has acknowledged. The next report is a full one if the leader is new
// or requests it.
func (c *cellMember) recordReply(r pj.AllotmentReport, reply pj.AllotmentReply) {
	c.ackedReports++
	if reply.FleetTerm != c.fleetTerm || reply.NeedFull {
		c.fleetTerm = reply.FleetTerm
		c.ackedReports = 0
	}
	if r.Full || c.ackedDemands == nil {
		c.ackedDemands = make(map[string]pj.CellDemand)
	}
	for _, d := range r.Demands {
		c.ackedDemands[d.Committed.Workspace] = d
	}
}

// jobQuery identifies a job to read or to cancel. Jobs of other workspaces than Workspace are
// reported as unknown; an empty Workspace matches every job.
type jobQuery struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	WaitMS    int64  `json:"wait_ms,omitempty"`
}

type zoneGrantRequest struct {
	Zone    string          `json:"zone"`
	Request pj.GrantRequest `json:"request"`
}

type zoneRelease struct {
	Zone    string          `json:"zone"`
	Release pj.GrantRelease `json:"release"`
}

// abandonRequest withdraws a request for a slot, because its caller no longer waits for it.
type abandonRequest struct {
	Zone    string `json:"zone"`
	Queue   string `json:"queue"`
	Request string `json:"request"`
}

func (n *Node) handleSubmit(ctx context.Context, job pj.Job) (pj.JobStatus, error) {
	return runIfCellLeader(ctx, n, pj.HomeZone(job.ID), func(c *coordinator.Coordinator, reply func(pj.JobStatus, error)) {
		c.Submit(job, reply)
	})
}

func (n *Node) handleRepeated(ctx context.Context, job pj.Job) (pj.JobStatus, error) {
	return runIfCellLeader(ctx, n, pj.HomeZone(job.ID), func(c *coordinator.Coordinator, reply func(pj.JobStatus, error)) {
		c.Repeated(job, reply)
	})
}

func (n *Node) handleCancel(ctx context.Context, q jobQuery) (pj.JobStatus, error) {
	return runIfCellLeader(ctx, n, pj.HomeZone(q.ID), func(c *coordinator.Coordinator, reply func(pj.JobStatus, error)) {
		c.Cancel(q.ID, q.Workspace, reply)
	})
}

func (n *Node) handleJob(ctx context.Context, q jobQuery) (pj.JobStatus, error) {
	return runIfCellLeader(ctx, n, pj.HomeZone(q.ID), func(c *coordinator.Coordinator, reply func(pj.JobStatus, error)) {
		c.Status(q.ID, q.Workspace, time.Duration(q.WaitMS)*time.Millisecond, reply)
	})
}

func (n *Node) handleReport(ctx context.Context, r pj.WorkerReport) (pj.WorkerReportReply, error) {
	return runIfCellLeader(ctx, n, r.Zone, func(c *coordinator.Coordinator, reply func(pj.WorkerReportReply, error)) {
		c.Report(r, reply)
	})
}

func (n *Node) handleAnnounce(ctx context.Context, an pj.EndpointAnnouncement) (pj.EndpointAnnouncementReply, error) {
	return runIfCellLeader(ctx, n, an.Zone, func(c *coordinator.Coordinator, reply func(pj.EndpointAnnouncementReply, error)) {
		c.Announce(an, reply)
	})
}

func (n *Node) handleGrant(ctx context.Context, g zoneGrantRequest) (pj.Grant, error) {
	return runIfCellLeader(ctx, n, g.Zone, func(c *coordinator.Coordinator, reply func(pj.Grant, error)) {
		c.Grant(g.Request, reply)
	})
}

func (n *Node) handleRelease(ctx context.Context, r zoneRelease) (struct{}, error) {
	return runIfCellLeader(ctx, n, r.Zone, func(c *coordinator.Coordinator, reply func(struct{}, error)) {
		c.Release(r.Release)
		reply(struct{}{}, nil)
	})
}

func (n *Node) handleAbandon(ctx context.Context, r abandonRequest) (struct{}, error) {
	return runIfCellLeader(ctx, n, r.Zone, func(c *coordinator.Coordinator, reply func(struct{}, error)) {
		c.Abandon(r.Queue, r.Request)
		reply(struct{}{}, nil)
	})
}

func (n *Node) handleDrain(ctx context.Context, d pj.Drain) (struct{}, error) {
	return runIfCellLeader(ctx, n, d.Zone, func(c *coordinator.Coordinator, reply func(struct{}, error)) {
		c.Drain(d, func(err error) { reply(struct{}{}, err) })
	})
}

func (n *Node) handleCellStatus(ctx context.Context, zone string) (pj.CellStatus, error) {
	return runIfCellLeader(ctx, n, zone, func(c *coordinator.Coordinator, reply func(pj.CellStatus, error)) {
		st := c.CellStatus()
		st.Leader = n.settings.VM
		reply(st, nil)
	})
}
