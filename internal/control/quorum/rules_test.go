package quorum_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/quorum"
)

const (
	self  = "vm-0/a"
	other = "vm-1/a"
	third = "vm-2/a"
)

const timeout = quorum.DefaultElectionTimeout

func newCore(now time.Duration, voters ...string) *quorum.Core {
	return newMember(self, now, voters...)
}

// maxRand makes each random time the longest possible.
type maxRand struct{}

// Int64N implements pj.Rand.
func (maxRand) Int64N(n int64) int64 { return n - 1 }

// newMemberWithMaxTimeout returns a member whose random election timeout is the longest possible.
func newMemberWithMaxTimeout(id string, now time.Duration, voters ...string) *quorum.Core {
	genesis := &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: voters}}
	return quorum.New(quorum.Options{Group: "g", ID: id, Rand: maxRand{}}, pj.RecoveredState{Snapshot: genesis}, now)
}

func newMember(id string, now time.Duration, voters ...string) *quorum.Core {
	genesis := &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: voters}}
	return quorum.New(quorum.Options{Group: "g", ID: id}, pj.RecoveredState{Snapshot: genesis}, now)
}

// processReady returns the pending work and marks its write as synced at once.
func processReady(c *quorum.Core, now time.Duration) quorum.Ready {
	r := c.Ready(now)
	c.Advance(r)
	return r
}

// elect makes the member the leader with the vote of another member and returns the time of the election.
func elect(c *quorum.Core) time.Duration {
	now := 3 * timeout
	c.Tick(now)
	processReady(c, now)
	c.Step(now, pj.PeerMessage{Kind: pj.MessagePreVoteReply, From: other, To: self, Term: c.Term() + 1})
	processReady(c, now)
	c.Step(now, pj.PeerMessage{Kind: pj.MessageVoteReply, From: other, To: self, Term: c.Term()})
	return now
}

func ack(c *quorum.Core, now time.Duration, index, round uint64) {
	c.Step(now, pj.PeerMessage{Kind: pj.MessageAppendReply, From: other, To: self, Term: c.Term(), Index: index, Round: round})
}

func lastAppendToOther(t *testing.T, messages []pj.PeerMessage) pj.PeerMessage {
	t.Helper()
	for i := len(messages) - 1; i >= 0; i-- {
		if messages[i].Kind == pj.MessageAppend && messages[i].To == other {
			return messages[i]
		}
	}
	t.Fatal("no append was sent")
	return pj.PeerMessage{}
}

// newLeader returns the leader of a group of three whose first entry is committed, the time, and the round
// that committed it.
func newLeader(t *testing.T) (c *quorum.Core, now time.Duration, round uint64) {
	t.Helper()
	c = newCore(0, self, other, third)
	now = elect(c)
	round = lastAppendToOther(t, processReady(c, now).Immediate).Round
	ack(c, now, 2, round)
	processReady(c, now)
	return c, now, round
}

// TestRules covers protocol rules that the random schedules rarely exercise.
func TestRules(t *testing.T) {
	tests := map[string]func(t *testing.T, is *is.I){
		"a restarted member refuses votes for an election timeout": func(_ *testing.T, is *is.I) {
			c := newCore(time.Hour, self, other, third)
			vote := pj.PeerMessage{Kind: pj.MessageVote, From: other, To: self, Term: 5, Index: 9, LogTerm: 4}
			c.Step(time.Hour+timeout/2, vote)
			is.Equal(len(processReady(c, time.Hour+timeout/2).Messages), 0) // the old leader's lease may still be valid
			c.Step(time.Hour+timeout, vote)
			is.Equal(len(processReady(c, time.Hour+timeout).Messages), 1)
		},
		"a vote is stored before it is sent": func(_ *testing.T, is *is.I) {
			c := newCore(0, self, other, third)
			c.Step(timeout, pj.PeerMessage{Kind: pj.MessageVote, From: other, To: self, Term: 5, Index: 9, LogTerm: 4})
			r := processReady(c, timeout)
			is.Equal(len(r.Immediate), 0)
			is.True(r.Write != nil)
			is.Equal(r.Write.State.Vote, other)
			is.Equal(r.Write.State.Term, uint64(5))
		},
		"the lease ends before a voter with a clock a tenth faster would vote": func(t *testing.T, is *is.I) {
			c := newCore(0, self, other, third)
			now := elect(c)
			sent := lastAppendToOther(t, processReady(c, now).Immediate)
			ack(c, now+timeout/2, 2, sent.Round)
			is.True(c.Leadership().LeaseUntil > now)
			is.True(c.Leadership().LeaseUntil <= now+timeout*10/11)
		},
		"a leadership transfer ends the lease": func(t *testing.T, is *is.I) {
			c := newCore(0, self, other, third)
			now := elect(c)
			ack(c, now, 2, lastAppendToOther(t, processReady(c, now).Immediate).Round)
			is.True(c.Leadership().LeaseUntil > now)
			is.NoErr(c.Transfer(now, other))
			is.Equal(c.Leadership().LeaseUntil, time.Duration(0))
			_, _, err := c.Propose([]byte("x"))
			is.Equal(err, quorum.ErrTransferring)
		},
		"the leader's own copy of an entry counts once it is synced": func(t *testing.T, is *is.I) {
			c := newCore(0, self, other)
			now := elect(c)
			r := c.Ready(now)
			ack(c, now, 2, lastAppendToOther(t, r.Immediate).Round)
			is.Equal(c.CommitIndex(), uint64(1)) // the other member alone is no majority
			c.Advance(r)
			is.Equal(c.CommitIndex(), uint64(2))
		},
		"entries of an older term are committed only with one of the current term": func(t *testing.T, is *is.I) {
			c := newCore(0, self, other, third)
			c.Step(timeout, pj.PeerMessage{
				Kind: pj.MessageAppend, From: third, To: self, Term: 2, Index: 1, LogTerm: 1,
				Entries: []pj.LogEntry{{Index: 2, Term: 2, Data: []byte("old")}},
			})
			processReady(c, timeout)
			now := elect(c)
			round := lastAppendToOther(t, processReady(c, now).Immediate).Round
			ack(c, now, 2, round)
			processReady(c, now)
			is.Equal(c.CommitIndex(), uint64(1)) // entry 2 is on a majority and may still be replaced
			ack(c, now, 3, round)
			processReady(c, now)
			is.Equal(c.CommitIndex(), uint64(3))
		},
		"entries are appended only after a matching entry": func(_ *testing.T, is *is.I) {
			c := newCore(0, self, other, third)
			c.Step(timeout, pj.PeerMessage{
				Kind: pj.MessageAppend, From: third, To: self, Term: 2, Index: 1, LogTerm: 1,
				Entries: []pj.LogEntry{{Index: 2, Term: 2, Data: []byte("replaced")}},
			})
			processReady(c, timeout)
			c.Step(timeout, pj.PeerMessage{
				Kind: pj.MessageAppend, From: other, To: self, Term: 3, Index: 2, LogTerm: 3, Commit: 3,
				Entries: []pj.LogEntry{{Index: 3, Term: 3, Data: []byte("next")}},
			})
			r := processReady(c, timeout)
			is.Equal(len(r.Messages), 1)
			is.True(r.Messages[0].Reject)
			is.Equal(c.CommitIndex(), uint64(1)) // entry 2 differs from the leader's
		},
		"nothing is committed beyond what is known to match": func(_ *testing.T, is *is.I) {
			c := newCore(0, self, other, third)
			c.Step(timeout, pj.PeerMessage{
				Kind: pj.MessageAppend, From: third, To: self, Term: 2, Index: 1, LogTerm: 1,
				Entries: []pj.LogEntry{{Index: 2, Term: 2, Data: []byte("replaced")}},
			})
			processReady(c, timeout)
			c.Step(timeout, pj.PeerMessage{Kind: pj.MessageAppend, From: other, To: self, Term: 3, Index: 1, LogTerm: 1, Commit: 2})
			processReady(c, timeout)
			is.Equal(c.CommitIndex(), uint64(1)) // the leader committed a different entry 2
		},
		"a new leader serves and changes members only once an entry of its term is committed": func(t *testing.T, is *is.I) {
			c := newCore(0, self, other, third)
			now := elect(c)
			round := lastAppendToOther(t, processReady(c, now).Immediate).Round
			is.Equal(c.ReadyToServe(), false) // its state may lack what earlier leaders committed
			is.Equal(c.AddLearner(now, "vm-3/a"), quorum.ErrChangePending)
			ack(c, now, 2, round)
			processReady(c, now)
			is.True(c.ReadyToServe())
			is.NoErr(c.AddLearner(now, "vm-3/a"))
		},
		"a read without a lease waits for a round that started after it": func(t *testing.T, is *is.I) {
			c, now, oldRound := newLeader(t)
			processReady(c, now)
			now += timeout
			is.NoErr(c.Read(now, 7))
			r := processReady(c, now)
			is.Equal(len(r.Reads), 0)
			ack(c, now, 2, oldRound)
			is.Equal(len(processReady(c, now).Reads), 0)
			ack(c, now, 2, lastAppendToOther(t, r.Immediate).Round)
			is.Equal(processReady(c, now).Reads, []uint64{7})
		},
		"a read waits until committed entries are applied": func(t *testing.T, is *is.I) {
			c, now, round := newLeader(t)
			processReady(c, now)
			for range 2 {
				_, _, err := c.Propose(make([]byte, quorum.DefaultMaxBatchBytes*3/4))
				is.NoErr(err)
			}
			r := c.Ready(now)
			for _, from := range []string{other, third} {
				c.Step(now, pj.PeerMessage{Kind: pj.MessageAppendReply, From: from, To: self, Term: c.Term(), Index: 4, Round: round})
			}
			is.Equal(c.CommitIndex(), uint64(4)) // by the two other members; the leader's write is still in progress
			is.NoErr(c.Read(now, 1))
			c.Advance(r)
			is.Equal(len(processReady(c, now).Reads), 0) // only the first entry is applied
			is.Equal(processReady(c, now).Reads, []uint64{1})
		},
		"a learner has no vote and is promoted only when it has caught up": func(t *testing.T, is *is.I) {
			c := newCore(0, self)
			c.Tick(0)
			processReady(c, 0)
			processReady(c, 0)
			is.NoErr(c.AddLearner(0, other))
			processReady(c, 0)
			is.Equal(c.Promote(0, other), quorum.ErrNotCaughtUp)
			is.Equal(c.Promote(0, "stranger"), quorum.ErrNoSuchMember)
			c.Tick(quorum.DefaultHeartbeat)
			round := lastAppendToOther(t, processReady(c, 0).Immediate).Round
			ack(c, 0, c.CommitIndex(), round)
			is.NoErr(c.Promote(0, other))
			is.Equal(len(c.Membership().Voters), 2)
			is.Equal(c.Remove(0, other), quorum.ErrChangePending)
		},
		"a leader that loses its quorum steps down": func(_ *testing.T, is *is.I) {
			c := newCore(0, self, other, third)
			now := elect(c)
			processReady(c, now)
			c.Tick(now + 2*timeout + time.Millisecond)
			is.Equal(c.Leadership().IsLeader, false)
		},
		"entries are batched while earlier ones are unacknowledged": func(t *testing.T, is *is.I) {
			c, now, round := newLeader(t)
			sent, entries := 0, 0
			for range 40 { // one command each millisecond
				now += time.Millisecond
				_, _, err := c.Propose([]byte("x"))
				is.NoErr(err)
				for _, m := range processReady(c, now).Immediate {
					if m.To == other && len(m.Entries) > 0 {
						sent++
						entries += len(m.Entries)
					}
				}
			}
			is.Equal(sent, 5)                                                              // at once, then every 8 ms
			is.Equal(entries, 33)                                                          // later entries are sent with the next batch
			ack(c, now, 2+33, round)                                                       // acknowledges everything sent
			is.Equal(len(lastAppendToOther(t, processReady(c, now).Immediate).Entries), 7) // so the other entries are sent at once
		},
		"a passive member neither votes nor starts an election": func(_ *testing.T, is *is.I) {
			c := newCore(0, self, other, third)
			c.SetPassive(0, true)
			c.Tick(10 * timeout)
			c.Step(10*timeout, pj.PeerMessage{Kind: pj.MessageVote, From: other, To: self, Term: 5, Index: 9, LogTerm: 4})
			is.Equal(len(processReady(c, 10*timeout).Messages), 0)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(t, is.New(t)) })
	}
}

// TestTermStep: terms are multiples of the step, whatever terms members with another step have set, so that the numbers between two terms
// belong to the leader of the lower one.
func TestTermStep(t *testing.T) {
	tests := map[string]struct {
		step, term, next uint64
	}{
		"no step":                  {term: 7, next: 8},
		"first term":               {step: 1000, term: 1, next: 1000},
		"next term":                {step: 1000, term: 3000, next: 4000},
		"set by a member without":  {step: 1000, term: 3001, next: 4000},
		"a term before the next":   {step: 1000, term: 3999, next: 4000},
		"a step smaller than that": {step: 10, term: 3999, next: 4000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			snapshot := &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: []string{self, other, third}}}
			c := quorum.New(quorum.Options{Group: "g", ID: self, TermStep: test.step}, pj.RecoveredState{Snapshot: snapshot, State: pj.HardState{Term: test.term}}, 0)
			now := 3 * timeout
			c.Tick(now)
			preVotes := takeMessages(c, now)
			is.True(len(preVotes) > 0)
			is.Equal(preVotes[0].Term, test.next)
			c.Step(now, pj.PeerMessage{Kind: pj.MessagePreVoteReply, From: other, To: self, Term: test.next})
			votes := takeMessages(c, now)
			is.True(len(votes) > 0)
			is.Equal(votes[0].Term, test.next)
			c.Step(now, pj.PeerMessage{Kind: pj.MessageVoteReply, From: other, To: self, Term: test.next})
			is.Equal(c.Term(), test.next)
		})
	}
}

// TestPreVoteIsRetriedSoon guards against long elections: a member whose pre-vote came slightly too early
// waited for a whole election timeout before the next one, and without a leader no task started meanwhile.
func TestPreVoteIsRetriedSoon(t *testing.T) {
	is := is.New(t)
	c := newCore(0, self, other, third)
	preVotes, before := 0, c.Term()
	for now := 2 * timeout; now < 2*timeout+4*quorum.DefaultHeartbeat; now += quorum.DefaultHeartbeat / 4 {
		c.Tick(now)
		for _, m := range takeMessages(c, now) {
			if m.Kind == pj.MessagePreVote && m.To == other {
				preVotes++
			}
		}
	}
	is.Equal(preVotes, 4)
	is.Equal(c.Term(), before) // a pre-vote doesn't raise the term
}

// TestLongerLogStartsElectionAtOnce guards against long elections: of the remaining members only one with the
// newest entries can win, and it waited for its own election timeout while the others' elections failed.
func TestLongerLogStartsElectionAtOnce(t *testing.T) {
	tests := map[string]struct {
		candidateIndex uint64 // last entry of the member that requests the pre-vote
		starts         bool   // whether this member starts a pre-vote itself
	}{
		"the candidate's log is shorter": {candidateIndex: 1, starts: true},
		"the candidate's log is as long": {candidateIndex: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newMemberWithMaxTimeout(self, 0, self, other, third)
			heartbeat := pj.PeerMessage{
				Kind: pj.MessageAppend, From: third, To: self, Term: 2, Index: 1, LogTerm: 1, Round: 1,
				Entries: []pj.LogEntry{{Index: 2, Term: 2}, {Index: 3, Term: 2}},
			}
			c.Step(timeout/2, heartbeat)
			processReady(c, timeout/2)
			now := timeout/2 + timeout // the leader's lease has expired, and this member's election timeout has not
			c.Step(now, pj.PeerMessage{
				Kind: pj.MessagePreVote, From: other, To: self, Term: 3,
				Index: test.candidateIndex, LogTerm: min(test.candidateIndex, 2),
			})
			c.Tick(now)
			starts := false
			for _, m := range takeMessages(c, now) {
				starts = starts || m.Kind == pj.MessagePreVote
			}
			is.Equal(starts, test.starts)
		})
	}
}

// TestStoppingMemberStandsLast guards against the election of a member whose process is about to end, while another one can be elected.
func TestStoppingMemberStandsLast(t *testing.T) {
	preVote := func(index uint64) pj.PeerMessage {
		return pj.PeerMessage{Kind: pj.MessagePreVote, From: other, To: self, Term: 2, Index: index, LogTerm: 1}
	}
	tests := map[string]struct {
		stopping bool
		request  *pj.PeerMessage // received shortly before the election timeout ends
		after    time.Duration   // time after which the member stands for election
	}{
		"a member":                              {after: timeout},
		"a member that is stopping":             {stopping: true, after: 3 * timeout},
		"a member whose log the others need":    {stopping: true, request: new(preVote(0)), after: timeout},
		"a member whose log the others don't":   {stopping: true, request: new(preVote(1)), after: 3 * timeout},
		"a member that isn't, and is asked for": {request: new(preVote(1)), after: timeout},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(0, self, other, third)
			if tc.stopping {
				c.SetStopping(0)
			}
			if tc.request != nil {
				c.Step(timeout, *tc.request)
				processReady(c, timeout)
			}
			stands := func(now time.Duration) bool {
				c.Tick(now)
				return slices.ContainsFunc(processReady(c, now).Messages, func(m pj.PeerMessage) bool { return m.Kind == pj.MessagePreVote })
			}
			is.True(!stands(tc.after - 1))
			is.True(stands(tc.after))
		})
	}
}

// TestNoTransferToStoppingMember guards against the lead of a member that is stopping: nobody can call it any more, and it is killed while it leads.
func TestNoTransferToStoppingMember(t *testing.T) {
	is := is.New(t)
	c, now, round := newLeader(t)
	follower := newMember(other, now, self, other, third)
	follower.SetStopping(now)
	answer := func() pj.PeerMessage {
		c.Tick(now)
		follower.Step(now, lastAppendToOther(t, processReady(c, now).Immediate))
		replies := processReady(follower, now).Messages
		return replies[len(replies)-1]
	}
	is.True(c.CanTakeLead(now, other, timeout))
	now += quorum.DefaultHeartbeat
	reply := answer()
	is.True(reply.Stopping)
	reply.Index, reply.Reject, reply.Round = 2, false, round+1
	c.Step(now, reply)
	is.True(!c.CanTakeLead(now, other, timeout))
	is.True(errors.Is(c.Transfer(now, other), quorum.ErrStopping))
}
