// Package quorum implements consensus for one member of one replicated group: leader election, log
// replication and membership changes.
//
// It performs no I/O: the caller passes in messages and the time, and Ready returns the messages to
// send and the writes to store. The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote,
// leader lease, learners, membership changes one at a time, leadership transfer and linearizable
// reads that are confirmed by a heartbeat round.
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

// leaseFraction is the duration of a leader's lease as a fraction of the election timeout; the
// margin allows for clocks that run at different rates.
const leaseFraction = 0.85

// stoppingRank is added to the rank of a member that is stopping. One whose rank is as high competes with it, and then gets the lead from it.
const stoppingRank = 2

// Errors returned by Core.
var (
	ErrNotLeader     = errors.New("this member is not the leader")
	ErrTransferring  = errors.New("a leadership transfer is in progress")
	ErrChangePending = errors.New("a membership change is still pending")
	ErrNoSuchMember  = errors.New("no such member")
	ErrNotCaughtUp   = errors.New("the member lacks entries")
	ErrStopping      = errors.New("the member's process is about to end")
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Options configure a Core. Zero values select the defaults.
type Options struct {
	Group           string
	ID              string
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
	MaxBatchBytes   int
	MaxInFlight     uint64
	Rank            int    // rank 0 starts elections first; each higher rank waits one more election timeout
	TermStep        uint64 // terms are multiples of it, so that a leader may number what it does between its term and the next; 0 for 1
	Rand            pj.Rand
}

func (o Options) withDefaults() Options {
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.ElectionTimeout = cmp.Or(o.ElectionTimeout, DefaultElectionTimeout)
	o.MaxBatchBytes = cmp.Or(o.MaxBatchBytes, DefaultMaxBatchBytes)
	o.MaxInFlight = cmp.Or(o.MaxInFlight, DefaultMaxInFlight)
	o.TermStep = cmp.Or(o.TermStep, 1)
	return o
}

// Core is one member of one group. Its methods must be called from one goroutine.
type Core struct {
	options Options
	role    role
	log     raftLog

	term             uint64
	vote             string
	leaderID         string
	membership       pj.Membership // latest in the log, committed or not
	passive          bool          // takes no part in the protocol, because its disk is failing or stalled
	stopping         bool          // its process is about to end, so the other members start elections first
	savedState       pj.HardState  // as of the last write
	nextElection     time.Duration // when this member starts an election unless the timer is reset
	rejectVotesUntil time.Duration // votes are refused until then, because a leader's lease may rely on it

	votes map[string]bool

	peers            map[string]*progress
	round            uint64
	roundSentAt      map[uint64]time.Duration // by round
	nextHeartbeat    time.Duration
	transferee       string // member that leadership is being transferred to, or ""
	transferDeadline time.Duration
	timeoutNowSent   bool
	termStartIndex   uint64 // index of this leader's first entry
	pendingReads     []pendingRead
	confirmedReads   []confirmedRead

	messages         []pj.PeerMessage // to be sent after the next write has been synced
	immediate        []pj.PeerMessage // to be sent without waiting for a write
	restoredSnapshot *pj.LogSnapshot  // to be loaded into the state
	pendingSnapshot  *snapshotWrite   // to be stored with the next write
}

// snapshotWrite holds the snapshot fields of the next pj.LogWrite.
type snapshotWrite struct {
	snapshot       pj.LogSnapshot
	compactThrough uint64
	reset          bool
}

// New returns a member with the state recovered from its disk. The group must have been started on
// that disk.
func New(options Options, recovered pj.RecoveredState, now time.Duration) *Core {
	c := &Core{options: options.withDefaults()}
	c.term = recovered.State.Term
	c.vote = recovered.State.Vote
	c.savedState = recovered.State
	c.log.load(recovered)
	c.membership = c.log.latestMembership()
	c.restoredSnapshot = &c.log.snapshot
	// A restarted member doesn't know when it last received a message from the leader, so it refuses
	// votes for a whole election timeout, as the leader's lease requires.
	c.rejectVotesUntil = now + c.options.ElectionTimeout
	c.becomeFollower(now, c.term, "")
	if c.isOnlyVoter() {
		c.rejectVotesUntil = now
		c.nextElection = now
	}
	return c
}

// Leadership returns this member's view of the group's leader.
func (c *Core) Leadership() pj.Leadership {
	leadership := pj.Leadership{Term: c.term, Leader: c.leaderID, IsLeader: c.role == leader}
	if leadership.IsLeader {
		leadership.LeaseUntil = c.leaseUntil()
	}
	return leadership
}

// Membership returns the latest membership in the log, committed or not.
func (c *Core) Membership() pj.Membership {
	return c.membership
}

// Term returns the current term.
func (c *Core) Term() uint64 {
	return c.term
}

// CommitIndex returns the index up to which the log is committed.
func (c *Core) CommitIndex() uint64 {
	return c.log.commit
}

// ReadyToServe reports whether this member is the leader and has committed and applied an entry of
// its own term, so that its state includes everything that earlier leaders committed.
func (c *Core) ReadyToServe() bool {
	return c.role == leader && c.log.commit >= c.termStartIndex && c.log.applied >= c.termStartIndex
}

// SetPassive sets whether the member is passive. A passive member steps down, ignores all messages
// and starts no election.
func (c *Core) SetPassive(now time.Duration, passive bool) {
	if passive && !c.passive {
		c.becomeFollower(now, c.term, "")
	}
	c.passive = passive
}

// SetStopping tells the member that its process is about to end. It goes on voting, but starts elections later than the other members do, unless they
// can't win without its log, and tells leaders, which then don't transfer the leadership to it.
func (c *Core) SetStopping(now time.Duration) {
	if c.stopping {
		return
	}
	c.stopping = true
	if c.role != leader {
		c.resetElectionTimer(now)
	}
}

// Propose appends a command to the log if this member is the leader.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != leader {
		return 0, 0, ErrNotLeader
	}
	if c.transferee != "" {
		return 0, 0, ErrTransferring
	}
	e := c.log.append(c.term, pj.EntryCommand, data)
	return e.Index, e.Term, nil
}

// Tick advances time: it sends heartbeats, starts elections, and ends leadership when the quorum is
// lost or a transfer times out.
func (c *Core) Tick(now time.Duration) {
	if c.passive {
		return
	}
	if c.role == leader {
		c.tickLeader(now)
		return
	}
	if now >= c.nextElection && c.isVoter(c.options.ID) {
		c.startPreVote(now)
	}
}

func (c *Core) tickLeader(now time.Duration) {
	if c.transferee != "" && now >= c.transferDeadline {
		// The message that makes the other member start an election may still be in flight, so
		// the lease is no longer safe in this term.
		c.becomeFollower(now, c.term, "")
		return
	}
	if now > c.lastQuorumContact(now)+2*c.options.ElectionTimeout {
		c.becomeFollower(now, c.term, "")
		return
	}
	if now >= c.nextHeartbeat {
		c.newRound(now)
		c.broadcast(now, true)
	}
}

// Step handles one message from another member.
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
		c.rejectStaleTerm(m)
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
	case pj.MessageTimeoutNow:
		c.handleTimeoutNow(now)
	default:
	}
}

// rejectStaleTerm informs a former leader of the newer term.
func (c *Core) rejectStaleTerm(m pj.PeerMessage) {
	if m.Kind == pj.MessageAppend || m.Kind == pj.MessageSnapshot {
		c.send(pj.PeerMessage{Kind: pj.MessageAppendReply, To: m.From, Reject: true, Index: c.log.lastIndex()})
	}
}

func (c *Core) send(m pj.PeerMessage) {
	c.messages = append(c.messages, c.withHeader(m))
}

// sendImmediately sends without waiting for the local write to be synced. Only a leader's appends
// may be sent so.
func (c *Core) sendImmediately(m pj.PeerMessage) {
	c.immediate = append(c.immediate, c.withHeader(m))
}

func (c *Core) withHeader(m pj.PeerMessage) pj.PeerMessage {
	m.Group = c.options.Group
	m.From = c.options.ID
	m.Stopping = c.stopping && m.Kind == pj.MessageAppendReply
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
	c.transferee = ""
	c.timeoutNowSent = false
	c.peers = nil
	c.pendingReads = nil
	c.confirmedReads = nil
	c.resetElectionTimer(now)
}

func (c *Core) resetElectionTimer(now time.Duration) {
	timeout, rank := c.options.ElectionTimeout, c.options.Rank
	if c.stopping {
		rank += stoppingRank
	}
	c.nextElection = now + timeout*time.Duration(rank) + c.withJitter(timeout)
}

// withJitter returns a random duration between base and twice base, so that members don't act at the
// same moment. Without a random source it returns base.
func (c *Core) withJitter(base time.Duration) time.Duration {
	if c.options.Rand == nil {
		return base
	}
	return base + time.Duration(c.options.Rand.Int64N(int64(base)))
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
