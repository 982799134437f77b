// Package filter contains the filters (middleware) through which a request passes on its way to an
// endpoint. Each has one purpose; Chain composes them.
package filter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitlog "github.com/go-kit/log"

	pj "papayajunction"
)

// Chain wraps a handler in filters; the first filter is the outermost.
func Chain(last pj.Handler, filters ...pj.Filter) pj.Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i].Wrap(last)
	}
	return last
}

// Func adapts a function to pj.Filter.
type Func func(ctx context.Context, x *pj.Exchange, next pj.Handler) error

// Wrap implements pj.Filter.
func (f Func) Wrap(next pj.Handler) pj.Handler {
	return pj.HandlerFunc(func(ctx context.Context, x *pj.Exchange) error {
		return f(ctx, x, next)
	})
}

// Log writes one line for each request.
func Log(logger kitlog.Logger) pj.Filter {
	return Func(func(ctx context.Context, x *pj.Exchange, next pj.Handler) error {
		err := next.Serve(ctx, x)
		code := "ok"
		if err != nil {
			code = string(pj.AsError(err).Code)
		}
		_ = logger.Log("event", "request_served", "request", x.RequestID, "queue", x.QueueName,
			"workspace", x.Queue.Workspace, "endpoint", x.Endpoint, "tries", x.Attempts,
			"waited", x.Waited.Round(time.Millisecond), "took", time.Since(x.Arrived).Round(time.Millisecond), "code", code)
		return err
	})
}

// Metrics counts requests by workspace and code, and keeps histograms of their waiting and total time by
// workspace and urgency.
func Metrics(set *metrics.Set) pj.Filter {
	return Func(func(ctx context.Context, x *pj.Exchange, next pj.Handler) error {
		err := next.Serve(ctx, x)
		code := "ok"
		if err != nil {
			code = string(pj.AsError(err).Code)
		}
		set.GetOrCreateCounter(fmt.Sprintf(`papaya_requests_total{workspace=%q,code=%q}`, x.Queue.Workspace, code)).Inc()
		if x.Queue.Name == "" {
			return err
		}
		labels := fmt.Sprintf(`{workspace=%q,kind="request",urgency=%q}`, x.Queue.Workspace, x.Queue.Urgency.String())
		set.GetOrCreateHistogram("papaya_request_wait_seconds" + labels).Update(x.Waited.Seconds())
		set.GetOrCreateHistogram("papaya_request_seconds" + labels).UpdateDuration(x.Arrived)
		return err
	})
}

// Directory provides the configuration and the keys in force on this VM. Confirmed returns how long ago the
// fleet quorum was last contacted; ok is false if it was not since the VM started.
type Directory interface {
	Configuration() pj.Configuration
	Confirmed() (ago time.Duration, ok bool)
	Identify(secret string) (pj.Identity, error)
}

// Admission looks up the queue of a request. It rejects requests while this VM is draining, and those to
// unknown queues and to queues that don't accept requests.
func Admission(directory Directory, draining func() bool) pj.Filter {
	return Func(func(ctx context.Context, x *pj.Exchange, next pj.Handler) error {
		if draining() {
			return pj.Refuse(pj.CodeDraining, "this VM is stopping; send the request again")
		}
		queue, err := FindQueue(directory, x.QueueName)
		if err != nil {
			return err
		}
		if queue.Kind != pj.KindRequest {
			return pj.Refuse(pj.CodeBadRequest, "queue %s accepts jobs (PUT /v1/jobs/ID), not requests", queue.Name)
		}
		x.Queue = queue
		return next.Serve(ctx, x)
	})
}

// FindQueue returns a queue of the configuration in force.
func FindQueue(directory Directory, name string) (pj.Queue, error) {
	if _, ok := directory.Confirmed(); !ok {
		return pj.Queue{}, pj.Refuse(pj.CodeNoQuorum, "this VM has not yet received the configuration in force")
	}
	q, ok := directory.Configuration().Queues[name]
	if !ok {
		return pj.Queue{}, pj.Refuse(pj.CodeUnknownQueue, "queue %s is not in the configuration", name)
	}
	return q, nil
}

// Deadline sets the deadline of a request from its arrival and its queue's timeout.
func Deadline() pj.Filter {
	return Func(func(ctx context.Context, x *pj.Exchange, next pj.Handler) error {
		x.Deadline = x.Arrived.Add(x.Queue.Timeout.Std())
		ctx, cancel := context.WithDeadline(ctx, x.Deadline)
		defer cancel()
		return next.Serve(ctx, x)
	})
}

// Authorization rejects requests whose key does not belong to the workspace that owns the queue, and sets the identity
// of the others. An open queue needs no key.
func Authorization(directory Directory) pj.Filter {
	return Func(func(ctx context.Context, x *pj.Exchange, next pj.Handler) error {
		id, err := Authorize(directory, x.Queue, x.Secret)
		if err != nil {
			return err
		}
		x.Identity = id
		return next.Serve(ctx, x)
	})
}

// Authorize checks that the key with the given secret may be used for a queue and returns the identity of the
// caller. An open queue needs no key.
func Authorize(directory Directory, q pj.Queue, secret string) (pj.Identity, error) {
	if q.Open {
		return pj.Identity{Workspace: q.Workspace}, nil
	}
	id, err := directory.Identify(secret)
	if err != nil {
		return pj.Identity{}, err
	}
	if id.Workspace != q.Workspace {
		return pj.Identity{}, pj.Refuse(pj.CodeForbidden, "queue %s belongs to another workspace than the key", q.Name)
	}
	return id, nil
}

// Limiter bounds the requests in flight on one VM, per workspace and in total.
type Limiter struct {
	mu                  sync.Mutex
	maxInFlight         int
	inFlight            int
	inFlightByWorkspace map[string]int
}

// NewLimiter returns a limiter that allows maxInFlight requests at once. One workspace may have half of
// them.
func NewLimiter(maxInFlight int) *Limiter {
	return &Limiter{maxInFlight: maxInFlight, inFlightByWorkspace: make(map[string]int)}
}

// Limit rejects requests beyond the limits of l.
func Limit(l *Limiter) pj.Filter {
	return Func(func(ctx context.Context, x *pj.Exchange, next pj.Handler) error {
		if !l.acquire(x.Queue.Workspace) {
			e := pj.Refuse(pj.CodeOverloaded, "too many requests in flight on this VM")
			e.RetryAfter = pj.Duration(time.Second)
			return e
		}
		defer l.release(x.Queue.Workspace)
		return next.Serve(ctx, x)
	})
}

func (l *Limiter) acquire(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.maxInFlight || l.inFlightByWorkspace[workspace] >= max(l.maxInFlight/2, 1) {
		return false
	}
	l.inFlight++
	l.inFlightByWorkspace[workspace]++
	return true
}

func (l *Limiter) release(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.inFlightByWorkspace[workspace]--
	if l.inFlightByWorkspace[workspace] == 0 {
		delete(l.inFlightByWorkspace, workspace)
	}
}

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}
