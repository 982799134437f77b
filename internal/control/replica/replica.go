// Package replica runs one VM's members of all replicated groups on one goroutine: it passes messages,
// writes and committed commands between package quorum, the disk, the other VMs and the replicated
// states.
package replica

import (
	"fmt"
	"slices"
	"strings"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/quorum"
)

// Limits of the log and of writes. A snapshot is made once the log has grown by the size of the last
// snapshot, so that writing snapshots costs no more than writing the log, however large the state is.
// The entries since then are held in memory and are applied again after a restart, so their number and
// their size are limited.
const (
	minSnapshotEntries = 2000     // minimum number of entries applied between snapshots, unless they are large
	maxSnapshotEntries = 10000    // entries after which a snapshot is made whatever its size
	maxSnapshotBytes   = 16 << 20 // the same for the size of the entries
	retainedEntries    = 500      // entries kept before a snapshot for members that are slightly behind
	writeRetryDelay    = time.Second
	writeStallTimeout  = 800 * time.Millisecond // a write that takes longer makes this VM's members passive until it ends
)

// ErrOutcomeUnknown is the result of a proposal whose entry may or may not become committed.
var ErrOutcomeUnknown = pj.Fail(pj.CodeOutcomeUnknown, "leadership was lost before the command was committed")

// Saver stores writes on another goroutine and calls done on the control goroutine. After runs a function there after a
// delay.
type Saver interface {
	Save(writes []pj.LogWrite, done func(error))
	After(delay time.Duration, run func())
}

// Options configure a Host.
type Options struct {
	VM              string
	Incarnation     string
	Saver           Saver
	Transport       pj.PeerTransport
	Clock           pj.Clock
	Rand            pj.Rand
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
	TermStep        uint64      // see quorum.Options
	OnWriteError    func(error) // called when a write has failed or stalled; this VM's members are passive until one succeeds
	OnSnapshotError func(error) // called when the state can't be encoded; the log then grows until a later snapshot succeeds
}

// Host runs this VM's members of all groups. All methods must be called on the control goroutine.
type Host struct {
	options        Options
	groups         map[string]*Group
	groupNames     []string // sorted
	writeInFlight  bool
	writeFailed    bool
	writeStalled   bool
	writeStartedAt time.Duration // start time of the write in progress
}

// New returns a Host without groups.
func New(options Options) *Host {
	return &Host{options: options, groups: make(map[string]*Group)}
}

// MemberID returns the member id of a VM whose data directory has the given incarnation.
func MemberID(vm, incarnation string) string {
	return vm + "/" + incarnation
}

// VMOf returns the VM part of a member id.
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
	host               *Host
	name               string
	core               *quorum.Core
	state              pj.StateMachine
	pendingProposals   map[uint64]proposal    // by index
	pendingReads       map[uint64]func(error) // by read id
	nextRead           uint64
	applied            uint64
	snapshotIndex      uint64 // index of the last snapshot
	snapshotBytes      int    // size of the last snapshot
	bytesSinceSnapshot int    // bytes of entries applied since the last snapshot
	nextSnapshot       uint64 // index before which no snapshot is tried, because the last try failed
	leadership         pj.Leadership
	serving            bool
	onLeadershipChange func(serving bool, term uint64)
	onApply            func()
}

// proposal is a command that waits to be committed.
type proposal struct {
	term uint64
	done func(pj.CommitResult)
}

// AddGroup starts this VM's member of a group with the state recovered from disk. onLeadershipChange is
// called when the member starts or stops leading with an up-to-date state, onApply after each change
// of the state and before its result is reported. Both may be nil.
func (h *Host) AddGroup(name string, rank int, state pj.StateMachine, recovered pj.RecoveredState,
	onLeadershipChange func(serving bool, term uint64), onApply func(),
) *Group {
	core := quorum.New(quorum.Options{
		Group: name, ID: h.ID(), Rank: rank, Rand: h.options.Rand,
		Heartbeat: h.options.Heartbeat, ElectionTimeout: h.options.ElectionTimeout, TermStep: h.options.TermStep,
	}, recovered, h.options.Clock.Now())
	g := &Group{
		host: h, name: name, core: core, state: state, onLeadershipChange: onLeadershipChange, onApply: onApply,
		pendingProposals: make(map[uint64]proposal), pendingReads: make(map[uint64]func(error)),
	}
	h.groups[name] = g
	h.groupNames = append(h.groupNames, name)
	slices.Sort(h.groupNames)
	return g
}

// Load returns what a store holds of a group, or an error if a member must not start from it.
func Load(store pj.LogStore, group string) (pj.RecoveredState, error) {
	recovered, err := store.Load(group)
	if err != nil {
		return pj.RecoveredState{}, err
	}
	if err := quorum.CheckEntries(recovered.Entries); err != nil {
		return pj.RecoveredState{}, fmt.Errorf("load group %s: %w", group, err)
	}
	return recovered, nil
}

// Group returns the member of the named group, or nil.
func (h *Host) Group(name string) *Group {
	return h.groups[name]
}

// Deliver processes messages from other VMs.
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
	if h.writeInFlight && !h.writeFailed && !h.writeStalled && now > h.writeStartedAt+writeStallTimeout {
		h.handleStalledWrite()
	}
	for _, name := range h.groupNames {
		h.groups[name].core.Tick(now)
	}
}

// handleStalledWrite makes this VM's members passive, because a leader whose disk hangs keeps its lease
// but commits nothing.
func (h *Host) handleStalledWrite() {
	h.writeStalled = true
	h.setPassive(true)
	if h.options.OnWriteError != nil {
		h.options.OnWriteError(fmt.Errorf("a write has taken more than %v", writeStallTimeout))
	}
	h.notifyLeadership()
}

// Flush sends, stores and applies all pending work. It is called after every batch of events.
func (h *Host) Flush() {
	for range 64 {
		if !h.flushOnce() {
			return
		}
	}
}

// flushOnce handles the work that is pending now and reports whether there may be more.
func (h *Host) flushOnce() bool {
	now := h.options.Clock.Now()
	outgoing := make(map[string][]pj.PeerMessage)
	if h.writeInFlight {
		for _, name := range h.groupNames {
			appendByVM(outgoing, h.groups[name].core.TakeImmediate(now))
		}
		h.send(outgoing)
		h.notifyLeadership()
		return false
	}
	var writes []pj.LogWrite
	readyByGroup := make(map[*Group]quorum.Ready)
	more := false
	for _, name := range h.groupNames {
		g := h.groups[name]
		r := g.core.Ready(now)
		appendByVM(outgoing, r.Immediate)
		readyByGroup[g] = r
		if r.Write != nil {
			writes = append(writes, *r.Write)
		}
		g.apply(r)
		more = more || len(r.Committed) > 0
	}
	h.send(outgoing)
	if len(writes) == 0 {
		h.advance(readyByGroup)
		h.notifyLeadership()
		return more
	}
	h.writeInFlight = true
	h.save(writes, readyByGroup)
	h.notifyLeadership()
	return !h.writeInFlight
}

func (h *Host) save(writes []pj.LogWrite, readyByGroup map[*Group]quorum.Ready) {
	h.writeStartedAt = h.options.Clock.Now()
	h.options.Saver.Save(writes, func(err error) {
		if err != nil {
			h.handleWriteError(err, writes, readyByGroup)
			return
		}
		if h.writeFailed || h.writeStalled {
			h.writeFailed, h.writeStalled = false, false
			h.setPassive(false)
		}
		h.writeInFlight = false
		h.advance(readyByGroup)
		h.Flush()
	})
}

// handleWriteError makes this VM's members passive and schedules a retry of the same write.
func (h *Host) handleWriteError(err error, writes []pj.LogWrite, readyByGroup map[*Group]quorum.Ready) {
	h.writeFailed = true
	h.setPassive(true)
	if h.options.OnWriteError != nil {
		h.options.OnWriteError(fmt.Errorf("store log: %w", err))
	}
	h.notifyLeadership()
	h.options.Saver.After(writeRetryDelay, func() { h.save(writes, readyByGroup) })
}

func (h *Host) setPassive(passive bool) {
	now := h.options.Clock.Now()
	for _, name := range h.groupNames {
		h.groups[name].core.SetPassive(now, passive)
	}
}

// Failing reports whether the last write to disk failed.
func (h *Host) Failing() bool {
	return h.writeFailed
}

// advance completes the groups' work after its writes have been synced, and sends the messages that
// waited for them.
func (h *Host) advance(readyByGroup map[*Group]quorum.Ready) {
	outgoing := make(map[string][]pj.PeerMessage)
	for _, name := range h.groupNames {
		g := h.groups[name]
		r, ok := readyByGroup[g]
		if !ok {
			continue
		}
		g.core.Advance(r)
		appendByVM(outgoing, r.Messages)
	}
	h.send(outgoing)
}

// appendByVM appends each message to the list of its destination VM.
func appendByVM(outgoing map[string][]pj.PeerMessage, messages []pj.PeerMessage) {
	for _, m := range messages {
		vm := VMOf(m.To)
		outgoing[vm] = append(outgoing[vm], m)
	}
}

func (h *Host) send(outgoing map[string][]pj.PeerMessage) {
	for vm, messages := range outgoing {
		h.options.Transport.Send(vm, messages)
	}
}

// notifyLeadership notifies the owners of all groups of gained and lost leadership.
func (h *Host) notifyLeadership() {
	for _, name := range h.groupNames {
		h.groups[name].notifyLeadership()
	}
}

// notifyLeadership fails pending operations when leadership is lost, and calls onLeadershipChange if
// the member has started or stopped serving or serves in a new term.
func (g *Group) notifyLeadership() {
	leadership := g.core.Leadership()
	serving := g.core.ReadyToServe()
	changed := serving != g.serving || (serving && leadership.Term != g.leadership.Term)
	if !leadership.IsLeader && len(g.pendingProposals)+len(g.pendingReads) > 0 {
		g.failPending()
	}
	g.leadership = leadership
	g.serving = serving
	if changed && g.onLeadershipChange != nil {
		g.onLeadershipChange(serving, leadership.Term)
	}
}

func (g *Group) failPending() {
	proposals, reads := g.pendingProposals, g.pendingReads
	g.pendingProposals = make(map[uint64]proposal)
	g.pendingReads = make(map[uint64]func(error))
	for _, p := range proposals {
		p.done(pj.CommitResult{Err: ErrOutcomeUnknown})
	}
	for _, done := range reads {
		done(quorum.ErrNotLeader)
	}
}

func (g *Group) apply(r quorum.Ready) {
	if r.Snapshot != nil {
		g.restore(r.Snapshot)
	}
	for _, e := range r.Committed {
		g.applyEntry(e)
	}
	if len(r.Committed) > 0 || r.Snapshot != nil {
		g.maybeSnapshot()
		g.useState()
	}
	for _, id := range r.Reads {
		if done, ok := g.pendingReads[id]; ok {
			delete(g.pendingReads, id)
			done(nil)
		}
	}
}

func (g *Group) restore(s *pj.LogSnapshot) {
	if err := g.state.Restore(s.Data); err != nil {
		// The snapshot passed its checksum but can't be decoded. Serving a wrong state would be worse than
		// stopping.
		panic(fmt.Sprintf("group %s: restore snapshot %d: %v", g.name, s.Index, err))
	}
	g.applied = s.Index
	g.snapshotIndex, g.snapshotBytes, g.bytesSinceSnapshot = s.Index, len(s.Data), 0
}

func (g *Group) applyEntry(e pj.LogEntry) {
	var result any
	if e.Kind == pj.EntryCommand {
		result = g.state.Apply(e.Index, e.Data)
	}
	g.applied = e.Index
	g.bytesSinceSnapshot += len(e.Data)
	p, ok := g.pendingProposals[e.Index]
	if !ok {
		return
	}
	delete(g.pendingProposals, e.Index)
	if p.term != e.Term {
		p.done(pj.CommitResult{Err: ErrOutcomeUnknown})
		return
	}
	g.useState()
	p.done(pj.CommitResult{Value: result})
}

// useState calls onApply.
func (g *Group) useState() {
	if g.onApply != nil {
		g.onApply()
	}
}

// snapshotDue reports whether the log has grown enough for a snapshot.
func (g *Group) snapshotDue() bool {
	entries, bytes := g.applied-g.snapshotIndex, g.bytesSinceSnapshot
	switch {
	case g.applied < g.nextSnapshot:
		return false
	case entries >= maxSnapshotEntries, bytes >= maxSnapshotBytes:
		return true
	}
	return entries >= minSnapshotEntries && bytes >= g.snapshotBytes
}

// maybeSnapshot snapshots the state and compacts the log if the log has grown enough.
func (g *Group) maybeSnapshot() {
	if !g.snapshotDue() {
		return
	}
	data, err := g.state.Snapshot()
	if err != nil {
		g.nextSnapshot = g.applied + minSnapshotEntries
		if g.host.options.OnSnapshotError != nil {
			g.host.options.OnSnapshotError(fmt.Errorf("group %s: snapshot at %d: %w", g.name, g.applied, err))
		}
		return
	}
	g.core.Compact(g.applied, data, retainedEntries)
	g.snapshotIndex, g.snapshotBytes, g.bytesSinceSnapshot = g.applied, len(data), 0
}

// Commit proposes a command. done is called on the control goroutine with the result.
func (g *Group) Commit(command []byte, done func(pj.CommitResult)) {
	index, term, err := g.core.Propose(command)
	if err != nil {
		done(pj.CommitResult{Err: pj.Refuse(pj.CodeNotLeader, "%s: %v", g.name, err)})
		return
	}
	g.pendingProposals[index] = proposal{term: term, done: done}
}

// Read calls done once the state includes everything that was committed before the call, or with an
// error if this member is not the leader or loses leadership.
func (g *Group) Read(done func(error)) {
	g.nextRead++
	id := g.nextRead
	g.pendingReads[id] = done
	if err := g.core.Read(g.host.options.Clock.Now(), id); err != nil {
		delete(g.pendingReads, id)
		done(err)
	}
}

// Leadership returns this member's view of the leader.
func (g *Group) Leadership() pj.Leadership {
	return g.core.Leadership()
}

// Serving reports whether this member is the leader, has an up-to-date state and holds the lease.
func (g *Group) Serving() bool {
	return g.core.ReadyToServe() && g.host.options.Clock.Now() < g.core.Leadership().LeaseUntil
}

// Applied returns the index of the last entry applied to the state.
func (g *Group) Applied() uint64 {
	return g.applied
}

// Membership returns the latest membership of the group, committed or not.
func (g *Group) Membership() pj.Membership {
	return g.core.Membership()
}

// Core returns the member's consensus core, for membership changes and leadership transfers.
func (g *Group) Core() *quorum.Core {
	return g.core
}
