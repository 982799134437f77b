// Package leaderclient calls the leader of a replicated group, and finds it by trying the group's members.
package leaderclient

import (
	"context"
	"errors"
	"sync"
	"time"

	pj "papayajunction"
)

// retryInterval is the pause after a call has failed on all members.
const retryInterval = 60 * time.Millisecond

// maxHintsPerMember bounds how many leader hints one call follows: after this number of attempts per member, it ignores
// hints.
const maxHintsPerMember = 4

// Client caches the last known leader of each group. The zero value is ready for use.
type Client struct {
	mu  sync.Mutex
	vms map[string]string
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
	c.vms[group] = vm
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
	m := memberCursor{members: call.Members, hinted: c.Leader(call.Group)}
	a := attempts{group: call.Group, staleAfter: call.StaleAfter}
	for ctx.Err() == nil {
		vm, wrapped := m.next()
		if vm == "" {
			return 0, pj.Refuse(pj.CodeNoQuorum, "no VM is a replica of %s", call.Group)
		}
		if wrapped && !Sleep(ctx, retryInterval) {
			break
		}
		sent := call.Clock.Now()
		err := call.Run(ctx, vm)
		if err == nil {
			c.SetLeader(call.Group, vm)
			return sent, nil
		}
		if a.handleError(&m, err, vm, call.Clock.Now()-sent) {
			return 0, a.finalError(err)
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
func (a *attempts) handleError(m *memberCursor, err error, vm string, took time.Duration) bool {
	a.lastErr = err
	stale := a.staleAfter > 0 && took > a.staleAfter
	var e *pj.Error
	if !errors.As(err, &e) {
		a.maybeExecuted = true
		return stale
	}
	m.followHint(e.Leader, vm)
	switch e.Code {
	case pj.CodeOutcomeUnknown:
		a.maybeExecuted = true
		return stale
	case pj.CodeNotLeader, pj.CodeNoQuorum:
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

// memberCursor iterates over the members of a group in a cycle. The last known leader, and each leader that a member hints at,
// takes precedence.
type memberCursor struct {
	members []string
	hinted  string
	picked  int // VMs chosen so far, including those that members hinted at
}

// next returns the VM to call next; wrapped is true at the start of each further cycle through the members.
func (m *memberCursor) next() (vm string, wrapped bool) {
	if m.hinted != "" {
		vm = m.hinted
		m.hinted = ""
		return vm, false
	}
	if len(m.members) == 0 {
		return "", false
	}
	wrapped = m.picked > 0 && m.picked%len(m.members) == 0
	vm = m.members[m.picked%len(m.members)]
	m.picked++
	return vm, wrapped
}

// followHint makes leader the next VM to call, unless it gave the hint itself or too many hints were followed.
func (m *memberCursor) followHint(leader, from string) {
	if leader != "" && leader != from && m.picked <= maxHintsPerMember*len(m.members) {
		m.hinted = leader
		m.picked++
	}
}
