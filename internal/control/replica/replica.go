// Package replica runs the members of all replicated groups of one VM on one goroutine: it moves
// messages, writes and committed commands between the quorum decisions, the disk, the other VMs
// and the replicated states.
package replica

import (
	"fmt"
	"slices"
	"strings"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/quorum"
)

// Limits of the log that is kept. Between two snapshots the log grows by as many bytes as a snapshot has, so that
// snapshots cost no more than the log, however large the state is.
const (
	snapshotLeast = 2000  // applied entries between snapshots
	snapshotMost  = 10000 // entries that are held in memory, and applied again after a start
	keepEntries   = 500   // entries kept before a snapshot for members that are a little behind
	retryWrite    = time.Second
	writeStall    = 800 * time.Millisecond // a write that takes longer makes this VM's members passive until it ends
)

// ErrOutcomeUnknown is given to proposals whose entry may or may not become committed.
var ErrOutcomeUnknown = pj.Fail(pj.CodeOutcomeUnknown, "leadership was lost before the command was committed")

// Saver stores writes off the control goroutine and calls done on it.
type Saver interface {
	Save(writes []pj.LogWrite, done func(error))
}

// Options configure a Host.
type Options struct {
	VM          string
	Incarnation string
	Saver       Saver
	Transport   pj.PeerTransport
	Clock       pj.Clock
	Rand        pj.Rand
	Heartbeat   time.Duration
	Election    time.Duration
	OnFault     func(error) // a write failed; the members of this VM are passive until one succeeds
}

// Host holds the members of this VM. All methods must be called on the control goroutine.
type Host struct {
	options Options
	groups  map[string]*Group
	names   []string
	writing bool
	failing bool
	stalled bool
	since   time.Duration // when the write under way began
}

// New returns a host without groups.
func New(options Options) *Host {
	return &Host{options: options, groups: make(map[string]*Group)}
}

// MemberID returns the id of a VM's member with the given data folder identity.
func MemberID(vm, incarnation string) string {
	return vm + "/" + incarnation
}

// VMOf returns the VM in a member id.
func VMOf(memberID string) string {
	vm, _, _ := strings.Cut(memberID, "/")
	return vm
}

// ID returns the member id of this VM.
func (h *Host) ID() string {
	return MemberID(h.options.VM, h.options.Incarnation)
}

// Group is this VM's member of one group.
type Group struct {
	host       *Host
	name       string
	core       *quorum.Core
	state      pj.Replicated
	pending    map[uint64]proposal
	reads      map[uint64]func(error)
	nextRead   uint64
	applied    uint64
	snapshotAt uint64 // index of the last snapshot
	snapshot   int    // its bytes
	since      int    // bytes of commands applied since
	lead       pj.Lead
	serving    bool
	onChange   func(serving bool, term uint64)
	onApply    func()
}

type proposal struct {
	term uint64
	done func(pj.CommitResult)
}

// Add starts a member with what the disk held. onChange tells when this member starts or stops
// to lead with a state that is up to date; onApply tells that the state changed.
func (h *Host) Add(name string, rank int, state pj.Replicated, recovered pj.Recovered,
	onChange func(serving bool, term uint64), onApply func(),
) *Group {
	core := quorum.New(quorum.Options{
		Group: name, ID: h.ID(), Rank: rank, Rand: h.options.Rand,
		Heartbeat: h.options.Heartbeat, ElectionTimeout: h.options.Election,
	}, recovered, h.options.Clock.Now())
	g := &Group{
		host: h, name: name, core: core, state: state, onChange: onChange, onApply: onApply,
		pending: make(map[uint64]proposal), reads: make(map[uint64]func(error)),
	}
	h.groups[name] = g
	h.names = append(h.names, name)
	slices.Sort(h.names)
	return g
}

// Group returns the member of the named group, or nil.
func (h *Host) Group(name string) *Group {
	return h.groups[name]
}

// Deliver hands in messages from other VMs.
func (h *Host) Deliver(messages []pj.PeerMessage) {
	now := h.options.Clock.Now()
	for _, m := range messages {
		if g := h.groups[m.Group]; g != nil {
			g.core.Step(now, m)
		}
	}
}

// Tick advances time in all groups.
func (h *Host) Tick() {
	now := h.options.Clock.Now()
	if h.writing && !h.failing && !h.stalled && now > h.since+writeStall {
		h.stall()
	}
	for _, name := range h.names {
		h.groups[name].core.Tick(now)
	}
}

// stall makes this VM's members passive, because a leader whose disk hangs keeps its lease and decides nothing.
func (h *Host) stall() {
	h.stalled = true
	h.setPassive(true)
	if h.options.OnFault != nil {
		h.options.OnFault(fmt.Errorf("a write has taken more than %v", writeStall))
	}
	h.notice()
}

// Flush sends, stores and applies whatever is ready. It is called after every event.
func (h *Host) Flush() {
	for range 64 {
		if !h.flushOnce() {
			return
		}
	}
}

// flushOnce handles what is ready now and reports whether something may be ready again.
func (h *Host) flushOnce() bool {
	now := h.options.Clock.Now()
	out := make(map[string][]pj.PeerMessage)
	if h.writing {
		for _, name := range h.names {
			collect(out, h.groups[name].core.TakeEarly(now))
		}
		h.send(out)
		h.notice()
		return false
	}
	var writes []pj.LogWrite
	readies := make(map[*Group]quorum.Ready)
	again := false
	for _, name := range h.names {
		g := h.groups[name]
		r := g.core.Ready(now)
		collect(out, r.Early)
		readies[g] = r
		if r.Write != nil {
			writes = append(writes, *r.Write)
		}
		g.apply(r)
		again = again || len(r.Committed) > 0
	}
	h.send(out)
	if len(writes) == 0 {
		h.finish(readies)
		h.notice()
		return again
	}
	h.writing = true
	h.save(writes, readies)
	h.notice()
	return !h.writing
}

func (h *Host) save(writes []pj.LogWrite, readies map[*Group]quorum.Ready) {
	h.since = h.options.Clock.Now()
	h.options.Saver.Save(writes, func(err error) {
		if err != nil {
			h.writeFailed(err, writes, readies)
			return
		}
		if h.failing || h.stalled {
			h.failing, h.stalled = false, false
			h.setPassive(false)
		}
		h.writing = false
		h.finish(readies)
		h.Flush()
	})
}

// writeFailed makes this VM's members passive and tries the same write again later.
func (h *Host) writeFailed(err error, writes []pj.LogWrite, readies map[*Group]quorum.Ready) {
	h.failing = true
	h.setPassive(true)
	if h.options.OnFault != nil {
		h.options.OnFault(fmt.Errorf("store log: %w", err))
	}
	h.notice()
	h.retry(writes, readies)
}

// Retrier is implemented by savers that can run a function on the control goroutine later.
type Retrier interface {
	After(wait time.Duration, run func())
}

func (h *Host) retry(writes []pj.LogWrite, readies map[*Group]quorum.Ready) {
	if r, ok := h.options.Saver.(Retrier); ok {
		r.After(retryWrite, func() { h.save(writes, readies) })
	}
}

func (h *Host) setPassive(passive bool) {
	now := h.options.Clock.Now()
	for _, name := range h.names {
		h.groups[name].core.SetPassive(now, passive)
	}
}

// Failing reports whether the last write to disk failed.
func (h *Host) Failing() bool {
	return h.failing
}

func (h *Host) finish(readies map[*Group]quorum.Ready) {
	out := make(map[string][]pj.PeerMessage)
	for _, name := range h.names {
		g := h.groups[name]
		r, ok := readies[g]
		if !ok {
			continue
		}
		g.core.Done(r)
		collect(out, r.Messages)
	}
	h.send(out)
}

func collect(out map[string][]pj.PeerMessage, messages []pj.PeerMessage) {
	for _, m := range messages {
		vm := VMOf(m.To)
		out[vm] = append(out[vm], m)
	}
}

func (h *Host) send(out map[string][]pj.PeerMessage) {
	for vm, messages := range out {
		h.options.Transport.Send(vm, messages)
	}
}

// notice tells the owners of groups about gained and lost leadership.
func (h *Host) notice() {
	for _, name := range h.names {
		h.groups[name].notice()
	}
}

func (g *Group) notice() {
	lead := g.core.Lead()
	serving := g.core.ReadyToServe()
	changed := serving != g.serving || (serving && lead.Term != g.lead.Term)
	if !lead.IsLeader && len(g.pending)+len(g.reads) > 0 {
		g.failPending()
	}
	g.lead = lead
	g.serving = serving
	if changed && g.onChange != nil {
		g.onChange(serving, lead.Term)
	}
}

func (g *Group) failPending() {
	pending, reads := g.pending, g.reads
	g.pending = make(map[uint64]proposal)
	g.reads = make(map[uint64]func(error))
	for _, p := range pending {
		p.done(pj.CommitResult{Err: ErrOutcomeUnknown})
	}
	for _, done := range reads {
		done(quorum.ErrNotLeader)
	}
}

func (g *Group) apply(r quorum.Ready) {
	if r.Restored != nil {
		g.restore(r.Restored)
	}
	for _, e := range r.Committed {
		g.applyEntry(e)
	}
	if len(r.Committed) > 0 || r.Restored != nil {
		g.maybeSnapshot()
		if g.onApply != nil {
			g.onApply()
		}
	}
	for _, id := range r.Reads {
		if done, ok := g.reads[id]; ok {
			delete(g.reads, id)
			done(nil)
		}
	}
}

func (g *Group) restore(s *pj.LogSnapshot) {
	if err := g.state.Restore(s.Data); err != nil {
		// A snapshot passed its checksum and can't be read: no state is better than a wrong one.
		panic(fmt.Sprintf("group %s: restore snapshot %d: %v", g.name, s.Index, err))
	}
	g.applied = s.Index
	g.snapshotAt, g.snapshot, g.since = s.Index, len(s.Data), 0
}

func (g *Group) applyEntry(e pj.LogEntry) {
	var value any
	if e.Kind == pj.EntryCommand {
		value = g.state.Apply(e.Index, e.Data)
	}
	g.applied = e.Index
	g.since += len(e.Data)
	p, ok := g.pending[e.Index]
	if !ok {
		return
	}
	delete(g.pending, e.Index)
	if p.term != e.Term {
		p.done(pj.CommitResult{Err: ErrOutcomeUnknown})
		return
	}
	p.done(pj.CommitResult{Value: value})
}

func (g *Group) maybeSnapshot() {
	entries := g.applied - g.snapshotAt
	if entries < snapshotLeast || (entries < snapshotMost && g.since < g.snapshot) {
		return
	}
	data, err := g.state.Snapshot()
	if err != nil {
		return
	}
	g.core.Compact(g.applied, data, keepEntries)
	g.snapshotAt, g.snapshot, g.since = g.applied, len(data), 0
}

// Commit proposes a command; done is called on the control goroutine.
func (g *Group) Commit(command []byte, done func(pj.CommitResult)) {
	index, term, err := g.core.Propose(command)
	if err != nil {
		done(pj.CommitResult{Err: pj.Refuse(pj.CodeNotLeader, "%s: %v", g.name, err)})
		return
	}
	g.pending[index] = proposal{term: term, done: done}
}

// Read calls done once the state holds everything that was committed before the call.
func (g *Group) Read(done func(error)) {
	g.nextRead++
	id := g.nextRead
	g.reads[id] = done
	if err := g.core.Read(g.host.options.Clock.Now(), id); err != nil {
		delete(g.reads, id)
		done(err)
	}
}

// Lead returns this member's view of the leader.
func (g *Group) Lead() pj.Lead {
	return g.core.Lead()
}

// Serving reports whether this member leads, has the whole state and holds the lease.
func (g *Group) Serving() bool {
	return g.core.ReadyToServe() && g.host.options.Clock.Now() < g.core.Lead().LeaseUntil
}

// Applied returns the index up to which the state is applied.
func (g *Group) Applied() uint64 {
	return g.applied
}

// Membership returns the members of the group.
func (g *Group) Membership() pj.Membership {
	return g.core.Membership()
}

// Core gives access to the decisions of the member, for membership changes.
func (g *Group) Core() *quorum.Core {
	return g.core
}
