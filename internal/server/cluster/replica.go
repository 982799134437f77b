package cluster

import (
	"context"
	"crypto/rand"
	"encoding/hex"
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

// Times of the control side.
const (
	tickInterval = 20 * time.Millisecond
	heartbeat    = 100 * time.Millisecond // short, because urgent work waits while there is no leader
	election     = 450 * time.Millisecond
	workInterval = 60 * time.Millisecond   // between two looks at leases and deadlines
	askerAlive   = 1500 * time.Millisecond // a VM that asked for rules within this time can ask for advice
)

// replica keeps the state on one VM and leads when it is elected.
type replica struct {
	vm    *VM
	loop  *loop.Loop
	host  *control.Host
	store pj.LogStore
	id    string // incarnation of the data folder

	// What follows belongs to the control goroutine.
	group      *control.Group // nil until the member has started
	state      *workflow.State
	controller *runs.Controller         // nil unless this VM leads
	askers     map[string]time.Duration // VMs that asked for rules, and when
	joiners    map[string]time.Duration // members that asked to join, and when
	peers      map[string]peerInfo      // VMs that asked for rules, as they tell of themselves
	ledSince   time.Duration
	workedAt   time.Duration
	relays     *relays // nil unless this VM leads
	load       *loadMeter

	outbox *outbox // answers to the orders of leaders; safe for use by many goroutines
}

func newReplica(v *VM) (*replica, func(), error) {
	r := &replica{
		vm: v, loop: loop.New(), state: workflow.NewState(),
		askers: make(map[string]time.Duration), joiners: make(map[string]time.Duration),
		peers: make(map[string]peerInfo),
	}
	r.outbox = newOutbox(v)
	store, closeStore, err := boltlog.New(v.options.DataDir)
	if err != nil {
		return nil, nil, fmt.Errorf("open data folder: %w", err)
	}
	r.store = store
	if r.id, err = store.Incarnation(newIncarnation()); err != nil {
		return nil, nil, fmt.Errorf("read identity of data folder: %w", err)
	}
	writer, closeSaver := saver.New(store, r.loop, v.options.Metrics)
	r.load = &loadMeter{replica: r, store: store, saver: writer}
	r.host = control.New(control.Options{
		VM: v.options.Address, Incarnation: r.id, Saver: writer, Transport: v.transport, Clock: v.clock,
		Rand: newRand(), Heartbeat: heartbeat, ElectionTimeout: election,
		OnWriteError: func(err error) { v.log("disk_write_failed", "err", err) },
	})
	return r, func() {
		<-r.loop.Done() // the control goroutine must not write any more
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

// start runs the control goroutine and the regular work beside it.
func (r *replica) start(ctx context.Context) {
	go r.loop.Run(ctx, tickInterval, r.tick, r.flush)
	go r.join(ctx)
}

func (r *replica) deliver(messages []pj.PeerMessage) {
	r.loop.Post(func() { r.host.Deliver(messages) })
}

func (r *replica) tick() {
	r.host.Tick()
	now := r.vm.clock.Now()
	if r.group != nil {
		r.load.report(now)
	}
	if r.controller == nil || now < r.workedAt+workInterval {
		return
	}
	r.workedAt = now
	r.controller.SetAdvisors(r.liveAskers(now))
	r.relays.choose(now, r.controller.Workers())
	r.relays.giveUp(now)
	r.controller.Tick()
	r.maintainMembers(now)
}

// liveAskers returns the VMs that can ask for advice: this one and those that asked for rules lately.
func (r *replica) liveAskers(now time.Duration) []string {
	vms := []string{r.vm.options.Address}
	for vm, at := range r.askers {
		if now > at+askerAlive {
			delete(r.askers, vm)
			continue
		}
		if vm != r.vm.options.Address {
			vms = append(vms, vm)
		}
	}
	return vms
}

// flush decides, then sends, stores and applies what the decisions and messages left behind.
func (r *replica) flush() {
	if r.controller != nil {
		r.controller.Flush()
		r.relays.flush(r.vm.clock.Now())
	}
	r.host.Flush()
}

// leadChanged starts or ends what only the leader does.
func (r *replica) leadChanged(serving bool, term uint64) {
	if r.controller != nil {
		r.controller.Close()
		r.controller, r.relays = nil, nil
		r.vm.log("lead_lost", "term", term)
	}
	if !serving {
		return
	}
	r.vm.log("lead_gained", "term", term, "applied", r.group.Applied())
	clear(r.joiners)
	clear(r.peers)
	r.ledSince = r.vm.clock.Now()
	r.relays = newRelays(r, term)
	r.controller = runs.New(runs.Options{
		Term: term, State: r.state, Group: r.group, Clock: r.vm.clock,
		UnixMilli: func() int64 { return time.Now().UnixMilli() },
		Orders:    &orders{replica: r, relays: r.relays},
		Events:    newEvents(r.vm), Retention: r.vm.options.Keep,
	})
	r.controller.SetAdvisors(r.liveAskers(r.vm.clock.Now()))
	r.vm.finder.SetLeader(Group, r.vm.options.Address)
}
