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

// list is a replicated state that remembers the commands.
type list struct{ commands []string }

// Apply is part of pj.Replicated.
func (l *list) Apply(_ uint64, command []byte) any {
	l.commands = append(l.commands, string(command))
	return len(l.commands)
}

// Snapshot is part of pj.Replicated.
func (l *list) Snapshot() ([]byte, error) {
	var data []byte
	for _, c := range l.commands {
		data = append(append(data, c...), '\n')
	}
	return data, nil
}

// Restore is part of pj.Replicated.
func (l *list) Restore(data []byte) error {
	l.commands = nil
	for start, i := 0, 0; i < len(data); i++ {
		if data[i] == '\n' {
			l.commands = append(l.commands, string(data[start:i]))
			start = i + 1
		}
	}
	return nil
}

// disk is a saver in memory that may be full.
type disk struct {
	held  pj.Recovered
	full  bool
	hangs bool
	hung  func() // ends the write that hangs
	retry func()
}

var errFull = errors.New("no space left on device")

// Save is part of replica.Saver.
func (d *disk) Save(writes []pj.LogWrite, done func(error)) {
	if d.full {
		done(errFull)
		return
	}
	if d.hangs {
		d.hung = func() {
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

func (d *disk) store(w pj.LogWrite) {
	if w.State != nil {
		d.held.State = *w.State
	}
	if w.Snapshot != nil {
		s := *w.Snapshot
		d.held.Snapshot = &s
		d.held.Entries = slices.DeleteFunc(slices.Clone(d.held.Entries), func(e pj.LogEntry) bool { return w.Reset || e.Index <= w.KeepAfter })
	}
	if len(w.Entries) > 0 {
		d.held.Entries = slices.DeleteFunc(slices.Clone(d.held.Entries), func(e pj.LogEntry) bool { return e.Index >= w.Entries[0].Index })
		d.held.Entries = append(d.held.Entries, w.Entries...)
	}
}

// After is part of replica.Retrier.
func (d *disk) After(_ time.Duration, run func()) { d.retry = run }

// vm is one VM's member of the group.
type vm struct {
	host  *replica.Host
	group *replica.Group
	state *list
	disk  *disk
	down  bool
	born  int
}

// net is three VMs and the messages between them.
type net struct {
	now   time.Duration
	vms   map[string]*vm
	names []string
	queue map[string][]pj.PeerMessage
}

// Now is part of pj.Clock.
func (n *net) Now() time.Duration { return n.now }

// Send is part of pj.PeerTransport.
func (n *net) Send(to string, messages []pj.PeerMessage) {
	n.queue[to] = append(n.queue[to], messages...)
}

func newNet() *net {
	n := &net{vms: make(map[string]*vm), names: []string{"a", "b", "c"}, queue: make(map[string][]pj.PeerMessage)}
	genesis := &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: []string{"a/1", "b/1", "c/1"}}}
	for _, name := range n.names {
		n.vms[name] = &vm{born: 1, disk: &disk{held: pj.Recovered{Snapshot: genesis}}}
		n.start(name)
	}
	return n
}

// start starts a VM's process with what its disk holds.
func (n *net) start(name string) {
	v := n.vms[name]
	v.down = false
	v.state = &list{}
	v.host = replica.New(replica.Options{
		VM: name, Incarnation: fmt.Sprint(v.born), Saver: v.disk, Transport: n, Clock: n,
		Rand: rand.New(rand.NewPCG(uint64(name[0]), uint64(n.now))),
	})
	held := v.disk.held
	held.Entries = slices.Clone(held.Entries)
	v.group = v.host.Add("g", 0, v.state, held, nil, nil)
}

// wipe gives a VM an empty disk, and so a new identity.
func (n *net) wipe(name string) {
	n.vms[name].disk = &disk{}
	n.vms[name].born++
	n.start(name)
}

func (n *net) run(span time.Duration) {
	for end := n.now + span; n.now < end; n.now += 10 * time.Millisecond {
		for _, name := range n.names {
			v := n.vms[name]
			messages := n.queue[name]
			n.queue[name] = nil
			if v.down {
				continue
			}
			v.host.Tick()
			v.host.Deliver(messages)
			v.host.Flush()
		}
	}
}

func (n *net) leader() *vm {
	for _, name := range n.names {
		if v := n.vms[name]; !v.down && v.group.Serving() {
			return v
		}
	}
	return nil
}

// commit runs a command and reports whether it was committed.
func (n *net) commit(command string) bool {
	l := n.leader()
	if l == nil {
		return false
	}
	ok := false
	l.group.Commit([]byte(command), func(r pj.CommitResult) { ok = r.Err == nil })
	n.run(500 * time.Millisecond)
	return ok
}

// admit brings the new identity of a wiped VM in as the daemon does: learner, old one out, vote.
func (n *net) admit(is *is.I, name string) {
	id, old := fmt.Sprintf("%s/%d", name, n.vms[name].born), fmt.Sprintf("%s/%d", name, n.vms[name].born-1)
	core := n.leader().group.Core()
	is.NoErr(core.AddLearner(n.now, id))
	n.run(2 * time.Second)
	is.True(core.CaughtUp(id))
	is.NoErr(core.Remove(n.now, old))
	n.run(time.Second)
	is.NoErr(core.Promote(n.now, id))
	n.run(time.Second)
}

// TestHosts covers what disks and processes do to a group of three.
func TestHosts(t *testing.T) {
	tests := map[string]func(is *is.I, n *net){
		"a killed leader is followed by another within two seconds": func(is *is.I, n *net) {
			n.leader().down = true
			n.run(2 * time.Second)
			is.True(n.commit("after"))
		},
		"a group without a majority commits nothing": func(is *is.I, n *net) {
			l := n.leader()
			for _, v := range n.vms {
				v.down = v != l
			}
			n.run(2 * time.Second)
			is.Equal(n.commit("after"), false)
		},
		"everything committed survives a restart of all": func(is *is.I, n *net) {
			is.True(n.commit("one"))
			for _, name := range n.names {
				n.start(name)
			}
			n.run(4 * time.Second)
			is.True(n.commit("two"))
			is.Equal(n.leader().state.commands, []string{"first", "one", "two"})
		},
		"a leader with a full disk gives way": func(is *is.I, n *net) {
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
		"a leader whose disk hangs gives way": func(is *is.I, n *net) {
			l := n.leader()
			l.disk.hangs = true
			l.group.Commit([]byte("lost or not"), func(pj.CommitResult) {})
			n.run(3 * time.Second)
			is.True(n.leader() != nil && n.leader() != l)
			is.True(n.commit("after"))
			l.disk.hung()
			n.run(4 * time.Second)
			is.Equal(l.state.commands, n.leader().state.commands)
		},
		"an empty disk comes back without a vote until it is admitted": func(is *is.I, n *net) {
			var name string
			for _, candidate := range n.names {
				if n.vms[candidate] != n.leader() {
					name = candidate
				}
			}
			n.wipe(name)
			n.run(3 * time.Second)
			is.Equal(len(n.vms[name].state.commands), 0) // it is no member yet
			n.admit(is, name)
			is.Equal(n.vms[name].state.commands, n.leader().state.commands)
		},
		"a second loss right after a repair": func(is *is.I, n *net) {
			l := n.leader()
			var others []string
			for _, name := range n.names {
				if n.vms[name] != l {
					others = append(others, name)
				}
			}
			n.wipe(others[0])
			n.run(time.Second)
			n.admit(is, others[0])
			n.vms[others[1]].down = true
			n.run(time.Second)
			is.True(n.commit("after"))
		},
		"a member that was away long is brought up by a snapshot": func(is *is.I, n *net) {
			var away *vm
			for _, v := range n.vms {
				if v != n.leader() {
					away = v
				}
			}
			away.down = true
			for i := range 3000 {
				n.leader().group.Commit([]byte(fmt.Sprint(i)), func(pj.CommitResult) {})
			}
			n.run(4 * time.Second)
			is.True(n.leader().group.Core().LogLength() < 2000) // the log was cut
			away.down = false
			n.run(4 * time.Second)
			is.Equal(len(away.state.commands), 3001)
			is.Equal(away.state.commands, n.leader().state.commands)
		},
		"a read is answered by a leader only": func(is *is.I, n *net) {
			for _, v := range n.vms {
				var err error
				answered := false
				v.group.Read(func(e error) { err, answered = e, true })
				n.run(500 * time.Millisecond)
				is.True(answered)
				is.Equal(err == nil, v == n.leader())
			}
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNet()
			n.run(4 * time.Second)
			is.True(n.commit("first"))
			test(is, n)
		})
	}
}

// TestSnapshotsCostNoMoreThanLog guards against the class of incident SHORT, a cost of each commit that grows with the state: snapshots were
// made every 2000 entries, whatever they cost.
func TestSnapshotsCostNoMoreThanLog(t *testing.T) {
	const commands, commandBytes = 8000, 100
	is := is.New(t)
	clock := &steadyClock{}
	state := &countedList{}
	host := replica.New(replica.Options{VM: "a", Incarnation: "1", Saver: &disk{}, Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Heartbeat: time.Second, Election: time.Second})
	genesis := &pj.LogSnapshot{Index: 1, Term: 1, Membership: pj.Membership{Voters: []string{host.ID()}}}
	group := host.Add("g", 0, state, pj.Recovered{Snapshot: genesis}, nil, nil)
	for !group.Lead().IsLeader {
		clock.now += 100 * time.Millisecond
		host.Tick()
		host.Flush()
	}
	for range commands {
		group.Commit(bytes.Repeat([]byte("c"), commandBytes), func(r pj.CommitResult) { is.NoErr(r.Err) })
		host.Flush()
	}
	is.Equal(len(state.commands), commands)
	is.True(state.snapshots > 0)
	is.True(state.snapshots <= 2*commands*commandBytes) // bytes
}

// countedList counts the bytes of its snapshots.
type countedList struct {
	list

	snapshots int
}

// Snapshot is part of pj.Replicated.
func (l *countedList) Snapshot() ([]byte, error) {
	data, err := l.list.Snapshot()
	l.snapshots += len(data)
	return data, err
}

type steadyClock struct {
	now time.Duration
}

func (c *steadyClock) Now() time.Duration {
	return c.now
}
