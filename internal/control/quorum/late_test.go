package quorum_test

import (
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/quorum"
)

// TestLateMessages checks that nothing which was said to, or by, a former life of a member counts for its present one: a
// replaced disk is another member, and a restarted process starts with its term.
func TestLateMessages(t *testing.T) {
	const replaced, formerOther = "vm-0/b", "vm-1/former"
	restartInTerm := func(term uint64) *quorum.Core {
		genesis := &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: []string{self, other, third}}}
		return quorum.New(quorum.Options{Group: "g", ID: self},
			pj.RecoveredState{State: pj.HardState{Term: term, Vote: self}, Snapshot: genesis}, 0)
	}
	tests := map[string]func(is *is.I){
		"entries for the former disk are not stored or acknowledged": func(is *is.I) {
			c := newMember(replaced, 0, replaced, other, third)
			c.Step(timeout, pj.PeerMessage{
				Kind: pj.MessageAppend, From: other, To: self, Term: 2, Index: 1, LogTerm: 1, Entries: []pj.LogEntry{{Index: 2, Term: 2}},
			})
			r := processReady(c, timeout)
			is.Equal(len(r.Messages)+len(r.Immediate), 0)
			is.Equal(c.Term(), uint64(0))
		},
		"a vote request for the former disk is not answered": func(is *is.I) {
			c := newMember(replaced, 0, replaced, other, third)
			c.Step(2*timeout, pj.PeerMessage{Kind: pj.MessageVote, From: other, To: self, Term: 5, Index: 9, LogTerm: 4})
			is.Equal(len(processReady(c, 2*timeout).Messages), 0)
			is.Equal(c.Term(), uint64(0))
		},
		"votes of a former disk don't elect": func(is *is.I) {
			c := newCore(0, self, other, third)
			now := 3 * timeout
			c.Tick(now)
			c.Step(now, pj.PeerMessage{Kind: pj.MessagePreVoteReply, From: formerOther, To: self, Term: c.Term() + 1})
			is.Equal(c.Term(), uint64(0))
			c.Step(now, pj.PeerMessage{Kind: pj.MessagePreVoteReply, From: other, To: self, Term: c.Term() + 1})
			is.Equal(c.Term(), uint64(1))
			c.Step(now, pj.PeerMessage{Kind: pj.MessageVoteReply, From: formerOther, To: self, Term: c.Term()})
			is.True(!c.Leadership().IsLeader)
		},
		"an acknowledgement of a former disk commits nothing and renews no lease": func(is *is.I) {
			c := newCore(0, self, other, third)
			now := elect(c)
			round := lastRound(processReady(c, now))
			c.Step(now, pj.PeerMessage{Kind: pj.MessageAppendReply, From: formerOther, To: self, Term: c.Term(), Index: 2, Round: round})
			is.Equal(c.CommitIndex(), uint64(1))
			is.Equal(c.Leadership().LeaseUntil, 0*timeout)
			ack(c, now, 2, round)
			is.Equal(c.CommitIndex(), uint64(2))
			is.True(c.Leadership().LeaseUntil > now)
		},
		"a vote for the candidate that this process was before": func(is *is.I) {
			c := restartInTerm(7)
			c.Step(0, pj.PeerMessage{Kind: pj.MessageVoteReply, From: other, To: self, Term: 7})
			c.Step(0, pj.PeerMessage{Kind: pj.MessagePreVoteReply, From: other, To: self, Term: 8})
			is.True(!c.Leadership().IsLeader)
			is.Equal(c.Term(), uint64(7))
		},
		"an acknowledgement for the leader that this process was before": func(is *is.I) {
			c := restartInTerm(7)
			now := elect(c)
			is.Equal(c.Term(), uint64(8))
			round := lastRound(processReady(c, now))
			c.Step(now, pj.PeerMessage{Kind: pj.MessageAppendReply, From: other, To: self, Term: 7, Index: 2, Round: round})
			is.Equal(c.CommitIndex(), uint64(1))
			is.Equal(c.Leadership().LeaseUntil, 0*timeout)
		},
		"a leadership transfer of an earlier term": func(is *is.I) {
			c := restartInTerm(7)
			c.Step(0, pj.PeerMessage{Kind: pj.MessageTimeoutNow, From: other, To: self, Term: 6})
			is.Equal(c.Term(), uint64(7))
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(is.New(t)) })
	}
}

func lastRound(r quorum.Ready) uint64 {
	round := uint64(0)
	for _, m := range append(r.Immediate, r.Messages...) {
		round = max(round, m.Round)
	}
	return round
}
