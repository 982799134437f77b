package node

import (
	"context"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/config/topology"
	"papayajunction/internal/control/cell"
	"papayajunction/internal/control/replica"
	"papayajunction/internal/server/lead"
)

// Times of joining and maintaining groups.
const (
	helloInterval      = 200 * time.Millisecond
	helloTimeout       = time.Second
	membershipInterval = time.Second
	memberAlive        = 2 * time.Second // a member heard this recently counts as alive
)

// genesisIndex and genesisTerm are the place of a group's first snapshot.
const (
	genesisIndex = 1
	genesisTerm  = 1
)

// hello asks a VM for the identity of its data folder and whether it has a group already.
type hello struct {
	Group string `json:"group"`
}

// helloReply answers hello. Started means that the group was started or joined there.
type helloReply struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Started     bool   `json:"started"`
}

func (n *Node) runHello(ctx context.Context, h hello) (helloReply, error) {
	started := false
	err := n.loop.Do(ctx, func() {
		g := n.host.Group(h.Group)
		started = g != nil && g.Applied() > 0
	})
	if err != nil {
		return helloReply{}, err
	}
	if !started {
		// The member may not be running yet although the disk holds the group.
		recovered, err := n.store.Load(h.Group)
		if err != nil {
			return helloReply{}, err
		}
		started = recovered.Snapshot != nil
	}
	return helloReply{VM: n.settings.VM, Incarnation: n.id, Started: started}, nil
}

// joinGroup starts this VM's member of a group: with what its disk holds, or as a member of a new
// group once all members are known to be empty, or else empty, to be brought up by the leader.
func (n *Node) joinGroup(ctx context.Context, group string, rank int) {
	recovered, err := n.store.Load(group)
	if err != nil {
		n.log("event", "group_unreadable", "group", group, "err", err)
		return // without a sound log this VM must not take part
	}
	for recovered.Snapshot == nil {
		members, started, complete := n.greet(ctx, group)
		if started {
			break
		}
		if complete {
			recovered.Snapshot = &pj.LogSnapshot{
				Index: genesisIndex, Term: genesisTerm, Membership: pj.Membership{Voters: members},
			}
			if !n.saveGenesis(ctx, group, &recovered) {
				return
			}
			break
		}
		if !lead.Pause(ctx, helloInterval) {
			return
		}
	}
	n.loop.Post(func() { n.addGroup(group, rank, recovered) })
}

// greet asks all members of a group. complete means that every one answered and is empty.
func (n *Node) greet(ctx context.Context, group string) (members []string, started, complete bool) {
	complete = true
	for _, m := range n.topology.Members(group) {
		var reply helloReply
		ctx, cancel := context.WithTimeout(ctx, helloTimeout)
		err := n.callVM(ctx, m.VM, opHello, 0, hello{Group: group}, &reply)
		cancel()
		if err != nil {
			complete = false
			continue
		}
		started = started || reply.Started
		members = append(members, replica.MemberID(reply.VM, reply.Incarnation))
	}
	slices.Sort(members)
	return members, started, complete
}

func (n *Node) saveGenesis(ctx context.Context, group string, recovered *pj.RecoveredState) bool {
	write := pj.LogWrite{Group: group, State: &recovered.State, Snapshot: recovered.Snapshot, CompactThrough: genesisIndex}
	for {
		err := n.store.Save([]pj.LogWrite{write})
		if err == nil {
			n.log("event", "group_started", "group", group, "members", len(recovered.Snapshot.Membership.Voters))
			return true
		}
		n.log("event", "disk_write_failed", "group", group, "err", err)
		if !lead.Pause(ctx, time.Second) {
			return false
		}
	}
}

// addGroup runs on the control goroutine.
func (n *Node) addGroup(group string, rank int, recovered pj.RecoveredState) {
	if group == topology.FleetGroup {
		n.fleet.add(rank, recovered)
		return
	}
	zone := topology.ZoneOfGroup(group)
	c := &cellMember{node: n, zone: zone, state: cell.NewState()}
	c.group = n.host.AddGroup(group, rank, c.state, recovered, c.leadChanged, nil)
	n.cells[zone] = c
}

// successor returns the member that should lead a group instead of this one: one of the lowest
// rank that is alive and has a vote.
func (n *Node) successor(g *replica.Group, name string) string {
	best, bestRank := "", 0
	for _, id := range g.Membership().Voters {
		rank, ok := n.topology.MemberRank(name, replica.VMOf(id))
		if !ok || id == n.host.ID() || !g.Core().AckedWithin(n.clock.Now(), id, memberAlive) || !g.Core().CaughtUp(id) {
			continue
		}
		if best == "" || rank < bestRank {
			best, bestRank = id, rank
		}
	}
	return best
}

// maintainMembership replaces members whose data folder was replaced, and hands leadership to a
// member of a lower rank.
func (n *Node) maintainMembership(ctx context.Context) {
	for _, name := range n.topology.Groups() {
		leads := false
		var silent []string
		err := n.loop.Do(ctx, func() {
			g := n.host.Group(name)
			leads = g != nil && g.Serving()
			if leads {
				silent = n.withoutVoter(g, name)
			}
		})
		if err != nil || !leads {
			continue
		}
		ids := n.incarnations(ctx, name, silent)
		_ = n.loop.Do(ctx, func() { n.maintainGroup(name, ids) })
	}
}

// withoutVoter returns the VMs of a group of which no voter was heard lately.
func (n *Node) withoutVoter(g *replica.Group, name string) []string {
	heard := make(map[string]bool)
	for _, id := range g.Membership().Voters {
		if g.Core().AckedWithin(n.clock.Now(), id, memberAlive) {
			heard[replica.VMOf(id)] = true
		}
	}
	var silent []string
	for _, m := range n.topology.Members(name) {
		if !heard[m.VM] {
			silent = append(silent, m.VM)
		}
	}
	return silent
}

// incarnations returns the member ids that VMs of a group have now, as far as they answer.
func (n *Node) incarnations(ctx context.Context, group string, vms []string) []string {
	var ids []string
	for _, vm := range vms {
		var reply helloReply
		ctx, cancel := context.WithTimeout(ctx, helloTimeout)
		err := n.callVM(ctx, vm, opHello, 0, hello{Group: group}, &reply)
		cancel()
		if err == nil {
			ids = append(ids, replica.MemberID(reply.VM, reply.Incarnation))
		}
	}
	return ids
}

// maintainGroup makes at most one change; the next call goes on from there.
func (n *Node) maintainGroup(name string, ids []string) {
	g := n.host.Group(name)
	if g == nil || !g.Serving() {
		return
	}
	for _, id := range ids {
		if n.replaceMember(g, name, id) {
			return
		}
	}
	own, _ := n.topology.MemberRank(name, n.settings.VM)
	if own == 0 {
		return
	}
	if successor := n.successor(g, name); successor != "" {
		if rank, _ := n.topology.MemberRank(name, replica.VMOf(successor)); rank < own {
			_ = g.Core().Transfer(n.clock.Now(), successor)
		}
	}
}

// replaceMember goes one step towards having id, the current identity of its VM, as a voter: first
// as a learner, then the VM's old identity leaves, then the learner gets the vote.
func (n *Node) replaceMember(g *replica.Group, name, id string) bool {
	m := g.Membership()
	if slices.Contains(m.Voters, id) {
		return false
	}
	now := n.clock.Now()
	var err error
	old := slices.IndexFunc(m.Voters, func(v string) bool { return replica.VMOf(v) == replica.VMOf(id) })
	switch {
	case !slices.Contains(m.Learners, id):
		err = g.Core().AddLearner(now, id)
		n.log("event", "member_joins", "group", name, "member", id, "as", "learner", "err", err)
	case !g.Core().CaughtUp(id) || !g.Core().AckedWithin(now, id, memberAlive):
		return false
	case old >= 0 && n.othersAlive(g, m.Voters[old]):
		err = g.Core().Remove(now, m.Voters[old])
		n.log("event", "member_leaves", "group", name, "member", m.Voters[old], "err", err)
	case old < 0:
		err = g.Core().Promote(now, id)
		n.log("event", "member_joins", "group", name, "member", id, "as", "voter", "err", err)
	default:
		return false
	}
	return err == nil
}

// othersAlive reports whether all voters but one answer.
func (n *Node) othersAlive(g *replica.Group, except string) bool {
	for _, id := range g.Membership().Voters {
		if id != except && !g.Core().AckedWithin(n.clock.Now(), id, memberAlive) {
			return false
		}
	}
	return true
}
