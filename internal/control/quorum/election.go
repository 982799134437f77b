package quorum

import (
	"time"

	pj "papayajunction"
)

// startPreVote checks whether an election could be won, without raising the term. It is retried
// after one to two heartbeat intervals: members that received the leader's last message slightly
// later don't answer yet, and a pre-vote changes neither term nor vote.
func (c *Core) startPreVote(now time.Duration) {
	c.role = preCandidate
	c.leaderID = ""
	c.votes = map[string]bool{c.options.ID: true}
	c.nextElection = now + c.withJitter(c.options.Heartbeat)
	if c.isOnlyVoter() {
		c.startElection(now, false)
		return
	}
	c.requestVotes(pj.MessagePreVote, c.nextTerm(), false)
}

// nextTerm returns the term of the next election: the next multiple of TermStep. A member with another step may have set the
// current term, so it needn't be a multiple.
func (c *Core) nextTerm() uint64 {
	return (c.term/c.options.TermStep + 1) * c.options.TermStep
}

func (c *Core) startElection(now time.Duration, leadershipTransfer bool) {
	c.role = candidate
	c.term = c.nextTerm()
	c.vote = c.options.ID
	c.leaderID = ""
	c.votes = map[string]bool{c.options.ID: true}
	c.resetElectionTimer(now)
	if c.isOnlyVoter() {
		c.becomeLeader(now)
		return
	}
	c.requestVotes(pj.MessageVote, c.term, leadershipTransfer)
}

func (c *Core) requestVotes(kind pj.PeerMessageKind, term uint64, leadershipTransfer bool) {
	for _, id := range c.membership.Voters {
		if id == c.options.ID {
			continue
		}
		c.send(pj.PeerMessage{
			Kind: kind, To: id, Term: term, LeadershipTransfer: leadershipTransfer,
			Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(),
		})
	}
}

// handleVote answers a vote or pre-vote request.
func (c *Core) handleVote(now time.Duration, m pj.PeerMessage) {
	preVote := m.Kind == pj.MessagePreVote
	// While a leader may hold a lease that relies on this member, the request is ignored and the
	// term is not raised.
	if !m.LeadershipTransfer && (now < c.rejectVotesUntil || c.role == leader) && m.Term > c.term {
		return
	}
	if m.Term > c.term && !preVote {
		c.becomeFollower(now, m.Term, "")
	}
	grant := c.shouldGrant(m)
	switch {
	case grant && !preVote:
		c.vote = m.From
		c.resetElectionTimer(now)
	case preVote && c.role == follower && !c.isUpToDate(m):
		c.nextElection = min(c.nextElection, now) // the sender can't win without this member, but this member may win
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

// shouldGrant reports whether this member grants the sender its vote or pre-vote.
func (c *Core) shouldGrant(m pj.PeerMessage) bool {
	if m.Kind == pj.MessagePreVote {
		return c.isUpToDate(m) && m.Term > c.term
	}
	return c.isUpToDate(m) && c.canVoteFor(m)
}

// isUpToDate reports whether the sender's log is at least as up to date as this member's, so that
// it has everything that may be committed.
func (c *Core) isUpToDate(m pj.PeerMessage) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

// canVoteFor reports whether this member has voted for no other member in the current term.
func (c *Core) canVoteFor(m pj.PeerMessage) bool {
	noOtherVote := c.vote == "" || c.vote == m.From
	return m.Term == c.term && noOtherVote && (c.role == follower || c.role == preCandidate)
}

func (c *Core) handlePreVoteReply(now time.Duration, m pj.PeerMessage) {
	if m.Reject {
		if m.Term > c.term {
			c.becomeFollower(now, m.Term, "")
		}
		return
	}
	if c.role != preCandidate || m.Term != c.nextTerm() {
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
	c.roundSentAt = make(map[uint64]time.Duration)
	c.transferee = ""
	c.timeoutNowSent = false
	c.updatePeers(now)
	c.termStartIndex = c.log.append(c.term, pj.EntryNoOp, nil).Index
	c.newRound(now)
	c.broadcast(now, true)
}

// handleTimeoutNow starts an election at once, because the leader transfers leadership to this member.
func (c *Core) handleTimeoutNow(now time.Duration) {
	if c.role == leader || !c.isVoter(c.options.ID) {
		return
	}
	c.startElection(now, true)
}

// Transfer transfers leadership to another voter once that voter has the whole log.
func (c *Core) Transfer(now time.Duration, to string) error {
	if c.role != leader {
		return ErrNotLeader
	}
	p, ok := c.peers[to]
	if !ok || !c.isVoter(to) {
		return ErrNoSuchMember
	}
	if p.stopping {
		return ErrStopping
	}
	if c.transferee != "" {
		return ErrTransferring
	}
	c.transferee = to
	c.transferDeadline = now + c.options.ElectionTimeout
	c.maybeSendTimeoutNow(to, p)
	return nil
}

func (c *Core) maybeSendTimeoutNow(id string, p *progress) {
	if c.transferee != id || c.timeoutNowSent || p.match != c.log.lastIndex() {
		return
	}
	c.timeoutNowSent = true
	c.send(pj.PeerMessage{Kind: pj.MessageTimeoutNow, To: id})
}
