// Package node is the control plane of one VM: its members of the replicated groups, the work of their leaders, and calls
// to the leaders on other VMs.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitlog "github.com/go-kit/log"

	pj "papayajunction"
	"papayajunction/internal/config/settings"
	"papayajunction/internal/config/topology"
	"papayajunction/internal/control/bootclock"
	"papayajunction/internal/control/directory"
	"papayajunction/internal/control/loop"
	"papayajunction/internal/control/replica"
	"papayajunction/internal/server/leaderclient"
	"papayajunction/internal/server/operation"
	"papayajunction/internal/server/peer"
	"papayajunction/internal/storage/boltlog"
	"papayajunction/internal/storage/saver"
)

// Intervals and timeouts of the control plane.
const (
	tickInterval       = 20 * time.Millisecond
	heartbeatInterval  = 200 * time.Millisecond
	electionTimeout    = 800 * time.Millisecond
	leaseCheckInterval = 60 * time.Millisecond // between two checks of leases and deadlines
)

// Node is the control plane of one VM.
type Node struct {
	settings    settings.Settings
	topology    topology.Topology
	logger      kitlog.Logger
	metrics     *metrics.Set
	clock       pj.Clock
	loop        *loop.Loop
	host        *replica.Host
	store       pj.LogStore
	transport   *peer.Transport
	directory   *directory.Directory
	fleet       *fleetMember
	cells       map[string]*cellMember // by zone
	incarnation string                 // of the data directory

	lastLeaseCheck time.Duration // used on the control goroutine only
	operations     operation.Table
	leaders        leaderclient.Client
	syncNow        chan struct{}
	drainLogged    sync.Once
	stopping       bool // set by TransferLeaderships; only used on the control goroutine
}

// New starts the control plane of a VM and returns a function that stops it.
func New(s settings.Settings, logger kitlog.Logger, set *metrics.Set) (*Node, func(), error) {
	tlsConfig, err := peer.TLS(s)
	if err != nil {
		return nil, nil, fmt.Errorf("prepare TLS: %w", err)
	}
	clock := bootclock.New()
	n := &Node{
		settings:  s,
		topology:  topology.New(s.VMs),
		logger:    logger,
		metrics:   set,
		clock:     clock,
		loop:      loop.New(),
		directory: directory.New(clock),
		cells:     make(map[string]*cellMember),
		syncNow:   make(chan struct{}, 1),
	}
	closeStore, err := n.openStore()
	if err != nil {
		return nil, nil, fmt.Errorf("open data directory: %w", err)
	}
	transport, closeTransport := peer.NewTransport(s.VM, n.addressOf, tlsConfig, peer.NewTraffic(set))
	n.transport = transport
	writer, closeSaver := saver.New(n.store, n.loop, set)
	n.host = replica.New(replica.Options{
		VM: s.VM, Incarnation: n.incarnation, Saver: writer, Transport: transport, Clock: clock,
		Rand: newRand(), Heartbeat: heartbeatInterval, ElectionTimeout: electionTimeout,
		OnWriteError:    func(err error) { n.log("event", "disk_write_failed", "err", err) },
		OnSnapshotError: func(err error) { n.log("event", "snapshot_failed", "err", err) },
	})
	n.fleet = newFleetMember(n)
	n.operations = n.newOperations()
	ctx, cancel := context.WithCancel(context.Background())
	n.start(ctx)
	cleanup := func() {
		cancel()
		closeTransport()
		<-n.loop.Done() // after this the control goroutine queues no more writes
		closeSaver()
		if err := closeStore(); err != nil {
			n.log("event", "close_failed", "err", err)
		}
	}
	return n, cleanup, nil
}

// start starts the control goroutine and the goroutines for periodic work.
func (n *Node) start(ctx context.Context) {
	go n.loop.Run(ctx, tickInterval, n.tick, n.host.Flush)
	for _, group := range n.topology.Groups() {
		if rank, ok := n.topology.MemberRank(group, n.settings.VM); ok {
			go n.joinGroup(ctx, group, rank)
		}
	}
	go n.runPeriodically(ctx, syncInterval, n.syncNow, n.syncDirectory)
	go n.runPeriodically(ctx, allotInterval, nil, n.reportAllotments)
	go n.runPeriodically(ctx, membershipInterval, nil, n.maintainMembership)
}

// runPeriodically calls work at each interval, and immediately whenever a value is sent on trigger.
func (n *Node) runPeriodically(ctx context.Context, interval time.Duration, trigger <-chan struct{}, work func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-trigger:
		}
		work(ctx)
	}
}

func (n *Node) tick() {
	n.host.Tick()
	now := n.clock.Now()
	if now < n.lastLeaseCheck+leaseCheckInterval {
		return
	}
	n.lastLeaseCheck = now
	if n.stopping {
		n.startTransfers() // an election may have made this VM a leader again
	}
	n.fleet.tick()
	for _, c := range n.cells {
		c.tick()
	}
}

// openStore opens the data directory. A VM without one keeps its logs in memory only.
func (n *Node) openStore() (func() error, error) {
	proposed := newIncarnation()
	if n.settings.DataDir == "" {
		n.incarnation = proposed
		n.store = &saver.DiscardStore{}
		return func() error { return nil }, nil
	}
	store, closeStore, err := boltlog.New(n.settings.DataDir)
	if err != nil {
		return nil, err
	}
	n.store = store
	if n.incarnation, err = store.Incarnation(proposed); err != nil {
		return nil, errors.Join(err, closeStore())
	}
	return closeStore, nil
}

func newIncarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func newRand() pj.Rand {
	return mrand.New(mrand.NewPCG(mrand.Uint64(), mrand.Uint64())) //nolint:gosec // not used for secrets
}

func (n *Node) log(keyvals ...any) {
	_ = n.logger.Log(keyvals...)
}

// Clock returns the clock of the process.
func (n *Node) Clock() pj.Clock {
	return n.clock
}

// Directory returns this VM's copy of the configuration and keys in force.
func (n *Node) Directory() *directory.Directory {
	return n.directory
}

// Topology returns the VMs and groups of the system.
func (n *Node) Topology() topology.Topology {
	return n.topology
}

// Deliver passes messages from another VM to this VM's members of the groups.
func (n *Node) Deliver(messages []pj.PeerMessage) {
	n.loop.Post(func() { n.host.Deliver(messages) })
}

// TransferLeaderships transfers the leadership of every group that this VM leads to a member on another VM, and waits
// until this is done or ctx ends. A group without a suitable member is left out. From then on, this VM is stopping: it gets no leadership from others,
// and hands on what an election gives it.
func (n *Node) TransferLeaderships(ctx context.Context) {
	n.drainLogged.Do(func() { n.log("event", "drain_started") })
	for ctx.Err() == nil {
		remaining := 0
		if err := n.loop.Do(ctx, func() { n.stopping, remaining = true, n.startTransfers() }); err != nil || remaining == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// startTransfers starts a leadership transfer in every group that this VM leads and for which there is a successor, and
// returns the number of these groups.
func (n *Node) startTransfers() int {
	started := 0
	for _, name := range n.topology.Groups() {
		g := n.host.Group(name)
		if g == nil {
			continue
		}
		g.Core().SetStopping(n.clock.Now())
		if !g.Leadership().IsLeader {
			continue
		}
		if successor := n.successor(g, name); successor != "" {
			started++
			_ = g.Core().Transfer(n.clock.Now(), successor)
		}
	}
	return started
}
