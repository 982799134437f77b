package node

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	pj "papayajunction"
	"papayajunction/internal/config/operator"
	"papayajunction/internal/config/topology"
	"papayajunction/internal/control/directory"
	"papayajunction/internal/control/fleet"
)

// Time that a call allows the leader to hold its reply to a worker's report or an endpoint's announcement (long poll). It
// is longer than the coordinator's maxReportHold and maxAnnounceHold.
const (
	reportHoldTimeout   = 2500 * time.Millisecond
	announceHoldTimeout = 2200 * time.Millisecond
)

// histogram returns the named histogram for a workspace, kind and urgency.
func (n *Node) histogram(name, workspace, kind string, urgency pj.Urgency) *metrics.Histogram {
	return n.metrics.GetOrCreateHistogram(fmt.Sprintf(
		`%s{workspace=%q,kind=%q,urgency=%q}`, name, workspace, kind, urgency.String()))
}

// Submit commits a job to its home cell.
func (n *Node) Submit(ctx context.Context, job pj.Job) (st pj.JobStatus, err error) {
	return st, n.callLeader(ctx, topology.CellGroup(pj.HomeZone(job.ID)), opSubmit, 0, job, &st)
}

// Repeated returns the status of the job that an earlier attempt of the same submission created. The error has NotRun and
// CodeUnknownJob or CodeConflict if no attempt was accepted.
func (n *Node) Repeated(ctx context.Context, job pj.Job) (st pj.JobStatus, err error) {
	return st, n.callLeader(ctx, topology.CellGroup(pj.HomeZone(job.ID)), opRepeated, 0, job, &st)
}

// Job returns a job's status once the job has ended or wait has elapsed.
func (n *Node) Job(ctx context.Context, id, workspace string, wait time.Duration) (st pj.JobStatus, err error) {
	q := jobQuery{ID: id, Workspace: workspace, WaitMS: wait.Milliseconds()}
	hold := time.Duration(0)
	if wait > 0 {
		hold = wait + waitSlack
	}
	return st, n.callLeader(ctx, topology.CellGroup(pj.HomeZone(id)), opJob, hold, q, &st)
}

// Cancel cancels a job.
func (n *Node) Cancel(ctx context.Context, id, workspace string) (st pj.JobStatus, err error) {
	q := jobQuery{ID: id, Workspace: workspace}
	return st, n.callLeader(ctx, topology.CellGroup(pj.HomeZone(id)), opCancel, 0, q, &st)
}

// Report forwards a worker's report to its cell's leader.
func (n *Node) Report(ctx context.Context, r pj.WorkerReport) (reply pj.WorkerReportReply, err error) {
	err = n.callLeader(ctx, topology.CellGroup(r.Zone), opReport, reportHoldTimeout, r, &reply)
	reply.NextEntry = n.leaderAddress(r.Zone)
	return reply, err
}

// leaderAddress returns the address of the VM that was last known to lead a zone's cell, or "" if there is none or it is
// in another zone.
func (n *Node) leaderAddress(zone string) string {
	vm, ok := n.topology.VM(n.leaders.Leader(topology.CellGroup(zone)))
	if !ok || vm.Zone != zone {
		return ""
	}
	return vm.Address
}

// Announce forwards an endpoint's announcement to its cell's leader. If that leader is lost while it holds the reply,
// the call fails and the endpoint must send a new announcement, because this one is out of date by then.
func (n *Node) Announce(ctx context.Context, an pj.EndpointAnnouncement) (reply pj.EndpointAnnouncementReply, err error) {
	err = n.callLeader(ctx, topology.CellGroup(an.Zone), opAnnounce, announceHoldTimeout, an, &reply)
	reply.NextEntry = n.leaderAddress(an.Zone)
	return reply, err
}

// Grant requests a slot from the leader of a zone's cell. If ctx ends first, the request is abandoned.
func (n *Node) Grant(ctx context.Context, zone string, r pj.GrantRequest) (g pj.Grant, err error) {
	hold := time.Duration(r.WaitMS) * time.Millisecond
	sentAt, err := n.callLeaderAt(ctx, topology.CellGroup(zone), opGrant, hold, zoneGrantRequest{Zone: zone, Request: r}, &g)
	g.ExpiresAt = sentAt + time.Duration(g.WaitedMS+g.ValidMS)*time.Millisecond
	if err != nil && pj.AsError(err).Code == pj.CodeOutcomeUnknown {
		n.abandonAsync(zone, r)
		// Even if the leader granted a slot, this VM has not received the grant, so the request has not run.
		err = pj.Refuse(pj.CodeNoQuorum, "no slot was granted in time: %v", err)
	}
	return g, err
}

// abandonAsync does not use the context of the caller's request, because it has ended.
func (n *Node) abandonAsync(zone string, r pj.GrantRequest) {
	go n.abandon(zone, r)
}

func (n *Node) abandon(zone string, r pj.GrantRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = n.callLeader(ctx, topology.CellGroup(zone), opAbandon, 0, abandonRequest{Zone: zone, Queue: r.Queue, Request: r.Request}, nil)
}

// Release releases a slot without waiting for the leader's reply.
func (n *Node) Release(zone string, r pj.GrantRelease) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_ = n.callLeader(ctx, topology.CellGroup(zone), opRelease, 0, zoneRelease{Zone: zone, Release: r}, nil)
	}()
}

// Publish replaces the configuration.
func (n *Node) Publish(ctx context.Context, p pj.Publication) (reply pj.PublicationReply, err error) {
	if _, issues := operator.Parse(p.Files); len(issues) > 0 {
		e := pj.Refuse(pj.CodeBadRequest, "%d error(s) in the operator files; nothing was changed", len(issues))
		e.Details = issues
		return reply, e
	}
	defer n.triggerSync()
	return reply, n.callLeader(ctx, topology.FleetGroup, opPublish, 0, p, &reply)
}

// GrantKey issues a new key for a workspace. The secret is only in the reply and is not stored. A call in which the
// caller sets the id and the secret is idempotent.
func (n *Node) GrantKey(ctx context.Context, k pj.IssuedKey) (pj.IssuedKey, error) {
	k.ID = cmp.Or(k.ID, "k-"+randomHex(6))
	k.Secret = cmp.Or(k.Secret, "pj_"+randomHex(24))
	key := pj.Key{ID: k.ID, Workspace: k.Workspace, Hash: directory.HashSecret(k.Secret)}
	if err := n.callLeader(ctx, topology.FleetGroup, opGrantKey, 0, key, nil); err != nil {
		return pj.IssuedKey{}, err
	}
	n.triggerSync()
	n.log("event", "key_granted", "workspace", k.Workspace, "key", k.ID)
	return k, nil
}

func randomHex(length int) string {
	b := make([]byte, length)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// WithdrawKey withdraws a key. This VM refuses the key from now on, even if the fleet leader can't be reached.
func (n *Node) WithdrawKey(ctx context.Context, workspace, id string) error {
	newlyDenied := n.directory.DenyKey(id)
	defer n.triggerSync()
	err := n.callLeader(ctx, topology.FleetGroup, opWithdrawKey, 0, fleet.Withdraw{Workspace: workspace, ID: id}, nil)
	rejected := err != nil && pj.AsError(err).Code == pj.CodeBadRequest && pj.AsError(err).NotRun
	if rejected && newlyDenied {
		n.directory.AllowKey(id)
	}
	n.log("event", "key_withdrawn", "workspace", workspace, "key", id, "err", err)
	return err
}

// Keys returns the keys of a workspace, or all keys for "".
func (n *Node) Keys(ctx context.Context, workspace string) (keys []pj.Key, err error) {
	return keys, n.callLeader(ctx, topology.FleetGroup, opListKeys, 0, workspace, &keys)
}

// DrainTarget takes a worker or endpoint out of service, or puts it back into service.
func (n *Node) DrainTarget(ctx context.Context, d pj.Drain) error {
	if err := n.callLeader(ctx, topology.CellGroup(d.Zone), opDrain, 0, d, nil); err != nil {
		return err
	}
	n.log("event", "drain_changed", "kind", d.Kind, "name", d.Name, "zone", d.Zone, "off", d.Resume)
	return nil
}

// Status returns the status of the system for operators, as seen from this VM.
func (n *Node) Status(ctx context.Context) (pj.Status, error) {
	ago, confirmed := n.directory.Confirmed()
	st := pj.Status{
		VM: n.settings.VM, Zone: n.settings.Zone,
		Version:     n.directory.Configuration().Version,
		KeysInForce: n.directory.KeyLeaseValid(),
	}
	st.ConfirmedSecondsAgo = -1
	if confirmed {
		st.ConfirmedSecondsAgo = int64(ago.Seconds())
	}
	for _, vm := range n.topology.VMs() {
		st.VMs = append(st.VMs, pj.VMStatus{Name: vm.Name, Zone: vm.Zone, Replica: vm.Replica})
	}
	for _, zone := range n.topology.Zones() {
		st.Cells = append(st.Cells, n.cellStatus(ctx, zone))
	}
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if err := n.callLeader(attemptCtx, topology.FleetGroup, opFleetStatus, 0, struct{}{}, &st.Workspaces); err != nil {
		n.log("event", "fleet_status_missing", "err", err)
	}
	slices.SortFunc(st.Workspaces, func(a, b pj.WorkspaceStatus) int { return cmp.Compare(a.Name, b.Name) })
	err := n.loop.Do(ctx, func() { st.Groups = n.groupStatus() })
	return st, err
}

func (n *Node) cellStatus(ctx context.Context, zone string) pj.CellStatus {
	var st pj.CellStatus
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if err := n.callLeader(ctx, topology.CellGroup(zone), opCellStatus, 0, zone, &st); err != nil {
		st = pj.CellStatus{Zone: zone, Problem: pj.AsError(err).Message}
	}
	return st
}

func (n *Node) groupStatus() []pj.GroupStatus {
	var list []pj.GroupStatus
	for _, name := range n.topology.Groups() {
		g := n.host.Group(name)
		if g == nil {
			continue
		}
		l := g.Leadership()
		list = append(list, pj.GroupStatus{
			Name: name, Term: l.Term, Leader: l.Leader, Applied: g.Applied(), Members: g.Membership().Voters,
		})
	}
	return list
}

// Ready reports whether this VM can serve: the configuration in force has been confirmed since the start.
func (n *Node) Ready() bool {
	_, confirmed := n.directory.Confirmed()
	return confirmed
}
