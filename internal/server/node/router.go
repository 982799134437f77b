package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/replica"
)

// Times of calls to leaders.
const (
	tryTimeout  = 1500 * time.Millisecond // for calls that are answered at once
	tryAgain    = 60 * time.Millisecond   // pause after all members were asked in vain
	callTimeout = 6 * time.Second         // for the whole of a call that isn't given a shorter time
	heldLong    = 100 * time.Millisecond  // after which what was sent is no longer new
	waitSlack   = time.Second             // added to calls that the leader holds back
)

// leaderHints remembers which VM last led a group. The zero value knows nothing.
type leaderHints struct {
	mu  sync.Mutex
	vms map[string]string
}

func (h *leaderHints) get(group string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.vms[group]
}

func (h *leaderHints) set(group, vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.vms == nil {
		h.vms = make(map[string]string)
	}
	h.vms[group] = vm
}

// notLeader returns the error with which this VM refuses what only the leader may do.
func (n *Node) notLeader(group string) *pj.Error {
	e := pj.Refuse(pj.CodeNotLeader, "VM %s does not lead %s", n.settings.VM, group)
	if g := n.host.Group(group); g != nil {
		if leader := replica.VMOf(g.Lead().Leader); leader != n.settings.VM {
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
	c := leaderCall{
		group: group, search: leaderSearch{members: n.candidates(group), next: n.leaders.get(group)},
		once: operation == opAnnounce,
	}
	for ctx.Err() == nil {
		vm, wrapped := c.search.pick()
		if vm == "" {
			return 0, pj.Refuse(pj.CodeNoQuorum, "no VM is a replica of %s", group)
		}
		if wrapped && !pause(ctx, tryAgain) {
			break
		}
		sent := n.clock.Now()
		err := n.callVM(ctx, vm, operation, hold, argument, result)
		if err == nil {
			n.leaders.set(group, vm)
			return sent, nil
		}
		if c.ended(err, vm, n.clock.Now()-sent) {
			return 0, c.final(err)
		}
	}
	return 0, noLeader(group, c.uncertain, c.last)
}

// leaderCall is what was learned from the tries of one call.
type leaderCall struct {
	group     string
	search    leaderSearch
	once      bool  // what is sent is too old after a long try, and must not be sent again
	uncertain bool  // some try may have had an effect
	last      error // of the last try
}

// ended takes in a failed try and reports whether the call ends with it.
func (c *leaderCall) ended(err error, vm string, took time.Duration) bool {
	c.last = err
	stale := c.once && took > heldLong
	var e *pj.Error
	if !errors.As(err, &e) {
		c.uncertain = true
		return stale
	}
	c.search.hint(e.Leader, vm)
	return stale || (e.Code != pj.CodeNotLeader && e.Code != pj.CodeNoQuorum)
}

// final returns the error with which the call ends.
func (c *leaderCall) final(err error) error {
	var e *pj.Error
	if !errors.As(err, &e) {
		return pj.Refuse(pj.CodeNotLeader, "the leader of %s was lost", c.group)
	}
	if c.uncertain {
		return pj.AfterUnknown(err)
	}
	return err
}

func noLeader(group string, uncertain bool, last error) error {
	if uncertain {
		return pj.Fail(pj.CodeOutcomeUnknown, "the leader of %s did not answer in time: %v", group, last)
	}
	e := pj.Refuse(pj.CodeNoQuorum, "%s has no leader with a quorum that can be reached: %v", group, last)
	e.RetryAfter = pj.Duration(time.Second)
	return e
}

func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
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

// leaderSearch goes through the members of a group, led by what they say of their leader.
type leaderSearch struct {
	members []string
	next    string
	at      int
}

// pick returns the VM to ask next; wrapped says that all members were asked before.
func (s *leaderSearch) pick() (vm string, wrapped bool) {
	if s.next != "" {
		vm = s.next
		s.next = ""
		return vm, false
	}
	if len(s.members) == 0 {
		return "", false
	}
	wrapped = s.at > 0 && s.at%len(s.members) == 0
	vm = s.members[s.at%len(s.members)]
	s.at++
	return vm, wrapped
}

func (s *leaderSearch) hint(leader, from string) {
	if leader != "" && leader != from && s.at <= 4*len(s.members) {
		s.next = leader
		s.at++
	}
}

// callVM runs an operation on a VM, this one included.
func (n *Node) callVM(ctx context.Context, vm, operation string, hold time.Duration, argument, result any) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout+hold)
	defer cancel()
	if vm != n.settings.VM {
		return n.transport.Call(ctx, vm, operation, argument, result)
	}
	body, err := json.Marshal(argument)
	if err != nil {
		return fmt.Errorf("write argument of %s: %w", operation, err)
	}
	value, err := n.Run(ctx, operation, body)
	if err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("write result of %s: %w", operation, err)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("read result of %s: %w", operation, err)
	}
	return nil
}
