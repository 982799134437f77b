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
	delay    time.Duration
	inFlight []delayedMessage
}

type delayedMessage struct {
	deliverAt time.Duration
	message   pj.PeerMessage
}

func (l *slowLink) send(now time.Duration, m pj.PeerMessage) {
	l.inFlight = append(l.inFlight, delayedMessage{deliverAt: now + l.delay, message: m})
}

func (l *slowLink) receive(now time.Duration) (messages []pj.PeerMessage) {
	for len(l.inFlight) > 0 && l.inFlight[0].deliverAt <= now {
		messages = append(messages, l.inFlight[0].message)
		l.inFlight = l.inFlight[1:]
	}
	return messages
}

// takeMessages completes a member's pending write and returns all messages that it sends.
func takeMessages(c *quorum.Core, now time.Duration) []pj.PeerMessage {
	r := processReady(c, now)
	return append(r.Immediate, r.Messages...)
}

// slowGroup is a group of three: the third member answers the leader at once, the follower is reached over
// slow links.
type slowGroup struct {
	leader, follower     *quorum.Core
	toFollower, toLeader slowLink
	drops                int    // number of appends with the entry that are dropped
	index                uint64 // index of the entry; 0 before it is proposed
	sent                 int    // number of appends with the entry
	stored               bool   // the follower has acknowledged the entry
}

// propose proposes the entry and makes the links slow from now on.
func (g *slowGroup) propose(is *is.I, oneWay time.Duration) {
	g.toFollower.delay, g.toLeader.delay = oneWay, oneWay
	var err error
	g.index, _, err = g.leader.Propose([]byte("large"))
	is.NoErr(err)
}

// step ticks the leader and delivers the messages that are due.
func (g *slowGroup) step(now time.Duration) {
	g.leader.Tick(now)
	for _, m := range takeMessages(g.leader, now) {
		g.deliver(now, m)
	}
	for _, m := range g.toFollower.receive(now) {
		g.follower.Step(now, m)
		for _, reply := range takeMessages(g.follower, now) {
			reply.From = other
			g.toLeader.send(now, reply)
			g.stored = g.stored || (g.index != 0 && reply.Index >= g.index && !reply.Reject)
		}
	}
	for _, m := range g.toLeader.receive(now) {
		g.leader.Step(now, m)
	}
}

// deliver passes on one message of the leader, or drops it.
func (g *slowGroup) deliver(now time.Duration, m pj.PeerMessage) {
	last := m.Index + uint64(len(m.Entries))
	if m.To == third && m.Kind == pj.MessageAppend {
		g.leader.Step(now, pj.PeerMessage{Kind: pj.MessageAppendReply, From: third, To: self, Term: m.Term, Index: last, Round: m.Round})
	}
	if m.To != other {
		return
	}
	if g.index != 0 && len(m.Entries) > 0 && last >= g.index {
		g.sent++
		if g.sent <= g.drops {
			return
		}
	}
	g.toFollower.send(now, m)
}

// TestSlowLinkIsNotFlooded guards against needless resends: a large entry to a member behind a slow link was
// sent again every 300 ms, before the first copy could have arrived, so the link carried nothing else for many
// seconds.
func TestSlowLinkIsNotFlooded(t *testing.T) {
	const (
		oneWay = 2 * time.Second
		length = 40 * time.Second
		step   = 20 * time.Millisecond
	)
	tests := map[string]int{ // number of times that the entry is dropped
		"nothing is dropped":               0,
		"the entry is dropped once":        1,
		"the entry is dropped three times": 3,
	}
	for name, drops := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := &slowGroup{leader: newCore(0, self, other, third), follower: newMember(other, 0, self, other, third), drops: drops}
			now := elect(g.leader)
			for end := now + length; now < end; now += step {
				if g.index == 0 && g.leader.ReadyToServe() {
					g.propose(is, oneWay)
				}
				g.step(now)
			}
			is.True(g.stored)
			is.True(g.sent <= 2*drops+1)
		})
	}
}
