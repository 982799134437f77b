// Package filter holds the filters that a request passes on its way to an endpoint. Each has one
// job; Chain puts them in order.
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

// Chain wraps a handler in filters; the first filter sees the request first.
func Chain(last pj.Handler, filters ...pj.Filter) pj.Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i].Wrap(last)
	}
	return last
}

// Func lets a plain function serve as a filter.
type Func func(ctx context.Context, x *pj.Exchange, next pj.Handler) error

// Wrap is part of pj.Filter.
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

// Metrics counts requests and keeps histograms of their waiting and total time by workspace and
// class.
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
		class := fmt.Sprintf(`{workspace=%q,kind="request",urgency=%q}`, x.Queue.Workspace, x.Queue.Urgency.String())
		set.GetOrCreateHistogram("papaya_request_wait_seconds" + class).Update(x.Waited.Seconds())
		set.GetOrCreateHistogram("papaya_request_seconds" + class).UpdateDuration(x.Arrived)
		return err
	})
}

// Source is what is in force, as the filters need it.
type Source interface {
	Configuration() pj.Configuration
	Confirmed() (ago time.Duration, ok bool)
	Identify(secret string) (pj.Identity, error)
}

// Admission finds the queue and refuses requests that this VM can't take.
func Admission(source Source, draining func() bool) pj.Filter {
	return Func(func(ctx context.Context, x *pj.Exchange, next pj.Handler) error {
		if draining() {
			return pj.Refuse(pj.CodeDraining, "this VM is stopping; send the request again")
		}
		q, err := FindQueue(source, x.QueueName)
		if err != nil {
			return err
		}
		if q.Kind != pj.KindRequest {
			return pj.Refuse(pj.CodeBadRequest, "queue %s takes jobs (PUT /v1/jobs/ID), no requests", q.Name)
		}
		x.Queue = q
		return next.Serve(ctx, x)
	})
}

// FindQueue returns a queue that is in force.
func FindQueue(source Source, name string) (pj.Queue, error) {
	if _, ok := source.Confirmed(); !ok {
		return pj.Queue{}, pj.Refuse(pj.CodeNoQuorum, "this VM has not learned yet which configuration is in force")
	}
	q, ok := source.Configuration().Queues[name]
	if !ok {
		return pj.Queue{}, pj.Refuse(pj.CodeUnknownQueue, "queue %s is not in the configuration", name)
	}
	return q, nil
}

// Deadline bounds a request by its queue's time limit.
func Deadline() pj.Filter {
	return Func(func(ctx context.Context, x *pj.Exchange, next pj.Handler) error {
		x.Deadline = x.Arrived.Add(x.Queue.Timeout.Std())
		ctx, cancel := context.WithDeadline(ctx, x.Deadline)
		defer cancel()
		return next.Serve(ctx, x)
	})
}

// Identity takes work only for the workspace whose key came with it, unless the queue is open.
func Identity(source Source) pj.Filter {
	return Func(func(ctx context.Context, x *pj.Exchange, next pj.Handler) error {
		id, err := Authorize(source, x.Queue, x.Secret)
		if err != nil {
			return err
		}
		x.Identity = id
		return next.Serve(ctx, x)
	})
}

// Authorize returns for whom work of a queue is taken.
func Authorize(source Source, q pj.Queue, secret string) (pj.Identity, error) {
	if q.Open {
		return pj.Identity{Workspace: q.Workspace}, nil
	}
	id, err := source.Identify(secret)
	if err != nil {
		return pj.Identity{}, err
	}
	if id.Workspace != q.Workspace {
		return pj.Identity{}, pj.Refuse(pj.CodeForbidden, "queue %s belongs to another workspace than the key", q.Name)
	}
	return id, nil
}

// Limiter bounds what one VM carries at once, for each workspace and in all.
type Limiter struct {
	mu    sync.Mutex
	most  int
	total int
	used  map[string]int
}

// NewLimiter returns a limiter for the given number of requests. One workspace may have half of
// them.
func NewLimiter(most int) *Limiter {
	return &Limiter{most: most, used: make(map[string]int)}
}

// Limit refuses requests that this VM has no room for.
func Limit(l *Limiter) pj.Filter {
	return Func(func(ctx context.Context, x *pj.Exchange, next pj.Handler) error {
		if !l.enter(x.Queue.Workspace) {
			e := pj.Refuse(pj.CodeOverloaded, "this VM carries as many requests as it can")
			e.RetryAfter = pj.Duration(time.Second)
			return e
		}
		defer l.leave(x.Queue.Workspace)
		return next.Serve(ctx, x)
	})
}

func (l *Limiter) enter(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total >= l.most || l.used[workspace] >= max(l.most/2, 1) {
		return false
	}
	l.total++
	l.used[workspace]++
	return true
}

func (l *Limiter) leave(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.used[workspace]--
	if l.used[workspace] == 0 {
		delete(l.used, workspace)
	}
}

// InFlight returns the number of requests that are being carried.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
