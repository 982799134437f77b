package boltlog_test

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"go.etcd.io/bbolt"

	pj "papayajunction"
	"papayajunction/internal/storage/boltlog"
)

func entries(term uint64, first, last uint64) []pj.LogEntry {
	var list []pj.LogEntry
	for i := first; i <= last; i++ {
		list = append(list, pj.LogEntry{Index: i, Term: term, Data: []byte("marker-of-a-command")})
	}
	return list
}

// TestStore checks what Load returns after a restart, and that corruption is detected.
func TestStore(t *testing.T) {
	genesis := &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: []string{"a"}}, Data: []byte("state")}
	tests := map[string]struct {
		writes  []pj.LogWrite
		modify  func(file string) error // between the writes and the restart
		want    pj.RecoveredState
		corrupt bool
	}{
		"empty directory": {},
		"state, snapshot and entries are restored": {
			writes: []pj.LogWrite{{Group: "g", State: &pj.HardState{Term: 3, Vote: "a", Commit: 2}, Snapshot: genesis, Entries: entries(3, 2, 4)}},
			want:   pj.RecoveredState{State: pj.HardState{Term: 3, Vote: "a", Commit: 2}, Snapshot: genesis, Entries: entries(3, 2, 4)},
		},
		"entries of a newer leader replace the conflicting tail": {
			writes: []pj.LogWrite{{Group: "g", Entries: entries(1, 2, 9)}, {Group: "g", Entries: entries(2, 4, 5)}},
			want:   pj.RecoveredState{Entries: append(entries(1, 2, 3), entries(2, 4, 5)...)},
		},
		"snapshot deletes the entries up to CompactThrough": {
			writes: []pj.LogWrite{{Group: "g", Entries: entries(1, 2, 9)}, {Group: "g", Snapshot: genesis, CompactThrough: 7}},
			want:   pj.RecoveredState{Snapshot: genesis, Entries: entries(1, 8, 9)},
		},
		"received snapshot deletes all entries": {
			writes: []pj.LogWrite{{Group: "g", Entries: entries(1, 2, 9)}, {Group: "g", Snapshot: genesis, CompactThrough: 1, Reset: true}},
			want:   pj.RecoveredState{Snapshot: genesis},
		},
		"groups are isolated": {
			writes: []pj.LogWrite{{Group: "other", Entries: entries(1, 2, 9)}},
		},
		"flipped bit in an entry is detected": {
			writes:  []pj.LogWrite{{Group: "g", Snapshot: genesis, Entries: entries(1, 2, 40)}},
			modify:  flipBit([]byte("marker-of-a-command")),
			corrupt: true,
		},
		"flipped bit in a snapshot is detected": {
			writes:  []pj.LogWrite{{Group: "g", Snapshot: genesis}},
			modify:  flipBit([]byte(`"voters"`)),
			corrupt: true,
		},
		"flipped bit in a snapshot's data is detected": {
			writes:  []pj.LogWrite{{Group: "g", Snapshot: &pj.LogSnapshot{Index: 1, Term: 1, Data: []byte("marker-of-a-state")}}},
			modify:  flipBit([]byte("marker-of-a-state")),
			corrupt: true,
		},
		"legacy snapshot is loaded": {
			writes: []pj.LogWrite{{Group: "g", Entries: entries(1, 2, 3)}},
			modify: storeLegacySnapshot("g", genesis),
			want:   pj.RecoveredState{Snapshot: genesis, Entries: entries(1, 2, 3)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			s, closeStore, err := boltlog.New(dir)
			is.NoErr(err)
			first, err := s.Incarnation("one")
			is.NoErr(err)
			for _, w := range test.writes {
				is.NoErr(s.Save([]pj.LogWrite{w}))
			}
			is.NoErr(closeStore())
			if test.modify != nil {
				is.NoErr(test.modify(filepath.Join(dir, boltlog.FileName)))
			}
			s, closeStore, err = boltlog.New(dir)
			is.NoErr(err)
			defer func() { is.NoErr(closeStore()) }()
			second, err := s.Incarnation("two")
			is.NoErr(err)
			is.Equal(second, first) // a data directory keeps its incarnation
			got, err := s.Load("g")
			is.Equal(errors.Is(err, boltlog.ErrCorrupt), test.corrupt)
			is.Equal(got, test.want)
		})
	}
}

// flipBit flips one bit in every occurrence of text in the file.
func flipBit(text []byte) func(string) error {
	return func(file string) error {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		corrupted := bytes.ReplaceAll(data, text, append([]byte{text[0] ^ 1}, text[1:]...))
		return os.WriteFile(file, corrupted, 0o600)
	}
}

// storeLegacySnapshot stores a snapshot as older versions did: as one JSON value in the same bucket as the state.
func storeLegacySnapshot(group string, snapshot *pj.LogSnapshot) func(string) error {
	return func(file string) error {
		data, err := json.Marshal(snapshot)
		if err != nil {
			return err
		}
		db, err := bbolt.Open(file, 0o600, nil)
		if err != nil {
			return err
		}
		return errors.Join(db.Update(func(tx *bbolt.Tx) error {
			return tx.Bucket([]byte(group)).Put([]byte("snapshot"), append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)), data...))
		}), db.Close())
	}
}

// TestLegacySnapshotIsReplaced checks that a new snapshot replaces one that an older version stored.
func TestLegacySnapshotIsReplaced(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, closeStore, err := boltlog.New(dir)
	is.NoErr(err)
	is.NoErr(s.Save([]pj.LogWrite{{Group: "g", Entries: entries(1, 2, 3)}}))
	is.NoErr(closeStore())
	is.NoErr(storeLegacySnapshot("g", &pj.LogSnapshot{Index: 1, Term: 1, Data: []byte("old")})(filepath.Join(dir, boltlog.FileName)))
	s, closeStore, err = boltlog.New(dir)
	is.NoErr(err)
	defer func() { is.NoErr(closeStore()) }()
	newer := &pj.LogSnapshot{Index: 2, Term: 1, Data: []byte("new")}
	is.NoErr(s.Save([]pj.LogWrite{{Group: "g", Snapshot: newer, CompactThrough: 2}}))
	got, err := s.Load("g")
	is.NoErr(err)
	is.Equal(got, pj.RecoveredState{Snapshot: newer, Entries: entries(1, 3, 3)})
}

// TestCrashBetweenWrites copies the file as a kill -9 between two writes would leave it and checks
// that everything that Save had confirmed is in the copy.
func TestCrashBetweenWrites(t *testing.T) {
	is := is.New(t)
	dir, copyDir := t.TempDir(), t.TempDir()
	s, closeStore, err := boltlog.New(dir)
	is.NoErr(err)
	defer func() { is.NoErr(closeStore()) }()
	for i := uint64(2); i < 30; i++ {
		is.NoErr(s.Save([]pj.LogWrite{{Group: "g", Entries: entries(1, i, i)}}))
		data, err := os.ReadFile(filepath.Join(dir, boltlog.FileName))
		is.NoErr(err)
		is.NoErr(os.WriteFile(filepath.Join(copyDir, boltlog.FileName), data, 0o600))
		restarted, closeRestarted, err := boltlog.New(copyDir)
		is.NoErr(err)
		got, err := restarted.Load("g")
		is.NoErr(err)
		is.Equal(len(got.Entries), int(i-1))
		is.NoErr(closeRestarted())
	}
}

// TestAppendDoesNotRewriteSnapshot checks that the bytes written by an append don't depend on the size of the
// snapshot. It guards against slow commits: when each append rewrote the last snapshot, commits became slower as the
// state grew, until urgent work was late.
func TestAppendDoesNotRewriteSnapshot(t *testing.T) {
	const appends = 50
	pageBytesPerAppend := func(t *testing.T, snapshotBytes int) int64 {
		is := is.New(t)
		store, closeStore, err := boltlog.New(t.TempDir())
		is.NoErr(err)
		defer func() { is.NoErr(closeStore()) }()
		is.NoErr(store.Save([]pj.LogWrite{{Group: "g", Snapshot: &pj.LogSnapshot{Index: 1, Term: 1, Data: bytes.Repeat([]byte("s"), snapshotBytes)}}}))
		before := store.WriteStats().PageBytes
		for i := range uint64(appends) {
			is.NoErr(store.Save([]pj.LogWrite{{Group: "g", State: &pj.HardState{Term: 1, Commit: i + 1}, Entries: entries(1, i+2, i+2)}}))
		}
		return (store.WriteStats().PageBytes - before) / appends
	}
	small := pageBytesPerAppend(t, 100)
	for name, size := range map[string]int{"64 KiB": 64 << 10, "1 MiB": 1 << 20, "8 MiB": 8 << 20} {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(pageBytesPerAppend(t, size) <= 2*small) // page bytes per append
		})
	}
}
