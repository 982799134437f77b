// Package fleet runs any number of stand-in workers and endpoints in one process.
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
	"papayajunction/internal/standin/runner"
	"papayajunction/internal/standin/tally"
	"papayajunction/internal/standin/worker"
)

// Options say how many stand-ins to run in each zone, and how they behave.
type Options struct {
	VMs          []topology.VM
	Workers      int // in each zone
	Runners      int // in each zone
	WorkersARack int
	Capacity     pj.Resources
	Accelerated  int // of the workers in each zone, how many have Accelerators
	Accelerators int64
	Slots        int
	Service      time.Duration
	Run          time.Duration
	FailRate     float64
	WrongRate    float64
	LostRate     float64
	Silent       bool
	Seed         uint64
	TLS          *tls.Config // nil for plain HTTP
}

// Fleet is a set of running stand-ins.
type Fleet struct {
	tally tally.Tally
	done  sync.WaitGroup
}

// New starts the stand-ins and returns a function that stops them.
func New(options Options) (*Fleet, func(), error) {
	f := &Fleet{}
	ctx, cancel := context.WithCancel(context.Background())
	var closers []func()
	stop := func() {
		cancel()
		f.done.Wait()
		for _, c := range closers {
			c()
		}
	}
	for _, zone := range topology.New(options.VMs).Zones() {
		closers = append(closers, f.startWorkers(ctx, options, zone))
		closeRunners, err := f.startRunners(ctx, options, zone)
		closers = append(closers, closeRunners)
		if err != nil {
			stop()
			return nil, nil, fmt.Errorf("start stand-ins of zone %s: %w", zone, err)
		}
	}
	return f, stop, nil
}

// Tally returns what the stand-ins counted.
func (f *Fleet) Tally() tally.Summary {
	return f.tally.Summary()
}

func addresses(vms []topology.VM, zone string) []string {
	var list []string
	for _, vm := range vms {
		if vm.Zone == zone {
			list = append(list, vm.Address)
		}
	}
	return list
}

// random returns a source that is safe for use by one goroutine at a time.
func random(seed uint64, name string) func() float64 {
	h := seed
	for _, c := range []byte(name) {
		h = h*1099511628211 + uint64(c)
	}
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, h)) //nolint:gosec // not for secrets
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
		if i < o.Accelerated {
			capacity[pj.Accelerators] = o.Accelerators
		}
		w := worker.New(worker.Options{
			Name: name, Zone: zone, Rack: fmt.Sprintf("%s-rack-%d", zone, i/max(o.WorkersARack, 1)+1),
			Incarnation: fmt.Sprintf("%d-%d", time.Now().UnixNano(), i), Capacity: capacity, Run: o.Run,
			FailRate: o.FailRate, Random: random(o.Seed, name), Tally: &f.tally,
		})
		client, closeClient := entry.New(addresses(o.VMs, zone), "", entry.WithTLS(o.TLS))
		closers = append(closers, closeClient)
		f.done.Add(1)
		go func() {
			defer f.done.Done()
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

func (f *Fleet) startRunners(ctx context.Context, o Options, zone string) (func(), error) {
	var closers []func()
	client, closeClient := entry.New(addresses(o.VMs, zone), "", entry.WithTLS(o.TLS))
	closers = append(closers, closeClient)
	for i := range o.Runners {
		name := fmt.Sprintf("%s-runner-%02d", zone, i+1)
		r, closeRunner, err := runner.New(runner.Options{
			Name: name, Zone: zone, Listen: "127.0.0.1", Queues: []string{"*"}, Slots: o.Slots, Service: o.Service,
			FailRate: o.FailRate, WrongRate: o.WrongRate, LostRate: o.LostRate, Silent: o.Silent,
			Random: random(o.Seed, name), Tally: &f.tally,
		})
		if err != nil {
			return closeAll(closers), err
		}
		closers = append(closers, closeRunner)
		f.done.Add(1)
		go func() {
			defer f.done.Done()
			r.Run(ctx, client)
		}()
	}
	return closeAll(closers), nil
}
