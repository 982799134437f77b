package quorum

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	pj "papayajunction"
)

// maxCaughtUpLag is the maximum number of entries that a member may lack and still count as caught
// up, so that a learner can be promoted to voter.
const maxCaughtUpLag = 64

// proposeMembership proposes the next membership. Only one change may be uncommitted at a time, and
// none may be proposed before an entry of this term is committed.
func (c *Core) proposeMembership(now time.Duration, next pj.Membership) error {
	if c.role != leader {
		return ErrNotLeader
	}
	if c.log.hasPendingMembership() || c.log.commit < c.termStartIndex {
		return ErrChangePending
	}
	data, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode membership: %w", err)
	}
	c.log.append(c.term, pj.EntryMembership, data)
	c.membership = next
	c.updatePeers(now)
	return nil
}

// CheckEntries returns an error if one of the entries is a membership that can't be decoded. A member that passed over
// it would count other voters than the rest of the group.
func CheckEntries(entries []pj.LogEntry) error {
	for _, e := range entries {
		var m pj.Membership
		if e.Kind != pj.EntryMembership {
			continue
		}
		if err := json.Unmarshal(e.Data, &m); err != nil {
			return fmt.Errorf("decode membership in entry %d: %w", e.Index, err)
		}
	}
	return nil
}

// AddLearner adds a member without a vote.
func (c *Core) AddLearner(now time.Duration, id string) error {
	next := c.membershipWithout(id)
	next.Learners = append(next.Learners, id)
	return c.proposeMembership(now, next)
}

// Promote makes a learner a voter. The learner must be caught up.
func (c *Core) Promote(now time.Duration, id string) error {
	switch {
	case c.peers[id] == nil:
		return ErrNoSuchMember
	case !c.CaughtUp(id):
		return ErrNotCaughtUp
	}
	next := c.membershipWithout(id)
	next.Voters = append(next.Voters, id)
	return c.proposeMembership(now, next)
}

// Remove removes a member from the group.
func (c *Core) Remove(now time.Duration, id string) error {
	return c.proposeMembership(now, c.membershipWithout(id))
}

// CaughtUp reports whether the member has answered and lacks at most maxCaughtUpLag entries.
func (c *Core) CaughtUp(id string) bool {
	p, ok := c.peers[id]
	return ok && p.responded && p.match > 0 && p.match+maxCaughtUpLag >= c.log.lastIndex()
}

// CanTakeLead reports whether leadership may be transferred to the member: it has the log, has acknowledged a round that the leader sent at most age ago,
// and isn't stopping.
func (c *Core) CanTakeLead(now time.Duration, id string, age time.Duration) bool {
	return id != c.options.ID && c.CaughtUp(id) && c.AckedWithin(now, id, age) && !c.peers[id].stopping
}

// AckedWithin reports whether the member has acknowledged a round that the leader sent at most age
// ago. For this member itself the result is true.
func (c *Core) AckedWithin(now time.Duration, id string, age time.Duration) bool {
	if id == c.options.ID {
		return true
	}
	p, ok := c.peers[id]
	return ok && p.responded && now <= p.ackedRoundSentAt+age
}

func (c *Core) membershipWithout(id string) pj.Membership {
	drop := func(s string) bool { return s == id }
	return pj.Membership{
		Voters:   slices.DeleteFunc(slices.Clone(c.membership.Voters), drop),
		Learners: slices.DeleteFunc(slices.Clone(c.membership.Learners), drop),
	}
}
