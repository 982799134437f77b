package cluster

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/loop"
	control "papayajunction/internal/control/replica"
	"papayajunction/internal/control/runs"
	"papayajunction/internal/control/workflow"
	"papayajunction/internal/storage/boltlog"
	"papayajunction/internal/storage/saver"
)

// Intervals and timeouts of the control goroutine.
const (
	tickInterval      = 20 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond // short, because urgent work waits while there is no leader
	electionTimeout   = 450 * time.Millisecond
	controlInterval   = 60 * time.Millisecond   // between two checks of leases and deadlines
	maxPeerSyncAge    = 1500 * time.Millisecond // a VM whose last sync request is older counts as disconnected
	maxRelayWait      = 150 * time.Millisecond  // after an election, for the sync requests of the replicas that can be relays; more than a round trip between regions
)

// replica holds the replicated state on one VM, and runs the controller while that VM is the leader.
type replica struct {
	vm          *VM
	loop        *loop.Loop
	host        *control.Host
	store       pj.LogStore
	incarnation string // of the data directory

	// The following fields may only be used on the control goroutine.
	group           *control.Group // nil until the member has started
	state           *workflow.State
	controller      *runs.Controller         // nil unless this VM leads
	advisorSyncedAt map[string]time.Duration // when a VM that isn't stopping last sent a sync request; kept when the leadership changes, unlike peers
	joinRequestedAt map[string]time.Duration // when a member last requested to join
	peers           map[string]peerInfo      // by VM, since this VM became leader
	leaderSince     time.Duration
	controlRanAt    time.Duration
	leader          string  // VM that leads, as last passed to VM.setLeader
	relays          *relays // nil unless this VM leads
	loadMeter       *loadMeter

	outbox *outbox // results of orders that were relayed for a leader; safe for concurrent use
}

func newReplica(v *VM) (*replica, func(), error) {
	r := &replica{
		vm: v, loop: loop.New(), state: workflow.NewState(),
		advisorSyncedAt: make(map[string]time.Duration), joinRequestedAt: make(map[string]time.Duration),
		peers: make(map[string]peerInfo),
	}
	r.outbox = newOutbox(v)
	store, closeStore, err := boltlog.New(v.options.DataDir)
	if err != nil {
		return nil, nil, fmt.Errorf("open data directory: %w", err)
	}
	r.store = store
	if r.incarnation, err = store.Incarnation(newIncarnation()); err != nil {
		return nil, nil, errors.Join(fmt.Errorf("read incarnation of data directory: %w", err), closeStore())
	}
	writer, closeSaver := saver.New(store, r.loop, v.options.Metrics)
	r.loadMeter = &loadMeter{replica: r, store: store, saver: writer}
	r.host = control.New(control.Options{
		VM: v.options.Address, Incarnation: r.incarnation, Saver: writer, Transport: v.transport, Clock: v.clock,
		Rand: newRand(), Heartbeat: heartbeatInterval, ElectionTimeout: electionTimeout, TermStep: runs.FencesPerTerm,
		OnWriteError:    func(err error) { v.log("disk_write_failed", "err", err) },
		OnSnapshotError: func(err error) { v.log("snapshot_failed", "err", err) },
	})
	return r, func() {
		<-r.loop.Done() // after which the control goroutine can't write any more
		closeSaver()
		if err := closeStore(); err != nil {
			v.log("close_failed", "err", err)
		}
	}, nil
}

func newIncarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func newRand() pj.Rand {
	return mrand.New(mrand.NewPCG(mrand.Uint64(), mrand.Uint64())) //nolint:gosec // not for secrets
}

// start starts the control goroutine and the goroutine that joins the group.
func (r *replica) start(ctx context.Context) {
	go r.loop.Run(ctx, tickInterval, r.tick, r.flush)
	go r.runMember(ctx)
}

func (r *replica) deliver(messages []pj.PeerMessage) {
	r.loop.Post(func() { r.host.Deliver(messages) })
}

func (r *replica) tick() {
	r.host.Tick()
	now := r.vm.clock.Now()
	if r.group != nil {
		r.loadMeter.report(now)
		r.followLeader()
		if r.vm.stopping.Load() {
			r.prepareStop(now)
		}
	}
	if r.controller == nil || now < r.controlRanAt+controlInterval || r.awaitsRelays(now) {
		return
	}
	r.controlRanAt = now
	r.controller.SetAdvisors(r.liveAdvisors(now))
	r.relays.assign(now, r.controller.WorkerCount())
	r.relays.expire(now)
	r.controller.Tick()
	r.maintainMembership(now)
}

// followLeader makes this VM's calls go to the leader that its member of the group follows.
func (r *replica) followLeader() {
	leader := control.VMOf(r.group.Leadership().Leader)
	if leader == "" || leader == r.leader {
		return
	}
	r.leader = leader
	if leader != r.vm.options.Address {
		r.vm.setLeader(leader)
	}
}

// awaitsRelays reports whether a new leader of a large fleet must wait before it polls the workers, because not all replicas
// have sent a sync request yet. The leader would open a connection to each worker itself, and the first replica to be heard
// would relay for all of them.
func (r *replica) awaitsRelays(now time.Duration) bool {
	if now >= r.leaderSince+maxRelayWait || r.controller.WorkerCount() < minRelayWorkers {
		return false
	}
	heard := 1
	for _, p := range r.peers {
		if p.replica {
			heard++
		}
	}
	return heard < len(r.memberVMs())
}

// liveAdvisors returns the VMs that can query a policy for advice: this one, and those with a sync request within
// maxPeerSyncAge.
func (r *replica) liveAdvisors(now time.Duration) []string {
	vms := []string{r.vm.options.Address}
	for vm, at := range r.advisorSyncedAt {
		if now > at+maxPeerSyncAge {
			delete(r.advisorSyncedAt, vm)
			continue
		}
		if vm != r.vm.options.Address {
			vms = append(vms, vm)
		}
	}
	return vms
}

// flush makes the pending scheduling decisions, sends relayed orders, and then sends, stores and applies the resulting log
// entries and messages.
func (r *replica) flush() {
	if r.controller != nil {
		r.controller.Flush()
		r.relays.flush(r.vm.clock.Now())
	}
	r.host.Flush()
}

// leadershipChanged starts the controller when this VM becomes leader, and closes it when it no longer is.
func (r *replica) leadershipChanged(serving bool, term uint64) {
	if r.controller != nil {
		r.controller.Close()
		r.controller, r.relays = nil, nil
		r.vm.log("lead_lost", "term", term)
	}
	if !serving {
		return
	}
	r.vm.log("lead_gained", "term", term, "applied", r.group.Applied())
	clear(r.joinRequestedAt)
	clear(r.peers)
	r.leaderSince = r.vm.clock.Now()
	r.relays = newRelays(r, term)
	r.controller = runs.New(runs.Options{
		Term: term, State: r.state, Group: r.group, Clock: r.vm.clock,
		UnixMilli: func() int64 { return time.Now().UnixMilli() },
		Orders:    &orderSender{replica: r, relays: r.relays},
		Events:    newEvents(r.vm), Retention: r.vm.options.Retention, MaxLease: r.vm.options.MaxLease,
		StateBudget: r.vm.options.StateBudget, WorkspaceStateBudget: r.vm.options.WorkspaceStateBudget,
	})
	r.controller.SetAdvisors(r.liveAdvisors(r.vm.clock.Now()))
	r.vm.leaderClient.SetLeader(Group, r.vm.options.Address)
}
