package fleet_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pj "papayajunction"
	"papayajunction/internal/control/cell"
	"papayajunction/internal/control/directory"
	"papayajunction/internal/control/fleet"
)

// TestMain fixes the seed of the random schedules; -rapid.seed gives another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_, _ = fmt.Fprintln(os.Stderr, "seed of random schedules:", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

type clock struct{ now time.Duration }

// Now is part of pj.Clock.
func (c *clock) Now() time.Duration { return c.now }

func apply(s *fleet.State, c fleet.Command) any {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return s.Apply(s.Index()+1, data)
}

func publish(s *fleet.State, replaces uint64, hash string, limit pj.Resources) fleet.PublishResult {
	r, _ := apply(s, fleet.Command{Publish: &fleet.Publish{
		Replaces: replaces, Hash: hash, Workspaces: map[string]pj.Workspace{"a": {Name: "a", Share: 1, Limit: limit}},
	}}).(fleet.PublishResult)
	return r
}

var limit = pj.NewResources(90, 90, 0, 30)

// TestInvariantConfigurationNeverReverts covers races of operators, answers that were lost, old
// disks and VMs that were cut off.
func TestInvariantConfigurationNeverReverts(t *testing.T) {
	tests := map[string]func(is *is.I, s *fleet.State, d *directory.Directory){
		"the next version wins": func(is *is.I, s *fleet.State, _ *directory.Directory) {
			is.Equal(publish(s, 1, "two", limit).Published.Version, uint64(2))
		},
		"a publication sent again is the same success": func(is *is.I, s *fleet.State, _ *directory.Directory) {
			publish(s, 1, "two", limit)
			publish(s, 2, "three", limit)
			again := publish(s, 1, "two", limit)
			is.True(again.Err == nil)
			is.True(again.Published.Resent)
			is.Equal(s.Configuration().Version, uint64(3)) // and changes nothing
		},
		"a race under equal numbers has one winner": func(is *is.I, s *fleet.State, _ *directory.Directory) {
			publish(s, 1, "two", limit)
			lost := publish(s, 1, "other", limit)
			is.True(lost.Err != nil)
			is.Equal(lost.Err.Code, pj.CodeConflict)
			is.True(lost.Err.NotRun)
			is.Equal(s.Configuration().Hash, "two")
		},
		"hundreds of changes survive a restart": func(is *is.I, s *fleet.State, _ *directory.Directory) {
			for v := uint64(1); v < 700; v++ {
				is.True(publish(s, v, fmt.Sprint("hash", v), limit).Err == nil)
			}
			data, err := s.Snapshot()
			is.NoErr(err)
			restored := fleet.NewState()
			is.NoErr(restored.Restore(data))
			is.Equal(restored.Configuration(), s.Configuration())
			is.True(publish(restored, 5, "hash5", limit).Published.Resent)
		},
		"a VM never goes back to an older version": func(is *is.I, s *fleet.State, d *directory.Directory) {
			old := s.Public()
			publish(s, 1, "two", limit)
			d.Set(s.Public())
			d.Set(old)
			is.Equal(d.Configuration().Version, uint64(2))
		},
		"a VM that was restarted with an old disk shows nothing before it asked": func(is *is.I, s *fleet.State, d *directory.Directory) {
			old := s.Public()
			publish(s, 1, "two", limit)
			d.Set(old)
			_, confirmed := d.Confirmed()
			is.Equal(confirmed, false)
			is.Equal(d.Confirm(0, s.PublicIndex()), false) // what it has is too old
			d.Set(s.Public())
			is.True(d.Confirm(0, s.PublicIndex()))
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := fleet.NewState()
			publish(s, 0, "one", limit)
			test(is, s, directory.New(&clock{}))
		})
	}
}

// TestInvariantWithdrawnKey covers how long and where a withdrawn key still works.
func TestInvariantWithdrawnKey(t *testing.T) {
	const secret = "pj_0123456789abcdef"
	key := pj.Key{ID: "k", Workspace: "a", Hash: directory.HashSecret(secret)}
	tests := map[string]struct {
		run  func(s *fleet.State, d *directory.Directory, c *clock)
		code pj.Code // "" if the key works
	}{
		"a granted key works": {run: func(*fleet.State, *directory.Directory, *clock) {}},
		"a withdrawn key is refused once the VM has asked": {run: func(s *fleet.State, d *directory.Directory, c *clock) {
			apply(s, fleet.Command{Withdraw: &fleet.Withdraw{Workspace: "a", ID: "k"}})
			d.Set(s.Public())
			d.Confirm(c.now, s.PublicIndex())
		}, code: pj.CodeWrongKey},
		"a VM that can't ask refuses every key after the key lease": {run: func(s *fleet.State, _ *directory.Directory, c *clock) {
			apply(s, fleet.Command{Withdraw: &fleet.Withdraw{Workspace: "a", ID: "k"}})
			c.now += directory.KeyLease
		}, code: pj.CodeKeysUnknown},
		"an answer that is older than the withdrawal renews nothing": {run: func(s *fleet.State, d *directory.Directory, c *clock) {
			apply(s, fleet.Command{Withdraw: &fleet.Withdraw{Workspace: "a", ID: "k"}})
			c.now += directory.KeyLease
			d.Confirm(c.now, s.PublicIndex()) // the VM doesn't have that state yet
		}, code: pj.CodeKeysUnknown},
		"the lease counts from when the VM asked": {run: func(s *fleet.State, d *directory.Directory, c *clock) {
			asked := c.now
			c.now += directory.KeyLease
			d.Confirm(asked, s.PublicIndex())
		}, code: pj.CodeKeysUnknown},
		"a withdrawal given to a VM that is cut off counts there at once": {run: func(_ *fleet.State, d *directory.Directory, _ *clock) {
			d.Deny("k")
		}, code: pj.CodeWrongKey},
		"a withdrawn key can't be granted again": {run: func(s *fleet.State, d *directory.Directory, c *clock) {
			apply(s, fleet.Command{Withdraw: &fleet.Withdraw{Workspace: "a", ID: "k"}})
			apply(s, fleet.Command{Grant: &key})
			d.Set(s.Public())
			d.Confirm(c.now, s.PublicIndex())
		}, code: pj.CodeWrongKey},
		"a withdrawal survives a restart": {run: func(s *fleet.State, d *directory.Directory, c *clock) {
			apply(s, fleet.Command{Withdraw: &fleet.Withdraw{Workspace: "a", ID: "k"}})
			data, _ := s.Snapshot()
			restored := fleet.NewState()
			_ = restored.Restore(data)
			d.Set(restored.Public())
			d.Confirm(c.now, restored.PublicIndex())
		}, code: pj.CodeWrongKey},
		"another workspace can't withdraw it": {run: func(s *fleet.State, d *directory.Directory, c *clock) {
			apply(s, fleet.Command{Withdraw: &fleet.Withdraw{Workspace: "b", ID: "k"}})
			d.Set(s.Public())
			d.Confirm(c.now, s.PublicIndex())
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, c := fleet.NewState(), &clock{now: time.Hour}
			publish(s, 0, "one", limit)
			apply(s, fleet.Command{Grant: &key})
			d := directory.New(c)
			d.Set(s.Public())
			d.Confirm(c.now, s.PublicIndex())
			test.run(s, d, c)
			id, err := d.Identify(secret)
			if test.code == "" {
				is.NoErr(err)
				is.Equal(id.Workspace, "a")
				return
			}
			is.Equal(pj.AsError(err).Code, test.code)
			is.True(pj.AsError(err).NotRun)
		})
	}
}

// zone is one cell's part in the allotments: its committed state and what it uses of it.
type zone struct {
	name  string
	state *cell.State
	index uint64
	use   pj.Resources
	cut   bool
	inbox []pj.AllotmentReply
}

// split is the fleet leader with the zones' cells.
type split struct {
	now     time.Duration
	state   *fleet.State
	planner *fleet.Planner
	zones   []*zone
}

func newSplit() *split {
	s := &split{state: fleet.NewState(), now: time.Minute}
	publish(s.state, 0, "one", limit)
	names := []string{"x", "y", "z"}
	for _, name := range names {
		s.zones = append(s.zones, &zone{name: name, state: cell.NewState()})
	}
	s.planner = fleet.NewPlanner(names)
	return s
}

// hear lets the fleet leader hear a zone's report; the answer waits in the zone's inbox.
func (s *split) hear(z *zone, want pj.Resources) {
	if z.cut {
		return
	}
	s.planner.Hear(s.now, pj.AllotmentReport{Cell: z.name, Term: 1, Full: true, Demands: []pj.CellDemand{{
		Committed: z.state.Allotment("a"), Use: z.use, Waiting: want,
	}}})
	confirms, changes := s.planner.Plan(s.now, s.state)
	if len(confirms) > 0 {
		apply(s.state, fleet.Command{Confirm: confirms})
	} else if len(changes) > 0 {
		apply(s.state, fleet.Command{Allot: changes})
	}
	z.inbox = append(z.inbox, pj.AllotmentReply{Targets: s.state.Targets(z.name)})
}

// take commits the answer at place i in the zone.
func (z *zone) take(i int) {
	if z.cut || i >= len(z.inbox) {
		return
	}
	for _, target := range z.inbox[i].Targets {
		z.index++
		data, err := json.Marshal(cell.Command{Allot: []cell.AllotCommit{{Allotment: target, SlotsUsed: z.use[pj.Slots]}}})
		if err != nil {
			panic(err)
		}
		before := z.state.Allotment("a").Value
		z.state.Apply(z.index, data)
		// The cell's own state keeps what its jobs use; here use is only a number, kept likewise.
		z.use = z.use.Min(before.Max(z.state.Allotment("a").Value))
	}
	z.inbox = append(z.inbox[:i], z.inbox[i+1:]...)
}

func (s *split) total() pj.Resources {
	var sum pj.Resources
	for _, z := range s.zones {
		sum = sum.Add(z.state.Allotment("a").Value)
	}
	return sum
}

// TestInvariantUpperLimit drives the split of a limit over the zones through cuts, late and repeated
// answers and new leaders; the zones' allotments together must never pass the limit.
func TestInvariantUpperLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSplit()
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			z := s.zones[rapid.IntRange(0, 2).Draw(rt, "zone")]
			s.now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1, 2:
				s.hear(z, pj.NewResources(float64(rapid.IntRange(0, 120).Draw(rt, "cores")), 10, 0, int64(rapid.IntRange(0, 40).Draw(rt, "slots"))))
			case 3, 4:
				z.take(rapid.IntRange(0, 2).Draw(rt, "answer"))
			case 5:
				z.cut = !z.cut
			case 6:
				s.planner = fleet.NewPlanner([]string{"x", "y", "z"})
			}
			if total := s.total(); !total.Fits(limit) {
				rt.Fatalf("the zones may use %v, the limit is %v", total, limit)
			}
		}
		// Healed, the zone that needs everything gets nearly everything.
		for _, z := range s.zones {
			z.cut = false
			z.inbox = nil
		}
		for range 40 {
			s.now += time.Second
			for i, z := range s.zones {
				want := pj.Resources{}
				if i == 1 {
					want = limit
				}
				s.hear(z, want)
				z.take(0)
			}
			if total := s.total(); !total.Fits(limit) {
				rt.Fatalf("the zones may use %v, the limit is %v", total, limit)
			}
		}
		if got := s.zones[1].state.Allotment("a").Value; got[pj.Cores] < limit[pj.Cores]*9/10 {
			rt.Fatalf("the only zone with demand got %v of %v", got, limit)
		}
	})
}

// TestEscrow holds what the replicated state refuses by itself.
func TestEscrow(t *testing.T) {
	allot := func(s *fleet.State, cellName string, seq uint64, cores float64) int {
		accepted, _ := apply(s, fleet.Command{Allot: []fleet.AllotChange{{
			Cell: cellName, Allotment: pj.Allotment{Workspace: "a", Seq: seq, Value: pj.NewResources(cores, 1, 0, 0)},
		}}}).(int)
		return accepted
	}
	confirm := func(s *fleet.State, seq uint64, cores float64) {
		apply(s, fleet.Command{Confirm: []fleet.AllotConfirm{{
			Cell: "x", Allotment: pj.Allotment{Workspace: "a", Seq: seq, Value: pj.NewResources(cores, 1, 0, 0)},
		}}})
	}
	tests := map[string]func(is *is.I, s *fleet.State){
		"a change while another is open is refused": func(is *is.I, s *fleet.State) {
			is.Equal(allot(s, "x", 1, 10), 1)
			is.Equal(allot(s, "x", 2, 5), 0)
			confirm(s, 1, 10)
			is.Equal(allot(s, "x", 2, 5), 1)
		},
		"a number that isn't the next is refused": func(is *is.I, s *fleet.State) {
			is.Equal(allot(s, "x", 2, 10), 0)
		},
		"the sum stays within the limit": func(is *is.I, s *fleet.State) {
			is.Equal(allot(s, "x", 1, 60), 1)
			is.Equal(allot(s, "y", 1, 31), 0)
			is.Equal(allot(s, "y", 1, 30), 1)
		},
		"a decrease counts only once it is confirmed": func(is *is.I, s *fleet.State) {
			allot(s, "x", 1, 90)
			confirm(s, 1, 90)
			allot(s, "x", 2, 10)
			is.Equal(allot(s, "y", 1, 1), 0)
			confirm(s, 2, 40) // more was in use than it was asked to go down to
			is.Equal(allot(s, "y", 1, 51), 0)
			is.Equal(allot(s, "y", 1, 50), 1)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := fleet.NewState()
			publish(s, 0, "one", limit)
			test(is.New(t), s)
		})
	}
}

// TestLoweredLimit lowers a limit while a zone is cut off.
func TestLoweredLimit(t *testing.T) {
	is := is.New(t)
	s := newSplit()
	settle := func() {
		for range 20 {
			s.now += time.Second
			for _, z := range s.zones {
				s.hear(z, limit)
				z.take(0)
			}
		}
	}
	settle()
	is.True(s.total()[pj.Cores] > limit[pj.Cores]*9/10)
	s.zones[2].cut = true
	kept := s.zones[2].state.Allotment("a").Value
	lowered := pj.NewResources(40, 40, 0, 12)
	publish(s.state, 1, "two", lowered)
	settle()
	is.Equal(s.zones[2].state.Allotment("a").Value, kept) // nobody could tell it
	reachable := s.zones[0].state.Allotment("a").Value.Add(s.zones[1].state.Allotment("a").Value)
	is.True(reachable.Fits(lowered.Sub(kept).Max(pj.Resources{}))) // the others make up for it
	s.zones[2].cut = false
	s.zones[2].inbox = nil
	settle()
	is.True(s.total().Fits(lowered))
}
