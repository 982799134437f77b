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

// TestMain fixes the seed of the random schedules, so that every run gives the same verdict. Another
// seed can be given with -rapid.seed.
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
	id      string
	core    *quorum.Core // nil while the process is down
	disk    pj.Recovered
	writing *quorum.Ready
	paused  bool
	rate    float64 // of its clock
	applied []pj.LogEntry
	base    uint64 // entries up to here came by snapshot
}

type cluster struct {
	t         *rapid.T
	members   map[string]*member
	ids       []string
	net       []pj.PeerMessage
	cut       map[[2]string]bool
	now       time.Duration
	committed map[uint64]pj.LogEntry
	highest   uint64            // greatest index known as committed by any member
	leaders   map[uint64]string // term to leader
	reads     map[uint64]uint64 // read to what was committed when it was asked for
	nextRead  uint64
	proposed  int
}

func newCluster(t *rapid.T, n int) *cluster {
	c := &cluster{
		t: t, members: make(map[string]*member), cut: make(map[[2]string]bool),
		committed: make(map[uint64]pj.LogEntry), leaders: make(map[uint64]string), reads: make(map[uint64]uint64),
	}
	for i := range n {
		c.ids = append(c.ids, fmt.Sprintf("vm-%d/a", i))
	}
	for i, id := range c.ids {
		genesis := &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: slices.Clone(c.ids)}}
		c.members[id] = &member{id: id, rate: 0.96 + 0.02*float64(i), disk: pj.Recovered{Snapshot: genesis}}
		c.start(id)
	}
	return c
}

func (m *member) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * m.rate)
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
	}, recovered, m.clock(c.now))
	m.writing, m.paused, m.applied, m.base = nil, false, nil, 0
}

// pump takes what a member wants done; its write ends later, in sync.
func (c *cluster) pump(m *member) {
	if m.core == nil || m.paused {
		return
	}
	now := m.clock(c.now)
	if m.writing != nil {
		c.net = append(c.net, m.core.TakeEarly(now)...)
		c.check(m)
		return
	}
	r := m.core.Ready(now)
	c.net = append(c.net, r.Early...)
	if r.Restored != nil {
		m.applied, m.base = nil, r.Restored.Index
	}
	for _, e := range r.Committed {
		c.commit(m, e)
	}
	for _, id := range r.Reads {
		if last := m.base + uint64(len(m.applied)); last < c.reads[id] {
			c.t.Fatalf("read %d saw index %d, but %d was committed before", id, last, c.reads[id])
		}
	}
	m.writing = &r
	if r.Write == nil {
		c.sync(m)
	}
	c.check(m)
}

func (c *cluster) commit(m *member, e pj.LogEntry) {
	if want := m.base + uint64(len(m.applied)) + 1; e.Index != want {
		c.t.Fatalf("%s applied %d instead of %d", m.id, e.Index, want)
	}
	m.applied = append(m.applied, e)
	held, ok := c.committed[e.Index]
	if ok && (held.Term != e.Term || string(held.Data) != string(e.Data)) {
		c.t.Fatalf("entry %d is %v on %s and was committed as %v", e.Index, e, m.id, held)
	}
	c.committed[e.Index] = e
	c.highest = max(c.highest, e.Index)
}

// sync ends a member's write.
func (c *cluster) sync(m *member) {
	if m.core == nil || m.writing == nil || m.paused {
		return
	}
	r := *m.writing
	m.writing = nil
	if r.Write != nil {
		save(&m.disk, *r.Write)
	}
	m.core.Done(r)
	c.net = append(c.net, r.Messages...)
}

// check holds the rules that must hold at every moment.
func (c *cluster) check(m *member) {
	l := m.core.Lead()
	if !l.IsLeader {
		return
	}
	if other, ok := c.leaders[l.Term]; ok && other != m.id {
		c.t.Fatalf("term %d has two leaders, %s and %s", l.Term, other, m.id)
	}
	c.leaders[l.Term] = m.id
	if m.clock(c.now) >= l.LeaseUntil {
		return
	}
	for _, o := range c.members {
		if o == m || o.core == nil || o.paused {
			continue
		}
		if ol := o.core.Lead(); ol.IsLeader && o.clock(c.now) < ol.LeaseUntil && len(c.ids) > 1 {
			c.t.Fatalf("%s (term %d) and %s (term %d) hold the leader's lease at the same time", m.id, l.Term, o.id, ol.Term)
		}
	}
}

func (c *cluster) deliver(i int, keep bool) {
	m := c.net[i]
	if !keep {
		c.net = slices.Delete(c.net, i, i+1)
	}
	to := c.members[m.To]
	if c.cut[[2]string{m.From, m.To}] || to == nil || to.core == nil || to.paused {
		return
	}
	to.core.Step(to.clock(c.now), m)
	c.pump(to)
}

func (c *cluster) advance(span time.Duration) {
	c.now += span
	for _, id := range c.ids {
		if m := c.members[id]; m.core != nil && !m.paused {
			m.core.Tick(m.clock(c.now))
			c.pump(m)
		}
	}
}

// settle lets a healthy network run for some time.
func (c *cluster) settle(span time.Duration) {
	for end := c.now + span; c.now < end; {
		for range 400 {
			if len(c.net) > 0 {
				c.deliver(0, false)
			}
			for _, id := range c.ids {
				c.sync(c.members[id])
				c.pump(c.members[id])
			}
			if len(c.net) == 0 {
				break
			}
		}
		c.advance(30 * time.Millisecond)
	}
}

func save(d *pj.Recovered, w pj.LogWrite) {
	if w.State != nil {
		d.State = *w.State
	}
	if w.Snapshot != nil {
		s := *w.Snapshot
		d.Snapshot = &s
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e pj.LogEntry) bool { return w.Reset || e.Index <= w.KeepAfter })
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].Index
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e pj.LogEntry) bool { return e.Index >= first })
		d.Entries = append(d.Entries, w.Entries...)
	}
}

func (c *cluster) leader() *member {
	for _, id := range c.ids {
		if m := c.members[id]; m.core != nil && !m.paused && m.core.Lead().IsLeader {
			return m
		}
	}
	return nil
}

func (c *cluster) propose(m *member) {
	c.proposed++
	if _, _, err := m.core.Propose([]byte(fmt.Sprintf("command-%d", c.proposed))); err == nil {
		c.pump(m)
	}
}

func (c *cluster) read(m *member) {
	c.nextRead++
	c.reads[c.nextRead] = c.highest
	if m.core.Read(m.clock(c.now), c.nextRead) == nil {
		c.pump(m)
	}
}

// fault does one random thing to the cluster.
func (c *cluster) fault() {
	m := c.members[rapid.SampledFrom(c.ids).Draw(c.t, "member")]
	switch rapid.IntRange(0, 9).Draw(c.t, "fault") {
	case 0: // kill -9: what was not synced is lost, what was written may be synced or not
		if m.core != nil && m.writing != nil && rapid.Bool().Draw(c.t, "torn") {
			m.writing = nil
		}
		c.sync(m)
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
		c.cut[[2]string{m.id, o}], c.cut[[2]string{o, m.id}] = true, rapid.Bool().Draw(c.t, "both ways")
	case 7:
		clear(c.cut)
	case 8:
		if m.core != nil && !m.paused && len(m.applied) > 0 {
			m.core.Compact(m.base+uint64(len(m.applied)), []byte("state"), uint64(rapid.IntRange(0, 3).Draw(c.t, "keep")))
			c.pump(m)
		}
	case 9:
		if l := c.leader(); l != nil && l != m {
			_ = l.core.Transfer(l.clock(c.now), m.id)
			c.pump(l)
		}
	}
}

// TestRandomSchedules drives a group through random messages, losses, repetitions, crashes, pauses,
// cuts and clocks of different rates, and checks election safety, state machine safety, the
// leader's lease and linearizable reads; afterwards a healed group must make progress.
func TestRandomSchedules(t *testing.T) {
	for name, size := range map[string]int{"one member": 1, "three members": 3, "five members": 5} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				c := newCluster(rt, size)
				c.settle(3 * time.Second)
				for range rapid.IntRange(50, 250).Draw(rt, "steps") {
					c.step()
				}
				c.heal()
				c.settle(20 * time.Second)
				before := c.highest
				l := c.leader()
				if l == nil {
					rt.Fatalf("a healed group has no leader")
				}
				c.propose(l)
				c.settle(5 * time.Second)
				if c.highest <= before {
					rt.Fatalf("a healed group commits nothing")
				}
			})
		})
	}
}

func (c *cluster) step() {
	switch n := rapid.IntRange(0, 19).Draw(c.t, "step"); {
	case n < 8 && len(c.net) > 0:
		c.deliver(rapid.IntRange(0, len(c.net)-1).Draw(c.t, "message"), n == 0)
	case n < 9 && len(c.net) > 0:
		i := rapid.IntRange(0, len(c.net)-1).Draw(c.t, "lost")
		c.net = slices.Delete(c.net, i, i+1)
	case n < 11:
		c.advance(time.Duration(rapid.IntRange(1, 1200).Draw(c.t, "ms")) * time.Millisecond)
	case n < 13:
		c.sync(c.members[rapid.SampledFrom(c.ids).Draw(c.t, "synced")])
	case n < 15:
		c.settle(time.Duration(rapid.IntRange(1, 400).Draw(c.t, "calm ms")) * time.Millisecond)
	case n < 16:
		if m := c.members[rapid.SampledFrom(c.ids).Draw(c.t, "proposer")]; m.core != nil && !m.paused {
			c.propose(m)
		}
	case n < 17:
		if m := c.members[rapid.SampledFrom(c.ids).Draw(c.t, "reader")]; m.core != nil && !m.paused {
			c.read(m)
		}
	default:
		c.fault()
	}
}

func (c *cluster) heal() {
	clear(c.cut)
	for _, id := range c.ids {
		m := c.members[id]
		m.paused = false
		if m.core == nil {
			c.start(id)
		}
	}
}
