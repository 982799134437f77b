package quorum

import (
	"encoding/json"

	pj "papayajunction"
)

// raftLog is the part of the log that is kept in memory, and the indexes up to which it is written,
// committed and applied.
type raftLog struct {
	snapshot       pj.LogSnapshot // the last one; sent to members that lack entries dropped from memory
	entries        []pj.LogEntry  // entries[0] has index first
	first          uint64
	prevTerm       uint64 // term of the entry before first
	commit         uint64
	applied        uint64
	firstUnwritten uint64 // first index that Ready has not yet returned to be written
	persisted      uint64 // index up to which entries are synced to disk
}

func (l *raftLog) load(recovered pj.RecoveredState) {
	if recovered.Snapshot != nil {
		l.snapshot = *recovered.Snapshot
	}
	l.entries = recovered.Entries
	l.first = l.snapshot.Index + 1
	l.prevTerm = l.snapshot.Term
	if len(l.entries) > 0 {
		l.first = l.entries[0].Index
		if l.first <= l.snapshot.Index {
			l.prevTerm = 0
		}
	}
	l.commit = min(max(l.snapshot.Index, recovered.State.Commit), l.lastIndex())
	l.applied = l.snapshot.Index
	l.persisted = l.lastIndex()
	l.firstUnwritten = l.persisted + 1
}

func (l *raftLog) lastIndex() uint64 {
	return l.first + uint64(len(l.entries)) - 1
}

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false if it is not known.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index+1 == l.first && l.prevTerm != 0:
		return l.prevTerm, true
	case index < l.first || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.first].Term, true
}

// lastSharedIndex returns the highest index up to the given one at which another log can have the same entry as this one,
// if its entry at the given index has the given term: terms never fall along a log. A term of 0 is unknown. It stops
// before the first entry whose term isn't known.
func (l *raftLog) lastSharedIndex(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	for term != 0 && index > 0 {
		own, ok := l.term(index)
		if !ok || own <= term {
			break
		}
		index--
	}
	return index
}

func (l *raftLog) append(term uint64, kind pj.EntryKind, data []byte) pj.LogEntry {
	e := pj.LogEntry{Index: l.lastIndex() + 1, Term: term, Kind: kind, Data: data}
	l.entries = append(l.entries, e)
	return e
}

// appendFromLeader adds a leader's entries after a matching prefix and reports whether conflicting
// entries were replaced.
func (l *raftLog) appendFromLeader(entries []pj.LogEntry) (replaced bool) {
	for i, e := range entries {
		if e.Index <= l.snapshot.Index {
			continue
		}
		term, ok := l.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			l.truncate(e.Index)
			replaced = true
		}
		l.entries = append(l.entries, entries[i:]...)
		break
	}
	return replaced
}

// truncate drops the entry at index and all after it.
func (l *raftLog) truncate(index uint64) {
	l.entries = append([]pj.LogEntry(nil), l.entries[:index-l.first]...)
	l.firstUnwritten = min(l.firstUnwritten, index)
	l.persisted = min(l.persisted, index-1)
}

// slice returns the entries with indexes from through to, limited to maxBytes of data but at least one.
func (l *raftLog) slice(from, to uint64, maxBytes int) []pj.LogEntry {
	if from > to || from < l.first {
		return nil
	}
	size := 0
	end := from
	for end <= to {
		size += len(l.entries[end-l.first].Data)
		if size > maxBytes && end > from {
			break
		}
		end++
	}
	return l.entries[from-l.first : end-l.first : end-l.first]
}

// largestSuffix returns the index after which the entries up to the given one have at most maxBytes of data.
func (l *raftLog) largestSuffix(index uint64, maxBytes int) uint64 {
	size := 0
	for index >= l.first {
		if size += len(l.entries[index-l.first].Data); size > maxBytes {
			break
		}
		index--
	}
	return index
}

// restore replaces the whole log with a snapshot.
func (l *raftLog) restore(s pj.LogSnapshot) {
	l.snapshot = s
	l.entries = nil
	l.first = s.Index + 1
	l.prevTerm = s.Term
	l.commit = s.Index
	l.applied = s.Index
	l.persisted = s.Index
	l.firstUnwritten = s.Index + 1
}

// compact replaces the snapshot and drops entries up to compactThrough from memory.
func (l *raftLog) compact(s pj.LogSnapshot, compactThrough uint64) {
	l.snapshot = s
	if compactThrough < l.first {
		return
	}
	term, _ := l.term(compactThrough)
	l.entries = append([]pj.LogEntry(nil), l.entries[compactThrough-l.first+1:]...)
	l.first = compactThrough + 1
	l.prevTerm = term
}

// latestMembership returns the newest membership in the log, committed or not.
func (l *raftLog) latestMembership() pj.Membership {
	for i := len(l.entries) - 1; i >= 0; i-- {
		e := l.entries[i]
		if e.Kind != pj.EntryMembership || e.Index <= l.snapshot.Index {
			continue
		}
		var m pj.Membership
		if json.Unmarshal(e.Data, &m) == nil {
			return m
		}
	}
	return l.snapshot.Membership
}

// membershipAt returns the membership in force at index.
func (l *raftLog) membershipAt(index uint64) pj.Membership {
	prefix := raftLog{snapshot: l.snapshot, first: l.first}
	if index >= l.first {
		prefix.entries = l.entries[:index-l.first+1]
	}
	return prefix.latestMembership()
}

func (l *raftLog) hasPendingMembership() bool {
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].Index > l.commit; i-- {
		if l.entries[i].Kind == pj.EntryMembership {
			return true
		}
	}
	return false
}
