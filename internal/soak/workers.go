package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	pj "papayajunction"
)

// Parameters of restarts of workers.
const (
	maxStartClock = 10_000_000 // upper bound of the clock, in milliseconds, with which a worker restarts
	clockStream   = 5          // of the random numbers for these clocks
	keepStream    = 7          // of the random numbers for whether connections outlive a restart
)

// workerServers are the HTTP servers of the stand-in workers. A server ends with an incarnation, unless connections outlive the restart.
type workerServers struct {
	load      *load
	newWorker NewWorker
	late      *lateCalls // nil: calls reach only the incarnation to which they were connected, and are carried out at once

	restarting sync.Mutex // held while a worker restarts

	mu        sync.Mutex
	rand      *rand.Rand
	keepRand  *rand.Rand
	addresses map[string]string
	current   map[string]workerServer
	silent    map[string]int // number of faults that keep a worker unresponsive
}

// workerServer is the server of a worker and its listener, which the server knows only when it begins to serve.
type workerServer struct {
	*http.Server
	listener net.Listener
}

// Close closes the listener and all connections.
func (s workerServer) Close() error {
	_ = s.listener.Close() // it may be closed already
	if err := s.Server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close server: %w", err)
	}
	return nil
}

func newWorkerServers(l *load, newWorker NewWorker, seed uint64, late *lateCalls) *workerServers {
	return &workerServers{
		load: l, newWorker: newWorker, late: late,
		rand: rand.New(rand.NewPCG(seed, clockStream)), keepRand: rand.New(rand.NewPCG(seed, keepStream)), //nolint:gosec // not for secrets
		addresses: make(map[string]string), current: make(map[string]workerServer), silent: make(map[string]int),
	}
}

// serve runs the server of a worker until ctx ends or a restart closes it.
func (s *workerServers) serve(ctx context.Context, id, address string) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen for worker %s: %w", id, err)
	}
	server := &http.Server{Handler: s.newWorker(id, s.client(id)), ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.mu.Lock()
	s.addresses[id], s.current[id] = address, workerServer{Server: server, listener: listener}
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// client returns the client to which a worker's server passes its requests.
func (s *workerServers) client(id string) pj.WorkerClient {
	fleet := s.load.fleet
	if s.late == nil {
		return &checkingClient{WorkerClient: fleet.Process(fleet.Incarnation(id)), load: s.load}
	}
	return &delayingClient{
		WorkerClient: &checkingClient{WorkerClient: fleet, load: s.load}, calls: s.late, fleet: fleet,
		unanswered: &checkingClient{WorkerClient: fleet.Unanswered(), load: s.load},
	}
}

// restart starts the next incarnation of a worker, whose clock starts anywhere. It closes the connections to the worker, or keeps
// them open, so that requests for the earlier incarnation reach the next one.
func (s *workerServers) restart(ctx context.Context, id string) error {
	s.restarting.Lock()
	defer s.restarting.Unlock()
	s.mu.Lock()
	server, address, clock := s.current[id], s.addresses[id], 1+s.rand.Int64N(maxStartClock)
	keep := s.late != nil && s.keepRand.IntN(2) == 0
	s.mu.Unlock()
	if !keep {
		if err := server.Close(); err != nil {
			return fmt.Errorf("close server of worker %s: %w", id, err)
		}
	}
	s.load.fleet.Restart(id, max(time.Now().UnixMilli(), s.load.fleet.Incarnation(id)+1), clock)
	if keep {
		return nil
	}
	return s.serve(ctx, id, address)
}

// silence makes a worker unresponsive and returns the function that ends it: with the last such fault if calls may outlive restarts, so that
// a worker stays cut off for longer than a lease, else with the first one.
func (s *workerServers) silence(id string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[id]++
	s.load.fleet.SetUnresponsive(id, true)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.silent[id]--
		s.load.fleet.SetUnresponsive(id, s.late != nil && s.silent[id] > 0)
	}
}
