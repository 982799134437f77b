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
	"papayajunction/internal/server/lead"
	"papayajunction/internal/server/operation"
)

// Times of the fleet's regular work.
const (
	syncInterval  = 700 * time.Millisecond
	allotInterval = 500 * time.Millisecond
)

// fleetMember is this VM's part in the fleet group. Its fields belong to the control goroutine.
type fleetMember struct {
	node    *Node
	group   *replica.Group // nil on a VM that is no member, and until the member has started
	state   *fleet.State
	planner *fleet.Planner // nil unless this VM leads
	busy    bool           // a plan is being committed
	planned time.Duration
}

func newFleetMember(n *Node) *fleetMember {
	return &fleetMember{node: n, state: fleet.NewState()}
}

func (f *fleetMember) add(rank int, recovered pj.RecoveredState) {
	f.group = f.node.host.AddGroup(topology.FleetGroup, rank, f.state, recovered, f.leadChanged, f.applied)
}

// leadChanged starts or ends what only the leader does.
func (f *fleetMember) leadChanged(serving bool, term uint64) {
	f.busy = false
	f.planner = nil
	if serving {
		f.planner = fleet.NewPlanner(f.node.topology.Zones())
		f.node.log("event", "fleet_lead_gained", "term", term)
		return
	}
	f.node.log("event", "fleet_lead_lost", "term", term)
}

// applied makes what the group committed known on this VM.
func (f *fleetMember) applied() {
	if f.state.DirectoryIndex() > f.node.directory.Index() {
		f.node.directory.Set(f.state.DirectoryContent())
	}
}

func (f *fleetMember) serving() bool {
	return f.group != nil && f.planner != nil && f.group.Serving()
}

// tick plans allotments.
func (f *fleetMember) tick() {
	now := f.node.clock.Now()
	if !f.serving() || f.busy || now < f.planned+allotInterval/2 {
		return
	}
	f.planned = now
	confirms, changes := f.planner.Plan(now, f.state)
	if len(confirms) > 0 {
		f.commitPlan(fleet.Command{Confirm: confirms})
	} else if len(changes) > 0 {
		f.commitPlan(fleet.Command{Allot: changes})
	}
}

func (f *fleetMember) commitPlan(c fleet.Command) {
	f.busy = true
	planner := f.planner
	f.commit(c, func(pj.CommitResult) {
		if f.planner == planner {
			f.busy = false
		}
	})
}

func (f *fleetMember) commit(c fleet.Command, done func(pj.CommitResult)) {
	data, err := json.Marshal(c)
	if err != nil {
		done(pj.CommitResult{Err: fmt.Errorf("write fleet command: %w", err)})
		return
	}
	f.group.Commit(data, done)
}

// leading runs work on the control goroutine if this VM leads the fleet group.
func leading[R any](ctx context.Context, f *fleetMember, work func(reply func(R, error))) (R, error) {
	return operation.Await(ctx, f.node.loop, func(reply func(R, error)) {
		if !f.serving() {
			var none R
			reply(none, f.node.notLeader(topology.FleetGroup))
			return
		}
		work(reply)
	})
}

// syncRequest asks the fleet leader whether this VM knows what is in force.
type syncRequest struct {
	VM     string `json:"vm"`
	Have   uint64 `json:"have"`
	Member bool   `json:"member"` // the VM receives the group's log and needs no copy
}

// syncReply says how new the VM's knowledge must be, with a copy if the VM can't get it otherwise.
type syncReply struct {
	Index  uint64             `json:"index"`
	Public *directory.Content `json:"public,omitempty"`
}

func (f *fleetMember) runSync(ctx context.Context, r syncRequest) (syncReply, error) {
	return leading(ctx, f, func(reply func(syncReply, error)) {
		s := syncReply{Index: f.state.DirectoryIndex()}
		if r.Have < s.Index && !r.Member {
			public := f.state.DirectoryContent()
			s.Public = &public
		}
		reply(s, nil)
	})
}

// syncDirectory renews this VM's key lease.
func (n *Node) syncDirectory(ctx context.Context) {
	_, member := n.topology.MemberRank(topology.FleetGroup, n.settings.VM)
	asked := n.clock.Now()
	request := syncRequest{VM: n.settings.VM, Have: n.directory.Index(), Member: member}
	var reply syncReply
	ctx, cancel := context.WithTimeout(ctx, directory.KeyLease)
	defer cancel()
	if err := n.callLeader(ctx, topology.FleetGroup, opSync, 0, request, &reply); err != nil {
		return
	}
	if reply.Public != nil {
		n.directory.Set(*reply.Public)
	}
	for !n.directory.Confirm(asked, reply.Index) {
		if !lead.Pause(ctx, tickInterval) {
			return
		}
	}
}

// resync renews the key lease soon, because something was changed through this VM.
func (n *Node) resync() {
	select {
	case n.syncNow <- struct{}{}:
	default:
	}
}

func (f *fleetMember) runPublish(ctx context.Context, p pj.Publication) (pj.PublicationReply, error) {
	config, issues := operator.Parse(p.Files)
	if len(issues) > 0 {
		e := pj.Refuse(pj.CodeBadRequest, "%d fault(s) in the operator files; nothing was changed", len(issues))
		e.Details = issues
		return pj.PublicationReply{}, e
	}
	return leading(ctx, f, func(reply func(pj.PublicationReply, error)) {
		command := fleet.Command{Publish: &fleet.Publish{
			Replaces: p.ReplacedVersion, Hash: config.Hash, Workspaces: config.Workspaces, Queues: config.Queues,
		}}
		f.commit(command, func(r pj.CommitResult) {
			result, ok := r.Value.(fleet.PublishResult)
			switch {
			case r.Err != nil:
				reply(pj.PublicationReply{}, r.Err)
			case !ok:
				reply(pj.PublicationReply{}, pj.Fail(pj.CodeInternal, "the publication had no result"))
			case result.Err != nil:
				reply(pj.PublicationReply{}, result.Err)
			default:
				f.node.log("event", "configuration_published", "version", result.Published.Version, "resent", result.Published.AlreadyPublished)
				reply(result.Published, nil)
			}
		})
	})
}

// change commits a command that returns an error or nothing.
func (f *fleetMember) change(ctx context.Context, c fleet.Command) error {
	_, err := leading(ctx, f, func(reply func(struct{}, error)) {
		f.commit(c, func(r pj.CommitResult) {
			if refused, ok := r.Value.(*pj.Error); ok && refused != nil {
				reply(struct{}{}, refused)
				return
			}
			reply(struct{}{}, r.Err)
		})
	})
	return err
}

func (f *fleetMember) runGrantKey(ctx context.Context, k pj.Key) (struct{}, error) {
	if _, ok := f.node.directory.Configuration().Workspaces[k.Workspace]; !ok {
		return struct{}{}, pj.Refuse(pj.CodeBadRequest, "workspace %s is not in the configuration", k.Workspace)
	}
	return struct{}{}, f.change(ctx, fleet.Command{Grant: &k})
}

func (f *fleetMember) runWithdrawKey(ctx context.Context, w fleet.Withdraw) (struct{}, error) {
	return struct{}{}, f.change(ctx, fleet.Command{Withdraw: &w})
}

func (f *fleetMember) runListKeys(ctx context.Context, workspace string) ([]pj.Key, error) {
	return leading(ctx, f, func(reply func([]pj.Key, error)) { reply(f.state.Keys(workspace), nil) })
}

func (f *fleetMember) runAllotments(ctx context.Context, r pj.AllotmentReport) (pj.AllotmentReply, error) {
	return leading(ctx, f, func(reply func(pj.AllotmentReply, error)) {
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

func (f *fleetMember) runStatus(ctx context.Context, _ struct{}) ([]pj.WorkspaceStatus, error) {
	return leading(ctx, f, func(reply func([]pj.WorkspaceStatus, error)) {
		var list []pj.WorkspaceStatus
		for _, w := range f.state.Configuration().Workspaces {
			use, waiting := f.planner.WorkspaceUsage(w.Name)
			list = append(list, pj.WorkspaceStatus{
				Name: w.Name, Share: w.Share, Limit: w.Limit, Use: use, Waiting: waiting,
			})
		}
		reply(list, nil)
	})
}
