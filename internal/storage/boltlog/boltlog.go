// Package boltlog stores the logs of all replicated groups of a process in one bbolt file.
//
// A bbolt commit rewrites every page on the path from the root to a changed value, with all values on
// those pages. A large value is therefore stored in a bucket of its own, apart from the values that
// change with each commit.
//
// Every value carries a checksum. bbolt commits are atomic, so a write torn by a crash is discarded when
// the file is opened next; a checksum mismatch in a committed value is corruption, with which the
// process must not continue.
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

// FileName is the name of the log file in the data directory.
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
	bucketMeta        = []byte("meta")
	keyIncarnation    = []byte("incarnation")
	bucketEntries     = []byte("entries")
	keyState          = []byte("state")
	bucketSnapshot    = []byte("snapshots")
	keyPosition       = []byte("position") // the snapshot without its data: index, term and membership
	keyData           = []byte("data")
	keyLegacySnapshot = []byte("snapshot") // older files have position and data in one JSON value, in the group's bucket
)

// Store is a pj.LogStore in one bbolt file.
type Store struct {
	db           *bbolt.DB
	payloadBytes atomic.Int64 // total size of the stored states, entries and snapshots
}

// WriteStats holds counters from which the write amplification can be derived.
type WriteStats struct {
	PayloadBytes int64 // bytes of stored states, entries and snapshots
	PageBytes    int64 // bytes of the pages that bbolt allocated for them
}

// New opens or creates the log file in dir and returns a function that closes it.
func New(dir string) (*Store, func() error, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, nil, fmt.Errorf("create data directory: %w", err)
	}
	db, err := bbolt.Open(filepath.Join(dir, FileName), 0o600, &bbolt.Options{Timeout: openTimeout, NoFreelistSync: true})
	if err != nil {
		return nil, nil, fmt.Errorf("open log file: %w", err)
	}
	if err := syncDir(dir); err != nil {
		return nil, nil, errors.Join(err, db.Close())
	}
	return &Store{db: db}, db.Close, nil
}

func syncDir(dir string) error {
	f, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return fmt.Errorf("open data directory: %w", err)
	}
	if err := f.Sync(); err != nil {
		return errors.Join(fmt.Errorf("sync data directory: %w", err), f.Close())
	}
	return f.Close()
}

// Incarnation returns the incarnation id stored in this data directory. If there is none, it stores and
// returns the proposed one.
func (s *Store) Incarnation(proposed string) (incarnation string, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return fmt.Errorf("open meta bucket: %w", err)
		}
		if stored := meta.Get(keyIncarnation); stored != nil {
			value, err := verifyChecksum(stored)
			incarnation = string(value)
			return err
		}
		incarnation = proposed
		return meta.Put(keyIncarnation, addChecksum([]byte(proposed)))
	})
	if err != nil {
		return "", fmt.Errorf("read incarnation: %w", err)
	}
	return incarnation, nil
}

// Load returns the stored state, snapshot and log entries of a group.
func (s *Store) Load(group string) (pj.RecoveredState, error) {
	var r pj.RecoveredState
	err := s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte(group))
		if b == nil {
			return nil
		}
		if err := loadStateAndSnapshot(b, &r); err != nil {
			return err
		}
		return loadEntries(b, &r)
	})
	if err != nil {
		return pj.RecoveredState{}, fmt.Errorf("load group %s: %w", group, err)
	}
	return r, nil
}

func loadStateAndSnapshot(b *bbolt.Bucket, r *pj.RecoveredState) error {
	if err := loadJSON(b, keyState, &r.State); err != nil {
		return err
	}
	snapshot := b.Bucket(bucketSnapshot)
	switch {
	case snapshot != nil:
		r.Snapshot = &pj.LogSnapshot{}
		return loadSnapshot(snapshot, r.Snapshot)
	case b.Get(keyLegacySnapshot) != nil:
		r.Snapshot = &pj.LogSnapshot{}
		return loadJSON(b, keyLegacySnapshot, r.Snapshot)
	}
	return nil
}

func loadSnapshot(b *bbolt.Bucket, s *pj.LogSnapshot) error {
	if err := loadJSON(b, keyPosition, s); err != nil {
		return err
	}
	data, err := verifyChecksum(b.Get(keyData))
	if err != nil {
		return fmt.Errorf("%s: %w", keyData, err)
	}
	s.Data = bytes.Clone(data) // bbolt's memory is valid only within the transaction
	return nil
}

func loadJSON(b *bbolt.Bucket, key []byte, target any) error {
	stored := b.Get(key)
	if stored == nil {
		return nil
	}
	value, err := verifyChecksum(stored)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	if err := json.Unmarshal(value, target); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

func loadEntries(b *bbolt.Bucket, r *pj.RecoveredState) error {
	entries := b.Bucket(bucketEntries)
	if entries == nil {
		return nil
	}
	nextIndex := uint64(0)
	return entries.ForEach(func(k, v []byte) error {
		e, err := decodeEntry(k, v)
		if err != nil {
			return err
		}
		if nextIndex != 0 && e.Index != nextIndex {
			return fmt.Errorf("entry %d is missing: %w", nextIndex, ErrCorrupt)
		}
		nextIndex = e.Index + 1
		r.Entries = append(r.Entries, e)
		return nil
	})
}

// WriteStats returns the counters since the file was opened.
func (s *Store) WriteStats() WriteStats {
	stats := s.db.Stats().TxStats
	return WriteStats{PayloadBytes: s.payloadBytes.Load(), PageBytes: stats.GetPageAlloc()}
}

// Save stores the writes of all groups in one transaction and syncs it to disk.
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
		lastDeleted := w.CompactThrough
		if w.Reset {
			lastDeleted = ^uint64(0)
		}
		if err := deleteRange(entries, 0, lastDeleted); err != nil {
			return err
		}
	}
	return s.appendEntries(entries, w.Entries)
}

func (s *Store) saveSnapshot(b *bbolt.Bucket, snapshot pj.LogSnapshot) error {
	if err := b.Delete(keyLegacySnapshot); err != nil {
		return fmt.Errorf("delete legacy snapshot: %w", err)
	}
	bucket, err := b.CreateBucketIfNotExists(bucketSnapshot)
	if err != nil {
		return fmt.Errorf("open snapshot bucket: %w", err)
	}
	if err := s.put(bucket, keyData, addChecksum(snapshot.Data)); err != nil {
		return err
	}
	snapshot.Data = nil
	return s.saveJSON(bucket, keyPosition, snapshot)
}

func (s *Store) appendEntries(b *bbolt.Bucket, entries []pj.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteRange(b, entries[0].Index, ^uint64(0)); err != nil {
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

// deleteRange deletes the entries from first to last, both inclusive.
func deleteRange(b *bbolt.Bucket, first, last uint64) error {
	c := b.Cursor()
	for k, _ := c.Seek(indexKey(first)); k != nil && binary.BigEndian.Uint64(k) <= last; k, _ = c.Seek(indexKey(first)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) put(b *bbolt.Bucket, key, value []byte) error {
	s.payloadBytes.Add(int64(len(value)))
	return b.Put(key, value)
}

func (s *Store) saveJSON(b *bbolt.Bucket, key []byte, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	return s.put(b, key, addChecksum(data))
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

// encodeEntry returns the concatenation of checksum, term, kind and data; the checksum also covers the index.
func encodeEntry(e pj.LogEntry) []byte {
	value := make([]byte, 0, checksumBytes+termBytes+kindBytes+len(e.Data))
	value = append(value, make([]byte, checksumBytes)...)
	value = binary.BigEndian.AppendUint64(value, e.Term)
	value = append(value, byte(e.Kind))
	value = append(value, e.Data...)
	binary.BigEndian.PutUint64(value, entryChecksum(e.Index, value[checksumBytes:]))
	return value
}

func entryChecksum(index uint64, body []byte) uint64 {
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
	if entryChecksum(e.Index, body) != binary.BigEndian.Uint64(value) {
		return pj.LogEntry{}, fmt.Errorf("entry %d: %w", e.Index, ErrCorrupt)
	}
	e.Term = binary.BigEndian.Uint64(body)
	e.Kind = pj.EntryKind(body[termBytes])
	if data := body[termBytes+kindBytes:]; len(data) > 0 {
		e.Data = append([]byte(nil), data...)
	}
	return e, nil
}

func addChecksum(data []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)), data...)
}

// verifyChecksum returns the data that addChecksum was given.
func verifyChecksum(stored []byte) ([]byte, error) {
	if len(stored) < checksumBytes {
		return nil, ErrCorrupt
	}
	data := stored[checksumBytes:]
	if xxhash.Sum64(data) != binary.BigEndian.Uint64(stored) {
		return nil, ErrCorrupt
	}
	return data, nil
}
