// Package fleet runs stand-in workers and endpoints for all availability zones in one process.
package fleet

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	pj "papayajunction"
	"papayajunction/internal/client/entry"
	"papayajunction/internal/config/topology"
	"papayajunction/internal/standin/endpoint"
	"papayajunction/internal/standin/tally"
	"papayajunction/internal/standin/worker"
)

// Options configure the number of stand-ins in each availability zone and their behaviour.
type Options struct {
	VMs                   []topology.VM
	Workers               int // in each availability zone
	Endpoints             int // in each availability zone
	WorkersPerRack        int
	Capacity              pj.Resources
	AcceleratedWorkers    int           // workers in each availability zone that have accelerators
	AcceleratorsPerWorker int64         // of each such worker
	Slots                 int           // of each endpoint
	ServiceTime           time.Duration // time to serve a request
	TaskRunTime           time.Duration // run time of tasks that declare none
	FailRate              float64       // fraction of tasks and requests that fail
	MismatchRate          float64       // fraction of responses that carry another request's id
	TruncationRate        float64       // fraction of responses that are truncated
	Unresponsive          bool          // endpoints accept requests and never respond
	Seed                  uint64
	TLS                   *tls.Config // nil for plain HTTP
}

// Fleet is a set of running stand-ins.
type Fleet struct {
	tally   tally.Tally
	running sync.WaitGroup
}

// New starts the stand-ins and returns a function that stops them.
func New(options Options) (*Fleet, func(), error) {
	f := &Fleet{}
	ctx, cancel := context.WithCancel(context.Background())
	var closers []func()
	stop := func() {
		cancel()
		f.running.Wait()
		for _, c := range closers {
			c()
		}
	}
	for _, zone := range topology.New(options.VMs).Zones() {
		closers = append(closers, f.startWorkers(ctx, options, zone))
		closeEndpoints, err := f.startEndpoints(ctx, options, zone)
		closers = append(closers, closeEndpoints)
		if err != nil {
			stop()
			return nil, nil, fmt.Errorf("start stand-ins of zone %s: %w", zone, err)
		}
	}
	return f, stop, nil
}

// Tally returns the counts of all stand-ins.
func (f *Fleet) Tally() tally.Summary {
	return f.tally.Summary()
}

func zoneAddresses(vms []topology.VM, zone string) []string {
	var list []string
	for _, vm := range vms {
		if vm.Zone == zone {
			list = append(list, vm.Address)
		}
	}
	return list
}

// newRandom returns a source of numbers in [0, 1), seeded by seed and name. It is safe for concurrent use.
func newRandom(seed uint64, name string) func() float64 {
	hash := seed
	for _, c := range []byte(name) {
		hash = hash*1099511628211 + uint64(c)
	}
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, hash)) //nolint:gosec // not for secrets
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64()
	}
}

func (f *Fleet) startWorkers(ctx context.Context, o Options, zone string) func() {
	var closers []func()
	for i := range o.Workers {
		name := fmt.Sprintf("%s-worker-%02d", zone, i+1)
		capacity := o.Capacity
		if i < o.AcceleratedWorkers {
			capacity[pj.Accelerators] = o.AcceleratorsPerWorker
		}
		w := worker.New(worker.Options{
			Name: name, Zone: zone, Rack: fmt.Sprintf("%s-rack-%d", zone, i/max(o.WorkersPerRack, 1)+1),
			Incarnation: fmt.Sprintf("%d-%d", time.Now().UnixNano(), i), Capacity: capacity, TaskRunTime: o.TaskRunTime,
			FailRate: o.FailRate, Random: newRandom(o.Seed, name), Tally: &f.tally,
		})
		client, closeClient := entry.New(zoneAddresses(o.VMs, zone), "", entry.WithTLS(o.TLS))
		closers = append(closers, closeClient)
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			w.Run(ctx, client)
		}()
	}
	return closeAll(closers)
}

func closeAll(closers []func()) func() {
	return func() {
		for _, c := range closers {
			c()
		}
	}
}

func (f *Fleet) startEndpoints(ctx context.Context, o Options, zone string) (func(), error) {
	var closers []func()
	client, closeClient := entry.New(zoneAddresses(o.VMs, zone), "", entry.WithTLS(o.TLS))
	closers = append(closers, closeClient)
	for i := range o.Endpoints {
		name := fmt.Sprintf("%s-runner-%02d", zone, i+1)
		e, closeEndpoint, err := endpoint.New(endpoint.Options{
			Name: name, Zone: zone, Listen: "127.0.0.1", Queues: []string{"*"}, Slots: o.Slots, ServiceTime: o.ServiceTime,
			FailRate: o.FailRate, MismatchRate: o.MismatchRate, TruncationRate: o.TruncationRate, Unresponsive: o.Unresponsive,
			Random: newRandom(o.Seed, name), Tally: &f.tally,
		})
		if err != nil {
			return closeAll(closers), err
		}
		closers = append(closers, closeEndpoint)
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			e.Run(ctx, client)
		}()
	}
	return closeAll(closers), nil
}
