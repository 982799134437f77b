// Package directory answers, on every VM, which configuration is in force and whom a key belongs
// to, and refuses to answer once it has had no contact with the fleet quorum for too long.
package directory

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	pj "papayajunction"
)

// KeyLease is how long keys stay accepted after the last contact with the fleet quorum. It bounds
// how long a withdrawn key works.
const KeyLease = 3 * time.Second

// Public is the part of the fleet's state that every VM needs.
type Public struct {
	Index  uint64            `json:"index"` // grows with every change of what follows
	Config pj.Configuration  `json:"configuration"`
	Keys   map[string]pj.Key `json:"keys"` // by hash of the secret
}

// Directory is safe for use by many goroutines.
type Directory struct {
	clock pj.Clock

	mu          sync.RWMutex
	public      Public
	confirmed   bool // contact was made since the start, so nothing older than before is shown
	confirmedAt time.Duration
	leaseUntil  time.Duration
	denied      map[string]struct{} // ids of keys withdrawn here while cut off
}

// New returns a directory without content.
func New(clock pj.Clock) *Directory {
	return &Directory{clock: clock, denied: make(map[string]struct{})}
}

// HashSecret returns the form in which a key's secret is stored.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Set replaces the content by a newer one; an older one is ignored.
func (d *Directory) Set(p Public) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.Index < d.public.Index || p.Config.Version < d.public.Config.Version {
		return
	}
	d.public = p
}

// Index returns how new the content is.
func (d *Directory) Index() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.public.Index
}

// Confirm renews the key lease: at asked, or later, the fleet quorum had nothing newer than index.
// It reports whether the content is that new.
func (d *Directory) Confirm(asked time.Duration, index uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.public.Index < index {
		return false
	}
	d.confirmed = true
	d.confirmedAt = max(d.confirmedAt, asked)
	d.leaseUntil = max(d.leaseUntil, asked+KeyLease)
	return true
}

// Configuration returns the configuration in force. It must not be changed.
func (d *Directory) Configuration() pj.Configuration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.public.Config
}

// Confirmed reports whether contact with the fleet quorum was made since the start, and how long
// ago the last one was.
func (d *Directory) Confirmed() (ago time.Duration, ok bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.clock.Now() - d.confirmedAt, d.confirmed
}

// KeysInForce reports whether the key lease holds.
func (d *Directory) KeysInForce() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.confirmed && d.clock.Now() < d.leaseUntil
}

// Deny refuses a key on this VM from now on, because it was withdrawn here while the fleet quorum
// could not be reached.
func (d *Directory) Deny(keyID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.denied[keyID] = struct{}{}
}

// Identify returns whom a secret belongs to. It fails closed when the key lease has run out.
func (d *Directory) Identify(secret string) (pj.Identity, error) {
	if secret == "" {
		return pj.Identity{}, pj.Refuse(pj.CodeNoKey, "send the workspace's key as Authorization: Bearer KEY")
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	if !d.confirmed || d.clock.Now() >= d.leaseUntil {
		e := pj.Refuse(pj.CodeKeysUnknown, "this VM can't tell now which keys are withdrawn; queues that are open to all still work")
		e.RetryAfter = pj.Duration(KeyLease)
		return pj.Identity{}, e
	}
	return d.lookUp(secret)
}

// Recognise is like Identify, but goes on when the key lease has run out. It serves to fetch the
// answers to work that was admitted before.
func (d *Directory) Recognise(secret string) (pj.Identity, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.lookUp(secret)
}

func (d *Directory) lookUp(secret string) (pj.Identity, error) {
	k, ok := d.public.Keys[HashSecret(secret)]
	_, denied := d.denied[k.ID]
	if !ok || k.Withdrawn || denied {
		return pj.Identity{}, pj.Refuse(pj.CodeWrongKey, "the key is not known or was withdrawn")
	}
	return pj.Identity{Workspace: k.Workspace, KeyID: k.ID}, nil
}
