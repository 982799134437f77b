package quorum

import (
	"slices"
	"time"
)

// pendingRead is a read that waits for a majority to acknowledge a round started after the read was
// requested.
type pendingRead struct {
	id    uint64
	round uint64
}

// confirmedRead is a read that may be answered once the state has applied index.
type confirmedRead struct {
	id    uint64
	index uint64
}

// takeReads removes and returns the confirmed reads that the applied state can answer.
func (c *Core) takeReads() []uint64 {
	var ids []uint64
	remaining := c.confirmedReads[:0]
	for _, r := range c.confirmedReads {
		if r.index <= c.log.applied {
			ids = append(ids, r.id)
			continue
		}
		remaining = append(remaining, r)
	}
	c.confirmedReads = remaining
	return ids
}

// lastQuorumContact returns the latest time such that a majority has acknowledged a round sent then or
// later. A member that has acknowledged no round counts with the time at which it was added.
func (c *Core) lastQuorumContact(now time.Duration) time.Duration {
	times := make([]time.Duration, 0, len(c.membership.Voters))
	for _, id := range c.membership.Voters {
		switch p := c.peers[id]; {
		case id == c.options.ID:
			times = append(times, now)
		case p != nil:
			times = append(times, p.ackedRoundSentAt)
		default:
			times = append(times, 0)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)-c.majority()]
}

// leaseUntil returns the time up to which no other leader can be elected, or 0 if this member holds no lease.
func (c *Core) leaseUntil() time.Duration {
	if c.role != leader || c.transferee != "" {
		return 0
	}
	if c.isOnlyVoter() {
		return 1<<63 - 1
	}
	ackedSentAt := c.lastQuorumAck()
	if ackedSentAt == 0 {
		return 0
	}
	return ackedSentAt + time.Duration(leaseFraction*float64(c.options.ElectionTimeout))
}

// lastQuorumAck is like lastQuorumContact, but counts only rounds acknowledged in this term. It
// returns 0 until a majority has acknowledged one.
func (c *Core) lastQuorumAck() time.Duration {
	times := make([]time.Duration, 0, len(c.membership.Voters))
	for _, id := range c.membership.Voters {
		p := c.peers[id]
		if id == c.options.ID || p == nil || p.ackedRound == 0 {
			continue
		}
		times = append(times, p.ackedRoundSentAt)
	}
	needed := c.majority()
	if c.isVoter(c.options.ID) {
		needed--
	}
	if needed == 0 || len(times) < needed {
		return 0
	}
	slices.Sort(times)
	return times[len(times)-needed]
}

// Read requests a linearizable read: Ready returns id once the applied state is known to include
// everything that was committed before the call. Pending reads are dropped when leadership is lost.
func (c *Core) Read(now time.Duration, id uint64) error {
	if c.role != leader {
		return ErrNotLeader
	}
	if c.log.commit >= c.termStartIndex && now < c.leaseUntil() {
		c.confirmedReads = append(c.confirmedReads, confirmedRead{id: id, index: c.log.commit})
		return nil
	}
	c.newRound(now)
	c.pendingReads = append(c.pendingReads, pendingRead{id: id, round: c.round})
	c.broadcast(now, true)
	return nil
}

// confirmReads moves the reads whose round a majority has acknowledged to confirmedReads.
func (c *Core) confirmReads() {
	if c.log.commit < c.termStartIndex {
		return
	}
	remaining := c.pendingReads[:0]
	for _, r := range c.pendingReads {
		if c.isRoundAcked(r.round) {
			c.confirmedReads = append(c.confirmedReads, confirmedRead{id: r.id, index: c.log.commit})
			continue
		}
		remaining = append(remaining, r)
	}
	c.pendingReads = remaining
}

func (c *Core) isRoundAcked(round uint64) bool {
	n := 0
	for _, id := range c.membership.Voters {
		if p := c.peers[id]; id == c.options.ID || (p != nil && p.ackedRound >= round) {
			n++
		}
	}
	return n >= c.majority()
}
