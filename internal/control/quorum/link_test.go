package quorum_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/quorum"
)

// slowLink carries messages one way, in order, after a delay.
type slowLink struct {
	delay   time.Duration
	flights []flight
}

type flight struct {
	at      time.Duration
	message pj.PeerMessage
}

func (l *slowLink) send(now time.Duration, m pj.PeerMessage) {
	l.flights = append(l.flights, flight{at: now + l.delay, message: m})
}

func (l *slowLink) arrived(now time.Duration) (messages []pj.PeerMessage) {
	for len(l.flights) > 0 && l.flights[0].at <= now {
		messages = append(messages, l.flights[0].message)
		l.flights = l.flights[1:]
	}
	return messages
}

// sentBy returns what a member sends once its writes are synced.
func sentBy(c *quorum.Core, now time.Duration) []pj.PeerMessage {
	r := work(c, now)
	return append(r.Early, r.Messages...)
}

// slowGroup is a leader of three: the third member answers at once, the other one stands behind slow links.
type slowGroup struct {
	leader, follower *quorum.Core
	there, back      slowLink
	losses           int    // how often the entry is lost on its way
	index            uint64 // of the entry
	sent             int    // how often it was sent
	held             bool   // the follower has it
}

// propose proposes the entry; from now on the links are slow.
func (g *slowGroup) propose(is *is.I, oneWay time.Duration) {
	g.there.delay, g.back.delay = oneWay, oneWay
	var err error
	g.index, _, err = g.leader.Propose([]byte("large"))
	is.NoErr(err)
}

// step moves what is on its way at a time.
func (g *slowGroup) step(now time.Duration) {
	g.leader.Tick(now)
	for _, m := range sentBy(g.leader, now) {
		g.carry(now, m)
	}
	for _, m := range g.there.arrived(now) {
		g.follower.Step(now, m)
		for _, reply := range sentBy(g.follower, now) {
			reply.From = other
			g.back.send(now, reply)
			g.held = g.held || (g.index != 0 && reply.Index >= g.index && !reply.Reject)
		}
	}
	for _, m := range g.back.arrived(now) {
		g.leader.Step(now, m)
	}
}

// carry sends one message of the leader, or loses it.
func (g *slowGroup) carry(now time.Duration, m pj.PeerMessage) {
	last := m.Index + uint64(len(m.Entries))
	if m.To == third && m.Kind == pj.MessageAppend {
		g.leader.Step(now, pj.PeerMessage{Kind: pj.MessageAppendReply, From: third, To: self, Term: m.Term, Index: last, Round: m.Round})
	}
	if m.To != other {
		return
	}
	if g.index != 0 && len(m.Entries) > 0 && last >= g.index {
		g.sent++
		if g.sent <= g.losses {
			return
		}
	}
	g.there.send(now, m)
}

// TestSlowLinkIsNotFlooded guards against incident SHORT: a large entry to a member behind a slow link was sent again every 300 ms, before
// the first one could have arrived, so the link carried nothing else for many seconds.
func TestSlowLinkIsNotFlooded(t *testing.T) {
	const (
		oneWay = 2 * time.Second
		span   = 40 * time.Second
		step   = 20 * time.Millisecond
	)
	tests := map[string]int{ // how often the entry is lost
		"nothing is lost":               0,
		"the entry is lost once":        1,
		"the entry is lost three times": 3,
	}
	for name, losses := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := &slowGroup{leader: newCore(0, self, other, third), follower: newMember(other, 0, self, other, third), losses: losses}
			now := elect(g.leader)
			for end := now + span; now < end; now += step {
				if g.index == 0 && g.leader.ReadyToServe() {
					g.propose(is, oneWay)
				}
				g.step(now)
			}
			is.True(g.held)
			is.True(g.sent <= 2*losses+1)
		})
	}
}
