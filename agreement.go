package papayajunction

import "time"

// EntryKind says what a log entry carries.
type EntryKind uint8

// The kinds of log entry.
const (
	EntryCommand    EntryKind = iota // a command for the replicated state
	EntryEmpty                       // the first entry of a new leader
	EntryMembership                  // a Membership as JSON
)

// LogEntry is one entry of a replicated log.
type LogEntry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Membership lists the members of a group by member id, which is "<VM>/<incarnation>".
// Learners receive the log and have no vote.
type Membership struct {
	Voters   []string `json:"voters"`
	Learners []string `json:"learners,omitempty"`
}

// LogSnapshot is the state of a group up to and including Index.
type LogSnapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// HardState is what a member must remember across restarts besides log and snapshot.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// PeerMessageKind says what a PeerMessage is for.
type PeerMessageKind uint8

// The kinds of message between the members of a group.
const (
	MessagePreVote PeerMessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	MessageElectNow // asks the receiver to stand for election at once
)

// PeerMessage is one message between two members of a group.
type PeerMessage struct {
	Kind     PeerMessageKind
	Group    string
	From     string
	To       string
	Term     uint64
	Index    uint64 // append: entry before Entries; vote: last entry; reply: last entry that matches
	LogTerm  uint64 // term of the entry at Index
	Commit   uint64
	Round    uint64 // the leader's round that this message belongs to or answers
	Reject   bool
	Forced   bool // vote asked for by the leader itself, so a live leader is no ground for refusal
	Entries  []LogEntry
	Snapshot *LogSnapshot
}

// LogWrite is what one group has to store in one step.
type LogWrite struct {
	Group     string
	State     *HardState
	Entries   []LogEntry // replace everything from the first entry's index on
	Snapshot  *LogSnapshot
	KeepAfter uint64 // with Snapshot: entries up to this index are dropped
	Reset     bool   // with Snapshot: all entries are dropped first
}

// Recovered is what a LogStore holds of one group.
type Recovered struct {
	State    HardState
	Snapshot *LogSnapshot // nil if the group was never started here
	Entries  []LogEntry
}

// LogStore keeps the logs of all groups of a process. Save returns once everything is synced.
type LogStore interface {
	Load(group string) (Recovered, error)
	Save(writes []LogWrite) error
}

// PeerTransport sends messages to other VMs without waiting; messages may be lost or reordered.
type PeerTransport interface {
	Send(vm string, messages []PeerMessage)
}

// Rand is a source of random numbers.
type Rand interface {
	Int64N(n int64) int64
}

// Lead is a member's view of its group's leader.
type Lead struct {
	Term       uint64
	Leader     string        // member id, or "" if unknown
	IsLeader   bool          // this member is the leader
	LeaseUntil time.Duration // with IsLeader: no other leader can exist before this time
}
