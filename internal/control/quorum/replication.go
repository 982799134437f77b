package quorum

import (
	"slices"
	"time"

	pj "papayajunction"
)

// minAppendInterval is the minimum time between two appends of entries to a member that hasn't
// acknowledged the first. Without it a busy leader sends thousands of messages a second; it delays a
// commit by at most this time.
const minAppendInterval = 8 * time.Millisecond

// progress is the leader's record of another member's replication. While it probes, the leader looks for the last entry
// that the two logs share and sends entries behind next-1 only once the member has confirmed that entry.
type progress struct {
	match            uint64        // highest index known to match the leader's log
	next             uint64        // index of the next entry to send
	probing          bool          // the member has not confirmed the entry before next
	probeSent        bool          // entries from next on were sent while probing
	probeRound       uint64        // rejections of earlier rounds don't refer to next-1 or were sent before the search began
	ackedRound       uint64        // newest acknowledged round
	ackedRoundSentAt time.Duration // when ackedRound was sent; until the first acknowledgement, when the member was added
	responded        bool          // has answered an append or snapshot in this term
	stopping         bool          // according to its last answer, its process is about to end
	entriesSentAt    time.Duration // when entries were last sent
	snapshotSentAt   time.Duration // when a snapshot was last sent; 0 if none is in flight

	snapshotRound uint64 // the round in which the snapshot was sent
}

// updatePeers adds and removes entries of peers to match the membership.
func (c *Core) updatePeers(now time.Duration) {
	members := slices.Concat(c.membership.Voters, c.membership.Learners)
	for id := range c.peers {
		if !slices.Contains(members, id) {
			delete(c.peers, id)
		}
	}
	for _, id := range members {
		if id != c.options.ID && c.peers[id] == nil {
			c.peers[id] = &progress{next: c.log.lastIndex() + 1, probing: true, ackedRoundSentAt: now}
		}
	}
}

// newRound starts a heartbeat round. Acknowledgements by a majority prove that this member was still
// the leader when the round was sent.
func (c *Core) newRound(now time.Duration) {
	c.round++
	c.roundSentAt[c.round] = now
	// Aligned to multiples of the interval, so that the groups of one VM send together.
	c.nextHeartbeat = now.Truncate(c.options.Heartbeat) + c.options.Heartbeat
	for round, sent := range c.roundSentAt {
		if now > sent+4*c.options.ElectionTimeout {
			delete(c.roundSentAt, round)
		}
	}
}

// broadcast sends each member the entries that it lacks; with heartbeat set, members that lack none
// are sent an empty append.
func (c *Core) broadcast(now time.Duration, heartbeat bool) {
	for _, id := range slices.Concat(c.membership.Voters, c.membership.Learners) {
		if p := c.peers[id]; p != nil {
			c.sendAppend(now, id, p, heartbeat)
		}
	}
}

// sendAppend sends a member the entries that it lacks. Entries are not resent after a timeout: messages
// to a member arrive in order or not at all, so if entries were lost, the member rejects the next
// heartbeat, which refers to the last of them. A missing reply does not prove a loss, because the link
// may be slow or full.
func (c *Core) sendAppend(now time.Duration, id string, p *progress, heartbeat bool) {
	prevTerm, ok := c.log.term(p.next - 1)
	if !ok || p.next < c.log.first {
		c.sendSnapshot(now, id, p, heartbeat)
		return
	}
	var entries []pj.LogEntry
	if c.maySendEntries(now, p, heartbeat) {
		entries = c.log.slice(p.next, c.log.lastIndex(), c.options.MaxBatchBytes)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	c.sendImmediately(pj.PeerMessage{
		Kind: pj.MessageAppend, To: id, Index: p.next - 1, LogTerm: prevTerm,
		Commit: c.log.commit, Round: c.round, Entries: entries,
	})
	if len(entries) == 0 {
		return
	}
	p.entriesSentAt = now
	p.probeSent = p.probing
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

// maySendEntries reports whether entries may be sent to a member now: once while probing, and then before it has acknowledged
// the last ones.
func (c *Core) maySendEntries(now time.Duration, p *progress, heartbeat bool) bool {
	if p.probing {
		return !p.probeSent && (heartbeat || p.responded || p.next == p.match+1)
	}
	return !c.shouldDelayEntries(now, p)
}

// shouldDelayEntries reports whether entries for a member must wait: until minAppendInterval has
// passed, so that they are batched, or because MaxInFlight entries are unacknowledged.
func (c *Core) shouldDelayEntries(now time.Duration, p *progress) bool {
	batching := p.match+1 < p.next && now < p.entriesSentAt+minAppendInterval
	return batching || p.next-p.match > c.options.MaxInFlight
}

func (c *Core) sendSnapshot(now time.Duration, id string, p *progress, heartbeat bool) {
	if p.snapshotSentAt != 0 && now < p.snapshotSentAt+10*c.options.ElectionTimeout {
		if heartbeat {
			// An empty append at the snapshot's index renews the lease, even if the member rejects it.
			c.sendImmediately(pj.PeerMessage{
				Kind: pj.MessageAppend, To: id, Index: c.log.snapshot.Index, LogTerm: c.log.snapshot.Term,
				Commit: c.log.snapshot.Index, Round: c.round,
			})
		}
		return
	}
	if c.log.snapshot.Index == 0 {
		return
	}
	p.snapshotSentAt = max(now, 1)
	p.snapshotRound = c.round
	s := c.log.snapshot
	c.send(pj.PeerMessage{Kind: pj.MessageSnapshot, To: id, Round: c.round, Snapshot: &s})
}

// handleAppend appends the leader's entries to the log and adopts its commit index.
func (c *Core) handleAppend(now time.Duration, m pj.PeerMessage) {
	c.acceptLeader(now, m.From)
	reply := pj.PeerMessage{Kind: pj.MessageAppendReply, To: m.From, Round: m.Round}
	if m.Index < c.log.snapshot.Index {
		// Everything up to the snapshot is committed and therefore matches the leader's log.
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
	term, ok := c.log.term(m.Index)
	if !ok || term != m.LogTerm {
		reply.Reject = true
		reply.Index = max(c.log.lastSharedIndex(min(m.Index-1, c.log.lastIndex()), m.LogTerm), c.log.commit)
		reply.LogTerm, _ = c.log.term(reply.Index)
		c.send(reply)
		return
	}
	if CheckEntries(m.Entries) != nil {
		return // without an answer the leader sends them again
	}
	replaced := c.log.appendFromLeader(m.Entries)
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

// acceptLeader follows the sender as leader and refuses votes for another election timeout, because
// the leader's lease relies on it.
func (c *Core) acceptLeader(now time.Duration, leaderID string) {
	if c.role != follower {
		c.becomeFollower(now, c.term, leaderID)
	}
	c.leaderID = leaderID
	c.rejectVotesUntil = max(c.rejectVotesUntil, now+c.options.ElectionTimeout)
	c.resetElectionTimer(now)
}

func (c *Core) handleAppendReply(now time.Duration, m pj.PeerMessage) {
	p, ok := c.peers[m.From]
	if c.role != leader || !ok {
		return
	}
	p.responded = true
	p.stopping = m.Stopping
	if sentAt, ok := c.roundSentAt[m.Round]; ok && m.Round > p.ackedRound {
		p.ackedRound = m.Round
		p.ackedRoundSentAt = sentAt
		c.confirmReads()
	}
	if m.Reject {
		c.handleRejection(now, m, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.snapshotSentAt = 0
	}
	if p.probing && p.match+1 >= p.next {
		p.probing, p.probeSent = false, false
	}
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	c.confirmReads()
	c.maybeSendTimeoutNow(m.From, p)
}

// handleRejection continues the search for the last entry that a member's log shares with the leader's. Each step takes
// one round trip and passes over all entries of one term.
func (c *Core) handleRejection(now time.Duration, m pj.PeerMessage, p *progress) {
	switch {
	case p.snapshotSentAt != 0 && m.Round <= p.snapshotRound:
		return // sent before the snapshot
	case p.snapshotSentAt != 0:
		p.snapshotSentAt = 0 // a message sent later has arrived, so the snapshot was lost
	case m.Round < p.probeRound || m.Index < p.match:
		return // an answer to what was sent before the last step, or before the member stored what it has confirmed since
	default:
		c.probe(now, p, c.log.lastSharedIndex(m.Index, m.LogTerm)+1)
	}
	// Without heartbeat: a member that waits for a snapshot would reject the empty append at once.
	c.sendAppend(now, m.From, p, false)
}

// probe takes the search back to the entry before next. The round is new, so that answers to earlier messages are told
// from answers to this probe, however long the round trip is.
func (c *Core) probe(now time.Duration, p *progress, next uint64) {
	p.next = max(min(p.next-1, next), p.match+1)
	p.probing, p.probeSent = true, false
	c.round++
	c.roundSentAt[c.round] = now
	p.probeRound = c.round
}

// advanceCommit commits up to the highest index that a majority of voters has stored, if its entry is
// of this leader's term.
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
	majorityIndex := matches[len(matches)-c.majority()]
	if term, ok := c.log.term(majorityIndex); ok && term == c.term && majorityIndex > c.log.commit {
		c.log.commit = majorityIndex
	}
}

// handleSnapshot replaces the log and the state with the leader's snapshot if that is newer than the
// committed log.
func (c *Core) handleSnapshot(now time.Duration, m pj.PeerMessage) {
	c.acceptLeader(now, m.From)
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
	c.restoredSnapshot = m.Snapshot
	c.pendingSnapshot = &snapshotWrite{snapshot: *m.Snapshot, compactThrough: m.Snapshot.Index, reset: true}
	reply.Index = m.Snapshot.Index
	c.send(reply)
}

// maxRetainedBytes is the maximum size of the entries before a snapshot that are kept in memory.
const maxRetainedBytes = 4 << 20

// Compact stores a snapshot of the state at index and drops the log up to it, except for the last
// retain entries, or fewer if they are large.
func (c *Core) Compact(index uint64, data []byte, retain uint64) {
	term, ok := c.log.term(index)
	if !ok || index <= c.log.snapshot.Index || index > c.log.applied {
		return
	}
	s := pj.LogSnapshot{Index: index, Term: term, Membership: c.log.membershipAt(index), Data: data}
	compactThrough := uint64(0)
	if index > retain {
		compactThrough = index - retain
	}
	compactThrough = max(compactThrough, c.log.largestSuffix(index, maxRetainedBytes))
	compactThrough = min(compactThrough, c.log.persisted, c.log.firstUnwritten-1)
	c.log.compact(s, compactThrough)
	c.pendingSnapshot = &snapshotWrite{snapshot: s, compactThrough: compactThrough}
}

// LogLength returns the number of entries held in memory.
func (c *Core) LogLength() int {
	return len(c.log.entries)
}
