// Package cluster runs one VM of a system whose VMs discover each other from seed addresses and whose workers are
// polled. An entry forwards callers' requests to the leader; a replica also holds the replicated state and may lead.
package cluster

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/singleflight"

	pj "papayajunction"
	"papayajunction/internal/control/bootclock"
	"papayajunction/internal/control/rulecache"
	"papayajunction/internal/server/leaderclient"
	"papayajunction/internal/server/operation"
	"papayajunction/internal/server/peer"
)

// Group is the name of the one replicated group.
const Group = "cluster"

// Durations and limits of a VM.
const (
	syncInterval   = 400 * time.Millisecond  // between two requests for newer rules; shorter if their lease is short
	attemptTimeout = 500 * time.Millisecond  // of one attempt to call the leader; calls are idempotent and retried
	callTimeout    = 2500 * time.Millisecond // of a call to the leader, with all its attempts
	maxFinalStates = 4096                    // final workflow states that an entry caches
)

// Options configure a VM.
type Options struct {
	Address     string // IP and port at which other VMs reach this one; also the VM's name
	Zone        string // availability zone
	Region      string
	Rank        int  // VMs of a lower rank are preferred as leader
	Replica     bool // holds the replicated state and may lead
	DataDir     string
	Bootstrap   bool // the system starts for the first time, so the seeds form a new group
	Seeds       func() []string
	ControlPort int // port of the replicas' interface for workers and operators
	// Maximum time from the acknowledgement of a publication until its rules are in force on every VM; 0 if there is no
	// such guarantee.
	MaxRulesDelay time.Duration
	Retention     time.Duration // how long callers may ask for the status of workflows in a final state; 0 for the controller's default
	// Longest time, on a worker's own clock, for which it holds a lease whatever end an order sets; 0 for the controller's default.
	MaxLease time.Duration

	// Estimated memory in bytes that accepted workflows may take, on the whole and those of one workspace; 0 for the controller's defaults.
	StateBudget, WorkspaceStateBudget int64

	WorkerClient pj.WorkerClient
	Advisor      pj.Advisor
	Logger       Logger
	Metrics      *metrics.Set
}

// Logger writes log lines.
type Logger interface {
	Log(keyvals ...any) error
}

// VM is one VM of the system.
type VM struct {
	options       Options
	clock         pj.Clock
	ruleCache     *rulecache.Cache
	transport     *peer.Transport
	leaderClient  leaderclient.Client
	operations    operation.Table
	replica       *replica // nil on an entry
	finalStates   finalStateCache
	limiter       *limiter           // of calls to the leader on behalf of callers
	syncing       chan struct{}      // holds an element while an exchange about rules is in progress
	refusalSyncs  singleflight.Group // exchanges for requests that the held rules refuse
	resync        chan struct{}      // wakes the sync loop
	stopping      atomic.Bool        // set by PrepareStop
	receivedCalls atomic.Int64       // operations that other VMs have called here

	mu            sync.Mutex
	members       []string // VMs of the group, as of the leader's last sync reply
	readReplica   string   // the replica that serves this VM's reads instead of the leader; empty if none does
	leaderApplied uint64   // index that the leader had applied at its last sync reply
}

// New starts a VM and returns a function that stops it.
func New(options Options) (*VM, func(), error) {
	clock := bootclock.New()
	v := &VM{options: options, clock: clock, ruleCache: rulecache.New(clock, rulesLease(options.MaxRulesDelay)), finalStates: newFinalStateCache(maxFinalStates), limiter: newLimiter(clock), resync: make(chan struct{}, 1), syncing: make(chan struct{}, 1)}
	transport, closeTransport := peer.NewTransport(options.Address, addressOf, nil, peer.NewTraffic(options.Metrics))
	v.transport = transport
	options.Metrics.GetOrCreateGauge("papaya_rules_version", func() float64 { return float64(v.ruleCache.Rules().Version) })
	v.operations = operation.Table{opAdvise: operation.NewHandler(v.runAdvise)}
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
	go v.runSyncLoop(ctx)
	return v, func() {
		cancel()
		closeTransport()
		closeReplica()
	}, nil
}

// addressOf returns the address of a VM, which is also its name.
func addressOf(vm string) (string, bool) {
	return vm, vm != ""
}

// log writes a line. If the last value is nil, as for an error that did not occur, that key is omitted.
func (v *VM) log(event string, keyvals ...any) {
	if n := len(keyvals); n > 0 && keyvals[n-1] == nil {
		keyvals = keyvals[:n-2]
	}
	_ = v.options.Logger.Log(append([]any{"event", event}, keyvals...)...) // the logger counts lines that it can't write
}

// Deliver passes messages from another VM to this VM's replica, if it has one.
func (v *VM) Deliver(messages []pj.PeerMessage) {
	if v.replica != nil {
		v.replica.deliver(messages)
	}
}

// Run runs an operation that another VM has called.
func (v *VM) Run(ctx context.Context, name string, argument []byte) (any, error) {
	v.options.Metrics.GetOrCreateCounter(fmt.Sprintf("papaya_calls_total{operation=%q}", name)).Inc()
	v.receivedCalls.Add(1)
	return v.operations.Run(ctx, name, argument)
}

// RuleCache returns the cache of the rules in force on this VM.
func (v *VM) RuleCache() *rulecache.Cache {
	return v.ruleCache
}

// Ready reports whether this VM has rules that the leader confirmed, and whose lease has not expired.
func (v *VM) Ready() bool {
	return v.ruleCache.CheckLease() == nil
}

// leaderCandidates returns the VMs that may lead: the last known members, then the seeds.
func (v *VM) leaderCandidates() []string {
	v.mu.Lock()
	candidates := slices.Clone(v.members)
	v.mu.Unlock()
	for _, seed := range v.options.Seeds() {
		if !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	return candidates
}

// updateGroupInfo stores what a sync reply contains about the group.
func (v *VM) updateGroupInfo(reply syncReply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.readReplica, v.leaderApplied = reply.ReadReplica, reply.Applied
	if len(reply.Members) > 0 {
		v.members = reply.Members
	}
}

// callLeader runs an operation on the current leader, which may be this VM.
func (v *VM) callLeader(ctx context.Context, name string, argument, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := v.leaderClient.Do(ctx, leaderclient.Call{
		Group: Group, Members: v.leaderCandidates(), Clock: v.clock,
		Run: func(ctx context.Context, vm string) error {
			ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
			defer cancel()
			if vm == v.options.Address {
				return v.operations.RunLocal(ctx, name, argument, result)
			}
			return v.transport.Call(ctx, vm, name, argument, result)
		},
	})
	return err
}

// runSyncLoop fetches newer rules from the leader at regular intervals until ctx ends.
func (v *VM) runSyncLoop(ctx context.Context) {
	ticker := time.NewTicker(syncIntervalFor(v.options.MaxRulesDelay))
	defer ticker.Stop()
	lost := true
	for {
		err := v.syncUnlessWoken(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errResync) {
			continue
		}
		if lost != (err != nil) {
			lost = err != nil
			v.log("leader_contact", "lost", lost, "leader", v.leaderClient.Leader(Group), "rules_version", v.ruleCache.Rules().Version, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-v.resync:
		}
	}
}

// errResync is the result of a sync that was abandoned because it is out of date.
var errResync = errors.New("the leader has changed, or this VM is stopping")

// syncUnlessWoken is SyncRules, but returns errResync as soon as this VM learns of another leader, as the former one may not answer any more, or
// has something else to tell.
func (v *VM) syncUnlessWoken(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- v.SyncRules(ctx) }()
	select {
	case err := <-done:
		return err
	case <-v.resync:
		cancel()
		return errors.Join(errResync, <-done)
	}
}

// setLeader records which VM leads, as this VM's replica has learned it, and wakes the sync loop, so that the new leader
// soon knows this VM.
func (v *VM) setLeader(leader string) {
	v.leaderClient.SetLeader(Group, leader)
	v.wakeSyncLoop()
}

// wakeSyncLoop makes the sync loop send a request now, in place of one that waits for an answer.
func (v *VM) wakeSyncLoop() {
	select {
	case v.resync <- struct{}{}:
	default:
	}
}

// SyncRules makes sure that this VM has the rules in force at the time of the call: it fetches newer ones from the leader, or
// from a replica that has them. One exchange, sent after the calls, serves all calls that wait for it.
func (v *VM) SyncRules(ctx context.Context) error {
	calledAt := v.clock.Now()
	select {
	case v.syncing <- struct{}{}:
		defer func() { <-v.syncing }()
	case <-ctx.Done():
		return fmt.Errorf("wait for another exchange: %w", ctx.Err())
	}
	if v.ruleCache.ConfirmedSince(calledAt) {
		return nil
	}
	reply, source, sentAt, err := v.requestRules(ctx)
	if err != nil {
		return err
	}
	previous := v.ruleCache.Rules().Version
	if v.ruleCache.Update(sentAt, reply.Version, reply.Rules) {
		v.log("rules_in_force", "version", reply.Rules.Version, "previous", previous, "leader_version", reply.Version, "source", source, "queues", len(reply.Rules.Routes), "workspaces", len(reply.Rules.Workspaces))
	}
	return nil
}

// maxReplicaRulesRequests is the maximum number of exchanges with the leader in which one call of requestRules uses rules from
// a replica.
const maxReplicaRulesRequests = 2

// requestRules requests newer rules, and returns the leader's reply with the rules of just the version that it names, the VM
// that they came from, and when the reply was requested. A replica may have applied a version that the leader hasn't, and thus
// no other VM would know: its rules are used once the leader names their version.
func (v *VM) requestRules(ctx context.Context) (reply syncReply, source string, sentAt time.Duration, err error) {
	var fetched *pj.Ruleset
	for range maxReplicaRulesRequests {
		reply, sentAt, err = v.requestSync(ctx, true)
		if err != nil || !reply.RulesOmitted {
			return reply, v.leaderClient.Leader(Group), sentAt, err
		}
		if fetched == nil || fetched.Version < reply.Version {
			fetched = v.rulesFromReplica(ctx, reply.Version)
		}
		if fetched == nil {
			break
		}
		if fetched.Version == reply.Version {
			reply.Rules = fetched
			return reply, cmp.Or(reply.ReadReplica, v.options.Address), sentAt, nil // a replica has them itself
		}
	}
	reply, sentAt, err = v.requestSync(ctx, false)
	return reply, v.leaderClient.Leader(Group), sentAt, err
}

// requestSync requests newer rules from the leader and stores what the reply contains about the group. It also returns
// when the request was made. With mayOmitRules, the leader omits rules that a replica can serve.
func (v *VM) requestSync(ctx context.Context, mayOmitRules bool) (reply syncReply, sentAt time.Duration, err error) {
	sentAt = v.clock.Now()
	cached := v.ruleCache.Rules()
	request := syncRequest{
		VM: v.options.Address, Rank: v.options.Rank, Zone: v.options.Zone, Region: v.options.Region, Replica: v.options.Replica,
		Stopping: v.stopping.Load(), Version: cached.Version, HasRules: cached.Document != nil, MayOmitRules: mayOmitRules,
	}
	if err = v.callLeader(ctx, opSync, request, &reply); err == nil {
		v.updateGroupInfo(reply)
	}
	return reply, sentAt, err
}

// withPort returns address with its port replaced, or an empty string if the address is not valid.
func withPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}
