package quorum

import (
	"slices"
	"time"

	pj "papayajunction"
)

// Ready is the work that a member has for its caller.
type Ready struct {
	Write     *pj.LogWrite     // to be stored; nil if there is nothing to store
	Immediate []pj.PeerMessage // may be sent at once
	Messages  []pj.PeerMessage // to be sent only after Write has been synced
	Snapshot  *pj.LogSnapshot  // replaces the state before Committed is applied; nil if there is none
	Committed []pj.LogEntry    // to be applied to the state
	Reads     []uint64         // ids of the reads that the state can answer after Committed is applied

	lastIndex uint64
	lastTerm  uint64
}

// Ready returns the pending work. The caller must sync its Write and call Advance before it
// calls Ready again.
func (c *Core) Ready(now time.Duration) Ready {
	c.stepDownIfRemoved(now)
	r := Ready{Immediate: c.TakeImmediate(now), Messages: c.messages, Snapshot: c.restoredSnapshot}
	c.messages, c.restoredSnapshot = nil, nil
	r.Write = c.collectWrite()
	r.lastIndex = c.log.lastIndex()
	r.lastTerm = c.log.lastTerm()
	c.log.firstUnwritten = r.lastIndex + 1
	if last := min(c.log.commit, c.log.persisted); c.log.applied < last {
		r.Committed = slices.Clone(c.log.slice(c.log.applied+1, last, c.options.MaxBatchBytes))
		c.log.applied += uint64(len(r.Committed))
	}
	r.Reads = c.takeReads()
	return r
}

// TakeImmediate returns the leader's appends and heartbeats, which may be sent at once. Unlike Ready,
// it may be called while a write is in progress.
func (c *Core) TakeImmediate(now time.Duration) []pj.PeerMessage {
	if c.role == leader {
		c.advanceCommit()
		c.broadcast(now, false)
		c.confirmReads()
	}
	messages := c.immediate
	c.immediate = nil
	return messages
}

// stepDownIfRemoved ends the leadership of a member whose removal is committed.
func (c *Core) stepDownIfRemoved(now time.Duration) {
	if c.role == leader && !c.isVoter(c.options.ID) && !c.log.hasPendingMembership() {
		c.becomeFollower(now, c.term, "")
	}
}

// collectWrite returns what changed since the last write, or nil if there is nothing to store. A
// change of the commit index alone is not written.
func (c *Core) collectWrite() *pj.LogWrite {
	w := pj.LogWrite{Group: c.options.Group}
	changed := c.term != c.savedState.Term || c.vote != c.savedState.Vote
	if last := c.log.lastIndex(); c.log.firstUnwritten <= last {
		w.Entries = slices.Clone(c.log.entries[c.log.firstUnwritten-c.log.first:])
		changed = true
	}
	if c.pendingSnapshot != nil {
		w.Snapshot = &c.pendingSnapshot.snapshot
		w.CompactThrough = c.pendingSnapshot.compactThrough
		w.Reset = c.pendingSnapshot.reset
		c.pendingSnapshot = nil
		changed = true
	}
	if !changed {
		return nil
	}
	state := pj.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	c.savedState = state
	w.State = &state
	return &w
}

// Advance records that the write of r has been synced.
func (c *Core) Advance(r Ready) {
	if term, ok := c.log.term(r.lastIndex); ok && term == r.lastTerm {
		c.log.persisted = max(c.log.persisted, r.lastIndex)
	}
	c.advanceCommit()
}
