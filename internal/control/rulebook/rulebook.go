// Package rulebook keeps, on every VM, the rules in force and how sure the VM is of them.
package rulebook

import (
	"cmp"
	"sync"
	"time"

	pj "papayajunction"
)

// DefaultLease is how long rules and keys are relied on after the leader was last asked for newer ones. It bounds how
// long a withdrawn key works.
const DefaultLease = 3 * time.Second

// Book is safe for use by many goroutines. It never goes back to older rules.
type Book struct {
	clock pj.Clock
	lease time.Duration

	mu         sync.RWMutex
	rules      *pj.Ruleset
	leaseUntil time.Duration
	askedAt    time.Duration
}

// New returns a book without rules. They will be relied on for the given time after each question, 0 for DefaultLease.
func New(clock pj.Clock, lease time.Duration) *Book {
	return &Book{clock: clock, lease: cmp.Or(lease, DefaultLease), rules: &pj.Ruleset{}}
}

// Rules returns the rules in force, as far as this VM knows. They must not be changed.
func (b *Book) Rules() *pj.Ruleset {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.rules
}

// Learn takes in what the leader said when it was asked at the given time: its version of the rules, with
// the rules themselves if they are newer than this VM's. It reports whether the version changed.
func (b *Book) Learn(asked time.Duration, version int64, rules *pj.Ruleset) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	if rules != nil && rules.Version > b.rules.Version {
		rules.Index()
		b.rules = rules
		changed = true
	}
	if b.rules.Version >= version {
		b.askedAt = max(b.askedAt, asked)
		b.leaseUntil = max(b.leaseUntil, asked+b.lease)
	}
	return changed
}

// InForce returns nil while this VM has rules and may rely on them, else why it can't.
func (b *Book) InForce() error {
	b.mu.RLock()
	defer b.mu.RUnlock()
	now := b.clock.Now()
	if b.rules.Document != nil && now < b.leaseUntil {
		return nil
	}
	e := pj.Refuse(pj.CodeKeysUnknown, "rules of version %d were confirmed %v ago, which is too long", b.rules.Version, now-b.askedAt)
	if b.rules.Document == nil {
		e.Message = "no rules were published yet"
	}
	e.RetryAfter = pj.Duration(time.Second)
	return e
}

// Age returns how long ago the leader was last asked.
func (b *Book) Age() time.Duration {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.clock.Now() - b.askedAt
}
