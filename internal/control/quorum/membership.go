package quorum

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	pj "papayajunction"
)

// caughtUpSlack is how many entries a learner may lack and still be made a voter.
const caughtUpSlack = 64

// change proposes the next membership; only one change may be uncommitted at a time, and only
// after an entry of this term was committed.
func (c *Core) change(now time.Duration, next pj.Membership) error {
	if c.role != leader {
		return ErrNotLeader
	}
	if c.log.hasPendingMembership() || c.log.commit < c.termStart {
		return ErrChangePending
	}
	data, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("write membership: %w", err)
	}
	c.log.append(c.term, pj.EntryMembership, data)
	c.membership = next
	c.syncPeers(now)
	return nil
}

// AddLearner adds a member without a vote.
func (c *Core) AddLearner(now time.Duration, id string) error {
	next := c.without(id)
	next.Learners = append(next.Learners, id)
	return c.change(now, next)
}

// Promote gives a learner its vote. It must have nearly the whole log.
func (c *Core) Promote(now time.Duration, id string) error {
	if !c.CaughtUp(id) {
		return ErrNoSuchMember
	}
	next := c.without(id)
	next.Voters = append(next.Voters, id)
	return c.change(now, next)
}

// Remove takes a member out of the group.
func (c *Core) Remove(now time.Duration, id string) error {
	return c.change(now, c.without(id))
}

// CaughtUp reports whether the member has nearly the whole log.
func (c *Core) CaughtUp(id string) bool {
	p, ok := c.peers[id]
	return ok && p.heard && p.match > 0 && p.match+caughtUpSlack >= c.log.lastIndex()
}

// HeardWithin reports whether the leader had an answer from the member to a round that it sent
// at most span ago.
func (c *Core) HeardWithin(now time.Duration, id string, span time.Duration) bool {
	if id == c.options.ID {
		return true
	}
	p, ok := c.peers[id]
	return ok && p.heard && now <= p.ackedSent+span
}

func (c *Core) without(id string) pj.Membership {
	drop := func(s string) bool { return s == id }
	return pj.Membership{
		Voters:   slices.DeleteFunc(slices.Clone(c.membership.Voters), drop),
		Learners: slices.DeleteFunc(slices.Clone(c.membership.Learners), drop),
	}
}
