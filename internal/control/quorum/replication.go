package quorum

import (
	"slices"
	"time"

	pj "papayajunction"
)

// appendGap is the least time between two appends to a member that hasn't acknowledged the first. Without it a busy leader
// sends thousands of messages a second; with it a commit waits for as long at most.
const appendGap = 8 * time.Millisecond

// progress is what the leader knows of another member.
type progress struct {
	match      uint64
	next       uint64
	ackedRound uint64
	ackedSent  time.Duration // when the newest acknowledged round was sent
	heard      bool
	sentAt     time.Duration // when entries were last sent
	resetRound uint64        // the round in which next was last set back
	snapshotAt time.Duration // when a snapshot was last sent; 0 if none is on its way

	snapshotRound uint64 // the round in which it was sent
}

// syncPeers makes the progress table fit the membership.
func (c *Core) syncPeers(now time.Duration) {
	all := slices.Concat(c.membership.Voters, c.membership.Learners)
	for id := range c.peers {
		if !slices.Contains(all, id) {
			delete(c.peers, id)
		}
	}
	for _, id := range all {
		if id != c.options.ID && c.peers[id] == nil {
			c.peers[id] = &progress{next: c.log.lastIndex() + 1, ackedSent: now}
		}
	}
}

// newRound starts a round; its acknowledgements prove that this leader still leads.
func (c *Core) newRound(now time.Duration) {
	c.round++
	c.roundSent[c.round] = now
	// At multiples of the interval, so that the groups of one VM send together.
	c.heartbeatDue = now.Truncate(c.options.Heartbeat) + c.options.Heartbeat
	for round, sent := range c.roundSent {
		if now > sent+4*c.options.ElectionTimeout {
			delete(c.roundSent, round)
		}
	}
}

// broadcast sends what each member lacks; with heartbeat also to those that lack nothing.
func (c *Core) broadcast(now time.Duration, heartbeat bool) {
	for _, id := range slices.Concat(c.membership.Voters, c.membership.Learners) {
		if p := c.peers[id]; p != nil {
			c.sendAppend(now, id, p, heartbeat)
		}
	}
}

// sendAppend sends what a member lacks. Entries are sent once: messages to a member arrive in order or not at all, so if some were lost the
// member rejects the next heartbeat, which continues them. Silence proves nothing, because the link may be slow or full.
func (c *Core) sendAppend(now time.Duration, id string, p *progress, heartbeat bool) {
	prevTerm, held := c.log.term(p.next - 1)
	if !held || p.next < c.log.first {
		c.sendSnapshot(now, id, p, heartbeat)
		return
	}
	last := c.log.lastIndex()
	var entries []pj.LogEntry
	if p.next <= last && (p.heard || p.next == p.match+1 || heartbeat) && !c.waits(now, p) {
		entries = c.log.slice(p.next, last, c.options.MaxBatchBytes)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	c.sendEarly(pj.PeerMessage{
		Kind: pj.MessageAppend, To: id, Index: p.next - 1, LogTerm: prevTerm,
		Commit: c.log.commit, Round: c.round, Entries: entries,
	})
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.sentAt = now
	}
}

// waits reports whether entries for a member gather, or are as many as may be on their way.
func (c *Core) waits(now time.Duration, p *progress) bool {
	gathers := p.match+1 < p.next && now < p.sentAt+appendGap
	return gathers || p.next-p.match > c.options.MaxInFlight
}

func (c *Core) sendSnapshot(now time.Duration, id string, p *progress, heartbeat bool) {
	if p.snapshotAt != 0 && now < p.snapshotAt+10*c.options.ElectionTimeout {
		if heartbeat {
			// An append at the snapshot's index keeps the lease alive; it may be rejected.
			c.sendEarly(pj.PeerMessage{
				Kind: pj.MessageAppend, To: id, Index: c.log.snapshot.Index, LogTerm: c.log.snapshot.Term,
				Commit: c.log.snapshot.Index, Round: c.round,
			})
		}
		return
	}
	if c.log.snapshot.Index == 0 {
		return
	}
	p.snapshotAt = max(now, 1)
	p.snapshotRound = c.round
	s := c.log.snapshot
	c.send(pj.PeerMessage{Kind: pj.MessageSnapshot, To: id, Round: c.round, Snapshot: &s})
}

// handleAppend takes entries and the commit index from the leader.
func (c *Core) handleAppend(now time.Duration, m pj.PeerMessage) {
	c.followLeader(now, m.From)
	reply := pj.PeerMessage{Kind: pj.MessageAppendReply, To: m.From, Round: m.Round}
	if m.Index < c.log.snapshot.Index {
		// Everything up to the snapshot is committed, so it matches.
		skip := c.log.snapshot.Index - m.Index
		if uint64(len(m.Entries)) < skip {
			reply.Index = c.log.snapshot.Index
			c.send(reply)
			return
		}
		m.Entries = m.Entries[skip:]
		m.Index = c.log.snapshot.Index
		m.LogTerm = c.log.snapshot.Term
	}
	held, ok := c.log.term(m.Index)
	if !ok || held != m.LogTerm {
		reply.Reject = true
		reply.Index = min(m.Index-1, c.log.lastIndex())
		c.send(reply)
		return
	}
	replaced := c.log.merge(m.Entries)
	if replaced || hasMembership(m.Entries) {
		c.membership = c.log.latestMembership()
	}
	matched := m.Index + uint64(len(m.Entries))
	c.log.commit = max(c.log.commit, min(m.Commit, matched))
	reply.Index = matched
	c.send(reply)
}

func hasMembership(entries []pj.LogEntry) bool {
	return slices.ContainsFunc(entries, func(e pj.LogEntry) bool { return e.Kind == pj.EntryMembership })
}

// followLeader renews the promise not to vote against a live leader.
func (c *Core) followLeader(now time.Duration, leaderID string) {
	if c.role != follower {
		c.becomeFollower(now, c.term, leaderID)
	}
	c.leaderID = leaderID
	c.stickUntil = max(c.stickUntil, now+c.options.ElectionTimeout)
	c.resetElection(now)
}

func (c *Core) handleAppendReply(now time.Duration, m pj.PeerMessage) {
	p, ok := c.peers[m.From]
	if c.role != leader || !ok {
		return
	}
	p.heard = true
	if sent, known := c.roundSent[m.Round]; known && m.Round > p.ackedRound {
		p.ackedRound = m.Round
		p.ackedSent = sent
		c.finishReads()
	}
	if m.Reject {
		if m.Round < p.resetRound {
			return // what was sent again since then is still on its way
		}
		if m.Round > p.snapshotRound {
			p.snapshotAt = 0 // what was sent later arrived, so the snapshot was lost
		}
		p.resetRound = c.round
		p.next = max(min(p.next-1, m.Index+1), p.match+1)
		// Not as a heartbeat: a member that waits for a snapshot would reject it again at once.
		c.sendAppend(now, m.From, p, false)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.snapshotAt = 0
	}
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	c.finishReads()
	c.tryElectNow(m.From, p)
}

// advanceCommit commits what a majority of voters has stored in this leader's term.
func (c *Core) advanceCommit() {
	if c.role != leader {
		return
	}
	matches := make([]uint64, 0, len(c.membership.Voters))
	for _, id := range c.membership.Voters {
		switch p := c.peers[id]; {
		case id == c.options.ID:
			matches = append(matches, c.log.persisted)
		case p != nil:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	stored := matches[len(matches)-c.majority()]
	if term, ok := c.log.term(stored); ok && term == c.term && stored > c.log.commit {
		c.log.commit = stored
	}
}

// handleSnapshot replaces log and state by the leader's snapshot if that is newer.
func (c *Core) handleSnapshot(now time.Duration, m pj.PeerMessage) {
	c.followLeader(now, m.From)
	reply := pj.PeerMessage{Kind: pj.MessageAppendReply, To: m.From, Round: m.Round}
	if m.Snapshot == nil {
		return
	}
	if m.Snapshot.Index <= c.log.commit {
		reply.Index = c.log.commit
		c.send(reply)
		return
	}
	c.log.restore(*m.Snapshot)
	c.membership = m.Snapshot.Membership
	c.restored = m.Snapshot
	c.toSave = &snapshotSave{snapshot: *m.Snapshot, keepAfter: m.Snapshot.Index, reset: true}
	reply.Index = m.Snapshot.Index
	c.send(reply)
}

// Compact stores a snapshot of the state at index and drops entries that lie more than keep
// entries before it.
func (c *Core) Compact(index uint64, data []byte, keep uint64) {
	term, ok := c.log.term(index)
	if !ok || index <= c.log.snapshot.Index || index > c.log.applied {
		return
	}
	s := pj.LogSnapshot{Index: index, Term: term, Membership: c.log.membershipAt(index), Data: data}
	keepAfter := uint64(0)
	if index > keep {
		keepAfter = index - keep
	}
	keepAfter = min(keepAfter, c.log.persisted, c.log.unstable-1)
	c.log.compact(s, keepAfter)
	c.toSave = &snapshotSave{snapshot: s, keepAfter: keepAfter}
}

// LogLength returns the number of entries held in memory.
func (c *Core) LogLength() int {
	return len(c.log.entries)
}
