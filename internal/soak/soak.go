package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	pj "papayajunction"
	"papayajunction/internal/standin/called"
)

// Options configure a run.
type Options struct {
	Seed     uint64
	Size     Size
	Span     time.Duration
	Patience time.Duration // how long work may take to end after the span; 0 waits without end
	System   System
	Worker   NewWorker
}

// Run disturbs the cell by the plan of a seed. Instructions for the script go to orders, what happens to out.
// It returns what broke a promise.
func Run(ctx context.Context, o Options, orders, out io.Writer) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	infos := o.Size.workers()
	fleet := called.New(infos, taskTime)
	l := newLoad(o.Seed, o.Size, o.System, fleet)
	if err := serveWorkers(ctx, infos, &checkedLink{WorkerLink: fleet, load: l}, o.Worker); err != nil {
		return nil, err
	}
	forwarders := make(map[string]*forwarder)
	for _, v := range o.Size.vms() {
		f, err := newForwarder(ctx, v.at(peerPort), v.at(ownPeerPort))
		if err != nil {
			return nil, err
		}
		forwarders[v.name] = f
	}
	_, _ = fmt.Fprintln(orders, "start all")
	var names []string
	for _, info := range infos {
		names = append(names, info.ID)
		go l.announce(ctx, info)
	}
	go l.configure(ctx)
	traffic, endTraffic := context.WithTimeout(ctx, o.Span-calmAfter)
	defer endTraffic()
	go l.hand(traffic)

	started := time.Now()
	var faults sync.WaitGroup
	for _, f := range Plan(o.Seed, o.Span, o.Size.vmNames(replicaRole), o.Size.vmNames(entryRole), names) {
		time.Sleep(time.Until(started.Add(f.At)))
		_, _ = fmt.Fprintln(out, "fault", f)
		faults.Add(1)
		go func() {
			defer faults.Done()
			disturb(f, fleet, forwarders, orders)
		}()
	}
	faults.Wait()
	l.finish(ctx, o.Patience, out)
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Concat(l.breaches, fleet.Breaches()), nil
}

// graceMost is how long a VM has to end after SIGTERM; its settings say 3 s.
const graceMost = 3200 * time.Millisecond

var orderLock sync.Mutex // lines to the script are whole

// disturb begins a fault and ends it.
func disturb(f Fault, fleet *called.Fleet, forwarders map[string]*forwarder, orders io.Writer) {
	tell := func(verb string) {
		orderLock.Lock()
		defer orderLock.Unlock()
		_, _ = fmt.Fprintln(orders, verb, f.On)
	}
	switch f.Kind {
	case Hush:
		fleet.Silence(f.On, true)
		time.Sleep(f.For)
		fleet.Silence(f.On, false)
	case Cut, Silence, Delay, Reset:
		forwarders[f.On].set(f.Kind)
		time.Sleep(f.For)
		forwarders[f.On].set("")
	case Pause:
		tell("STOP")
		time.Sleep(f.For)
		tell("CONT")
	case Kill, Wipe, Restart:
		signal := map[Kind]string{Kill: "KILL", Wipe: "KILL", Restart: "TERM"}[f.Kind]
		tell(signal)
		if f.Kind == Restart {
			time.Sleep(graceMost) // the script kills what hasn't ended by then
		}
		time.Sleep(f.For)
		if f.Kind == Wipe {
			tell("wipe")
		}
		tell("start")
	}
}

// finish waits until every accepted job is in a final state or the patience is over, and notes what isn't.
func (l *load) finish(ctx context.Context, patience time.Duration, out io.Writer) {
	since := time.Now()
	open := l.open(ctx)
	for len(open) > 0 && (patience == 0 || time.Since(since) < patience) {
		time.Sleep(tryAgainAfter)
		open = l.open(ctx)
	}
	for _, id := range open {
		l.breach("job %s was accepted and has no final state at the end", id)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted, cancelled := 0, 0
	for id, j := range l.jobs {
		switch {
		case j.accepted && j.cancelled:
			cancelled++
		case j.accepted:
			accepted++
			if j.state == pj.WorkflowCancelled || j.state == pj.WorkflowFailed {
				l.breaches = append(l.breaches, fmt.Sprintf("job %s is %s without cause", id, j.state))
			}
		case j.rejected && l.ran[id]:
			l.breaches = append(l.breaches, fmt.Sprintf("job %s was refused each time, and it ran", id))
		}
	}
	_, _ = fmt.Fprintf(out, "jobs=%d accepted=%d cancelled=%d tasks=%d config=%d\n", len(l.jobs), accepted, cancelled, l.fleet.Done(), l.version)
}

// open returns the accepted jobs that aren't known to be in a final state, after asking for them.
func (l *load) open(ctx context.Context) (open []string) {
	l.mu.Lock()
	ids := slices.Sorted(maps.Keys(l.jobs))
	l.mu.Unlock()
	for _, id := range ids {
		l.mu.Lock()
		j := *l.jobs[id]
		l.mu.Unlock()
		if j.accepted && !j.state.Final() && !l.ask(ctx, id).Final() {
			open = append(open, id)
		}
	}
	return open
}
