package cluster

import (
	"context"
	"slices"
	"strings"
	"time"

	pj "papayajunction"
	control "papayajunction/internal/control/replica"
	"papayajunction/internal/server/lead"
)

// Times of joining and maintaining the group.
const (
	helloInterval = 100 * time.Millisecond
	helloTimeout  = 500 * time.Millisecond
	joinInterval  = 300 * time.Millisecond
	memberAlive   = 1500 * time.Millisecond // a member heard this recently counts as alive
	joinerAlive   = 2 * time.Second
	settleTime    = time.Second     // after an election, until silence counts
	leadLeast     = 5 * time.Second // a leader stays at least this long before it prefers another one
)

// genesisIndex and genesisTerm are the place of the group's first snapshot.
const (
	genesisIndex = 1
	genesisTerm  = 1
)

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
	return helloReply{VM: r.vm.options.Address, Incarnation: r.id, Started: started}, nil
}

// join starts this VM's member of the group: with what its disk holds, or as a first member of a new group, or
// else empty, to be brought up by the leader. Then it asks to be a member whenever it isn't.
func (r *replica) join(ctx context.Context) {
	recovered, err := r.store.Load(Group)
	if err != nil {
		r.vm.log("group_unreadable", "err", err)
		return // without a sound log this VM must not take part
	}
	for recovered.Snapshot == nil && r.mayFound() {
		members, started, complete := r.greet(ctx)
		if started {
			break
		}
		if complete {
			recovered.Snapshot = &pj.LogSnapshot{
				Index: genesisIndex, Term: genesisTerm, Membership: pj.Membership{Voters: members},
			}
			if !r.saveGenesis(ctx, recovered) {
				return
			}
			break
		}
		if !lead.Pause(ctx, helloInterval) {
			return
		}
	}
	r.vm.log("member_started", "incarnation", r.id, "recovered", recovered.Snapshot != nil, "entries", len(recovered.Entries))
	r.loop.Post(func() { r.group = r.host.AddGroup(Group, r.vm.options.Rank, r.state, recovered, r.leadChanged, nil) })
	for lead.Pause(ctx, joinInterval) {
		r.askToJoin(ctx)
	}
}

// mayFound reports whether this VM is one of those that form the group when the system first starts.
func (r *replica) mayFound() bool {
	return r.vm.options.Bootstrap && slices.Contains(r.vm.options.Seeds(), r.vm.options.Address)
}

// greet asks all seeds. complete means that every one answered and is empty.
func (r *replica) greet(ctx context.Context) (members []string, started, complete bool) {
	complete = true
	for _, vm := range r.vm.options.Seeds() {
		reply, err := r.hello(ctx, vm)
		if err != nil {
			complete = false
			continue
		}
		started = started || reply.Started
		members = append(members, control.MemberID(reply.VM, reply.Incarnation))
	}
	slices.Sort(members)
	return members, started, complete
}

func (r *replica) hello(ctx context.Context, vm string) (reply helloReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	if vm == r.vm.options.Address {
		return r.runHello(ctx, struct{}{})
	}
	return reply, r.vm.transport.Call(ctx, vm, opHello, struct{}{}, &reply)
}

func (r *replica) saveGenesis(ctx context.Context, recovered pj.RecoveredState) bool {
	write := pj.LogWrite{Group: Group, State: &recovered.State, Snapshot: recovered.Snapshot, CompactThrough: genesisIndex}
	for {
		err := r.store.Save([]pj.LogWrite{write})
		if err == nil {
			r.vm.log("group_founded", "members", strings.Join(recovered.Snapshot.Membership.Voters, ","))
			return true
		}
		r.vm.log("disk_write_failed", "err", err)
		if !lead.Pause(ctx, time.Second) {
			return false
		}
	}
}

// askToJoin asks the leader to make this VM a member if it has no vote, or if no leader knows it: it may have been
// removed while it was down.
func (r *replica) askToJoin(ctx context.Context) {
	voter := true
	err := r.loop.Do(ctx, func() {
		voter = r.group == nil ||
			(slices.Contains(r.group.Membership().Voters, r.host.ID()) && r.group.Leadership().Leader != "")
	})
	if err != nil || voter {
		return
	}
	if err := r.vm.call(ctx, opJoin, joinRequest{Member: r.host.ID()}, nil); err != nil {
		r.vm.log("join_failed", "member", r.host.ID(), "err", err)
	}
}

func (r *replica) runJoin(ctx context.Context, request joinRequest) (struct{}, error) {
	return leading(ctx, r, func(reply func(struct{}, error)) {
		r.joiners[request.Member] = r.vm.clock.Now()
		reply(struct{}{}, nil)
	})
}

// maintainMembers makes at most one change; the next call goes on from there.
func (r *replica) maintainMembers(now time.Duration) {
	if !r.group.Serving() {
		return
	}
	if now < r.ledSince+settleTime {
		return // not every voter has had time to answer
	}
	r.preferLowerRank(now)
	m := r.group.Membership()
	var joiners []string
	for id, at := range r.joiners {
		if now > at+joinerAlive || slices.Contains(m.Voters, id) {
			delete(r.joiners, id)
			continue
		}
		joiners = append(joiners, id)
	}
	slices.Sort(joiners)
	core := r.group.Core()
	change := planChange(m, joiners, func(id string) bool { return core.AckedWithin(now, id, memberAlive) }, core.CaughtUp)
	var err error
	switch change.kind {
	case changeNone:
		return
	case changeLearn:
		err = core.AddLearner(now, change.id)
	case changePromote:
		err = core.Promote(now, change.id)
	case changeRemove:
		err = core.Remove(now, change.id)
	}
	r.vm.log("member_change", "kind", change.kind, "member", change.id, "voters", len(m.Voters), "why", change.why, "err", err)
}

// preferLowerRank hands the leadership to a VM of a lower rank that has been there for some time.
func (r *replica) preferLowerRank(now time.Duration) {
	if now < r.ledSince+leadLeast {
		return
	}
	for _, id := range r.group.Membership().Voters {
		known, ok := r.peers[control.VMOf(id)]
		if !ok || known.rank >= r.vm.options.Rank || now < known.since+leadLeast || now > known.heard+askerAlive {
			continue
		}
		if r.group.Core().CaughtUp(id) && r.group.Core().AckedWithin(now, id, memberAlive) {
			r.vm.log("lead_handed_over", "to", id, "rank", known.rank)
			_ = r.group.Core().Transfer(now, id) // fails if one is under way already
			return
		}
	}
}

// handOver gives the leadership to another voter that has the whole log; it reports whether there is
// something left to hand over.
func (r *replica) handOver(now time.Duration) bool {
	if r.group == nil || !r.group.Leadership().IsLeader {
		return false
	}
	for _, id := range r.group.Membership().Voters {
		if id != r.host.ID() && r.group.Core().CaughtUp(id) && r.group.Core().AckedWithin(now, id, memberAlive) {
			_ = r.group.Core().Transfer(now, id) // fails if one is under way already
			return true
		}
	}
	return false
}

// Retire hands the leadership over and waits for that.
func (v *VM) Retire(ctx context.Context) {
	if v.replica == nil {
		return
	}
	for ctx.Err() == nil {
		leads := false
		if err := v.replica.loop.Do(ctx, func() { leads = v.replica.handOver(v.clock.Now()) }); err != nil || !leads {
			return
		}
		if !lead.Pause(ctx, tickInterval) {
			return
		}
	}
}

// Leads reports whether this VM leads.
func (v *VM) Leads(ctx context.Context) bool {
	leads := false
	if v.replica == nil {
		return false
	}
	err := v.replica.loop.Do(ctx, func() { leads = v.replica.group != nil && v.replica.group.Serving() })
	return err == nil && leads
}

// Votes reports whether this VM has a vote, as far as it knows.
func (v *VM) Votes(ctx context.Context) bool {
	votes := false
	if v.replica == nil {
		return false
	}
	err := v.replica.loop.Do(ctx, func() {
		votes = v.replica.group != nil && slices.Contains(v.replica.group.Membership().Voters, v.replica.host.ID())
	})
	return err == nil && votes
}
