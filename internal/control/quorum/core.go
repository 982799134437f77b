// Package quorum decides for one member of one replicated group: election, log, membership.
//
// It is pure: messages and times go in, messages and writes come out of Ready. The protocol is
// Raft (Ongaro and Ousterhout, 2014) with pre-vote, leader lease, learners, one-at-a-time
// membership change, leadership transfer and reads by round.
package quorum

import (
	"cmp"
	"errors"
	"slices"
	"time"

	pj "papayajunction"
)

// Defaults of Options.
const (
	DefaultHeartbeat       = 150 * time.Millisecond
	DefaultElectionTimeout = 900 * time.Millisecond
	DefaultMaxBatchBytes   = 256 << 10
	DefaultMaxInFlight     = 4096 // entries
)

// leaseFraction is the part of the election timeout that a leader's lease lasts; the rest allows
// for clocks that run at different rates.
const leaseFraction = 0.85

// Errors returned by Core.
var (
	ErrNotLeader     = errors.New("this member is not the leader")
	ErrTransferring  = errors.New("leadership is being handed over")
	ErrChangePending = errors.New("a membership change is still pending")
	ErrNoSuchMember  = errors.New("no such member")
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Options are the settings of a Core. Zero values mean the defaults.
type Options struct {
	Group           string
	ID              string
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
	MaxBatchBytes   int
	MaxInFlight     uint64
	Rank            int // 0 stands for election first, higher ranks wait longer
	Rand            pj.Rand
}

func (o Options) withDefaults() Options {
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.ElectionTimeout = cmp.Or(o.ElectionTimeout, DefaultElectionTimeout)
	o.MaxBatchBytes = cmp.Or(o.MaxBatchBytes, DefaultMaxBatchBytes)
	o.MaxInFlight = cmp.Or(o.MaxInFlight, DefaultMaxInFlight)
	return o
}

// Core is one member of one group. Its methods must be called from one goroutine.
type Core struct {
	options Options
	role    role
	log     raftLog

	term        uint64
	vote        string
	leaderID    string
	membership  pj.Membership
	passive     bool // neither votes nor stands for election, because its disk fails
	savedState  pj.HardState
	electionDue time.Duration
	stickUntil  time.Duration // no vote is given before this time

	votes map[string]bool

	peers        map[string]*progress
	round        uint64
	roundSent    map[uint64]time.Duration
	heartbeatDue time.Duration
	transferTo   string
	transferDue  time.Duration
	electNowSent bool
	termStart    uint64 // index of this leader's first entry
	reads        []pendingRead
	readsDone    []readyRead

	messages []pj.PeerMessage
	early    []pj.PeerMessage
	restored *pj.LogSnapshot
	toSave   *snapshotSave
}

type snapshotSave struct {
	snapshot  pj.LogSnapshot
	keepAfter uint64
	reset     bool
}

// New returns a member with what its disk held. The group must have been started there.
func New(options Options, recovered pj.Recovered, now time.Duration) *Core {
	c := &Core{options: options.withDefaults()}
	c.term = recovered.State.Term
	c.vote = recovered.State.Vote
	c.savedState = recovered.State
	c.log.load(recovered)
	c.membership = c.log.latestMembership()
	c.restored = &c.log.snapshot
	// A restarted member has forgotten when it last heard the leader, so it keeps the promise
	// that the leader's lease rests on for a whole election timeout.
	c.stickUntil = now + c.options.ElectionTimeout
	c.becomeFollower(now, c.term, "")
	if c.isOnlyVoter() {
		c.stickUntil = now
		c.electionDue = now
	}
	return c
}

// Lead returns this member's view of the group's leader.
func (c *Core) Lead() pj.Lead {
	lead := pj.Lead{Term: c.term, Leader: c.leaderID, IsLeader: c.role == leader}
	if lead.IsLeader {
		lead.LeaseUntil = c.leaseUntil()
	}
	return lead
}

// Membership returns the latest membership in the log, committed or not.
func (c *Core) Membership() pj.Membership {
	return c.membership
}

// Term returns the current term.
func (c *Core) Term() uint64 {
	return c.term
}

// Commit returns the index up to which the log is committed.
func (c *Core) Commit() uint64 {
	return c.log.commit
}

// ReadyToServe reports whether the leader has committed an entry of its own term, so that its
// state holds everything that earlier leaders committed.
func (c *Core) ReadyToServe() bool {
	return c.role == leader && c.log.commit >= c.termStart && c.log.applied >= c.termStart
}

// SetPassive stops or resumes taking part in elections and acknowledgements.
func (c *Core) SetPassive(now time.Duration, passive bool) {
	if passive && !c.passive {
		c.becomeFollower(now, c.term, "")
	}
	c.passive = passive
}

// Propose appends a command to the log if this member is the leader.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != leader {
		return 0, 0, ErrNotLeader
	}
	if c.transferTo != "" {
		return 0, 0, ErrTransferring
	}
	e := c.log.append(c.term, pj.EntryCommand, data)
	return e.Index, e.Term, nil
}

// Tick advances time: heartbeats, elections, lost quorum, transfers that take too long.
func (c *Core) Tick(now time.Duration) {
	if c.passive {
		return
	}
	if c.role == leader {
		c.tickLeader(now)
		return
	}
	if now >= c.electionDue && c.isVoter(c.options.ID) {
		c.startPreVote(now)
	}
}

func (c *Core) tickLeader(now time.Duration) {
	if c.transferTo != "" && now >= c.transferDue {
		// The request to stand for election may still be on its way, so the lease can't be
		// trusted in this term any more.
		c.becomeFollower(now, c.term, "")
		return
	}
	if now > c.quorumHeardAt(now)+2*c.options.ElectionTimeout {
		c.becomeFollower(now, c.term, "")
		return
	}
	if now >= c.heartbeatDue {
		c.newRound(now)
		c.broadcast(now, true)
	}
}

// Step handles one message.
func (c *Core) Step(now time.Duration, m pj.PeerMessage) {
	if c.passive || m.To != c.options.ID {
		return
	}
	if m.Kind == pj.MessagePreVote || m.Kind == pj.MessageVote {
		c.handleVote(now, m)
		return
	}
	if m.Kind == pj.MessagePreVoteReply {
		c.handlePreVoteReply(now, m)
		return
	}
	if m.Term < c.term {
		c.rejectOldTerm(m)
		return
	}
	if m.Term > c.term {
		c.becomeFollower(now, m.Term, "")
	}
	switch m.Kind {
	case pj.MessageVoteReply:
		c.handleVoteReply(now, m)
	case pj.MessageAppend:
		c.handleAppend(now, m)
	case pj.MessageAppendReply:
		c.handleAppendReply(now, m)
	case pj.MessageSnapshot:
		c.handleSnapshot(now, m)
	case pj.MessageElectNow:
		c.handleElectNow(now)
	default:
	}
}

// rejectOldTerm tells a deposed leader about the newer term.
func (c *Core) rejectOldTerm(m pj.PeerMessage) {
	if m.Kind == pj.MessageAppend || m.Kind == pj.MessageSnapshot {
		c.send(pj.PeerMessage{Kind: pj.MessageAppendReply, To: m.From, Reject: true, Index: c.log.lastIndex()})
	}
}

func (c *Core) send(m pj.PeerMessage) {
	c.messages = append(c.messages, c.stamp(m))
}

// sendEarly sends before the own disk has synced, which only a leader's appends may.
func (c *Core) sendEarly(m pj.PeerMessage) {
	c.early = append(c.early, c.stamp(m))
}

func (c *Core) stamp(m pj.PeerMessage) pj.PeerMessage {
	m.Group = c.options.Group
	m.From = c.options.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}

func (c *Core) becomeFollower(now time.Duration, term uint64, leaderID string) {
	if term != c.term {
		c.term = term
		c.vote = ""
	}
	c.role = follower
	c.leaderID = leaderID
	c.transferTo = ""
	c.electNowSent = false
	c.peers = nil
	c.reads = nil
	c.readsDone = nil
	c.resetElection(now)
}

func (c *Core) resetElection(now time.Duration) {
	span := c.options.ElectionTimeout
	c.electionDue = now + span*time.Duration(c.options.Rank) + c.spread(span)
}

// spread returns a random time from one span to two, so that members don't act at the same moment.
func (c *Core) spread(span time.Duration) time.Duration {
	if c.options.Rand == nil {
		return span
	}
	return span + time.Duration(c.options.Rand.Int64N(int64(span)))
}

func (c *Core) isVoter(id string) bool {
	return slices.Contains(c.membership.Voters, id)
}

func (c *Core) isOnlyVoter() bool {
	return len(c.membership.Voters) == 1 && c.isVoter(c.options.ID)
}

func (c *Core) majority() int {
	return len(c.membership.Voters)/2 + 1
}
