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

// Run disturbs the cell for a span by the plan of a seed. Instructions for the script go to orders, what happens to out.
// Work that hasn't ended after the span is waited for, for the given patience or, if that is 0, without end.
// It returns what broke a promise.
func Run(ctx context.Context, seed uint64, span, patience time.Duration, orders, out io.Writer) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := newLoad(seed)
	born := time.Now().UnixMilli()
	fleet, err := startWorkers(ctx, func(f *called.Fleet) pj.WorkerLink { return &checkedLink{WorkerLink: f, load: l} })
	if err != nil {
		return nil, err
	}
	l.fleet = fleet
	forwarders := make(map[string]*forwarder)
	for _, v := range vms() {
		if forwarders[v.name], err = newForwarder(ctx, v.at(peerPort), v.at(ownPeerPort)); err != nil {
			return nil, err
		}
	}
	_, _ = fmt.Fprintln(orders, "start all")
	for i := range workerCount {
		go l.announce(ctx, i, born)
	}
	go l.configure(ctx)
	traffic, endTraffic := context.WithTimeout(ctx, span-calmAfter)
	defer endTraffic()
	go l.hand(traffic)

	started := time.Now()
	var workers []string
	for i := range workerCount {
		workers = append(workers, workerName(i))
	}
	var faults sync.WaitGroup
	for _, f := range Plan(seed, span, names("replica"), names("entry"), workers) {
		time.Sleep(time.Until(started.Add(f.At)))
		_, _ = fmt.Fprintln(out, "fault", f)
		faults.Add(1)
		go func() {
			defer faults.Done()
			disturb(f, fleet, forwarders, orders)
		}()
	}
	faults.Wait()
	l.finish(ctx, patience, out)
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
			if j.state == string(pj.WorkflowCancelled) || j.state == string(pj.WorkflowFailed) {
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
		if j.accepted && j.state != string(pj.WorkflowComplete) && j.state != string(pj.WorkflowCancelled) && j.state != string(pj.WorkflowFailed) {
			if state := pj.WorkflowState(l.ask(ctx, id)); !state.Final() {
				open = append(open, id)
			}
		}
	}
	return open
}
