package quorum

import (
	"time"

	pj "papayajunction"
)

// startPreVote asks whether an election could be won, without raising the term. It is asked again soon: members that heard the leader a
// moment later don't answer yet, and asking changes nothing.
func (c *Core) startPreVote(now time.Duration) {
	c.role = preCandidate
	c.leaderID = ""
	c.votes = map[string]bool{c.options.ID: true}
	c.electionDue = now + c.spread(c.options.Heartbeat)
	if c.isOnlyVoter() {
		c.startElection(now, false)
		return
	}
	c.askVotes(pj.MessagePreVote, c.term+1, false)
}

func (c *Core) startElection(now time.Duration, forced bool) {
	c.role = candidate
	c.term++
	c.vote = c.options.ID
	c.leaderID = ""
	c.votes = map[string]bool{c.options.ID: true}
	c.resetElection(now)
	if c.isOnlyVoter() {
		c.becomeLeader(now)
		return
	}
	c.askVotes(pj.MessageVote, c.term, forced)
}

func (c *Core) askVotes(kind pj.PeerMessageKind, term uint64, forced bool) {
	for _, id := range c.membership.Voters {
		if id == c.options.ID {
			continue
		}
		c.send(pj.PeerMessage{
			Kind: kind, To: id, Term: term, Forced: forced,
			Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(),
		})
	}
}

// handleVote answers a request for a vote or a pre-vote.
func (c *Core) handleVote(now time.Duration, m pj.PeerMessage) {
	preVote := m.Kind == pj.MessagePreVote
	// While a leader may hold a lease that counts on this member, no vote is given and the
	// term stays as it is.
	if !m.Forced && (now < c.stickUntil || c.role == leader) && m.Term > c.term {
		return
	}
	if m.Term > c.term && !preVote {
		c.becomeFollower(now, m.Term, "")
	}
	grant := c.grants(m)
	switch {
	case grant && !preVote:
		c.vote = m.From
		c.resetElection(now)
	case preVote && c.role == follower && !c.isUpToDate(m):
		c.electionDue = min(c.electionDue, now) // the sender can't win without this member, but this one may
	}
	reply := pj.PeerMessage{Kind: pj.MessageVoteReply, To: m.From, Reject: !grant}
	if preVote {
		reply.Kind = pj.MessagePreVoteReply
		if grant {
			reply.Term = m.Term
		}
	}
	c.send(reply)
}

// grants reports whether the sender gets this member's vote or pre-vote.
func (c *Core) grants(m pj.PeerMessage) bool {
	if m.Kind == pj.MessagePreVote {
		return c.isUpToDate(m) && m.Term > c.term
	}
	return c.isUpToDate(m) && c.mayVoteFor(m)
}

// isUpToDate reports whether the sender's log has everything that may be committed.
func (c *Core) isUpToDate(m pj.PeerMessage) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

// mayVoteFor reports whether this member has no other vote in the current term.
func (c *Core) mayVoteFor(m pj.PeerMessage) bool {
	free := c.vote == "" || c.vote == m.From
	return m.Term == c.term && free && (c.role == follower || c.role == preCandidate)
}

func (c *Core) handlePreVoteReply(now time.Duration, m pj.PeerMessage) {
	if m.Reject {
		if m.Term > c.term {
			c.becomeFollower(now, m.Term, "")
		}
		return
	}
	if c.role != preCandidate || m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	if c.countVotes() >= c.majority() {
		c.startElection(now, false)
	}
}

func (c *Core) handleVoteReply(now time.Duration, m pj.PeerMessage) {
	if c.role != candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.countVotes() >= c.majority() {
		c.becomeLeader(now)
	}
}

func (c *Core) countVotes() int {
	n := 0
	for _, id := range c.membership.Voters {
		if c.votes[id] {
			n++
		}
	}
	return n
}

func (c *Core) becomeLeader(now time.Duration) {
	c.role = leader
	c.leaderID = c.options.ID
	c.peers = make(map[string]*progress)
	c.roundSent = make(map[uint64]time.Duration)
	c.transferTo = ""
	c.electNowSent = false
	c.syncPeers(now)
	c.termStart = c.log.append(c.term, pj.EntryEmpty, nil).Index
	c.newRound(now)
	c.broadcast(now, true)
}

// handleElectNow stands for election at once, because the leader handed over.
func (c *Core) handleElectNow(now time.Duration) {
	if c.role == leader || !c.isVoter(c.options.ID) {
		return
	}
	c.startElection(now, true)
}

// Transfer hands leadership to another voter once that one has the whole log.
func (c *Core) Transfer(now time.Duration, to string) error {
	if c.role != leader {
		return ErrNotLeader
	}
	p, ok := c.peers[to]
	if !ok || !c.isVoter(to) {
		return ErrNoSuchMember
	}
	if c.transferTo != "" {
		return ErrTransferring
	}
	c.transferTo = to
	c.transferDue = now + c.options.ElectionTimeout
	c.tryElectNow(to, p)
	return nil
}

func (c *Core) tryElectNow(id string, p *progress) {
	if c.transferTo != id || c.electNowSent || p.match != c.log.lastIndex() {
		return
	}
	c.electNowSent = true
	c.send(pj.PeerMessage{Kind: pj.MessageElectNow, To: id})
}
