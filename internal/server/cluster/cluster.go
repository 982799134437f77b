// Package cluster runs one VM of a system whose VMs find each other from seeds and whose workers are
// called: an entry takes in work and passes it to the leader; a replica keeps the state as well and may lead.
package cluster

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	pj "papayajunction"
	"papayajunction/internal/control/bootclock"
	"papayajunction/internal/control/rulecache"
	"papayajunction/internal/server/lead"
	"papayajunction/internal/server/operation"
	"papayajunction/internal/server/peer"
)

// Group is the name of the one replicated group.
const Group = "cluster"

// Times of a VM.
const (
	syncInterval = 400 * time.Millisecond // between two questions for newer rules
	tryTimeout   = 500 * time.Millisecond // of one try to reach the leader; calls are idempotent and tried again
	callMost     = 2500 * time.Millisecond
	finalsMost   = 4096 // final states of workflows that are remembered
)

// Options configure a VM.
type Options struct {
	Address    string // where the other VMs reach this one, an IP and port; it is the VM's name too
	Zone       string // availability zone
	Region     string
	Rank       int // VMs of a lower rank lead if they can
	Replica    bool
	DataDir    string
	Bootstrap  bool // the system starts for the first time
	Seeds      func() []string
	PublicPort int // of the replicas' interface for workers and operators
	// RulesWithin is how soon after their acknowledgement rules must be in force on every VM; 0 if nothing is promised.
	RulesWithin time.Duration
	Keep        time.Duration // how long callers may ask for workflows in a final state; 0 for the controller's own
	Link        pj.WorkerClient
	Advisor     pj.Advisor
	Logger      Logger
	Metrics     *metrics.Set
}

// Logger takes log lines.
type Logger interface {
	Log(keyvals ...any) error
}

// VM is one VM of the system.
type VM struct {
	options    Options
	clock      pj.Clock
	book       *rulecache.Cache
	transport  *peer.Transport
	finder     lead.Finder
	operations operation.Table
	replica    *replica // nil on an entry
	finals     finals
	window     *window // of callers' calls to the leader
	syncing    sync.Mutex
	calls      atomic.Int64 // that other VMs have made here

	mu      sync.Mutex
	members []string // VMs of the group, as last heard
	near    string   // the replica that answers for the leader
	applied uint64   // what the leader had applied when it was last asked
}

// New starts a VM and returns a function that stops it.
func New(options Options) (*VM, func(), error) {
	clock := bootclock.New()
	v := &VM{options: options, clock: clock, book: rulecache.New(clock, rulesLease(options.RulesWithin)), finals: newFinals(finalsMost), window: newWindow(clock)}
	transport, closeTransport := peer.NewTransport(options.Address, addressOf, nil, peer.NewTraffic(options.Metrics))
	v.transport = transport
	v.operations = operation.Table{opAdvise: operation.Typed(v.runAdvise)}
	closeReplica := func() {}
	if options.Replica {
		r, cleanup, err := newReplica(v)
		if err != nil {
			closeTransport()
			return nil, nil, fmt.Errorf("start replica: %w", err)
		}
		v.replica = r
		r.addOperations(v.operations)
		closeReplica = cleanup
	}
	ctx, cancel := context.WithCancel(context.Background())
	if v.replica != nil {
		v.replica.start(ctx)
	}
	go v.syncRules(ctx)
	return v, func() {
		cancel()
		closeTransport()
		closeReplica()
	}, nil
}

// addressOf says where a VM listens: VMs are named by their addresses.
func addressOf(vm string) (string, bool) {
	return vm, vm != ""
}

// log writes a line; an error that is nil at its end is left out.
func (v *VM) log(event string, keyvals ...any) {
	if n := len(keyvals); n > 0 && keyvals[n-1] == nil {
		keyvals = keyvals[:n-2]
	}
	_ = v.options.Logger.Log(append([]any{"event", event}, keyvals...)...) // a line that can't be written is counted by the log
}

// Deliver hands in messages from another VM.
func (v *VM) Deliver(messages []pj.PeerMessage) {
	if v.replica != nil {
		v.replica.deliver(messages)
	}
}

// Run runs an operation that another VM asked for.
func (v *VM) Run(ctx context.Context, name string, argument []byte) (any, error) {
	v.options.Metrics.GetOrCreateCounter(fmt.Sprintf("papaya_calls_total{operation=%q}", name)).Inc()
	v.calls.Add(1)
	return v.operations.Run(ctx, name, argument)
}

// Book returns the rules that this VM knows.
func (v *VM) Book() *rulecache.Cache {
	return v.book
}

// Ready reports whether this VM has rules and a way to the leader.
func (v *VM) Ready() bool {
	return v.book.CheckLease() == nil
}

// knownMembers returns the VMs that may lead: the members as last heard, then the seeds.
func (v *VM) knownMembers() []string {
	v.mu.Lock()
	known := slices.Clone(v.members)
	v.mu.Unlock()
	for _, seed := range v.options.Seeds() {
		if !slices.Contains(known, seed) {
			known = append(known, seed)
		}
	}
	return known
}

// learn takes in what the leader said of the group.
func (v *VM) learn(reply syncReply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.near, v.applied = reply.Near, reply.Applied
	if len(reply.Members) > 0 {
		v.members = reply.Members
	}
}

// call runs an operation on the leader, whichever VM that is.
func (v *VM) call(ctx context.Context, name string, argument, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callMost)
	defer cancel()
	_, err := v.finder.Do(ctx, lead.Call{
		Group: Group, Members: v.knownMembers(), Clock: v.clock,
		Run: func(ctx context.Context, vm string) error {
			ctx, cancel := context.WithTimeout(ctx, tryTimeout)
			defer cancel()
			if vm == v.options.Address {
				return v.operations.RunLocal(ctx, name, argument, result)
			}
			return v.transport.Call(ctx, vm, name, argument, result)
		},
	})
	return err
}

// callInTurn runs an operation of a caller on the leader when there is room for it.
func (v *VM) callInTurn(ctx context.Context, name string, argument, result any) error {
	return v.window.do(ctx, func() error { return v.call(ctx, name, argument, result) })
}

// syncRules keeps the rules on this VM as new as the leader's.
func (v *VM) syncRules(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	lost := true
	for {
		err := v.Sync(ctx)
		if ctx.Err() != nil {
			return
		}
		if lost != (err != nil) {
			lost = err != nil
			v.log("leader_contact", "lost", lost, "leader", v.finder.Leader(Group), "rules_version", v.book.Rules().Version, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Sync asks the leader for newer rules.
func (v *VM) Sync(ctx context.Context) error {
	v.syncing.Lock()
	defer v.syncing.Unlock()
	reply, asked, err := v.askRules(ctx, true)
	if err == nil && reply.Newer {
		if reply.Rules = v.nearRules(ctx, reply.Version); reply.Rules == nil {
			reply, asked, err = v.askRules(ctx, false)
		}
	}
	if err != nil {
		return err
	}
	if v.book.Update(asked, reply.Version, reply.Rules) {
		v.log("rules_in_force", "version", reply.Version, "queues", len(reply.Rules.Routes), "workspaces", len(reply.Rules.Workspaces))
	}
	return nil
}

// askRules asks the leader for newer rules, and takes in what it says of the group. It returns when it asked. With lean, rules that a
// replica has are left out.
func (v *VM) askRules(ctx context.Context, lean bool) (reply syncReply, asked time.Duration, err error) {
	asked = v.clock.Now()
	known := v.book.Rules()
	request := syncRequest{
		VM: v.options.Address, Rank: v.options.Rank, Zone: v.options.Zone, Region: v.options.Region, Replica: v.options.Replica,
		Version: known.Version, Have: known.Document != nil, Lean: lean,
	}
	if err = v.call(ctx, opSync, request, &reply); err == nil {
		v.learn(reply)
	}
	return reply, asked, err
}

// withPort returns an address with another port.
func withPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}
