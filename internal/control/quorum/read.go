package quorum

import (
	"slices"
	"time"
)

// pendingRead waits for a round that was started after the read was asked for.
type pendingRead struct {
	id    uint64
	round uint64
}

// readyRead may be answered once the state has applied index.
type readyRead struct {
	id    uint64
	index uint64
}

// takeReads returns the reads that the applied state can answer.
func (c *Core) takeReads() []uint64 {
	var ids []uint64
	rest := c.readsDone[:0]
	for _, r := range c.readsDone {
		if r.index <= c.log.applied {
			ids = append(ids, r.id)
			continue
		}
		rest = append(rest, r)
	}
	c.readsDone = rest
	return ids
}

// quorumHeardAt returns the latest time for which a majority acknowledged a round sent then or later.
func (c *Core) quorumHeardAt(now time.Duration) time.Duration {
	times := make([]time.Duration, 0, len(c.membership.Voters))
	for _, id := range c.membership.Voters {
		switch p := c.peers[id]; {
		case id == c.options.ID:
			times = append(times, now)
		case p != nil:
			times = append(times, p.ackedSent)
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

// leaseUntil returns the time up to which no other leader can be elected.
func (c *Core) leaseUntil() time.Duration {
	if c.role != leader || c.transferTo != "" {
		return 0
	}
	if c.isOnlyVoter() {
		return 1<<63 - 1
	}
	heard := c.quorumRoundSent()
	if heard == 0 {
		return 0
	}
	return heard + time.Duration(leaseFraction*float64(c.options.ElectionTimeout))
}

// quorumRoundSent is like quorumHeardAt, but counts only rounds acknowledged in this term; it
// returns 0 if there is none.
func (c *Core) quorumRoundSent() time.Duration {
	times := make([]time.Duration, 0, len(c.membership.Voters))
	for _, id := range c.membership.Voters {
		p := c.peers[id]
		if id == c.options.ID || p == nil || p.ackedRound == 0 {
			continue
		}
		times = append(times, p.ackedSent)
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

// Read asks to read the state; Ready lists id once the state is known to hold everything that
// was committed before the call. Reads are forgotten when leadership is lost.
func (c *Core) Read(now time.Duration, id uint64) error {
	if c.role != leader {
		return ErrNotLeader
	}
	if c.log.commit >= c.termStart && now < c.leaseUntil() {
		c.readsDone = append(c.readsDone, readyRead{id: id, index: c.log.commit})
		return nil
	}
	c.newRound(now)
	c.reads = append(c.reads, pendingRead{id: id, round: c.round})
	c.broadcast(now, true)
	return nil
}

func (c *Core) finishReads() {
	if c.log.commit < c.termStart {
		return
	}
	rest := c.reads[:0]
	for _, r := range c.reads {
		if c.roundAcked(r.round) {
			c.readsDone = append(c.readsDone, readyRead{id: r.id, index: c.log.commit})
			continue
		}
		rest = append(rest, r)
	}
	c.reads = rest
}

func (c *Core) roundAcked(round uint64) bool {
	n := 0
	for _, id := range c.membership.Voters {
		if p := c.peers[id]; id == c.options.ID || (p != nil && p.ackedRound >= round) {
			n++
		}
	}
	return n >= c.majority()
}
