// Package retry repeats requests that may be repeated, within a budget, and makes sure that the
// others are never sent twice.
package retry

import (
	"context"
	"sync"

	pj "papayajunction"
)

// Bounds of the budget: retries may be a tenth of all requests of a queue, with some to start with.
const (
	maxTries     = 3
	budgetStart  = 10.0
	budgetMost   = 100.0
	budgetEarned = 0.1 // for each request
)

// Budget bounds the retries of each queue. The zero value is ready for use.
type Budget struct {
	mu     sync.Mutex
	queues map[string]float64
}

func (b *Budget) earn(queue string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queues == nil {
		b.queues = make(map[string]float64)
	}
	held, ok := b.queues[queue]
	if !ok {
		held = budgetStart
	}
	b.queues[queue] = min(held+budgetEarned, budgetMost)
}

func (b *Budget) spend(queue string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queues[queue] < 1 {
		return false
	}
	b.queues[queue]--
	return true
}

// Filter repeats a request. Work that was certainly not run may be sent elsewhere in any case;
// work that may have run is sent again only if its queue allows it.
type Filter struct {
	budget *Budget
}

// New returns a filter with its own budget.
func New() *Filter {
	return &Filter{budget: &Budget{}}
}

// Wrap is part of pj.Filter.
func (f *Filter) Wrap(next pj.Handler) pj.Handler {
	return pj.HandlerFunc(func(ctx context.Context, x *pj.Exchange) error {
		f.budget.earn(x.Queue.Name)
		for try := 1; ; try++ {
			x.Attempts = try
			err := next.Serve(ctx, x)
			if err == nil || try == maxTries || ctx.Err() != nil || !f.mayRepeat(x, err) {
				return final(x, err)
			}
		}
	})
}

func (f *Filter) mayRepeat(x *pj.Exchange, err error) bool {
	e := pj.AsError(err)
	switch e.Code {
	case pj.CodeBadAnswer, pj.CodeOutcomeUnknown:
		return !e.NotRun && x.Queue.Repeatable && f.budget.spend(x.Queue.Name)
	case pj.CodeNoEndpoint:
		// The endpoint chosen could not be reached or said that it did not run the request.
		return e.NotRun && x.Endpoint != "" && f.budget.spend(x.Queue.Name)
	default:
		return false
	}
}

// final makes sure that an error says "not run" only if no try may have run.
func final(x *pj.Exchange, err error) error {
	if !x.Sent {
		return err
	}
	return pj.AfterUnknown(err)
}
