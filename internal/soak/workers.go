package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Parameters of restarts of workers.
const (
	maxStartClock = 10_000_000 // upper bound of the clock, in milliseconds, with which a worker restarts
	clockStream   = 5          // of the random numbers for these clocks
)

// workerServers are the HTTP servers of the stand-in workers, one for each incarnation.
type workerServers struct {
	load      *load
	newWorker NewWorker

	mu        sync.Mutex
	rand      *rand.Rand
	addresses map[string]string
	current   map[string]*http.Server
}

func newWorkerServers(l *load, newWorker NewWorker, seed uint64) *workerServers {
	return &workerServers{
		load: l, newWorker: newWorker, rand: rand.New(rand.NewPCG(seed, clockStream)), //nolint:gosec // not for secrets
		addresses: make(map[string]string), current: make(map[string]*http.Server),
	}
}

// serve runs the server of a worker's current incarnation until ctx ends or the worker restarts.
func (s *workerServers) serve(ctx context.Context, id, address string) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen for worker %s: %w", id, err)
	}
	client := &checkingClient{WorkerClient: s.load.fleet.Process(s.load.fleet.Incarnation(id)), load: s.load}
	server := &http.Server{Handler: s.newWorker(id, client), ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.mu.Lock()
	s.addresses[id], s.current[id] = address, server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// restart closes the connections of a worker and serves its next incarnation, whose clock starts anywhere.
func (s *workerServers) restart(ctx context.Context, id string) error {
	s.mu.Lock()
	server, address, clock := s.current[id], s.addresses[id], 1+s.rand.Int64N(maxStartClock)
	s.mu.Unlock()
	if err := server.Close(); err != nil {
		return fmt.Errorf("close server of worker %s: %w", id, err)
	}
	s.load.fleet.Restart(id, max(time.Now().UnixMilli(), s.load.fleet.Incarnation(id)+1), clock)
	return s.serve(ctx, id, address)
}
