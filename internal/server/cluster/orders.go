package cluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	pj "papayajunction"
)

// Times of calls to workers.
const (
	orderTimeout = 900 * time.Millisecond
	lookSlack    = time.Second // on top of the time for which a worker may hold back its answer
	adviseSlack  = 200 * time.Millisecond
)

// order is one call to a worker; one of the last four fields is set.
type order struct {
	Number  uint64           `json:"number"` // names it between the leader and a relay
	Worker  string           `json:"worker"`
	Address string           `json:"address"`
	Start   *pj.StartRequest `json:"start,omitempty"`
	Stop    *stopOrder       `json:"stop,omitempty"`
	Hold    *pj.PollRequest  `json:"hold,omitempty"`
	Pace    *paceOrder       `json:"pace,omitempty"`
}

type stopOrder struct {
	Run   pj.RunID `json:"run"`
	Fence uint64   `json:"fence"`
}

type paceOrder struct {
	Run     pj.RunID `json:"run"`
	Percent int      `json:"percent"`
	Fence   uint64   `json:"fence"`
}

// orderAnswer is what became of an order: the worker's answer, its refusal, or why the outcome is open.
type orderAnswer struct {
	Number  uint64           `json:"number"`
	ClockMS int64            `json:"clock_ms,omitempty"`
	Held    *pj.PollResponse `json:"held,omitempty"`
	Refused *pj.RefusedError `json:"refused,omitempty"`
	Open    string           `json:"open,omitempty"`
}

// err returns what Orders reports.
func (a *orderAnswer) err() error {
	switch {
	case a.Refused != nil:
		return a.Refused
	case a.Open != "":
		return errors.New(a.Open)
	}
	return nil
}

// timeout returns how long an answer may take.
func (o *order) timeout() time.Duration {
	if o.Hold != nil {
		return o.Hold.MaxWait + lookSlack
	}
	return orderTimeout
}

// carryOut calls the worker.
func (v *VM) carryOut(ctx context.Context, o order) orderAnswer {
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	w := &pj.PolledWorker{ID: o.Worker, Address: o.Address}
	a := orderAnswer{Number: o.Number}
	var err error
	switch {
	case o.Start != nil:
		a.ClockMS, err = v.options.Link.Start(ctx, w, *o.Start)
	case o.Stop != nil:
		a.ClockMS, err = v.options.Link.Stop(ctx, w, o.Stop.Run, o.Stop.Fence)
	case o.Pace != nil:
		a.ClockMS, err = v.options.Link.Pace(ctx, w, o.Pace.Run, o.Pace.Percent, o.Pace.Fence)
	case o.Hold != nil:
		var held pj.PollResponse
		held, err = v.options.Link.Poll(ctx, w, *o.Hold)
		a.Held = &held
	default:
		err = fmt.Errorf("order %d for worker %s is empty", o.Number, o.Worker)
	}
	if err != nil && !errors.As(err, &a.Refused) {
		a.Open = err.Error()
	}
	return a
}

// orders carries the controller's orders to the workers, through relays if there are some, and reports on the control
// goroutine.
type orders struct {
	replica *replica
	relays  *relays
}

func (o *orders) send(w *pj.PolledWorker, call order, done func(orderAnswer)) {
	call.Worker, call.Address = w.ID, w.Address
	if o.relays.pass(w.Zone, call, done) {
		return
	}
	go func() {
		a := o.replica.vm.carryOut(context.Background(), call)
		o.replica.loop.Post(func() { done(a) })
	}()
}

// Start is part of runs.Orders.
func (o *orders) Start(w pj.PolledWorker, s pj.StartRequest, done func(int64, error)) {
	o.send(&w, order{Start: &s}, func(a orderAnswer) { done(a.ClockMS, a.err()) })
}

// Stop is part of runs.Orders.
func (o *orders) Stop(w pj.PolledWorker, run pj.RunID, fence uint64, done func(int64, error)) {
	o.send(&w, order{Stop: &stopOrder{Run: run, Fence: fence}}, func(a orderAnswer) { done(a.ClockMS, a.err()) })
}

// Pace is part of runs.Orders.
func (o *orders) Pace(w pj.PolledWorker, run pj.RunID, percent int, fence uint64, done func(int64, error)) {
	o.send(&w, order{Pace: &paceOrder{Run: run, Percent: percent, Fence: fence}}, func(a orderAnswer) { done(a.ClockMS, a.err()) })
}

// Poll is part of runs.Orders.
func (o *orders) Poll(w pj.PolledWorker, h pj.PollRequest, done func(pj.PollResponse, error)) {
	o.send(&w, order{Hold: &h}, func(a orderAnswer) {
		if a.Held == nil {
			a.Held = &pj.PollResponse{}
		}
		done(*a.Held, a.err())
	})
}

// Advise is part of runs.Orders.
func (o *orders) Advise(vm string, step pj.StepID, workers []string, timeout time.Duration, done func(pj.Advice, error)) {
	v := o.replica.vm
	request := adviseRequest{Step: step, Workers: workers, WaitMS: timeout.Milliseconds()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout+adviseSlack)
		defer cancel()
		var advice pj.Advice
		var err error
		if vm == v.options.Address {
			advice, err = v.runAdvise(ctx, request)
		} else {
			err = v.transport.Call(ctx, vm, opAdvise, request, &advice)
		}
		o.replica.loop.Post(func() { done(advice, err) })
	}()
}
