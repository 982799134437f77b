package quorum_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	pj "papayajunction"
	"papayajunction/internal/control/quorum"
)

// TestMain fixes the seed of the random schedules, so that every run gives the same result. Another
// seed can be set with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_, _ = fmt.Fprintln(os.Stderr, "seed of random schedules:", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// member is one process with its disk.
type member struct {
	id            string
	core          *quorum.Core // nil while the process is down
	disk          pj.RecoveredState
	pendingWrite  *quorum.Ready // nil if no write is in progress
	paused        bool
	clockRate     float64       // local time per unit of cluster time
	applied       []pj.LogEntry // since snapshotIndex
	snapshotIndex uint64        // index of the last restored snapshot
}

type cluster struct {
	t            *rapid.T
	members      map[string]*member
	ids          []string
	messages     []pj.PeerMessage   // in flight
	blocked      map[[2]string]bool // links from one member to another that drop all messages
	now          time.Duration
	committed    map[uint64]pj.LogEntry
	maxCommitted uint64            // highest index applied by any member
	leaders      map[uint64]string // by term
	minReadIndex map[uint64]uint64 // by read id: maxCommitted when the read was requested
	nextRead     uint64
	proposed     int
}

func newCluster(t *rapid.T, n int) *cluster {
	c := &cluster{
		t: t, members: make(map[string]*member), blocked: make(map[[2]string]bool),
		committed: make(map[uint64]pj.LogEntry), leaders: make(map[uint64]string), minReadIndex: make(map[uint64]uint64),
	}
	for i := range n {
		c.ids = append(c.ids, fmt.Sprintf("vm-%d/a", i))
	}
	for i, id := range c.ids {
		genesis := &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: slices.Clone(c.ids)}}
		c.members[id] = &member{id: id, clockRate: 0.96 + 0.02*float64(i), disk: pj.RecoveredState{Snapshot: genesis}}
		c.start(id)
	}
	return c
}

func (m *member) localTime(now time.Duration) time.Duration {
	return time.Duration(float64(now) * m.clockRate)
}

func (c *cluster) start(id string) {
	m := c.members[id]
	var seed uint64
	for _, b := range []byte(id) {
		seed = seed*31 + uint64(b)
	}
	recovered := m.disk
	recovered.Entries = slices.Clone(m.disk.Entries)
	if m.disk.Snapshot != nil {
		s := *m.disk.Snapshot
		recovered.Snapshot = &s
	}
	m.core = quorum.New(quorum.Options{
		Group: "g", ID: id, Rand: rand.New(rand.NewPCG(seed, uint64(c.now))), MaxBatchBytes: 40,
	}, recovered, m.localTime(c.now))
	m.pendingWrite, m.paused, m.applied, m.snapshotIndex = nil, false, nil, 0
}

// processReady handles a member's pending work. Its write is completed later, by completeWrite.
func (c *cluster) processReady(m *member) {
	if m.core == nil || m.paused {
		return
	}
	now := m.localTime(c.now)
	if m.pendingWrite != nil {
		c.messages = append(c.messages, m.core.TakeImmediate(now)...)
		c.checkInvariants(m)
		return
	}
	r := m.core.Ready(now)
	c.messages = append(c.messages, r.Immediate...)
	if r.Snapshot != nil {
		m.applied, m.snapshotIndex = nil, r.Snapshot.Index
	}
	for _, e := range r.Committed {
		c.recordApplied(m, e)
	}
	for _, id := range r.Reads {
		if last := m.snapshotIndex + uint64(len(m.applied)); last < c.minReadIndex[id] {
			c.t.Fatalf("read %d saw index %d, but %d was committed before", id, last, c.minReadIndex[id])
		}
	}
	m.pendingWrite = &r
	if r.Write == nil {
		c.completeWrite(m)
	}
	c.checkInvariants(m)
}

// recordApplied checks that entries are applied in order and equal on all members.
func (c *cluster) recordApplied(m *member, e pj.LogEntry) {
	if want := m.snapshotIndex + uint64(len(m.applied)) + 1; e.Index != want {
		c.t.Fatalf("%s applied entry %d instead of %d", m.id, e.Index, want)
	}
	m.applied = append(m.applied, e)
	committed, ok := c.committed[e.Index]
	if ok && (committed.Term != e.Term || string(committed.Data) != string(e.Data)) {
		c.t.Fatalf("entry %d is %v on %s and was committed as %v", e.Index, e, m.id, committed)
	}
	c.committed[e.Index] = e
	c.maxCommitted = max(c.maxCommitted, e.Index)
}

// completeWrite stores a member's pending write and sends the messages that waited for it.
func (c *cluster) completeWrite(m *member) {
	if m.core == nil || m.pendingWrite == nil || m.paused {
		return
	}
	r := *m.pendingWrite
	m.pendingWrite = nil
	if r.Write != nil {
		applyWrite(&m.disk, *r.Write)
	}
	m.core.Advance(r)
	c.messages = append(c.messages, r.Messages...)
}

// checkInvariants checks that a term has one leader and that no two members hold a lease at the same time.
func (c *cluster) checkInvariants(m *member) {
	l := m.core.Leadership()
	if !l.IsLeader {
		return
	}
	if other, ok := c.leaders[l.Term]; ok && other != m.id {
		c.t.Fatalf("term %d has two leaders, %s and %s", l.Term, other, m.id)
	}
	c.leaders[l.Term] = m.id
	if m.localTime(c.now) >= l.LeaseUntil {
		return
	}
	for _, o := range c.members {
		if o == m || o.core == nil || o.paused {
			continue
		}
		if ol := o.core.Leadership(); ol.IsLeader && o.localTime(c.now) < ol.LeaseUntil && len(c.ids) > 1 {
			c.t.Fatalf("%s (term %d) and %s (term %d) hold the leader's lease at the same time", m.id, l.Term, o.id, ol.Term)
		}
	}
}

// deliver delivers the message at index i; with duplicate set the message stays in flight.
func (c *cluster) deliver(i int, duplicate bool) {
	m := c.messages[i]
	if !duplicate {
		c.messages = slices.Delete(c.messages, i, i+1)
	}
	to := c.members[m.To]
	if c.blocked[[2]string{m.From, m.To}] || to == nil || to.core == nil || to.paused {
		return
	}
	to.core.Step(to.localTime(c.now), m)
	c.processReady(to)
}

func (c *cluster) advance(step time.Duration) {
	c.now += step
	for _, id := range c.ids {
		if m := c.members[id]; m.core != nil && !m.paused {
			m.core.Tick(m.localTime(c.now))
			c.processReady(m)
		}
	}
}

// runNormally delivers messages in order and completes writes at once for the given time. Blocked links
// stay blocked.
func (c *cluster) runNormally(length time.Duration) {
	for end := c.now + length; c.now < end; {
		for range 400 {
			if len(c.messages) > 0 {
				c.deliver(0, false)
			}
			for _, id := range c.ids {
				c.completeWrite(c.members[id])
				c.processReady(c.members[id])
			}
			if len(c.messages) == 0 {
				break
			}
		}
		c.advance(30 * time.Millisecond)
	}
}

func applyWrite(d *pj.RecoveredState, w pj.LogWrite) {
	if w.State != nil {
		d.State = *w.State
	}
	if w.Snapshot != nil {
		s := *w.Snapshot
		d.Snapshot = &s
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e pj.LogEntry) bool { return w.Reset || e.Index <= w.CompactThrough })
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].Index
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e pj.LogEntry) bool { return e.Index >= first })
		d.Entries = append(d.Entries, w.Entries...)
	}
}

func (c *cluster) leader() *member {
	for _, id := range c.ids {
		if m := c.members[id]; m.core != nil && !m.paused && m.core.Leadership().IsLeader {
			return m
		}
	}
	return nil
}

func (c *cluster) propose(m *member) {
	c.proposed++
	if _, _, err := m.core.Propose([]byte(fmt.Sprintf("command-%d", c.proposed))); err == nil {
		c.processReady(m)
	}
}

func (c *cluster) read(m *member) {
	c.nextRead++
	c.minReadIndex[c.nextRead] = c.maxCommitted
	if m.core.Read(m.localTime(c.now), c.nextRead) == nil {
		c.processReady(m)
	}
}

// injectFault injects a random fault, ends one, compacts a log or transfers leadership.
func (c *cluster) injectFault() {
	m := c.members[rapid.SampledFrom(c.ids).Draw(c.t, "member")]
	switch rapid.IntRange(0, 9).Draw(c.t, "fault") {
	case 0: // kill -9: the pending write is either synced or lost
		if m.core != nil && m.pendingWrite != nil && rapid.Bool().Draw(c.t, "torn") {
			m.pendingWrite = nil
		}
		c.completeWrite(m)
		m.core = nil
	case 1, 2:
		if m.core == nil {
			c.start(m.id)
		}
	case 3:
		m.paused = true
	case 4, 5:
		m.paused = false
	case 6:
		o := rapid.SampledFrom(c.ids).Draw(c.t, "other")
		c.blocked[[2]string{m.id, o}], c.blocked[[2]string{o, m.id}] = true, rapid.Bool().Draw(c.t, "both ways")
	case 7:
		clear(c.blocked)
	case 8:
		if m.core != nil && !m.paused && len(m.applied) > 0 {
			m.core.Compact(m.snapshotIndex+uint64(len(m.applied)), []byte("state"), uint64(rapid.IntRange(0, 3).Draw(c.t, "keep")))
			c.processReady(m)
		}
	case 9:
		if l := c.leader(); l != nil && l != m {
			_ = l.core.Transfer(l.localTime(c.now), m.id)
			c.processReady(l)
		}
	}
}

// TestRandomSchedules runs a group with reordered, lost and duplicated messages, crashes, pauses, network
// partitions and clocks of different rates, and checks election safety, state machine safety, the
// leader's lease and linearizable reads. Afterwards a healed group must make progress.
func TestRandomSchedules(t *testing.T) {
	for name, size := range map[string]int{"one member": 1, "three members": 3, "five members": 5} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				c := newCluster(rt, size)
				c.runNormally(3 * time.Second)
				for range rapid.IntRange(50, 250).Draw(rt, "steps") {
					c.step()
				}
				c.heal()
				c.runNormally(20 * time.Second)
				before := c.maxCommitted
				l := c.leader()
				if l == nil {
					rt.Fatalf("a healed group has no leader")
				}
				c.propose(l)
				c.runNormally(5 * time.Second)
				if c.maxCommitted <= before {
					rt.Fatalf("a healed group commits nothing")
				}
			})
		})
	}
}

func (c *cluster) step() {
	switch n := rapid.IntRange(0, 19).Draw(c.t, "step"); {
	case n < 8 && len(c.messages) > 0:
		c.deliver(rapid.IntRange(0, len(c.messages)-1).Draw(c.t, "message"), n == 0)
	case n < 9 && len(c.messages) > 0:
		i := rapid.IntRange(0, len(c.messages)-1).Draw(c.t, "lost")
		c.messages = slices.Delete(c.messages, i, i+1)
	case n < 11:
		c.advance(time.Duration(rapid.IntRange(1, 1200).Draw(c.t, "ms")) * time.Millisecond)
	case n < 13:
		c.completeWrite(c.members[rapid.SampledFrom(c.ids).Draw(c.t, "synced")])
	case n < 15:
		c.runNormally(time.Duration(rapid.IntRange(1, 400).Draw(c.t, "normal ms")) * time.Millisecond)
	case n < 16:
		if m := c.members[rapid.SampledFrom(c.ids).Draw(c.t, "proposer")]; m.core != nil && !m.paused {
			c.propose(m)
		}
	case n < 17:
		if m := c.members[rapid.SampledFrom(c.ids).Draw(c.t, "reader")]; m.core != nil && !m.paused {
			c.read(m)
		}
	default:
		c.injectFault()
	}
}

// heal unblocks all links and resumes or restarts all members.
func (c *cluster) heal() {
	clear(c.blocked)
	for _, id := range c.ids {
		m := c.members[id]
		m.paused = false
		if m.core == nil {
			c.start(id)
		}
	}
}
