package node

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	pj "papayajunction"
	"papayajunction/internal/config/operator"
	"papayajunction/internal/config/topology"
	"papayajunction/internal/control/directory"
	"papayajunction/internal/control/fleet"
	"papayajunction/internal/control/replica"
	"papayajunction/internal/server/leaderclient"
	"papayajunction/internal/server/operation"
)

// Intervals of periodic work with the fleet group.
const (
	syncInterval  = 700 * time.Millisecond
	allotInterval = 500 * time.Millisecond
)

// fleetMember is this VM's member of the fleet group. Its fields are used on the control goroutine only.
type fleetMember struct {
	node         *Node
	group        *replica.Group // nil on a VM that is not a member, and until the member has started
	state        *fleet.State
	planner      *fleet.Planner // nil unless this VM leads
	planInFlight bool           // a plan is being committed
	plannedAt    time.Duration
}

func newFleetMember(n *Node) *fleetMember {
	return &fleetMember{node: n, state: fleet.NewState()}
}

func (f *fleetMember) addGroup(rank int, recovered pj.RecoveredState) {
	f.group = f.node.host.AddGroup(topology.FleetGroup, rank, f.state, recovered, f.leadershipChanged, f.updateDirectory)
}

// leadershipChanged creates the planner when this VM becomes the leader and removes it when it no longer is.
func (f *fleetMember) leadershipChanged(serving bool, term uint64) {
	f.planInFlight = false
	f.planner = nil
	if serving {
		f.planner = fleet.NewPlanner(f.node.topology.Zones())
		f.node.log("event", "fleet_lead_gained", "term", term)
		return
	}
	f.node.log("event", "fleet_lead_lost", "term", term)
}

// updateDirectory copies the committed configuration and keys to this VM's directory. It is called after entries were
// applied.
func (f *fleetMember) updateDirectory() {
	if f.state.DirectoryIndex() > f.node.directory.Index() {
		f.node.directory.Set(f.state.DirectoryContent())
	}
}

func (f *fleetMember) serving() bool {
	return f.group != nil && f.planner != nil && f.group.Serving()
}

// tick plans allotments and commits the plan.
func (f *fleetMember) tick() {
	now := f.node.clock.Now()
	if !f.serving() || f.planInFlight || now < f.plannedAt+allotInterval/2 {
		return
	}
	f.plannedAt = now
	confirmations, changes := f.planner.Plan(now, f.state)
	if len(confirmations) > 0 {
		f.commitPlan(fleet.Command{Confirm: confirmations})
	} else if len(changes) > 0 {
		f.commitPlan(fleet.Command{Allot: changes})
	}
}

func (f *fleetMember) commitPlan(c fleet.Command) {
	f.planInFlight = true
	planner := f.planner
	f.commit(c, func(pj.CommitResult) {
		if f.planner == planner {
			f.planInFlight = false
		}
	})
}

func (f *fleetMember) commit(c fleet.Command, done func(pj.CommitResult)) {
	data, err := json.Marshal(c)
	if err != nil {
		done(pj.CommitResult{Err: fmt.Errorf("encode fleet command: %w", err)})
		return
	}
	f.group.Commit(data, done)
}

// runIfFleetLeader runs work on the control goroutine if this VM is the leader of the fleet group; otherwise it returns
// CodeNotLeader.
func runIfFleetLeader[R any](ctx context.Context, f *fleetMember, work func(reply func(R, error))) (R, error) {
	return operation.RunOnLoop(ctx, f.node.loop, func(reply func(R, error)) {
		if !f.serving() {
			var zero R
			reply(zero, f.node.notLeader(topology.FleetGroup))
			return
		}
		work(reply)
	})
}

// syncRequest requests the latest directory content from the fleet leader, or the confirmation that this VM has it.
type syncRequest struct {
	VM     string `json:"vm"`
	Index  uint64 `json:"have"`   // log index of the VM's directory content
	Member bool   `json:"member"` // the VM receives the group's log, so that it needs no copy of the content
}

// syncReply contains the log index of the latest directory content, and the content itself if the VM's is older and the
// VM does not receive the group's log.
type syncReply struct {
	Index   uint64             `json:"index"`
	Content *directory.Content `json:"public,omitempty"`
}

func (f *fleetMember) handleSync(ctx context.Context, r syncRequest) (syncReply, error) {
	return runIfFleetLeader(ctx, f, func(reply func(syncReply, error)) {
		s := syncReply{Index: f.state.DirectoryIndex()}
		if r.Index < s.Index && !r.Member {
			content := f.state.DirectoryContent()
			s.Content = &content
		}
		reply(s, nil)
	})
}

// syncDirectory updates this VM's directory and renews its key lease. A member of the fleet group waits until it has applied
// the log up to the leader's directory index.
func (n *Node) syncDirectory(ctx context.Context) {
	_, member := n.topology.MemberRank(topology.FleetGroup, n.settings.VM)
	requestedAt := n.clock.Now()
	request := syncRequest{VM: n.settings.VM, Index: n.directory.Index(), Member: member}
	var reply syncReply
	ctx, cancel := context.WithTimeout(ctx, directory.KeyLease)
	defer cancel()
	if err := n.callLeader(ctx, topology.FleetGroup, opSync, 0, request, &reply); err != nil {
		return
	}
	if reply.Content != nil {
		n.directory.Set(*reply.Content)
	}
	for !n.directory.Confirm(requestedAt, reply.Index) {
		if !leaderclient.Sleep(ctx, tickInterval) {
			return
		}
	}
}

// triggerSync runs syncDirectory without waiting for its interval, because a change was made through this VM.
func (n *Node) triggerSync() {
	select {
	case n.syncNow <- struct{}{}:
	default:
	}
}

func (f *fleetMember) handlePublish(ctx context.Context, p pj.Publication) (pj.PublicationReply, error) {
	config, issues := operator.Parse(p.Files)
	if len(issues) > 0 {
		e := pj.Refuse(pj.CodeBadRequest, "%d error(s) in the operator files; nothing was changed", len(issues))
		e.Details = issues
		return pj.PublicationReply{}, e
	}
	return runIfFleetLeader(ctx, f, func(reply func(pj.PublicationReply, error)) {
		command := fleet.Command{Publish: &fleet.Publish{
			Replaces: p.ReplacedVersion, Hash: config.Hash, Workspaces: config.Workspaces, Queues: config.Queues,
		}}
		f.commit(command, func(r pj.CommitResult) {
			result, ok := r.Value.(fleet.PublishResult)
			switch {
			case r.Err != nil:
				reply(pj.PublicationReply{}, r.Err)
			case !ok:
				reply(pj.PublicationReply{}, pj.Fail(pj.CodeInternal, "the commit of the publication returned no result"))
			case result.Err != nil:
				reply(pj.PublicationReply{}, result.Err)
			default:
				f.node.log("event", "configuration_published", "version", result.Published.Version, "resent", result.Published.AlreadyPublished)
				reply(result.Published, nil)
			}
		})
	})
}

// commitAndWait commits a command on the leader and returns the error with which the state machine rejected it, if any.
func (f *fleetMember) commitAndWait(ctx context.Context, c fleet.Command) error {
	_, err := runIfFleetLeader(ctx, f, func(reply func(struct{}, error)) {
		f.commit(c, func(r pj.CommitResult) {
			if rejected, ok := r.Value.(*pj.Error); ok && rejected != nil {
				reply(struct{}{}, rejected)
				return
			}
			reply(struct{}{}, r.Err)
		})
	})
	return err
}

func (f *fleetMember) handleGrantKey(ctx context.Context, k pj.Key) (struct{}, error) {
	if _, ok := f.node.directory.Configuration().Workspaces[k.Workspace]; !ok {
		return struct{}{}, pj.Refuse(pj.CodeBadRequest, "workspace %s is not in the configuration", k.Workspace)
	}
	return struct{}{}, f.commitAndWait(ctx, fleet.Command{Grant: &k})
}

func (f *fleetMember) handleWithdrawKey(ctx context.Context, w fleet.Withdraw) (struct{}, error) {
	return struct{}{}, f.commitAndWait(ctx, fleet.Command{Withdraw: &w})
}

func (f *fleetMember) handleListKeys(ctx context.Context, workspace string) ([]pj.Key, error) {
	return runIfFleetLeader(ctx, f, func(reply func([]pj.Key, error)) { reply(f.state.Keys(workspace), nil) })
}

func (f *fleetMember) handleAllotments(ctx context.Context, r pj.AllotmentReport) (pj.AllotmentReply, error) {
	return runIfFleetLeader(ctx, f, func(reply func(pj.AllotmentReply, error)) {
		needFull := f.planner.HandleReport(f.node.clock.Now(), r)
		reply(pj.AllotmentReply{
			FleetTerm: f.group.Leadership().Term,
			NeedFull:  needFull,
			Targets:   f.state.UnconfirmedAllotments(r.Cell),
			Remote:    f.planner.RemoteUsage(r.Cell),
			Capacity:  f.planner.Capacity(),
		}, nil)
	})
}

func (f *fleetMember) handleStatus(ctx context.Context, _ struct{}) ([]pj.WorkspaceStatus, error) {
	return runIfFleetLeader(ctx, f, func(reply func([]pj.WorkspaceStatus, error)) {
		var list []pj.WorkspaceStatus
		for _, w := range f.state.Configuration().Workspaces {
			usage, waiting := f.planner.WorkspaceUsage(w.Name)
			list = append(list, pj.WorkspaceStatus{
				Name: w.Name, Share: w.Share, Limit: w.Limit, Usage: usage, Waiting: waiting,
			})
		}
		reply(list, nil)
	})
}
