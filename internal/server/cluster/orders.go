package cluster

import (
	"context"
	"time"

	pj "papayajunction"
)

// Times of calls to workers.
const (
	orderTimeout = 900 * time.Millisecond
	lookSlack    = time.Second // on top of the time for which a worker may hold back its answer
	adviseSlack  = 200 * time.Millisecond
)

// orders sends the controller's orders on goroutines of their own and reports on the control goroutine.
type orders struct {
	replica *replica
}

// send runs a call and hands its outcome to the control goroutine.
func send[R any](o *orders, timeout time.Duration, call func(context.Context) (R, error), done func(R, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		result, err := call(ctx)
		o.replica.loop.Post(func() { done(result, err) })
	}()
}

// Start is part of runs.Orders.
func (o *orders) Start(w pj.CalledWorker, s pj.StartOrder, done func(int64, error)) {
	send(o, orderTimeout, func(ctx context.Context) (int64, error) {
		return o.replica.vm.options.Link.Start(ctx, &w, s)
	}, done)
}

// Stop is part of runs.Orders.
func (o *orders) Stop(w pj.CalledWorker, run pj.RunID, fence uint64, done func(int64, error)) {
	send(o, orderTimeout, func(ctx context.Context) (int64, error) {
		return o.replica.vm.options.Link.Stop(ctx, &w, run, fence)
	}, done)
}

// Hold is part of runs.Orders.
func (o *orders) Hold(w pj.CalledWorker, h pj.HoldOrder, done func(pj.HoldAnswer, error)) {
	send(o, h.Wait+lookSlack, func(ctx context.Context) (pj.HoldAnswer, error) {
		return o.replica.vm.options.Link.Hold(ctx, &w, h)
	}, done)
}

// Pace is part of runs.Orders.
func (o *orders) Pace(w pj.CalledWorker, run pj.RunID, percent int, fence uint64, done func(int64, error)) {
	send(o, orderTimeout, func(ctx context.Context) (int64, error) {
		return o.replica.vm.options.Link.Pace(ctx, &w, run, percent, fence)
	}, done)
}

// Advise is part of runs.Orders.
func (o *orders) Advise(vm string, step pj.StepID, workers []string, timeout time.Duration, done func(pj.Advice, error)) {
	v := o.replica.vm
	request := adviseRequest{Step: step, Workers: workers, WaitMS: timeout.Milliseconds()}
	send(o, timeout+adviseSlack, func(ctx context.Context) (advice pj.Advice, err error) {
		if vm == v.options.Address {
			return v.runAdvise(ctx, request)
		}
		return advice, v.transport.Call(ctx, vm, opAdvise, request, &advice)
	}, done)
}
