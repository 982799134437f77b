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

// TestMain fixes the seed of the random schedules; the flag -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_, _ = fmt.Fprintln(os.Stderr, "seed of random schedules:", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

type clock struct{ now time.Duration }

// Now implements pj.Clock.
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

// TestInvariantConfigurationNeverReverts checks that no VM goes back to an older configuration, with concurrent
// publications, lost replies, outdated disks and partitioned VMs.
func TestInvariantConfigurationNeverReverts(t *testing.T) {
	tests := map[string]func(is *is.I, s *fleet.State, d *directory.Directory){
		"a publication that replaces the current version succeeds": func(is *is.I, s *fleet.State, _ *directory.Directory) {
			is.Equal(publish(s, 1, "two", limit).Published.Version, uint64(2))
		},
		"a publication sent again succeeds with the same result": func(is *is.I, s *fleet.State, _ *directory.Directory) {
			publish(s, 1, "two", limit)
			publish(s, 2, "three", limit)
			again := publish(s, 1, "two", limit)
			is.True(again.Err == nil)
			is.True(again.Published.AlreadyPublished)
			is.Equal(s.Configuration().Version, uint64(3)) // the resend changes nothing
		},
		"of two publications that replace the same version one succeeds": func(is *is.I, s *fleet.State, _ *directory.Directory) {
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
			is.True(publish(restored, 5, "hash5", limit).Published.AlreadyPublished)
		},
		"a VM never goes back to an older version": func(is *is.I, s *fleet.State, d *directory.Directory) {
			old := s.DirectoryContent()
			publish(s, 1, "two", limit)
			d.Set(s.DirectoryContent())
			d.Set(old)
			is.Equal(d.Configuration().Version, uint64(2))
		},
		"a VM restarted with an outdated disk is unconfirmed until it has synchronised": func(is *is.I, s *fleet.State, d *directory.Directory) {
			old := s.DirectoryContent()
			publish(s, 1, "two", limit)
			d.Set(old)
			_, confirmed := d.Confirmed()
			is.Equal(confirmed, false)
			is.Equal(d.Confirm(0, s.DirectoryIndex()), false) // its content is older than that of the fleet
			d.Set(s.DirectoryContent())
			is.True(d.Confirm(0, s.DirectoryIndex()))
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

// TestInvariantWithdrawnKey checks how long and on which VMs a withdrawn key is still accepted.
func TestInvariantWithdrawnKey(t *testing.T) {
	const secret = "pj_0123456789abcdef"
	key := pj.Key{ID: "k", Workspace: "a", Hash: directory.HashSecret(secret)}
	tests := map[string]struct {
		run  func(s *fleet.State, d *directory.Directory, c *clock)
		code pj.Code // "" if the key works
	}{
		"a granted key works": {run: func(*fleet.State, *directory.Directory, *clock) {}},
		"a withdrawn key is refused once the VM has synchronised": {run: func(s *fleet.State, d *directory.Directory, c *clock) {
			apply(s, fleet.Command{Withdraw: &fleet.Withdraw{Workspace: "a", ID: "k"}})
			d.Set(s.DirectoryContent())
			d.Confirm(c.now, s.DirectoryIndex())
		}, code: pj.CodeWrongKey},
		"a partitioned VM refuses every key after the key lease": {run: func(s *fleet.State, _ *directory.Directory, c *clock) {
			apply(s, fleet.Command{Withdraw: &fleet.Withdraw{Workspace: "a", ID: "k"}})
			c.now += directory.KeyLease
		}, code: pj.CodeKeysUnknown},
		"a VM with content older than the confirmed index does not renew the lease": {run: func(s *fleet.State, d *directory.Directory, c *clock) {
			apply(s, fleet.Command{Withdraw: &fleet.Withdraw{Workspace: "a", ID: "k"}})
			c.now += directory.KeyLease
			d.Confirm(c.now, s.DirectoryIndex()) // the VM doesn't have the content of that index yet
		}, code: pj.CodeKeysUnknown},
		"the lease starts when the request was sent": {run: func(s *fleet.State, d *directory.Directory, c *clock) {
			requestedAt := c.now
			c.now += directory.KeyLease
			d.Confirm(requestedAt, s.DirectoryIndex())
		}, code: pj.CodeKeysUnknown},
		"a withdrawal on a partitioned VM takes effect there at once": {run: func(_ *fleet.State, d *directory.Directory, _ *clock) {
			d.DenyKey("k")
		}, code: pj.CodeWrongKey},
		"a withdrawn key can't be granted again": {run: func(s *fleet.State, d *directory.Directory, c *clock) {
			apply(s, fleet.Command{Withdraw: &fleet.Withdraw{Workspace: "a", ID: "k"}})
			apply(s, fleet.Command{Grant: &key})
			d.Set(s.DirectoryContent())
			d.Confirm(c.now, s.DirectoryIndex())
		}, code: pj.CodeWrongKey},
		"a withdrawal survives a restart": {run: func(s *fleet.State, d *directory.Directory, c *clock) {
			apply(s, fleet.Command{Withdraw: &fleet.Withdraw{Workspace: "a", ID: "k"}})
			data, _ := s.Snapshot()
			restored := fleet.NewState()
			_ = restored.Restore(data)
			d.Set(restored.DirectoryContent())
			d.Confirm(c.now, restored.DirectoryIndex())
		}, code: pj.CodeWrongKey},
		"another workspace can't withdraw it": {run: func(s *fleet.State, d *directory.Directory, c *clock) {
			apply(s, fleet.Command{Withdraw: &fleet.Withdraw{Workspace: "b", ID: "k"}})
			d.Set(s.DirectoryContent())
			d.Confirm(c.now, s.DirectoryIndex())
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, c := fleet.NewState(), &clock{now: time.Hour}
			publish(s, 0, "one", limit)
			apply(s, fleet.Command{Grant: &key})
			d := directory.New(c)
			d.Set(s.DirectoryContent())
			d.Confirm(c.now, s.DirectoryIndex())
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

// simCell is a cell in allotmentSim: its committed state, in which tasks run, and the slots in use.
type simCell struct {
	name        string
	state       *cell.State
	index       uint64
	running     []pj.AttemptID
	slotsUsed   int64
	jobs        int
	partitioned bool
	replies     []pj.AllotmentReply // not committed yet
}

func (c *simCell) apply(command cell.Command) any {
	data, err := json.Marshal(command)
	if err != nil {
		panic(err)
	}
	c.index++
	return c.state.Apply(c.index, data)
}

// usage returns what the workspace's tasks and requests use.
func (c *simCell) usage() pj.Resources {
	usage := c.state.Reserved("a")
	usage[pj.Slots] = c.slotsUsed
	return usage
}

// start starts a task if the cell's allotment permits it.
func (c *simCell) start(amount pj.Resources) {
	c.jobs++
	id := fmt.Sprintf("%s.%d", c.name, c.jobs)
	c.apply(cell.Command{Submit: &pj.Job{ID: id, Workspace: "a", Tasks: 1, MaxAttempts: 1}})
	attempt := pj.AttemptID{Job: id, Number: 1}
	if accepted, _ := c.apply(cell.Command{Start: []cell.StartAttempt{{Attempt: attempt, Worker: "w", Reservation: amount}}}).([]bool); accepted[0] {
		c.running = append(c.running, attempt)
	}
}

// end ends the task that has run longest.
func (c *simCell) end() {
	if len(c.running) > 0 {
		c.apply(cell.Command{End: []cell.EndAttempt{{Attempt: c.running[0], Phase: pj.PhaseFinished}}})
		c.running = c.running[1:]
	}
}

// useSlots sends requests up to the given number of slots, as far as the allotment permits.
func (c *simCell) useSlots(n int64) {
	c.slotsUsed = min(n, c.state.Allotment("a").Value[pj.Slots])
}

// allotmentSim simulates the exchange of allotment reports and replies between the fleet leader and the cells.
type allotmentSim struct {
	now     time.Duration
	state   *fleet.State
	planner *fleet.Planner
	cells   []*simCell
}

func newAllotmentSim() *allotmentSim {
	s := &allotmentSim{state: fleet.NewState(), now: time.Minute}
	publish(s.state, 0, "one", limit)
	names := []string{"x", "y", "z"}
	for _, name := range names {
		s.cells = append(s.cells, &simCell{name: name, state: cell.NewState()})
	}
	s.planner = fleet.NewPlanner(names)
	return s
}

// report sends a cell's report to the fleet leader and queues the reply in the cell.
func (s *allotmentSim) report(c *simCell, waiting pj.Resources) {
	if c.partitioned {
		return
	}
	s.planner.HandleReport(s.now, pj.AllotmentReport{Cell: c.name, Term: 1, Full: true, Demands: []pj.CellDemand{{
		Committed: c.state.Allotment("a"), Usage: c.usage(), Waiting: waiting,
	}}})
	confirmations, changes := s.planner.Plan(s.now, s.state)
	if len(confirmations) > 0 {
		apply(s.state, fleet.Command{Confirm: confirmations})
	} else if len(changes) > 0 {
		apply(s.state, fleet.Command{Allot: changes})
	}
	c.replies = append(c.replies, pj.AllotmentReply{Targets: s.state.UnconfirmedAllotments(c.name)})
}

// commitReply commits the targets of the reply with index i.
func (c *simCell) commitReply(i int) {
	if c.partitioned || i >= len(c.replies) {
		return
	}
	for _, target := range c.replies[i].Targets {
		c.apply(cell.Command{Allot: []cell.AllotmentCommit{{Allotment: target, SlotsUsed: c.slotsUsed}}})
	}
	c.replies = append(c.replies[:i], c.replies[i+1:]...)
}

func (s *allotmentSim) total() pj.Resources {
	var sum pj.Resources
	for _, c := range s.cells {
		sum = sum.Add(c.state.Allotment("a").Value)
	}
	return sum
}

// usage returns what all cells use together.
func (s *allotmentSim) usage() pj.Resources {
	var sum pj.Resources
	for _, c := range s.cells {
		sum = sum.Add(c.usage())
	}
	return sum
}

// TestInvariantUpperLimit divides a limit among the cells while tasks start and end in them, under partitions, late, repeated
// and reordered replies and changes of the fleet leader, and checks that the allotments of all cells together never exceed
// the limit, and that no cell uses more than its allotment.
func TestInvariantUpperLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newAllotmentSim()
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			c := s.cells[rapid.IntRange(0, 2).Draw(rt, "cell")]
			s.now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(rt, "action") {
			case 0, 1, 2:
				s.report(c, pj.NewResources(float64(rapid.IntRange(0, 120).Draw(rt, "cores")), 10, 0, int64(rapid.IntRange(0, 40).Draw(rt, "slots"))))
			case 3, 4:
				c.commitReply(rapid.IntRange(0, 2).Draw(rt, "reply"))
			case 5:
				c.partitioned = !c.partitioned
			case 6:
				s.planner = fleet.NewPlanner([]string{"x", "y", "z"})
			case 7:
				c.start(pj.NewResources(float64(rapid.IntRange(1, 20).Draw(rt, "task")), 1, 0, 0))
			case 8:
				c.end()
			case 9:
				c.useSlots(int64(rapid.IntRange(0, 40).Draw(rt, "used")))
			}
			if total := s.total(); !total.Fits(limit) {
				rt.Fatalf("the cells may use %v, the limit is %v", total, limit)
			}
			if !c.usage().Fits(c.state.Allotment("a").Value) {
				rt.Fatalf("cell %s uses %v of %v", c.name, c.usage(), c.state.Allotment("a").Value)
			}
		}
		// After the partition heals, the only cell with demand gets nearly the whole limit.
		for _, c := range s.cells {
			c.partitioned = false
			c.replies = nil
			c.slotsUsed = 0
			for len(c.running) > 0 {
				c.end()
			}
		}
		for range 40 {
			s.now += time.Second
			for i, c := range s.cells {
				waiting := pj.Resources{}
				if i == 1 {
					waiting = limit
				}
				s.report(c, waiting)
				c.commitReply(0)
			}
			if total := s.total(); !total.Fits(limit) {
				rt.Fatalf("the cells may use %v, the limit is %v", total, limit)
			}
		}
		if got := s.cells[1].state.Allotment("a").Value; got[pj.Cores] < limit[pj.Cores]*9/10 {
			rt.Fatalf("the only cell with demand got %v of %v", got, limit)
		}
	})
}

// TestAllotmentRules checks which changes the replicated state refuses, whatever the planner proposes.
func TestAllotmentRules(t *testing.T) {
	allot := func(s *fleet.State, cellName string, seq uint64, cores float64) int {
		accepted, _ := apply(s, fleet.Command{Allot: []fleet.AllotmentChange{{
			Cell: cellName, Allotment: pj.Allotment{Workspace: "a", Seq: seq, Value: pj.NewResources(cores, 1, 0, 0)},
		}}}).(int)
		return accepted
	}
	confirm := func(s *fleet.State, seq uint64, cores float64) {
		apply(s, fleet.Command{Confirm: []fleet.AllotmentConfirmation{{
			Cell: "x", Allotment: pj.Allotment{Workspace: "a", Seq: seq, Value: pj.NewResources(cores, 1, 0, 0)},
		}}})
	}
	tests := map[string]func(is *is.I, s *fleet.State){
		"a change is refused while another is unconfirmed": func(is *is.I, s *fleet.State) {
			is.Equal(allot(s, "x", 1, 10), 1)
			is.Equal(allot(s, "x", 2, 5), 0)
			confirm(s, 1, 10)
			is.Equal(allot(s, "x", 2, 5), 1)
		},
		"a sequence number that isn't the next is refused": func(is *is.I, s *fleet.State) {
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
			confirm(s, 2, 40) // the cell had more in use than the requested value
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

// TestLoweredLimit lowers a limit while a cell is partitioned and while tasks use most of it: they keep what they use, no task
// starts beyond the lowered limit, and their end frees the rest.
func TestLoweredLimit(t *testing.T) {
	is := is.New(t)
	s := newAllotmentSim()
	settle := func() {
		for range 20 {
			s.now += time.Second
			for _, c := range s.cells {
				s.report(c, limit)
				c.commitReply(0)
			}
		}
	}
	settle()
	is.True(s.total()[pj.Cores] > limit[pj.Cores]*9/10)
	s.cells[2].partitioned = true
	unreachable := s.cells[2].state.Allotment("a").Value
	lowered := pj.NewResources(40, 40, 0, 12)
	publish(s.state, 1, "two", lowered)
	settle()
	is.Equal(s.cells[2].state.Allotment("a").Value, unreachable) // the change can't reach it
	reachable := s.cells[0].state.Allotment("a").Value.Add(s.cells[1].state.Allotment("a").Value)
	is.True(reachable.Fits(lowered.Sub(unreachable).Max(pj.Resources{}))) // the other cells shrink instead
	s.cells[2].partitioned = false
	s.cells[2].replies = nil
	settle()
	is.True(s.total().Fits(lowered))

	for _, c := range s.cells {
		c.start(c.state.Allotment("a").Value.Min(pj.NewResources(1000, 1000, 0, 0)))
	}
	used := s.usage()
	is.True(used[pj.Cores] > lowered[pj.Cores]*9/10)
	lowest := pj.NewResources(10, 10, 0, 3)
	publish(s.state, 2, "three", lowest)
	settle()
	is.Equal(s.usage()[pj.Cores], used[pj.Cores])
	is.True(s.total()[pj.Cores] >= used[pj.Cores])
	s.cells[0].start(pj.NewResources(1, 1, 0, 0))
	is.Equal(s.usage()[pj.Cores], used[pj.Cores])
	for _, c := range s.cells {
		c.end()
	}
	settle()
	is.True(s.total().Fits(lowest))
}
