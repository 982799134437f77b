// Package retry retries requests that may be repeated, within a budget, and ensures that the others are
// never sent twice.
package retry

import (
	"context"
	"sync"

	pj "papayajunction"
)

// Limits of retries. Each retry costs one token of its queue, so retries may be a tenth of the requests of a
// queue, plus the initial tokens.
const (
	maxAttempts      = 3
	initialTokens    = 10.0
	maxTokens        = 100.0
	tokensPerRequest = 0.1
)

// Budget is a retry budget for each queue. The zero value is ready for use.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]float64 // by queue
}

func (b *Budget) refill(queue string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens == nil {
		b.tokens = make(map[string]float64)
	}
	tokens, ok := b.tokens[queue]
	if !ok {
		tokens = initialTokens
	}
	b.tokens[queue] = min(tokens+tokensPerRequest, maxTokens)
}

func (b *Budget) take(queue string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[queue] < 1 {
		return false
	}
	b.tokens[queue]--
	return true
}

// Filter retries failed requests. A request that was certainly not run may be sent to another endpoint in any
// case; one that may have run is sent again only if its queue is repeatable.
type Filter struct {
	budget *Budget
}

// New returns a filter with its own budget.
func New() *Filter {
	return &Filter{budget: &Budget{}}
}

// Wrap implements pj.Filter.
func (f *Filter) Wrap(next pj.Handler) pj.Handler {
	return pj.HandlerFunc(func(ctx context.Context, x *pj.Exchange) error {
		f.budget.refill(x.Queue.Name)
		for attempt := 1; ; attempt++ {
			x.Attempts = attempt
			err := next.Serve(ctx, x)
			if err == nil || attempt == maxAttempts || ctx.Err() != nil || !f.shouldRetry(x, err) {
				return finalError(x, err)
			}
		}
	})
}

func (f *Filter) shouldRetry(x *pj.Exchange, err error) bool {
	e := pj.AsError(err)
	switch e.Code {
	case pj.CodeBadResponse, pj.CodeOutcomeUnknown:
		return !e.NotRun && x.Queue.Repeatable && f.budget.take(x.Queue.Name)
	case pj.CodeNoEndpoint:
		// The chosen endpoint was unreachable or reported that it did not run the request, or its grant expired.
		return e.NotRun && x.Endpoint != "" && f.budget.take(x.Queue.Name)
	default:
		return false
	}
}

// finalError ensures that an error has NotRun only if no attempt can have run the request.
func finalError(x *pj.Exchange, err error) error {
	if !x.Sent {
		return err
	}
	return pj.ClearNotRun(err)
}
