package cluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	pj "papayajunction"
)

// Timeouts of calls to workers.
const (
	orderTimeout = 300 * time.Millisecond // a worker answers at once; without an answer the leader polls it to learn the outcome
	pollSlack    = 700 * time.Millisecond // added to the time for which a worker may hold a poll open
	adviseSlack  = 200 * time.Millisecond // added to the policy's own timeout, for the call to the VM that queries it
)

// order is one call to a worker; exactly one of the last four fields is set.
type order struct {
	Number      uint64           `json:"number"` // identifies the order between the leader and a relay
	Worker      string           `json:"worker"`
	Incarnation int64            `json:"born,omitempty"` // of the worker; no other one receives the order
	Address     string           `json:"address"`
	Start       *pj.StartRequest `json:"start,omitempty"`
	Stop        *stopRequest     `json:"stop,omitempty"`
	Poll        *pj.PollRequest  `json:"hold,omitempty"`
	Pace        *paceRequest     `json:"pace,omitempty"`
}

type stopRequest struct {
	Run   pj.RunID `json:"run"`
	Fence uint64   `json:"fence"`
}

type paceRequest struct {
	Run     pj.RunID `json:"run"`
	Percent int      `json:"percent"`
	Fence   uint64   `json:"fence"`
}

// orderResult is the outcome of an order: the worker's response, its refusal, or the reason why the outcome is unknown.
type orderResult struct {
	Number  uint64           `json:"number"`
	ClockMS int64            `json:"clock_ms,omitempty"`
	Poll    *pj.PollResponse `json:"held,omitempty"`
	Refused *pj.RefusedError `json:"refused,omitempty"`
	Unknown string           `json:"open,omitempty"`
}

// err returns the error that is passed to the done callbacks of runs.Orders.
func (r *orderResult) err() error {
	switch {
	case r.Refused != nil:
		return r.Refused
	case r.Unknown != "":
		return errors.New(r.Unknown)
	}
	return nil
}

// timeout returns the maximum time that the worker's response may take.
func (o *order) timeout() time.Duration {
	if o.Poll != nil {
		return o.Poll.MaxWait + pollSlack
	}
	return orderTimeout
}

// execute sends an order to its worker and returns the outcome.
func (v *VM) execute(ctx context.Context, o order) orderResult {
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	w := &pj.PolledWorker{ID: o.Worker, Incarnation: o.Incarnation, Address: o.Address}
	result := orderResult{Number: o.Number}
	var err error
	switch {
	case o.Start != nil:
		result.ClockMS, err = v.options.WorkerClient.Start(ctx, w, *o.Start)
	case o.Stop != nil:
		result.ClockMS, err = v.options.WorkerClient.Stop(ctx, w, o.Stop.Run, o.Stop.Fence)
	case o.Pace != nil:
		result.ClockMS, err = v.options.WorkerClient.Pace(ctx, w, o.Pace.Run, o.Pace.Percent, o.Pace.Fence)
	case o.Poll != nil:
		var response pj.PollResponse
		response, err = v.options.WorkerClient.Poll(ctx, w, *o.Poll)
		result.Poll = &response
	default:
		err = fmt.Errorf("order %d for worker %s is empty", o.Number, o.Worker)
	}
	if err != nil && !errors.As(err, &result.Refused) {
		result.Unknown = err.Error()
	}
	return result
}

// orderSender implements runs.Orders. It sends the controller's orders to the workers, through relays where available, and
// calls the done callbacks on the control goroutine.
type orderSender struct {
	replica *replica
	relays  *relays
}

func (o *orderSender) send(w *pj.PolledWorker, call order, done func(orderResult)) {
	call.Worker, call.Incarnation, call.Address = w.ID, w.Incarnation, w.Address
	if o.relays.enqueue(w.Zone, call, done) {
		return
	}
	go func() {
		result := o.replica.vm.execute(context.Background(), call)
		o.replica.loop.Post(func() { done(result) })
	}()
}

// Start implements runs.Orders.
func (o *orderSender) Start(w pj.PolledWorker, request pj.StartRequest, done func(int64, error)) {
	o.send(&w, order{Start: &request}, func(r orderResult) { done(r.ClockMS, r.err()) })
}

// Stop implements runs.Orders.
func (o *orderSender) Stop(w pj.PolledWorker, run pj.RunID, fence uint64, done func(int64, error)) {
	o.send(&w, order{Stop: &stopRequest{Run: run, Fence: fence}}, func(r orderResult) { done(r.ClockMS, r.err()) })
}

// Pace implements runs.Orders.
func (o *orderSender) Pace(w pj.PolledWorker, run pj.RunID, percent int, fence uint64, done func(int64, error)) {
	o.send(&w, order{Pace: &paceRequest{Run: run, Percent: percent, Fence: fence}}, func(r orderResult) { done(r.ClockMS, r.err()) })
}

// Poll implements runs.Orders.
func (o *orderSender) Poll(w pj.PolledWorker, request pj.PollRequest, done func(pj.PollResponse, error)) {
	o.send(&w, order{Poll: &request}, func(r orderResult) {
		if r.Poll == nil {
			r.Poll = &pj.PollResponse{}
		}
		done(*r.Poll, r.err())
	})
}

// Advise implements runs.Orders.
func (o *orderSender) Advise(vm string, step pj.StepID, workers []string, timeout time.Duration, done func(pj.Advice, error)) {
	v := o.replica.vm
	request := adviseRequest{Step: step, Workers: workers, TimeoutMS: timeout.Milliseconds()}
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
