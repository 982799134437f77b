// Package boltlog keeps the logs of all replicated groups of a process in one bbolt file.
//
// A commit writes every page on its way from the root to what has changed. So a large value has a bucket of
// its own, and nothing that changes with each commit stands beside it.
//
// Every value carries a checksum. bbolt commits a write whole or not at all, so a write that was
// torn by a crash is dropped when the file is opened; a value whose checksum is wrong is an error
// that the process must not continue with.
package boltlog

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"

	pj "papayajunction"
)

// FileName is the name of the log file within the data folder.
const FileName = "log.db"

const (
	checksumBytes = 8
	termBytes     = 8
	kindBytes     = 1
	openTimeout   = 2 * time.Second
)

// ErrCorrupt is returned when stored bytes don't match their checksum.
var ErrCorrupt = errors.New("stored bytes do not match their checksum")

var (
	bucketMeta     = []byte("meta")
	keyIdentity    = []byte("incarnation")
	bucketEntries  = []byte("entries")
	keyState       = []byte("state")
	bucketSnapshot = []byte("snapshots")
	keyPosition    = []byte("position") // of the snapshot, without its data
	keyData        = []byte("data")
	keyWhole       = []byte("snapshot") // position and data as JSON beside the state; older files have it
)

// Store is a pj.LogStore on one bbolt file.
type Store struct {
	db      *bbolt.DB
	payload atomic.Int64 // bytes of values given to Put
}

// Written says how much was written to disk for what was stored.
type Written struct {
	Payload int64 // bytes of states, entries and snapshots
	Pages   int64 // bytes of the pages that bbolt made for them
}

// New opens or creates the file in folder and returns a function that closes it.
func New(folder string) (*Store, func() error, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, nil, fmt.Errorf("create data folder: %w", err)
	}
	db, err := bbolt.Open(filepath.Join(folder, FileName), 0o600, &bbolt.Options{Timeout: openTimeout, NoFreelistSync: true})
	if err != nil {
		return nil, nil, fmt.Errorf("open log file: %w", err)
	}
	if err := syncFolder(folder); err != nil {
		return nil, nil, errors.Join(err, db.Close())
	}
	return &Store{db: db}, db.Close, nil
}

func syncFolder(folder string) error {
	dir, err := os.Open(filepath.Clean(folder))
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	if err := dir.Sync(); err != nil {
		return errors.Join(fmt.Errorf("sync data folder: %w", err), dir.Close())
	}
	return dir.Close()
}

// Incarnation returns the identity of this data folder; an empty folder takes the proposed one.
func (s *Store) Incarnation(proposed string) (incarnation string, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return fmt.Errorf("open meta bucket: %w", err)
		}
		if held := meta.Get(keyIdentity); held != nil {
			value, err := unseal(held)
			incarnation = string(value)
			return err
		}
		incarnation = proposed
		return meta.Put(keyIdentity, seal([]byte(proposed)))
	})
	if err != nil {
		return "", fmt.Errorf("read incarnation: %w", err)
	}
	return incarnation, nil
}

// Load returns what is stored of a group.
func (s *Store) Load(group string) (pj.Recovered, error) {
	var r pj.Recovered
	err := s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte(group))
		if b == nil {
			return nil
		}
		if err := loadMeta(b, &r); err != nil {
			return err
		}
		return loadEntries(b, &r)
	})
	if err != nil {
		return pj.Recovered{}, fmt.Errorf("load group %s: %w", group, err)
	}
	return r, nil
}

func loadMeta(b *bbolt.Bucket, r *pj.Recovered) error {
	if err := loadJSON(b, keyState, &r.State); err != nil {
		return err
	}
	held := b.Bucket(bucketSnapshot)
	switch {
	case held != nil:
		r.Snapshot = &pj.LogSnapshot{}
		return loadSnapshot(held, r.Snapshot)
	case b.Get(keyWhole) != nil:
		r.Snapshot = &pj.LogSnapshot{}
		return loadJSON(b, keyWhole, r.Snapshot)
	}
	return nil
}

func loadSnapshot(b *bbolt.Bucket, s *pj.LogSnapshot) error {
	if err := loadJSON(b, keyPosition, s); err != nil {
		return err
	}
	data, err := unseal(b.Get(keyData))
	if err != nil {
		return fmt.Errorf("%s: %w", keyData, err)
	}
	s.Data = bytes.Clone(data) // bbolt's memory is valid only in the transaction
	return nil
}

func loadJSON(b *bbolt.Bucket, key []byte, into any) error {
	sealed := b.Get(key)
	if sealed == nil {
		return nil
	}
	value, err := unseal(sealed)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	if err := json.Unmarshal(value, into); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

func loadEntries(b *bbolt.Bucket, r *pj.Recovered) error {
	entries := b.Bucket(bucketEntries)
	if entries == nil {
		return nil
	}
	next := uint64(0)
	return entries.ForEach(func(k, v []byte) error {
		e, err := decodeEntry(k, v)
		if err != nil {
			return err
		}
		if next != 0 && e.Index != next {
			return fmt.Errorf("entry %d is missing: %w", next, ErrCorrupt)
		}
		next = e.Index + 1
		r.Entries = append(r.Entries, e)
		return nil
	})
}

// Written returns what was written since the file was opened.
func (s *Store) Written() Written {
	stats := s.db.Stats().TxStats
	return Written{Payload: s.payload.Load(), Pages: stats.GetPageAlloc()}
}

// Save stores the writes of all groups in one synced step.
func (s *Store) Save(writes []pj.LogWrite) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, w := range writes {
			if err := s.saveGroup(tx, w); err != nil {
				return fmt.Errorf("group %s: %w", w.Group, err)
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("save log: %w", err)
	}
	return nil
}

func (s *Store) saveGroup(tx *bbolt.Tx, w pj.LogWrite) error {
	b, err := tx.CreateBucketIfNotExists([]byte(w.Group))
	if err != nil {
		return err
	}
	if w.State != nil {
		if err := s.saveJSON(b, keyState, w.State); err != nil {
			return err
		}
	}
	entries, err := b.CreateBucketIfNotExists(bucketEntries)
	if err != nil {
		return err
	}
	if w.Snapshot != nil {
		if err := s.saveSnapshot(b, *w.Snapshot); err != nil {
			return err
		}
		last := w.KeepAfter
		if w.Reset {
			last = ^uint64(0)
		}
		if err := dropRange(entries, 0, last); err != nil {
			return err
		}
	}
	return s.appendEntries(entries, w.Entries)
}

func (s *Store) saveSnapshot(b *bbolt.Bucket, snapshot pj.LogSnapshot) error {
	if err := b.Delete(keyWhole); err != nil {
		return fmt.Errorf("drop snapshot of an older file: %w", err)
	}
	held, err := b.CreateBucketIfNotExists(bucketSnapshot)
	if err != nil {
		return fmt.Errorf("open snapshot bucket: %w", err)
	}
	if err := s.put(held, keyData, seal(snapshot.Data)); err != nil {
		return err
	}
	snapshot.Data = nil
	return s.saveJSON(held, keyPosition, snapshot)
}

func (s *Store) appendEntries(b *bbolt.Bucket, entries []pj.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := dropRange(b, entries[0].Index, ^uint64(0)); err != nil {
		return err
	}
	b.FillPercent = 0.9
	for _, e := range entries {
		if err := s.put(b, indexKey(e.Index), encodeEntry(e)); err != nil {
			return err
		}
	}
	return nil
}

// dropRange deletes the entries from first to last, both included.
func dropRange(b *bbolt.Bucket, first, last uint64) error {
	c := b.Cursor()
	for k, _ := c.Seek(indexKey(first)); k != nil && binary.BigEndian.Uint64(k) <= last; k, _ = c.Seek(indexKey(first)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) put(b *bbolt.Bucket, key, value []byte) error {
	s.payload.Add(int64(len(value)))
	return b.Put(key, value)
}

func (s *Store) saveJSON(b *bbolt.Bucket, key []byte, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	return s.put(b, key, seal(data))
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

// encodeEntry returns checksum, term, kind and data; the checksum covers the index too.
func encodeEntry(e pj.LogEntry) []byte {
	body := make([]byte, 0, checksumBytes+termBytes+kindBytes+len(e.Data))
	body = append(body, make([]byte, checksumBytes)...)
	body = binary.BigEndian.AppendUint64(body, e.Term)
	body = append(body, byte(e.Kind))
	body = append(body, e.Data...)
	binary.BigEndian.PutUint64(body, entrySum(e.Index, body[checksumBytes:]))
	return body
}

func entrySum(index uint64, body []byte) uint64 {
	d := xxhash.NewWithSeed(index)
	_, _ = d.Write(body)
	return d.Sum64()
}

func decodeEntry(key, value []byte) (pj.LogEntry, error) {
	if len(key) != termBytes || len(value) < checksumBytes+termBytes+kindBytes {
		return pj.LogEntry{}, fmt.Errorf("entry %x is too short: %w", key, ErrCorrupt)
	}
	e := pj.LogEntry{Index: binary.BigEndian.Uint64(key)}
	body := value[checksumBytes:]
	if entrySum(e.Index, body) != binary.BigEndian.Uint64(value) {
		return pj.LogEntry{}, fmt.Errorf("entry %d: %w", e.Index, ErrCorrupt)
	}
	e.Term = binary.BigEndian.Uint64(body)
	e.Kind = pj.EntryKind(body[termBytes])
	if data := body[termBytes+kindBytes:]; len(data) > 0 {
		e.Data = append([]byte(nil), data...)
	}
	return e, nil
}

func seal(data []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)), data...)
}

func unseal(sealed []byte) ([]byte, error) {
	if len(sealed) < checksumBytes {
		return nil, ErrCorrupt
	}
	data := sealed[checksumBytes:]
	if xxhash.Sum64(data) != binary.BigEndian.Uint64(sealed) {
		return nil, ErrCorrupt
	}
	return data, nil
}
