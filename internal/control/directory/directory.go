// Package directory caches, on every VM, the configuration in force and the keys. Identify fails closed once
// the VM has had no contact with the fleet quorum for longer than the key lease.
package directory

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	pj "papayajunction"
)

// KeyLease is how long keys are accepted after the last contact with the fleet quorum. It bounds how long a
// withdrawn key is accepted.
const KeyLease = 3 * time.Second

// Content is the part of the fleet's state that every VM needs.
type Content struct {
	Index  uint64            `json:"index"` // log index of the last change of the fields below
	Config pj.Configuration  `json:"configuration"`
	Keys   map[string]pj.Key `json:"keys"` // by hash of the secret
}

// Directory holds the latest content that this VM has received. It is safe for concurrent use.
type Directory struct {
	clock pj.Clock

	mu      sync.RWMutex
	content Content
	// confirmed is set once the content has been confirmed since the start. Until then it may be older than what this
	// VM served before the restart.
	confirmed   bool
	confirmedAt time.Duration
	leaseUntil  time.Duration
	deniedKeys  map[string]struct{} // ids of keys withdrawn on this VM while it could not reach the fleet quorum
}

// New returns a directory without content.
func New(clock pj.Clock) *Directory {
	return &Directory{clock: clock, deniedKeys: make(map[string]struct{})}
}

// HashSecret returns the form in which a key's secret is stored.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Set replaces the content with a newer one; older content is ignored.
func (d *Directory) Set(content Content) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if content.Index < d.content.Index || content.Config.Version < d.content.Config.Version {
		return
	}
	d.content = content
}

// Index returns the log index of the content.
func (d *Directory) Index() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.content.Index
}

// Confirm records the fleet quorum's reply to a request sent at requestedAt: at that time or later, index was the
// latest. It renews the key lease from requestedAt, or returns false without renewing if the content is older than
// index.
func (d *Directory) Confirm(requestedAt time.Duration, index uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.content.Index < index {
		return false
	}
	d.confirmed = true
	d.confirmedAt = max(d.confirmedAt, requestedAt)
	d.leaseUntil = max(d.leaseUntil, requestedAt+KeyLease)
	return true
}

// Configuration returns the configuration in force. It must not be changed.
func (d *Directory) Configuration() pj.Configuration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.content.Config
}

// Confirmed reports whether the content was confirmed since the start, and the time since the request that last
// confirmed it.
func (d *Directory) Confirmed() (ago time.Duration, ok bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.clock.Now() - d.confirmedAt, d.confirmed
}

// KeyLeaseValid reports whether the key lease is valid.
func (d *Directory) KeyLeaseValid() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.confirmed && d.clock.Now() < d.leaseUntil
}

// DenyKey makes this VM refuse a key from now on, and reports whether it did not before. It is used when a key is withdrawn
// on this VM while the fleet quorum can't be reached.
func (d *Directory) DenyKey(keyID string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, denied := d.deniedKeys[keyID]
	d.deniedKeys[keyID] = struct{}{}
	return !denied
}

// AllowKey reverses DenyKey, for a withdrawal that was rejected.
func (d *Directory) AllowKey(keyID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.deniedKeys, keyID)
}

// Identify returns the identity to which a secret belongs. It fails closed when the key lease has expired.
func (d *Directory) Identify(secret string) (pj.Identity, error) {
	if secret == "" {
		return pj.Identity{}, pj.Refuse(pj.CodeNoKey, "send the workspace's key as Authorization: Bearer KEY")
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	if !d.confirmed || d.clock.Now() >= d.leaseUntil {
		e := pj.Refuse(pj.CodeKeysUnknown,
			"this VM has no recent contact with the fleet quorum and can't verify keys; queues that are open to all still work")
		e.RetryAfter = pj.Duration(KeyLease)
		return pj.Identity{}, e
	}
	return d.lookUp(secret)
}

// IdentifyIgnoringLease is like Identify, but also works after the key lease has expired. It is used to fetch the
// results of work that was admitted earlier.
func (d *Directory) IdentifyIgnoringLease(secret string) (pj.Identity, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.lookUp(secret)
}

func (d *Directory) lookUp(secret string) (pj.Identity, error) {
	k, ok := d.content.Keys[HashSecret(secret)]
	_, denied := d.deniedKeys[k.ID]
	if !ok || k.Withdrawn || denied {
		return pj.Identity{}, pj.Refuse(pj.CodeWrongKey, "the key is not known or was withdrawn")
	}
	return pj.Identity{Workspace: k.Workspace, KeyID: k.ID}, nil
}
