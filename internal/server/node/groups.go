package node

import (
	"context"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/config/topology"
	"papayajunction/internal/control/cell"
	"papayajunction/internal/control/replica"
	"papayajunction/internal/server/leaderclient"
)

// Durations for joining groups and maintaining their membership.
const (
	helloInterval      = 200 * time.Millisecond
	helloTimeout       = time.Second
	membershipInterval = time.Second
	maxMemberAckAge    = 2 * time.Second // a member whose last acknowledgement is older counts as unresponsive
)

// Index and term of the first snapshot of a new group.
const (
	initialIndex = 1
	initialTerm  = 1
)

// helloRequest queries the incarnation of a VM's data directory, and whether its member of a group has started.
type helloRequest struct {
	Group string `json:"group"`
}

// helloReply is the reply to a helloRequest. Started means that the VM has created or joined the group.
type helloReply struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Started     bool   `json:"started"`
}

func (n *Node) handleHello(ctx context.Context, h helloRequest) (helloReply, error) {
	started := false
	err := n.loop.Do(ctx, func() {
		g := n.host.Group(h.Group)
		started = g != nil && g.Applied() > 0
	})
	if err != nil {
		return helloReply{}, err
	}
	if !started {
		// The group may be on disk although its member is not running yet.
		recovered, err := n.store.Load(h.Group)
		if err != nil {
			return helloReply{}, err
		}
		started = recovered.Snapshot != nil
	}
	return helloReply{VM: n.settings.VM, Incarnation: n.incarnation, Started: started}, nil
}

// joinGroup starts this VM's member of a group: from the state on disk; if there is none, as a member of a new group
// once all VMs of the group have responded that they have not started it; or, if one of them has started it, empty, so
// that the leader sends the state.
func (n *Node) joinGroup(ctx context.Context, group string, rank int) {
	recovered, err := replica.Load(n.store, group)
	if err != nil {
		n.log("event", "group_unreadable", "group", group, "err", err)
		return // without a readable log this VM must not vote
	}
	for recovered.Snapshot == nil {
		members, started, allResponded := n.helloMembers(ctx, group)
		if started {
			break
		}
		if allResponded {
			recovered.Snapshot = &pj.LogSnapshot{
				Index: initialIndex, Term: initialTerm, Membership: pj.Membership{Voters: members},
			}
			if !n.saveInitialSnapshot(ctx, group, &recovered) {
				return
			}
			break
		}
		if !leaderclient.Sleep(ctx, helloInterval) {
			return
		}
	}
	n.loop.Post(func() { n.addGroup(group, rank, recovered) })
}

// helloMembers sends a helloRequest to all VMs of a group. It returns the members on those that responded, whether any of
// them has started the group, and whether all VMs responded.
func (n *Node) helloMembers(ctx context.Context, group string) (members []string, started, allResponded bool) {
	allResponded = true
	for _, m := range n.topology.Members(group) {
		var reply helloReply
		ctx, cancel := context.WithTimeout(ctx, helloTimeout)
		err := n.callVM(ctx, m.VM, opHello, 0, helloRequest{Group: group}, &reply)
		cancel()
		if err != nil {
			allResponded = false
			continue
		}
		started = started || reply.Started
		members = append(members, replica.MemberID(reply.VM, reply.Incarnation))
	}
	slices.Sort(members)
	return members, started, allResponded
}

func (n *Node) saveInitialSnapshot(ctx context.Context, group string, recovered *pj.RecoveredState) bool {
	write := pj.LogWrite{Group: group, State: &recovered.State, Snapshot: recovered.Snapshot, CompactThrough: initialIndex}
	for {
		err := n.store.Save([]pj.LogWrite{write})
		if err == nil {
			n.log("event", "group_started", "group", group, "members", len(recovered.Snapshot.Membership.Voters))
			return true
		}
		n.log("event", "disk_write_failed", "group", group, "err", err)
		if !leaderclient.Sleep(ctx, time.Second) {
			return false
		}
	}
}

// addGroup runs on the control goroutine.
func (n *Node) addGroup(group string, rank int, recovered pj.RecoveredState) {
	if group == topology.FleetGroup {
		n.fleet.addGroup(rank, recovered)
		return
	}
	zone := topology.ZoneOfGroup(group)
	c := &cellMember{node: n, zone: zone, state: cell.NewState()}
	c.group = n.host.AddGroup(group, rank, c.state, recovered, c.leadershipChanged, nil)
	n.cells[zone] = c
}

// successor returns the member to which leadership should be transferred: of the other voters that are alive and caught
// up, the one with the lowest rank. It returns "" if there is none.
func (n *Node) successor(g *replica.Group, name string) string {
	best, bestRank := "", 0
	for _, id := range g.Membership().Voters {
		rank, ok := n.topology.MemberRank(name, replica.VMOf(id))
		if !ok || !g.Core().CanTakeLead(n.clock.Now(), id, maxMemberAckAge) {
			continue
		}
		if best == "" || rank < bestRank {
			best, bestRank = id, rank
		}
	}
	return best
}

// maintainMembership replaces members whose data directory has a new incarnation, and transfers leadership to a member of
// a lower rank.
func (n *Node) maintainMembership(ctx context.Context) {
	for _, name := range n.topology.Groups() {
		leads := false
		var unresponsive []string
		err := n.loop.Do(ctx, func() {
			g := n.host.Group(name)
			leads = g != nil && g.Serving()
			if leads {
				unresponsive = n.vmsWithoutLiveVoter(g, name)
			}
		})
		if err != nil || !leads {
			continue
		}
		ids := n.currentMemberIDs(ctx, name, unresponsive)
		_ = n.loop.Do(ctx, func() { n.maintainGroup(name, ids) })
	}
}

// vmsWithoutLiveVoter returns the VMs of a group whose voters have not acknowledged a round within maxMemberAckAge.
func (n *Node) vmsWithoutLiveVoter(g *replica.Group, name string) []string {
	alive := make(map[string]bool)
	for _, id := range g.Membership().Voters {
		if g.Core().AckedWithin(n.clock.Now(), id, maxMemberAckAge) {
			alive[replica.VMOf(id)] = true
		}
	}
	var unresponsive []string
	for _, m := range n.topology.Members(name) {
		if !alive[m.VM] {
			unresponsive = append(unresponsive, m.VM)
		}
	}
	return unresponsive
}

// currentMemberIDs returns the current member ids of VMs of a group; VMs that don't respond are left out.
func (n *Node) currentMemberIDs(ctx context.Context, group string, vms []string) []string {
	var ids []string
	for _, vm := range vms {
		var reply helloReply
		ctx, cancel := context.WithTimeout(ctx, helloTimeout)
		err := n.callVM(ctx, vm, opHello, 0, helloRequest{Group: group}, &reply)
		cancel()
		if err == nil {
			ids = append(ids, replica.MemberID(reply.VM, reply.Incarnation))
		}
	}
	return ids
}

// maintainGroup makes at most one change; the next call continues.
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
	ownRank, _ := n.topology.MemberRank(name, n.settings.VM)
	if ownRank == 0 {
		return
	}
	if successor := n.successor(g, name); successor != "" {
		if rank, _ := n.topology.MemberRank(name, replica.VMOf(successor)); rank < ownRank {
			_ = g.Core().Transfer(n.clock.Now(), successor)
		}
	}
}

// replaceMember makes the next step to turn id, the current member id of its VM, into a voter: it is added as a learner,
// then the VM's old member id is removed, then the learner is promoted. It reports whether it made a step.
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
	case !g.Core().CaughtUp(id) || !g.Core().AckedWithin(now, id, maxMemberAckAge):
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

// othersAlive reports whether all voters other than except are alive.
func (n *Node) othersAlive(g *replica.Group, except string) bool {
	for _, id := range g.Membership().Voters {
		if id != except && !g.Core().AckedWithin(n.clock.Now(), id, maxMemberAckAge) {
			return false
		}
	}
	return true
}
