package node

import (
	"context"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/replica"
	"papayajunction/internal/server/lead"
)

// Times of calls to leaders.
const (
	tryTimeout  = 1500 * time.Millisecond // for calls that are answered at once
	callTimeout = 6 * time.Second         // for the whole of a call that isn't given a shorter time
	heldLong    = 100 * time.Millisecond  // after which what was sent is no longer new
	waitSlack   = time.Second             // added to calls that the leader holds back
)

// notLeader returns the error with which this VM refuses what only the leader may do.
func (n *Node) notLeader(group string) *pj.Error {
	e := pj.Refuse(pj.CodeNotLeader, "VM %s does not lead %s", n.settings.VM, group)
	if g := n.host.Group(group); g != nil {
		if leader := replica.VMOf(g.Leadership().Leader); leader != n.settings.VM {
			e.Leader = leader
		}
	}
	return e
}

// callLeader runs an operation on the leader of a group and looks for it as long as ctx allows.
// Every operation is idempotent, so it may be sent again when an answer was lost.
func (n *Node) callLeader(ctx context.Context, group, operation string, hold time.Duration, argument, result any) error {
	_, err := n.callLeaderAt(ctx, group, operation, hold, argument, result)
	return err
}

// callLeaderAt is like callLeader and returns when the call that was answered had been sent.
func (n *Node) callLeaderAt(ctx context.Context, group, operation string, hold time.Duration, argument, result any) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+hold)
	defer cancel()
	call := lead.Call{
		Group: group, Members: n.candidates(group), Clock: n.clock,
		Run: func(ctx context.Context, vm string) error {
			return n.callVM(ctx, vm, operation, hold, argument, result)
		},
	}
	if operation == opAnnounce {
		call.Stale = heldLong
	}
	return n.leaders.Do(ctx, call)
}

// candidates returns the members of a group, this VM first.
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

// addressOf returns where a VM listens.
func (n *Node) addressOf(name string) (string, bool) {
	vm, ok := n.topology.VM(name)
	return vm.Address, ok
}

// callVM runs an operation on a VM, this one included.
func (n *Node) callVM(ctx context.Context, vm, operation string, hold time.Duration, argument, result any) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout+hold)
	defer cancel()
	if vm != n.settings.VM {
		return n.transport.Call(ctx, vm, operation, argument, result)
	}
	return n.operations.RunLocal(ctx, operation, argument, result)
}
