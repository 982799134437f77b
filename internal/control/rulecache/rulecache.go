// Package rulecache caches the rules in force on each VM, with the lease during which the VM may rely on them
// without confirmation by the leader.
package rulecache

import (
	"cmp"
	"math"
	"sync"
	"time"

	pj "papayajunction"
)

// DefaultLease is how long a VM relies on its rules and keys after it sent the last request that confirmed them. It
// bounds how long a withdrawn key is accepted.
const DefaultLease = 3 * time.Second

// Cache holds the latest rules that this VM has received and never replaces them with older ones. It is safe for
// concurrent use.
type Cache struct {
	clock pj.Clock
	lease time.Duration

	mu          sync.RWMutex
	rules       *pj.Ruleset
	leaseUntil  time.Duration
	confirmed   bool          // a request has confirmed the rules since the process started
	confirmedAt time.Duration // when the last request that did so was sent
}

// New returns an empty cache. Each lease lasts for the given duration, or for DefaultLease if that is 0.
func New(clock pj.Clock, lease time.Duration) *Cache {
	return &Cache{clock: clock, lease: cmp.Or(lease, DefaultLease), rules: &pj.Ruleset{}}
}

// Rules returns the latest rules that this VM has received. They must not be changed.
func (c *Cache) Rules() *pj.Ruleset {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.rules
}

// Update applies the leader's reply to a request that was sent at requestedAt: the version of its rules, and the rules
// themselves if they are newer than this VM's. If the VM then has that version, the lease is renewed from
// requestedAt. It returns whether the version changed.
func (c *Cache) Update(requestedAt time.Duration, version int64, rules *pj.Ruleset) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	if rules != nil && rules.Version > c.rules.Version {
		rules.BuildIndex()
		c.rules = rules
		changed = true
	}
	if c.rules.Version >= version {
		c.confirmed = true
		c.confirmedAt = max(c.confirmedAt, requestedAt)
		c.leaseUntil = max(c.leaseUntil, requestedAt+c.lease)
	}
	return changed
}

// CheckLease returns nil while this VM has rules and their lease is valid, and an error otherwise.
func (c *Cache) CheckLease() error {
	_, err := c.Leased()
	return err
}

// Leased returns the latest rules and the result of CheckLease for just these rules.
func (c *Cache) Leased() (*pj.Ruleset, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.rules, c.checkLease()
}

// checkLease is CheckLease for a caller that holds the lock.
func (c *Cache) checkLease() error {
	now := c.clock.Now()
	if c.rules.Document != nil && now < c.leaseUntil {
		return nil
	}
	e := pj.Refuse(pj.CodeKeysUnknown, "lease of rules version %d has expired: last confirmed %v ago",
		c.rules.Version, now-c.confirmedAt)
	if c.rules.Document == nil {
		e.Message = "no rules have been published yet"
	}
	e.RetryAfter = pj.Duration(time.Second)
	return e
}

// SinceConfirmed returns the time since this VM sent the last request that confirmed its rules, or the longest time if none has
// since the process started.
func (c *Cache) SinceConfirmed() time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if !c.confirmed {
		return math.MaxInt64
	}
	return c.clock.Now() - c.confirmedAt
}

// ConfirmedSince reports whether a request that was sent at the given time or later has confirmed the rules.
func (c *Cache) ConfirmedSince(at time.Duration) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.confirmed && c.confirmedAt >= at
}
