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

func entries(term uint64, from, to uint64) []pj.LogEntry {
	var list []pj.LogEntry
	for i := from; i <= to; i++ {
		list = append(list, pj.LogEntry{Index: i, Term: term, Data: []byte("marker-of-a-command")})
	}
	return list
}

// TestStore covers what the disk must give back after restarts, and what it must refuse.
func TestStore(t *testing.T) {
	genesis := &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: []string{"a"}}, Data: []byte("state")}
	tests := map[string]struct {
		writes  []pj.LogWrite
		damage  func(file string) error
		want    pj.Recovered
		corrupt bool
	}{
		"an empty folder holds nothing": {},
		"everything comes back": {
			writes: []pj.LogWrite{{Group: "g", State: &pj.HardState{Term: 3, Vote: "a", Commit: 2}, Snapshot: genesis, Entries: entries(3, 2, 4)}},
			want:   pj.Recovered{State: pj.HardState{Term: 3, Vote: "a", Commit: 2}, Snapshot: genesis, Entries: entries(3, 2, 4)},
		},
		"entries of a newer leader replace the rest": {
			writes: []pj.LogWrite{{Group: "g", Entries: entries(1, 2, 9)}, {Group: "g", Entries: entries(2, 4, 5)}},
			want:   pj.Recovered{Entries: append(entries(1, 2, 3), entries(2, 4, 5)...)},
		},
		"a snapshot drops what came before": {
			writes: []pj.LogWrite{{Group: "g", Entries: entries(1, 2, 9)}, {Group: "g", Snapshot: genesis, KeepAfter: 7}},
			want:   pj.Recovered{Snapshot: genesis, Entries: entries(1, 8, 9)},
		},
		"a received snapshot drops everything": {
			writes: []pj.LogWrite{{Group: "g", Entries: entries(1, 2, 9)}, {Group: "g", Snapshot: genesis, KeepAfter: 1, Reset: true}},
			want:   pj.Recovered{Snapshot: genesis},
		},
		"groups are apart": {
			writes: []pj.LogWrite{{Group: "other", Entries: entries(1, 2, 9)}},
		},
		"a changed byte in an entry is an error": {
			writes:  []pj.LogWrite{{Group: "g", Snapshot: genesis, Entries: entries(1, 2, 40)}},
			damage:  flip([]byte("marker-of-a-command")),
			corrupt: true,
		},
		"a changed byte in a snapshot is an error": {
			writes:  []pj.LogWrite{{Group: "g", Snapshot: genesis}},
			damage:  flip([]byte(`"voters"`)),
			corrupt: true,
		},
		"a changed byte in a snapshot's data is an error": {
			writes:  []pj.LogWrite{{Group: "g", Snapshot: &pj.LogSnapshot{Index: 1, Term: 1, Data: []byte("marker-of-a-state")}}},
			damage:  flip([]byte("marker-of-a-state")),
			corrupt: true,
		},
		"a snapshot in an older file is read": {
			writes: []pj.LogWrite{{Group: "g", Entries: entries(1, 2, 3)}},
			damage: storeWhole("g", genesis),
			want:   pj.Recovered{Snapshot: genesis, Entries: entries(1, 2, 3)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			folder := t.TempDir()
			s, closeStore, err := boltlog.New(folder)
			is.NoErr(err)
			first, err := s.Incarnation("one")
			is.NoErr(err)
			for _, w := range test.writes {
				is.NoErr(s.Save([]pj.LogWrite{w}))
			}
			is.NoErr(closeStore())
			if test.damage != nil {
				is.NoErr(test.damage(filepath.Join(folder, boltlog.FileName)))
			}
			s, closeStore, err = boltlog.New(folder)
			is.NoErr(err)
			defer func() { is.NoErr(closeStore()) }()
			again, err := s.Incarnation("two")
			is.NoErr(err)
			is.Equal(again, first) // a folder keeps its identity
			got, err := s.Load("g")
			is.Equal(errors.Is(err, boltlog.ErrCorrupt), test.corrupt)
			is.Equal(got, test.want)
		})
	}
}

// flip changes one byte in every place where the text stands.
func flip(text []byte) func(string) error {
	return func(file string) error {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		changed := bytes.ReplaceAll(data, text, append([]byte{text[0] ^ 1}, text[1:]...))
		return os.WriteFile(file, changed, 0o600)
	}
}

// storeWhole stores a snapshot as older versions did: one JSON value beside the state.
func storeWhole(group string, snapshot *pj.LogSnapshot) func(string) error {
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

// TestOlderSnapshotIsReplaced stores a snapshot in a file that holds one of an older version.
func TestOlderSnapshotIsReplaced(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s, closeStore, err := boltlog.New(folder)
	is.NoErr(err)
	is.NoErr(s.Save([]pj.LogWrite{{Group: "g", Entries: entries(1, 2, 3)}}))
	is.NoErr(closeStore())
	is.NoErr(storeWhole("g", &pj.LogSnapshot{Index: 1, Term: 1, Data: []byte("old")})(filepath.Join(folder, boltlog.FileName)))
	s, closeStore, err = boltlog.New(folder)
	is.NoErr(err)
	defer func() { is.NoErr(closeStore()) }()
	newer := &pj.LogSnapshot{Index: 2, Term: 1, Data: []byte("new")}
	is.NoErr(s.Save([]pj.LogWrite{{Group: "g", Snapshot: newer, KeepAfter: 2}}))
	got, err := s.Load("g")
	is.NoErr(err)
	is.Equal(got, pj.Recovered{Snapshot: newer, Entries: entries(1, 3, 3)})
}

// TestKilledWhileWriting copies the file as a kill -9 between two writes would leave it and checks
// that what Save had confirmed is there.
func TestKilledWhileWriting(t *testing.T) {
	is := is.New(t)
	folder, copied := t.TempDir(), t.TempDir()
	s, closeStore, err := boltlog.New(folder)
	is.NoErr(err)
	defer func() { is.NoErr(closeStore()) }()
	for i := uint64(2); i < 30; i++ {
		is.NoErr(s.Save([]pj.LogWrite{{Group: "g", Entries: entries(1, i, i)}}))
		data, err := os.ReadFile(filepath.Join(folder, boltlog.FileName))
		is.NoErr(err)
		is.NoErr(os.WriteFile(filepath.Join(copied, boltlog.FileName), data, 0o600))
		again, closeAgain, err := boltlog.New(copied)
		is.NoErr(err)
		got, err := again.Load("g")
		is.NoErr(err)
		is.Equal(len(got.Entries), int(i-1))
		is.NoErr(closeAgain())
	}
}

// TestAppendDoesNotRewriteSnapshot guards against incident SHORT: each append wrote the last snapshot again, so commits became slower as the
// state grew, until urgent work was late. What an append writes must not depend on the size of the snapshot.
func TestAppendDoesNotRewriteSnapshot(t *testing.T) {
	const appends = 50
	pagesOf := func(t *testing.T, snapshotBytes int) int64 {
		is := is.New(t)
		store, closeStore, err := boltlog.New(t.TempDir())
		is.NoErr(err)
		defer func() { is.NoErr(closeStore()) }()
		is.NoErr(store.Save([]pj.LogWrite{{Group: "g", Snapshot: &pj.LogSnapshot{Index: 1, Term: 1, Data: bytes.Repeat([]byte("s"), snapshotBytes)}}}))
		before := store.Written().Pages
		for i := range uint64(appends) {
			is.NoErr(store.Save([]pj.LogWrite{{Group: "g", State: &pj.HardState{Term: 1, Commit: i + 1}, Entries: entries(1, i+2, i+2)}}))
		}
		return (store.Written().Pages - before) / appends
	}
	small := pagesOf(t, 100)
	for name, size := range map[string]int{"64 KiB": 64 << 10, "1 MiB": 1 << 20, "8 MiB": 8 << 20} {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(pagesOf(t, size) <= 2*small) // bytes of pages for each append
		})
	}
}
