// Package leaderclient calls the leader of a replicated group, and finds it by trying the group's members.
package leaderclient

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	pj "papayajunction"
)

// Pauses after a call has failed on all members. They grow, so that the calls that wait for an election don't take the processor
// of those who hold it. A pause ends early when another call finds the leader.
const (
	minRetryInterval    = 60 * time.Millisecond
	maxRetryInterval    = 250 * time.Millisecond
	retryIntervalGrowth = 1.5
)

// maxHintsPerMember bounds how many leader hints one call follows: after this number for each member, it ignores
// hints.
const maxHintsPerMember = 4

// suspicionTime is how long a VM that did not respond is tried after the others. A leader that is lost costs one attempt's
// timeout then, not one in each of the calls that follow.
const suspicionTime = time.Second

// Client caches the last known leader of each group, and which VMs did not respond lately. The zero value is ready for use.
type Client struct {
	mu       sync.Mutex
	vms      map[string]string
	failedAt map[string]time.Duration // by VM
	found    chan struct{}            // closed when the leader of a group changes; nil if no call waits
}

// Leader returns the last known leader of a group, "" if none is known.
func (c *Client) Leader(group string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[group]
}

// SetLeader records the leader of a group.
func (c *Client) SetLeader(group, vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vms == nil {
		c.vms = make(map[string]string)
	}
	if c.found != nil && c.vms[group] != vm {
		close(c.found)
		c.found = nil
	}
	c.vms[group] = vm
}

// waitForLeader waits for the given time, until a leader is found, or until ctx ends, and returns false if ctx ended first.
func (c *Client) waitForLeader(ctx context.Context, wait time.Duration) bool {
	c.mu.Lock()
	if c.found == nil {
		c.found = make(chan struct{})
	}
	found := c.found
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-found:
	case <-time.After(wait):
	}
	return true
}

// recordAttempt records whether a VM responded to an attempt.
func (c *Client) recordAttempt(now time.Duration, vm string, responded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if responded {
		delete(c.failedAt, vm)
		return
	}
	if c.failedAt == nil {
		c.failedAt = make(map[string]time.Duration)
	}
	c.failedAt[vm] = now
}

// suspects returns those of the VMs that did not respond to their last attempt, within suspicionTime.
func (c *Client) suspects(now time.Duration, vms []string) map[string]struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	suspects := make(map[string]struct{})
	for _, vm := range vms {
		if at, ok := c.failedAt[vm]; ok && now < at+suspicionTime {
			suspects[vm] = struct{}{}
		}
	}
	return suspects
}

// order returns the VMs in the order in which a call tries them: the known leader first, suspects last.
func (c *Client) order(now time.Duration, call *Call) []string {
	leader := c.Leader(call.Group)
	suspects := c.suspects(now, append([]string{leader}, call.Members...))
	var vms, last []string
	for _, vm := range append([]string{leader}, call.Members...) {
		_, suspect := suspects[vm]
		switch {
		case vm == "" || slices.Contains(vms, vm) || slices.Contains(last, vm):
		case suspect:
			last = append(last, vm)
		default:
			vms = append(vms, vm)
		}
	}
	return append(vms, last...)
}

// Call is one call to the current leader of a group. Run calls one VM; it must be idempotent, because it is retried when
// a response was lost.
type Call struct {
	Group      string
	Members    []string      // VMs to try, most likely leader first
	StaleAfter time.Duration // a failed attempt that took longer is not retried, because the content of the call is out of date; 0 for no limit
	Clock      pj.Clock
	Run        func(ctx context.Context, vm string) error
}

// Do calls VMs until one responds as the leader, an attempt fails with an error that must not be retried, or ctx ends. It
// returns the time at which the successful attempt was sent.
func (c *Client) Do(ctx context.Context, call Call) (time.Duration, error) {
	m := memberCursor{members: c.order(call.Clock.Now(), &call)}
	if len(m.members) == 0 {
		return 0, pj.Refuse(pj.CodeNoQuorum, "no VM is a replica of %s", call.Group)
	}
	a := attempts{group: call.Group, staleAfter: call.StaleAfter}
	pause := minRetryInterval
	for ctx.Err() == nil {
		vm, ok := m.next()
		if !ok {
			if !c.waitForLeader(ctx, pause) {
				break
			}
			pause = min(time.Duration(retryIntervalGrowth*float64(pause)), maxRetryInterval)
			m.restart(c.order(call.Clock.Now(), &call))
			continue
		}
		sent := call.Clock.Now()
		err := call.Run(ctx, vm)
		if err == nil {
			c.recordAttempt(sent, vm, true)
			c.SetLeader(call.Group, vm)
			return sent, nil
		}
		took := call.Clock.Now() - sent
		var e *pj.Error
		if responded := errors.As(err, &e); responded || ctx.Err() == nil {
			c.recordAttempt(sent+took, vm, responded)
		}
		if a.handleError(err, took) {
			return 0, a.finalError(err)
		}
		if e != nil && len(c.suspects(sent+took, []string{e.Leader})) == 0 {
			m.followHint(e.Leader, vm)
		}
	}
	return 0, a.timeoutError()
}

// attempts is the combined outcome of the failed attempts of one call.
type attempts struct {
	group         string
	staleAfter    time.Duration
	maybeExecuted bool  // an attempt may have had an effect
	lastErr       error // of the last attempt
}

// handleError records a failed attempt and reports whether the call ends with its error.
func (a *attempts) handleError(err error, took time.Duration) bool {
	a.lastErr = err
	stale := a.staleAfter > 0 && took > a.staleAfter
	var e *pj.Error
	if !errors.As(err, &e) {
		a.maybeExecuted = true
		return stale
	}
	a.maybeExecuted = a.maybeExecuted || !e.NotRun
	switch e.Code {
	case pj.CodeOutcomeUnknown, pj.CodeNotLeader, pj.CodeNoQuorum:
		return stale
	default:
		return true
	}
}

// finalError returns the error of a call that ends because of err. If err is a *pj.Error, its NotRun is cleared when
// an earlier attempt may have had an effect. Any other err leaves the outcome unknown: the response may have been lost.
func (a *attempts) finalError(err error) error {
	var e *pj.Error
	if !errors.As(err, &e) {
		return pj.Fail(pj.CodeOutcomeUnknown, "the leader of %s was lost: %v", a.group, err)
	}
	if a.maybeExecuted {
		return pj.ClearNotRun(err)
	}
	return err
}

// timeoutError returns the error of a call that ends because its context ended.
func (a *attempts) timeoutError() error {
	if a.maybeExecuted {
		return pj.Fail(pj.CodeOutcomeUnknown, "the leader of %s did not answer in time: %v", a.group, a.lastErr)
	}
	e := pj.Refuse(pj.CodeNoQuorum, "%s has no leader with a quorum that can be reached: %v", a.group, a.lastErr)
	e.RetryAfter = pj.Duration(time.Second)
	return e
}

// Sleep waits for the given time or until ctx ends, and returns false if ctx ended first.
func Sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// memberCursor iterates once over the members of a group. A leader that a member hints at takes precedence.
type memberCursor struct {
	members []string
	at      int // next in members
	hinted  string
	hints   int // followed so far
}

// restart makes the cursor iterate again.
func (m *memberCursor) restart(members []string) {
	m.members, m.at, m.hinted = members, 0, ""
}

// next returns the VM to call next, or false after the last one.
func (m *memberCursor) next() (vm string, ok bool) {
	if m.hinted != "" {
		vm, m.hinted = m.hinted, ""
		return vm, true
	}
	if m.at >= len(m.members) {
		return "", false
	}
	m.at++
	return m.members[m.at-1], true
}

// followHint makes leader the next VM to call, unless it gave the hint itself or too many hints were followed.
func (m *memberCursor) followHint(leader, from string) {
	if leader != "" && leader != from && m.hints < maxHintsPerMember*len(m.members) {
		m.hinted = leader
		m.hints++
	}
}
