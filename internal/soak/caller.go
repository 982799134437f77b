package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	pj "papayajunction"
)

// Parameters of callers whose responses are late or lost. Each is one in so many, on average.
const (
	giveUpOneIn      = 5 // doesn't wait for the response to its first attempt
	heedRefusalOneIn = 2 // doesn't submit its job again after it was refused
	repeatOneIn      = 2 // submits its job again after it was accepted
	replaceOneIn     = 8 // submits another job under the id of its job

	minGiveUpTime  = 2 * time.Millisecond
	maxGiveUpTime  = time.Second
	maxReturnDelay = 3 * time.Second // after an attempt that was given up; a job can end in the meantime
	maxRepeatDelay = 5 * time.Second // after the acceptance
	callerStream   = 1 << 16         // of the random numbers of the first job's caller
	addressStream  = 4               // of the random numbers for the entries of repetitions
)

// caller is the behaviour of the caller of one job. The zero value waits for each response and submits the job until it is accepted.
type caller struct {
	cancels      bool            // cancels the job when it is accepted
	giveUpAfter  time.Duration   // of the first attempt, 0 to wait for the response
	returnAfter  time.Duration   // from giving up to the second attempt
	heedsRefusal bool            // doesn't submit the job again after a refusal
	repeatAfter  []time.Duration // when the job is submitted again, from its acceptance
	replaceAfter []time.Duration // when another job is submitted under its id, from its acceptance
}

// newCaller returns the behaviour of the caller of job n.
func newCaller(seed uint64, n int) caller {
	r := rand.New(rand.NewPCG(seed, callerStream+uint64(n))) //nolint:gosec // not for secrets
	c := caller{heedsRefusal: r.IntN(heedRefusalOneIn) == 0}
	if r.IntN(giveUpOneIn) == 0 {
		c.giveUpAfter = minGiveUpTime + time.Duration(r.Int64N(int64(maxGiveUpTime-minGiveUpTime)))
		c.returnAfter = time.Duration(r.Int64N(int64(maxReturnDelay)))
	}
	if r.IntN(repeatOneIn) == 0 {
		c.repeatAfter = append(c.repeatAfter, time.Duration(r.Int64N(int64(maxRepeatDelay))))
	}
	if r.IntN(replaceOneIn) == 0 {
		c.replaceAfter = append(c.replaceAfter, time.Duration(r.Int64N(int64(maxRepeatDelay))))
	}
	return c
}

// attempt submits the job once. It gives up the first attempt early, and returns after the pause until the next one, if the caller does so.
func (l *load) attempt(ctx context.Context, entry string, c *caller, first bool, route *pj.Route, w *pj.Workflow) error {
	if !first || c.giveUpAfter == 0 {
		return l.client.Submit(ctx, entry, route, apiKey, w)
	}
	attemptCtx, cancel := context.WithTimeout(ctx, c.giveUpAfter)
	defer cancel()
	err := l.client.Submit(attemptCtx, entry, route, apiKey, w)
	if attemptCtx.Err() != nil {
		time.Sleep(c.returnAfter)
	}
	return err
}

// refused reports whether err means that the job is not run, and whether that is because of the job or its caller, not because of the
// state of the cell.
func refused(err error) (notRun, permanent bool) {
	if err == nil {
		return false, false
	}
	e := pj.AsError(err)
	return e.NotRun, e.NotRun && e.Code != pj.CodeOverloaded
}

// otherAddress returns the address of a random entry VM other than the given one.
func (l *load) otherAddress(address string) string {
	others := slices.DeleteFunc(l.addresses(entryRole, frontPort), func(a string) bool { return a == address })
	l.mu.Lock()
	defer l.mu.Unlock()
	return others[l.callerRand.IntN(len(others))]
}

// afterAcceptance submits what the caller of an accepted job submits later.
func (l *load) afterAcceptance(ctx context.Context, id, entry string, c *caller) {
	for _, delay := range c.repeatAfter {
		l.submitters.Go(func() {
			time.Sleep(delay)
			l.repeat(ctx, id, l.otherAddress(entry))
		})
	}
	for _, delay := range c.replaceAfter {
		l.submitters.Go(func() {
			time.Sleep(delay)
			l.replace(ctx, id, l.otherAddress(entry))
		})
	}
}

// repeat submits an accepted job again, at any time of its life. It remains one job: the response must not be that it is not run, except
// by an entry that can't know.
func (l *load) repeat(ctx context.Context, id, entry string) {
	route, w := newWork(id)
	err := l.client.Submit(ctx, entry, route, apiKey, w)
	notRun, permanent := refused(err)
	l.mu.Lock()
	l.repeated++
	if notRun && !permanent {
		l.repeatedRefused++
	}
	l.mu.Unlock()
	if permanent {
		l.recordViolation("job %s was accepted and, submitted again, refused: %v", id, err)
	}
}

// newReplacement returns another job under the id of the job that newWork returns.
func newReplacement(id string, otherSteps bool) *pj.Workflow {
	_, w := newWork(id)
	if otherSteps {
		w.Steps[0].Tasks++
	} else {
		w.Spec += "-replacement"
	}
	return w
}

// replace submits another job under the id of an accepted one, which must be refused.
func (l *load) replace(ctx context.Context, id, entry string) {
	route, _ := newWork(id)
	l.mu.Lock()
	w := newReplacement(id, l.callerRand.IntN(2) == 0)
	l.replaced++
	l.mu.Unlock()
	if err := l.client.Submit(ctx, entry, route, apiKey, w); err == nil {
		l.recordViolation("job %s was accepted, and then another job under its id", id)
	}
}
