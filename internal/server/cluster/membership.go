package cluster

import (
	"context"
	"slices"
	"strings"
	"time"

	pj "papayajunction"
	control "papayajunction/internal/control/replica"
	"papayajunction/internal/server/leaderclient"
)

// Durations for joining the group and maintaining its membership.
const (
	helloInterval     = 100 * time.Millisecond
	helloTimeout      = 500 * time.Millisecond
	joinInterval      = 300 * time.Millisecond
	maxMemberAckAge   = 1500 * time.Millisecond // a member whose last acknowledgement is older counts as unresponsive
	maxJoinRequestAge = 2 * time.Second         // older requests are dropped; a VM that still wants to join repeats its request every joinInterval
	leaderSettleTime  = time.Second             // after an election, before missing acknowledgements count
	minLeaderTenure   = 5 * time.Second         // for which this VM must have led, and a VM of a lower rank must have sent sync requests, before a transfer to that VM
)

// initialIndex and initialTerm are the log position of the group's first snapshot.
const (
	initialIndex = 1
	initialTerm  = 1
)

// runHello returns the incarnation of this VM's data directory, and whether the group was started there according to the
// state in memory or on disk.
func (r *replica) runHello(ctx context.Context, _ struct{}) (helloReply, error) {
	started := false
	err := r.loop.Do(ctx, func() { started = r.group != nil && r.group.Applied() > 0 })
	if err != nil {
		return helloReply{}, err
	}
	if !started {
		recovered, err := r.store.Load(Group)
		if err != nil {
			return helloReply{}, err
		}
		started = recovered.Snapshot != nil
	}
	return helloReply{VM: r.vm.options.Address, Incarnation: r.incarnation, Started: started}, nil
}

// runMember starts this VM's member of the group: from the state on its disk, or as an initial member of a new group, or
// else empty, to receive the state from the leader. Then it requests to join whenever it is not a voter.
func (r *replica) runMember(ctx context.Context) {
	recovered, err := control.Load(r.store, Group)
	if err != nil {
		r.vm.log("group_unreadable", "err", err)
		return // a VM that can't read its log must not take part in the group
	}
	for recovered.Snapshot == nil && r.canBootstrap() {
		members, started, allResponded := r.helloSeeds(ctx)
		if started {
			break
		}
		if allResponded {
			recovered.Snapshot = &pj.LogSnapshot{
				Index: initialIndex, Term: initialTerm, Membership: pj.Membership{Voters: members},
			}
			if !r.saveInitialSnapshot(ctx, recovered) {
				return
			}
			break
		}
		if !leaderclient.Sleep(ctx, helloInterval) {
			return
		}
	}
	r.vm.log("member_started", "incarnation", r.incarnation, "recovered", recovered.Snapshot != nil, "entries", len(recovered.Entries))
	r.loop.Post(func() {
		r.group = r.host.AddGroup(Group, r.vm.options.Rank, r.state, recovered, r.leadershipChanged, nil)
	})
	for leaderclient.Sleep(ctx, joinInterval) {
		r.requestJoin(ctx)
	}
}

// canBootstrap reports whether this VM is one of the seeds that form the group when the system first starts.
func (r *replica) canBootstrap() bool {
	return r.vm.options.Bootstrap && slices.Contains(r.vm.options.Seeds(), r.vm.options.Address)
}

// helloSeeds contacts all seeds. It returns the members of those that responded, whether the group was started on any of
// them, and whether all of them responded.
func (r *replica) helloSeeds(ctx context.Context) (members []string, started, allResponded bool) {
	allResponded = true
	for _, vm := range r.vm.options.Seeds() {
		reply, err := r.hello(ctx, vm)
		if err != nil {
			allResponded = false
			continue
		}
		started = started || reply.Started
		members = append(members, control.MemberID(reply.VM, reply.Incarnation))
	}
	slices.Sort(members)
	return members, started, allResponded
}

func (r *replica) hello(ctx context.Context, vm string) (reply helloReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	if vm == r.vm.options.Address {
		return r.runHello(ctx, struct{}{})
	}
	return reply, r.vm.transport.Call(ctx, vm, opHello, struct{}{}, &reply)
}

// saveInitialSnapshot stores the first snapshot of a new group, and retries until that succeeds. It returns false if ctx ends
// first.
func (r *replica) saveInitialSnapshot(ctx context.Context, recovered pj.RecoveredState) bool {
	write := pj.LogWrite{Group: Group, State: &recovered.State, Snapshot: recovered.Snapshot, CompactThrough: initialIndex}
	for {
		err := r.store.Save([]pj.LogWrite{write})
		if err == nil {
			r.vm.log("group_founded", "members", strings.Join(recovered.Snapshot.Membership.Voters, ","))
			return true
		}
		r.vm.log("disk_write_failed", "err", err)
		if !leaderclient.Sleep(ctx, time.Second) {
			return false
		}
	}
}

// requestJoin calls the leader to make this VM a member if it is not a voter, or if it has no leader, because it may have been
// removed from the group while it was down.
func (r *replica) requestJoin(ctx context.Context) {
	voter := true
	err := r.loop.Do(ctx, func() {
		voter = r.group == nil ||
			(slices.Contains(r.group.Membership().Voters, r.host.ID()) && r.group.Leadership().Leader != "")
	})
	if err != nil || voter {
		return
	}
	if err := r.vm.callLeader(ctx, opJoin, joinRequest{Member: r.host.ID()}, nil); err != nil {
		r.vm.log("join_failed", "member", r.host.ID(), "err", err)
	}
}

func (r *replica) runJoin(ctx context.Context, request joinRequest) (struct{}, error) {
	return runIfLeader(ctx, r, func(reply func(struct{}, error)) {
		r.joinRequestedAt[request.Member] = r.vm.clock.Now()
		reply(struct{}{}, nil)
	})
}

// maintainMembership makes at most one change of the membership; later calls continue from there.
func (r *replica) maintainMembership(now time.Duration) {
	if !r.group.Serving() {
		return
	}
	if now < r.leaderSince+leaderSettleTime {
		return // not every voter has had time to acknowledge
	}
	r.transferToLowerRank(now)
	m := r.group.Membership()
	var joiners []string
	for id, at := range r.joinRequestedAt {
		if now > at+maxJoinRequestAge || slices.Contains(m.Voters, id) {
			delete(r.joinRequestedAt, id)
			continue
		}
		joiners = append(joiners, id)
	}
	slices.Sort(joiners)
	core := r.group.Core()
	change := planChange(m, joiners, func(id string) bool { return core.AckedWithin(now, id, maxMemberAckAge) }, core.CaughtUp)
	var err error
	switch change.kind {
	case changeNone:
		return
	case changeAddLearner:
		err = core.AddLearner(now, change.id)
	case changePromote:
		err = core.Promote(now, change.id)
	case changeRemove:
		err = core.Remove(now, change.id)
	}
	r.vm.log("member_change", "kind", change.kind, "member", change.id, "voters", len(m.Voters), "why", change.reason, "err", err)
}

// transferToLowerRank transfers the leadership to a voter of a lower rank whose VM has sent sync requests without a gap for
// minLeaderTenure.
func (r *replica) transferToLowerRank(now time.Duration) {
	if now < r.leaderSince+minLeaderTenure {
		return
	}
	for _, id := range r.group.Membership().Voters {
		peer, ok := r.peers[control.VMOf(id)]
		if !ok || !peer.takesLead(now, r.vm.options.Rank) {
			continue
		}
		if r.group.Core().CanTakeLead(now, id, maxMemberAckAge) {
			r.vm.log("lead_handed_over", "to", id, "rank", peer.rank)
			_ = r.group.Core().Transfer(now, id) // fails if a transfer is already in progress
			return
		}
	}
}

// prepareStop makes the other voters stand for election first, and transfers the leadership to another voter that has the whole log whenever this VM
// leads: an election or a leader that doesn't know yet that this VM is stopping may give it the lead again. It returns false if this VM does not lead or
// is the only voter.
func (r *replica) prepareStop(now time.Duration) bool {
	if r.group == nil {
		return false
	}
	r.group.Core().SetStopping(now)
	voters := r.group.Membership().Voters
	if !r.group.Leadership().IsLeader || len(voters) == 1 {
		return false
	}
	for _, id := range voters {
		if r.group.Core().CanTakeLead(now, id, maxMemberAckAge) {
			if err := r.group.Core().Transfer(now, id); err == nil { // else a transfer is already in progress
				r.vm.log("lead_handed_over", "to", id, "why", "this VM is stopping")
			}
			break
		}
	}
	return true
}

// PrepareStop transfers the leadership to another voter, and waits until this VM no longer leads or ctx ends. It returns at once if this VM is the only
// voter. From then on the leader knows that this VM is about to stop: it gives it neither the lead nor work on its behalf.
func (v *VM) PrepareStop(ctx context.Context) {
	v.stopping.Store(true)
	v.wakeSyncLoop()
	if v.replica == nil {
		return
	}
	for ctx.Err() == nil {
		leads := false
		if err := v.replica.loop.Do(ctx, func() { leads = v.replica.prepareStop(v.clock.Now()) }); err != nil || !leads {
			return
		}
		if !leaderclient.Sleep(ctx, tickInterval) {
			return
		}
	}
}

// IsLeader reports whether this VM is the leader and serves as such.
func (v *VM) IsLeader(ctx context.Context) bool {
	leader := false
	if v.replica == nil {
		return false
	}
	err := v.replica.loop.Do(ctx, func() { leader = v.replica.group != nil && v.replica.group.Serving() })
	return err == nil && leader
}

// IsVoter reports whether this VM is a voter according to its own log.
func (v *VM) IsVoter(ctx context.Context) bool {
	voter := false
	if v.replica == nil {
		return false
	}
	err := v.replica.loop.Do(ctx, func() {
		voter = v.replica.group != nil && slices.Contains(v.replica.group.Membership().Voters, v.replica.host.ID())
	})
	return err == nil && voter
}
