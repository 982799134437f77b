package quorum_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/quorum"
)

// divergedLog returns a recovered log: shared entries of term 1 after the genesis, then further ones of the given term.
func divergedLog(shared, further int, term uint64, entryBytes int) pj.RecoveredState {
	recovered := pj.RecoveredState{
		Snapshot: &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: []string{self, other, third}}},
		State:    pj.HardState{Term: term, Commit: uint64(1 + shared)},
	}
	for i := range shared + further {
		e := pj.LogEntry{Index: uint64(2 + i), Term: 1, Data: make([]byte, entryBytes)}
		if i >= shared {
			e.Term = term
		}
		recovered.Entries = append(recovered.Entries, e)
	}
	return recovered
}

// TestDivergedMemberCatchesUp guards against a group that never commits again: a member with uncommitted entries of an
// earlier term and more than one batch behind was never brought up to date over a slow link, because the leader sent
// entries behind a probe that the member was about to reject, and that second rejection undid the search.
func TestDivergedMemberCatchesUp(t *testing.T) {
	const (
		entryBytes = 1000
		batchBytes = 10 * entryBytes
		shared     = 20
		behind     = 200              // entries that the member lacks: 20 batches
		recovery   = 12 * time.Second // in which the deployments have to be served again
		tick       = 2 * time.Millisecond
		interval   = 10 * time.Millisecond // between proposals
	)
	tests := map[string]struct {
		oneWay      time.Duration
		uncommitted int // entries of an earlier term, on the member only
		lost        int // the first appends to the member that are lost
	}{
		"fast link":                                {oneWay: 0, uncommitted: 60},
		"another region":                           {oneWay: 12 * time.Millisecond, uncommitted: 60},
		"another region, long divergence":          {oneWay: 12 * time.Millisecond, uncommitted: 190},
		"another region, nothing uncommitted":      {oneWay: 12 * time.Millisecond},
		"the first probes are lost":                {oneWay: 12 * time.Millisecond, uncommitted: 60, lost: 3},
		"round trips longer than the heartbeat":    {oneWay: 200 * time.Millisecond, uncommitted: 60},
		"round trips longer than three heartbeats": {oneWay: 300 * time.Millisecond, uncommitted: 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			options := quorum.Options{Group: "g", ID: self, MaxBatchBytes: batchBytes}
			leader := quorum.New(options, divergedLog(shared, behind, 3, entryBytes), 0)
			options.ID = other
			member := quorum.New(options, divergedLog(shared, test.uncommitted, 2, entryBytes), 0)
			toMember, toLeader := slowLink{delay: test.oneWay}, slowLink{delay: test.oneWay}
			now := elect(leader) // the third member is down from now on
			proposeAt, firstProposed, lost := now, uint64(0), 0
			for end := now + recovery; now < end && (firstProposed == 0 || leader.CommitIndex() < firstProposed); now += tick {
				if now >= proposeAt {
					proposeAt = now + interval
					index, _, err := leader.Propose(make([]byte, entryBytes))
					is.NoErr(err)
					firstProposed = max(firstProposed, min(index, shared+behind+3)) // the entry after the no-op of this term
				}
				leader.Tick(now)
				for _, m := range takeMessages(leader, now) {
					switch {
					case m.To != other:
					case lost < test.lost && m.Kind == pj.MessageAppend:
						lost++
					default:
						toMember.send(now, m)
					}
				}
				for _, m := range toMember.receive(now) {
					member.Step(now, m)
					for _, reply := range takeMessages(member, now) {
						toLeader.send(now, reply)
					}
				}
				for _, m := range toLeader.receive(now) {
					leader.Step(now, m)
				}
			}
			is.True(leader.CommitIndex() >= firstProposed) // the former leader makes the majority
		})
	}
}

// TestLags guards against a leader that can't commit and whose log doesn't tell which member it waits for.
func TestLags(t *testing.T) {
	is := is.New(t)
	c, _, _ := newLeader(t)
	is.Equal(c.Uncommitted(), uint64(0))
	is.Equal(c.Lags(), other+":0,"+third+":2:probing") // the third member has not answered
	_, _, err := c.Propose([]byte("a"))
	is.NoErr(err)
	is.Equal(c.Uncommitted(), uint64(1))
	is.Equal(c.Lags(), other+":1,"+third+":3:probing")
}
