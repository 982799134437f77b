package node

import (
	"context"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/replica"
	"papayajunction/internal/server/leaderclient"
)

// Durations for calls to leaders.
const (
	attemptTimeout         = 1500 * time.Millisecond // of one attempt; the time for which the leader may hold its reply is added
	callTimeout            = 6 * time.Second         // of a call with all its attempts, if ctx does not end earlier; the hold time is added
	announcementStaleAfter = 100 * time.Millisecond  // an announcement is out of date, and not resent, if a failed attempt took longer
	waitSlack              = time.Second             // added to the time that a caller waits for a job
)

// notLeader returns the error for a call that only the leader of a group can handle.
func (n *Node) notLeader(group string) *pj.Error {
	e := pj.Refuse(pj.CodeNotLeader, "VM %s does not lead %s", n.settings.VM, group)
	if g := n.host.Group(group); g != nil {
		if leader := replica.VMOf(g.Leadership().Leader); leader != n.settings.VM {
			e.Leader = leader
		}
	}
	return e
}

// callLeader runs an operation on the leader of a group. It tries the members until one replies as the leader, or until
// ctx ends or callTimeout and hold have elapsed. hold is the time for which the leader may hold its reply. Every
// operation is idempotent, so that it can be sent again after a reply was lost.
func (n *Node) callLeader(ctx context.Context, group, operation string, hold time.Duration, argument, result any) error {
	_, err := n.callLeaderAt(ctx, group, operation, hold, argument, result)
	return err
}

// callLeaderAt is like callLeader and returns the time at which the successful attempt was sent.
func (n *Node) callLeaderAt(ctx context.Context, group, operation string, hold time.Duration, argument, result any) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+hold)
	defer cancel()
	call := leaderclient.Call{
		Group: group, Members: n.candidates(group), Clock: n.clock,
		Run: func(ctx context.Context, vm string) error {
			return n.callVM(ctx, vm, operation, hold, argument, result)
		},
	}
	if operation == opAnnounce {
		call.StaleAfter = announcementStaleAfter
	}
	return n.leaders.Do(ctx, call)
}

// candidates returns the VMs of a group, with this VM first.
func (n *Node) candidates(group string) []string {
	var vms []string
	for _, m := range n.topology.Members(group) {
		if m.VM == n.settings.VM {
			vms = slices.Insert(vms, 0, m.VM)
		} else {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// addressOf returns the address at which a VM listens.
func (n *Node) addressOf(name string) (string, bool) {
	vm, ok := n.topology.VM(name)
	return vm.Address, ok
}

// callVM runs an operation on a VM, which may be this one.
func (n *Node) callVM(ctx context.Context, vm, operation string, hold time.Duration, argument, result any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+hold)
	defer cancel()
	if vm != n.settings.VM {
		return n.transport.Call(ctx, vm, operation, argument, result)
	}
	return n.operations.RunLocal(ctx, operation, argument, result)
}
