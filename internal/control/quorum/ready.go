package quorum

import (
	"slices"
	"time"

	pj "papayajunction"
)

// Ready is what a member wants done. Early may be sent at once, Messages only after Write was
// synced, Committed and Restored are for the state.
type Ready struct {
	Write     *pj.LogWrite
	Early     []pj.PeerMessage
	Messages  []pj.PeerMessage
	Restored  *pj.LogSnapshot
	Committed []pj.LogEntry
	Reads     []uint64

	lastIndex uint64
	lastTerm  uint64
}

// Ready collects what is to be done. After Write was synced, Done must be called with the
// result before Ready is called again.
func (c *Core) Ready(now time.Duration) Ready {
	c.resignIfRemoved(now)
	r := Ready{Early: c.TakeEarly(now), Messages: c.messages, Restored: c.restored}
	c.messages, c.restored = nil, nil
	r.Write = c.collectWrite()
	r.lastIndex = c.log.lastIndex()
	r.lastTerm = c.log.lastTerm()
	c.log.unstable = r.lastIndex + 1
	if to := min(c.log.commit, c.log.persisted); c.log.applied < to {
		r.Committed = slices.Clone(c.log.slice(c.log.applied+1, to, c.options.MaxBatchBytes))
		c.log.applied += uint64(len(r.Committed))
	}
	r.Reads = c.takeReads()
	return r
}

// TakeEarly returns the leader's appends and heartbeats. Unlike Ready it may be called while a
// write is under way.
func (c *Core) TakeEarly(now time.Duration) []pj.PeerMessage {
	if c.role == leader {
		c.advanceCommit()
		c.broadcast(now, false)
		c.finishReads()
	}
	early := c.early
	c.early = nil
	return early
}

// resignIfRemoved ends the leadership of a member whose removal is committed.
func (c *Core) resignIfRemoved(now time.Duration) {
	if c.role == leader && !c.isVoter(c.options.ID) && !c.log.hasPendingMembership() {
		c.becomeFollower(now, c.term, "")
	}
}

// collectWrite returns what changed since the last write, or nil. A commit index that moved is
// no reason to write by itself.
func (c *Core) collectWrite() *pj.LogWrite {
	w := pj.LogWrite{Group: c.options.Group}
	changed := c.term != c.savedState.Term || c.vote != c.savedState.Vote
	if last := c.log.lastIndex(); c.log.unstable <= last {
		w.Entries = slices.Clone(c.log.entries[c.log.unstable-c.log.first:])
		changed = true
	}
	if c.toSave != nil {
		w.Snapshot = &c.toSave.snapshot
		w.KeepAfter = c.toSave.keepAfter
		w.Reset = c.toSave.reset
		c.toSave = nil
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

// Done tells that the write of r was synced.
func (c *Core) Done(r Ready) {
	if term, ok := c.log.term(r.lastIndex); ok && term == r.lastTerm {
		c.log.persisted = max(c.log.persisted, r.lastIndex)
	}
	c.advanceCommit()
}
