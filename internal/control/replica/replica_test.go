package replica_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/replica"
)

// commandList is a replicated state that records the commands.
type commandList struct{ commands []string }

// Apply implements pj.StateMachine.
func (l *commandList) Apply(_ uint64, command []byte) any {
	l.commands = append(l.commands, string(command))
	return len(l.commands)
}

// Snapshot implements pj.StateMachine.
func (l *commandList) Snapshot() ([]byte, error) {
	var data []byte
	for _, c := range l.commands {
		data = append(append(data, c...), '\n')
	}
	return data, nil
}

// Restore implements pj.StateMachine.
func (l *commandList) Restore(data []byte) error {
	l.commands = nil
	for start, i := 0, 0; i < len(data); i++ {
		if data[i] == '\n' {
			l.commands = append(l.commands, string(data[start:i]))
			start = i + 1
		}
	}
	return nil
}

// memoryDisk is a saver in memory that can be made to fail or hang.
type memoryDisk struct {
	stored            pj.RecoveredState
	full              bool
	hangs             bool
	completeHungWrite func() // completes the write that hangs
	retry             func()
}

var errFull = errors.New("no space left on device")

// Save implements replica.Saver.
func (d *memoryDisk) Save(writes []pj.LogWrite, done func(error)) {
	if d.full {
		done(errFull)
		return
	}
	if d.hangs {
		d.completeHungWrite = func() {
			d.hangs = false
			d.Save(writes, done)
		}
		return
	}
	for _, w := range writes {
		d.store(w)
	}
	done(nil)
}

func (d *memoryDisk) store(w pj.LogWrite) {
	if w.State != nil {
		d.stored.State = *w.State
	}
	if w.Snapshot != nil {
		s := *w.Snapshot
		d.stored.Snapshot = &s
		d.stored.Entries = slices.DeleteFunc(slices.Clone(d.stored.Entries), func(e pj.LogEntry) bool { return w.Reset || e.Index <= w.CompactThrough })
	}
	if len(w.Entries) > 0 {
		d.stored.Entries = slices.DeleteFunc(slices.Clone(d.stored.Entries), func(e pj.LogEntry) bool { return e.Index >= w.Entries[0].Index })
		d.stored.Entries = append(d.stored.Entries, w.Entries...)
	}
}

// After implements replica.Saver.
func (d *memoryDisk) After(_ time.Duration, run func()) { d.retry = run }

// testVM is one VM's member of the group.
type testVM struct {
	host        *replica.Host
	group       *replica.Group
	state       *commandList
	disk        *memoryDisk
	down        bool
	incarnation int
}

// testNetwork connects three VMs; it is also their clock.
type testNetwork struct {
	now             time.Duration
	vms             map[string]*testVM
	vmNames         []string
	pendingMessages map[string][]pj.PeerMessage
}

// Now implements pj.Clock.
func (n *testNetwork) Now() time.Duration { return n.now }

// Send implements pj.PeerTransport.
func (n *testNetwork) Send(to string, messages []pj.PeerMessage) {
	n.pendingMessages[to] = append(n.pendingMessages[to], messages...)
}

func newTestNetwork() *testNetwork {
	n := &testNetwork{vms: make(map[string]*testVM), vmNames: []string{"a", "b", "c"}, pendingMessages: make(map[string][]pj.PeerMessage)}
	genesis := &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: []string{"a/1", "b/1", "c/1"}}}
	for _, name := range n.vmNames {
		n.vms[name] = &testVM{incarnation: 1, disk: &memoryDisk{stored: pj.RecoveredState{Snapshot: genesis}}}
		n.start(name)
	}
	return n
}

// start starts a VM's process with the state recovered from its disk.
func (n *testNetwork) start(name string) {
	v := n.vms[name]
	v.down = false
	v.state = &commandList{}
	v.host = replica.New(replica.Options{
		VM: name, Incarnation: fmt.Sprint(v.incarnation), Saver: v.disk, Transport: n, Clock: n,
		Rand: rand.New(rand.NewPCG(uint64(name[0]), uint64(n.now))),
	})
	recovered := v.disk.stored
	recovered.Entries = slices.Clone(recovered.Entries)
	v.group = v.host.AddGroup("g", 0, v.state, recovered, nil, nil)
}

// wipe restarts a VM with an empty disk, and so with a new incarnation.
func (n *testNetwork) wipe(name string) {
	n.vms[name].disk = &memoryDisk{}
	n.vms[name].incarnation++
	n.start(name)
}

func (n *testNetwork) run(length time.Duration) {
	for end := n.now + length; n.now < end; n.now += 10 * time.Millisecond {
		for _, name := range n.vmNames {
			v := n.vms[name]
			messages := n.pendingMessages[name]
			n.pendingMessages[name] = nil
			if v.down {
				continue
			}
			v.host.Tick()
			v.host.Deliver(messages)
			v.host.Flush()
		}
	}
}

func (n *testNetwork) leader() *testVM {
	for _, name := range n.vmNames {
		if v := n.vms[name]; !v.down && v.group.Serving() {
			return v
		}
	}
	return nil
}

// commit proposes a command to the leader and reports whether it was committed within 500 ms.
func (n *testNetwork) commit(command string) bool {
	l := n.leader()
	if l == nil {
		return false
	}
	ok := false
	l.group.Commit([]byte(command), func(r pj.CommitResult) { ok = r.Err == nil })
	n.run(500 * time.Millisecond)
	return ok
}

// replaceMember replaces a wiped VM's member as the daemon does: it adds the new one as a learner, removes
// the old one and promotes the new one.
func (n *testNetwork) replaceMember(is *is.I, name string) {
	newID, oldID := fmt.Sprintf("%s/%d", name, n.vms[name].incarnation), fmt.Sprintf("%s/%d", name, n.vms[name].incarnation-1)
	core := n.leader().group.Core()
	is.NoErr(core.AddLearner(n.now, newID))
	n.run(2 * time.Second)
	is.True(core.CaughtUp(newID))
	is.NoErr(core.Remove(n.now, oldID))
	n.run(time.Second)
	is.NoErr(core.Promote(n.now, newID))
	n.run(time.Second)
}

// TestHosts covers failures of disks and processes in a group of three.
func TestHosts(t *testing.T) {
	tests := map[string]func(is *is.I, n *testNetwork){
		"a killed leader is replaced within two seconds": func(is *is.I, n *testNetwork) {
			n.leader().down = true
			n.run(2 * time.Second)
			is.True(n.commit("after"))
		},
		"a group without a majority commits nothing": func(is *is.I, n *testNetwork) {
			l := n.leader()
			for _, v := range n.vms {
				v.down = v != l
			}
			n.run(2 * time.Second)
			is.Equal(n.commit("after"), false)
		},
		"committed commands survive a restart of all members": func(is *is.I, n *testNetwork) {
			is.True(n.commit("one"))
			for _, name := range n.vmNames {
				n.start(name)
			}
			n.run(4 * time.Second)
			is.True(n.commit("two"))
			is.Equal(n.leader().state.commands, []string{"first", "one", "two"})
		},
		"a leader with a full disk steps down": func(is *is.I, n *testNetwork) {
			l := n.leader()
			l.disk.full = true
			l.group.Commit([]byte("lost or not"), func(pj.CommitResult) {})
			n.run(4 * time.Second)
			is.True(n.leader() != nil && n.leader() != l)
			is.True(n.commit("after"))
			l.disk.full = false
			l.disk.retry()
			n.run(4 * time.Second)
			is.Equal(l.state.commands, n.leader().state.commands)
		},
		"a leader whose disk hangs steps down": func(is *is.I, n *testNetwork) {
			l := n.leader()
			l.disk.hangs = true
			l.group.Commit([]byte("lost or not"), func(pj.CommitResult) {})
			n.run(3 * time.Second)
			is.True(n.leader() != nil && n.leader() != l)
			is.True(n.commit("after"))
			l.disk.completeHungWrite()
			n.run(4 * time.Second)
			is.Equal(l.state.commands, n.leader().state.commands)
		},
		"a wiped VM is no member until it is added again": func(is *is.I, n *testNetwork) {
			var name string
			for _, candidate := range n.vmNames {
				if n.vms[candidate] != n.leader() {
					name = candidate
				}
			}
			n.wipe(name)
			n.run(3 * time.Second)
			is.Equal(len(n.vms[name].state.commands), 0) // it is no member yet
			n.replaceMember(is, name)
			is.Equal(n.vms[name].state.commands, n.leader().state.commands)
		},
		"a second VM fails right after a member was replaced": func(is *is.I, n *testNetwork) {
			l := n.leader()
			var others []string
			for _, name := range n.vmNames {
				if n.vms[name] != l {
					others = append(others, name)
				}
			}
			n.wipe(others[0])
			n.run(time.Second)
			n.replaceMember(is, others[0])
			n.vms[others[1]].down = true
			n.run(time.Second)
			is.True(n.commit("after"))
		},
		"a member that was down for long catches up by a snapshot": func(is *is.I, n *testNetwork) {
			var lagging *testVM
			for _, v := range n.vms {
				if v != n.leader() {
					lagging = v
				}
			}
			lagging.down = true
			for i := range 3000 {
				n.leader().group.Commit([]byte(fmt.Sprint(i)), func(pj.CommitResult) {})
			}
			n.run(4 * time.Second)
			is.True(n.leader().group.Core().LogLength() < 2000) // the log was compacted
			lagging.down = false
			n.run(4 * time.Second)
			is.Equal(len(lagging.state.commands), 3001)
			is.Equal(lagging.state.commands, n.leader().state.commands)
		},
		"only the leader answers a read": func(is *is.I, n *testNetwork) {
			for _, v := range n.vms {
				var err error
				answered := false
				v.group.Read(func(readErr error) { err, answered = readErr, true })
				n.run(500 * time.Millisecond)
				is.True(answered)
				is.Equal(err == nil, v == n.leader())
			}
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newTestNetwork()
			n.run(4 * time.Second)
			is.True(n.commit("first"))
			test(is, n)
		})
	}
}

// TestSnapshotsCostNoMoreThanLog guards against a cost per commit that grows with the state: snapshots were made
// every 2000 entries, however large they were.
func TestSnapshotsCostNoMoreThanLog(t *testing.T) {
	const commands, commandBytes = 8000, 100
	is := is.New(t)
	clock := &manualClock{}
	state := &snapshotSizeCounter{}
	host := replica.New(replica.Options{VM: "a", Incarnation: "1", Saver: &memoryDisk{}, Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Heartbeat: time.Second, ElectionTimeout: time.Second})
	genesis := &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: []string{host.ID()}}}
	group := host.AddGroup("g", 0, state, pj.RecoveredState{Snapshot: genesis}, nil, nil)
	for !group.Leadership().IsLeader {
		clock.now += 100 * time.Millisecond
		host.Tick()
		host.Flush()
	}
	for range commands {
		group.Commit(bytes.Repeat([]byte("c"), commandBytes), func(r pj.CommitResult) { is.NoErr(r.Err) })
		host.Flush()
	}
	is.Equal(len(state.commands), commands)
	is.True(state.snapshotBytes > 0)
	is.True(state.snapshotBytes <= 2*commands*commandBytes)
}

// lastCommand is a replicated state that consists of the last command.
type lastCommand struct{ data []byte }

// Apply implements pj.StateMachine.
func (l *lastCommand) Apply(_ uint64, data []byte) any {
	l.data = data
	return nil
}

// Snapshot implements pj.StateMachine.
func (l *lastCommand) Snapshot() ([]byte, error) { return l.data, nil }

// Restore implements pj.StateMachine.
func (l *lastCommand) Restore(data []byte) error {
	l.data = data
	return nil
}

// TestLargeEntriesAreCompacted guards against a log that fills the memory of all VMs: 270 large configurations were kept, as snapshots were
// made by the number of entries only, and no VM could read its log again.
func TestLargeEntriesAreCompacted(t *testing.T) {
	const entryBytes, maxLogBytes = 256 << 10, 32 << 20
	tests := map[string]struct{ entries int }{
		"a few":    {entries: 8},
		"hundreds": {entries: 400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &manualClock{now: time.Minute}
			disk := &memoryDisk{}
			host := replica.New(replica.Options{VM: "a", Incarnation: "1", Saver: disk, Transport: newTestNetwork(), Clock: clock})
			only := pj.RecoveredState{Snapshot: &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: []string{"a/1"}}}}
			group := host.AddGroup("g", 0, &lastCommand{}, only, nil, nil)
			for !group.Serving() {
				clock.now += 100 * time.Millisecond
				host.Tick()
				host.Flush()
			}
			committed := 0
			for range test.entries {
				group.Commit(make([]byte, entryBytes), func(r pj.CommitResult) {
					is.NoErr(r.Err)
					committed++
				})
				host.Flush()
				is.True(group.Core().LogLength()*entryBytes <= maxLogBytes)
				is.True(len(disk.stored.Entries)*entryBytes <= maxLogBytes)
			}
			is.Equal(committed, test.entries)
		})
	}
}

// snapshotSizeCounter counts the bytes of its snapshots.
type snapshotSizeCounter struct {
	commandList

	snapshotBytes int
}

// Snapshot implements pj.StateMachine.
func (l *snapshotSizeCounter) Snapshot() ([]byte, error) {
	data, err := l.commandList.Snapshot()
	l.snapshotBytes += len(data)
	return data, err
}

type manualClock struct {
	now time.Duration
}

func (c *manualClock) Now() time.Duration {
	return c.now
}

// failingState is a replicated state that can't be encoded.
type failingState struct {
	commandList
	snapshots int
}

func (s *failingState) Snapshot() ([]byte, error) {
	s.snapshots++
	return nil, errors.New("not encodable")
}

// TestSnapshotError: a state that can't be encoded is reported, and the next try waits until the log has grown again. Each
// applied entry would try otherwise.
func TestSnapshotError(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Minute}
	var errs []error
	host := replica.New(replica.Options{
		VM: "a", Incarnation: "1", Saver: &memoryDisk{}, Transport: newTestNetwork(), Clock: clock,
		OnSnapshotError: func(err error) { errs = append(errs, err) },
	})
	state := &failingState{}
	only := pj.RecoveredState{Snapshot: &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: []string{"a/1"}}}}
	group := host.AddGroup("g", 0, state, only, nil, nil)
	for range 4500 {
		clock.now += time.Millisecond
		host.Tick()
		group.Commit([]byte("c"), func(pj.CommitResult) {})
		host.Flush()
	}
	is.True(group.Applied() > 4000)
	is.Equal(state.snapshots, 2)
	is.Equal(len(errs), 2)
}

// TestResultFollowsUse guards against an answer about a change that isn't in force yet on the VM that gives it: a caller that had read it was
// still served by the configuration before.
func TestResultFollowsUse(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Minute}
	host := replica.New(replica.Options{VM: "a", Incarnation: "1", Saver: &memoryDisk{}, Transport: newTestNetwork(), Clock: clock})
	only := pj.RecoveredState{Snapshot: &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: []string{"a/1"}}}}
	var group *replica.Group
	var used uint64 // index up to which the VM uses the state
	group = host.AddGroup("g", 0, &snapshotSizeCounter{}, only, nil, func() { used = group.Applied() })
	results := 0
	for range 100 {
		clock.now += time.Second
		host.Tick()
		group.Commit([]byte("c"), func(r pj.CommitResult) {
			if r.Err == nil {
				results++
				is.Equal(used, group.Applied())
			}
		})
		host.Flush()
	}
	is.True(results > 0)
}

// memoryStore is a pj.LogStore that returns one recovered state.
type memoryStore struct{ recovered pj.RecoveredState }

func (s memoryStore) Load(string) (pj.RecoveredState, error) { return s.recovered, nil }
func (s memoryStore) Save([]pj.LogWrite) error               { return nil }

// TestLoad: a member doesn't start from a log with a membership that it can't decode. It would count other voters than the
// rest of the group.
func TestLoad(t *testing.T) {
	tests := map[string]struct {
		entries []pj.LogEntry
		valid   bool
	}{
		"no entry":             {valid: true},
		"a command":            {entries: []pj.LogEntry{{Index: 2, Data: []byte("{")}}, valid: true},
		"a membership":         {entries: []pj.LogEntry{{Index: 2, Kind: pj.EntryMembership, Data: []byte(`{"voters":["a/1"]}`)}}, valid: true},
		"truncated membership": {entries: []pj.LogEntry{{Index: 2, Kind: pj.EntryMembership, Data: []byte(`{"voters":["a/`)}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := replica.Load(memoryStore{pj.RecoveredState{Entries: tc.entries}}, "g")
			is.New(t).Equal(err == nil, tc.valid)
		})
	}
}
