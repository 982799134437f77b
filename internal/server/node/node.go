// Package node is the control side of one VM: its members of the replicated groups, what it does
// as a leader of any of them, and the way to the leaders elsewhere.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
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
	"papayajunction/internal/server/lead"
	"papayajunction/internal/server/operation"
	"papayajunction/internal/server/peer"
	"papayajunction/internal/storage/boltlog"
	"papayajunction/internal/storage/saver"
)

// Times of the control side.
const (
	tickInterval = 20 * time.Millisecond
	heartbeat    = 200 * time.Millisecond
	election     = 800 * time.Millisecond
	cellInterval = 60 * time.Millisecond // between two looks at leases and deadlines
)

// Node is the control side of one VM.
type Node struct {
	settings  settings.Settings
	topology  topology.Topology
	logger    kitlog.Logger
	metrics   *metrics.Set
	clock     pj.Clock
	loop      *loop.Loop
	host      *replica.Host
	store     pj.LogStore
	transport *peer.Transport
	directory *directory.Directory
	fleet     *fleetMember
	cells     map[string]*cellMember // by zone
	id        string                 // incarnation of the data folder

	tickedAt   time.Duration // belongs to the control goroutine
	operations operation.Table
	leaders    lead.Finder
	syncNow    chan struct{}
	draining   sync.Once
}

// New starts the control side of a VM and returns a function that stops it.
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
		return nil, nil, fmt.Errorf("open data folder: %w", err)
	}
	transport, closeTransport := peer.NewTransport(s.VM, n.addressOf, tlsConfig, peer.NewTraffic(set))
	n.transport = transport
	writer, closeSaver := saver.New(n.store, n.loop, set)
	n.host = replica.New(replica.Options{
		VM: s.VM, Incarnation: n.id, Saver: writer, Transport: transport, Clock: clock,
		Rand: newRand(), Heartbeat: heartbeat, ElectionTimeout: election,
		OnWriteError: func(err error) { n.log("event", "disk_write_failed", "err", err) },
	})
	n.fleet = newFleetMember(n)
	n.operations = n.newOperations()
	ctx, cancel := context.WithCancel(context.Background())
	n.start(ctx)
	cleanup := func() {
		cancel()
		closeTransport()
		<-n.loop.Done() // the control goroutine must not write any more
		closeSaver()
		if err := closeStore(); err != nil {
			n.log("event", "close_failed", "err", err)
		}
	}
	return n, cleanup, nil
}

// start runs the control goroutine and the regular work beside it.
func (n *Node) start(ctx context.Context) {
	go n.loop.Run(ctx, tickInterval, n.tick, n.host.Flush)
	for _, group := range n.topology.Groups() {
		if rank, ok := n.topology.MemberRank(group, n.settings.VM); ok {
			go n.joinGroup(ctx, group, rank)
		}
	}
	go n.every(ctx, syncInterval, n.syncNow, n.syncDirectory)
	go n.every(ctx, allotInterval, nil, n.reportAllotments)
	go n.every(ctx, membershipInterval, nil, n.maintainMembership)
}

// every calls work regularly, and at once whenever now is signalled.
func (n *Node) every(ctx context.Context, interval time.Duration, now <-chan struct{}, work func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-now:
		}
		work(ctx)
	}
}

func (n *Node) tick() {
	n.host.Tick()
	now := n.clock.Now()
	if now < n.tickedAt+cellInterval {
		return
	}
	n.tickedAt = now
	n.fleet.tick()
	for _, c := range n.cells {
		c.tick()
	}
}

// openStore opens the data folder, or keeps the logs in memory on a VM without one.
func (n *Node) openStore() (func() error, error) {
	proposed := newIncarnation()
	if n.settings.DataDir == "" {
		n.id = proposed
		n.store = &saver.DiscardStore{}
		return func() error { return nil }, nil
	}
	store, closeStore, err := boltlog.New(n.settings.DataDir)
	if err != nil {
		return nil, err
	}
	n.store = store
	n.id, err = store.Incarnation(proposed)
	return closeStore, err
}

func newIncarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func newRand() pj.Rand {
	return mrand.New(mrand.NewPCG(mrand.Uint64(), mrand.Uint64())) //nolint:gosec // not for secrets
}

func (n *Node) log(keyvals ...any) {
	_ = n.logger.Log(keyvals...)
}

// Clock returns the clock of the process.
func (n *Node) Clock() pj.Clock {
	return n.clock
}

// Directory returns what is in force on this VM.
func (n *Node) Directory() *directory.Directory {
	return n.directory
}

// Topology returns the VMs and groups of the system.
func (n *Node) Topology() topology.Topology {
	return n.topology
}

// Deliver hands in messages from another VM.
func (n *Node) Deliver(messages []pj.PeerMessage) {
	n.loop.Post(func() { n.host.Deliver(messages) })
}

// Drain hands every leadership of this VM to another VM, if there is one, and waits for that.
func (n *Node) Drain(ctx context.Context) {
	n.draining.Do(func() { n.log("event", "drain_started") })
	for ctx.Err() == nil {
		leading := 0
		if err := n.loop.Do(ctx, func() { leading = n.handOver() }); err != nil || leading == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// handOver starts the transfer of every group that this VM leads and returns how many there are.
func (n *Node) handOver() int {
	leading := 0
	for _, name := range n.topology.Groups() {
		g := n.host.Group(name)
		if g == nil || !g.Leadership().IsLeader {
			continue
		}
		if successor := n.successor(g, name); successor != "" {
			leading++
			_ = g.Core().Transfer(n.clock.Now(), successor)
		}
	}
	return leading
}
