package papayajunction

import "time"

// EntryKind is the type of a log entry.
type EntryKind uint8

// The kinds of log entry.
const (
	EntryCommand    EntryKind = iota // a command for the state machine
	EntryNoOp                        // a no-op, the first entry that a new leader appends
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

// HardState is the part of a member's state, besides log and snapshot, that must survive restarts.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// PeerMessageKind is the type of a PeerMessage.
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
	MessageTimeoutNow // leadership transfer: the receiver starts an election at once
)

// PeerMessage is one message between two members of a group.
type PeerMessage struct {
	Kind               PeerMessageKind
	Group              string
	From               string
	To                 string
	Term               uint64
	Index              uint64 // append: the entry before Entries; vote: the candidate's last entry; append reply: the last entry that matches, or with Reject: that may match
	LogTerm            uint64 // term of the entry at Index; not in append replies without Reject
	Commit             uint64
	Round              uint64 // the leader's heartbeat round to which this message or reply belongs
	Reject             bool
	LeadershipTransfer bool // vote: the election was started by a leadership transfer, so it is not rejected because that leader is alive
	Stopping           bool // append reply: the sender's process is about to end, so it doesn't take over the leadership
	Entries            []LogEntry
	Snapshot           *LogSnapshot
}

// LogWrite is what one group stores in one write.
type LogWrite struct {
	Group          string
	State          *HardState
	Entries        []LogEntry // replace all stored entries from the first one's index on
	Snapshot       *LogSnapshot
	CompactThrough uint64 // with Snapshot: entries up to this index are deleted
	Reset          bool   // with Snapshot: all stored entries are deleted first
}

// RecoveredState is the stored state of one group, as loaded from a LogStore.
type RecoveredState struct {
	State    HardState
	Snapshot *LogSnapshot // nil if the group was never started on this VM
	Entries  []LogEntry
}

// LogStore stores the logs of all groups of a process. Save returns once everything is synced to disk.
type LogStore interface {
	Load(group string) (RecoveredState, error)
	Save(writes []LogWrite) error
}

// PeerTransport sends messages to other VMs without blocking; messages may be lost or reordered.
type PeerTransport interface {
	Send(vm string, messages []PeerMessage)
}

// Rand is a source of random numbers.
type Rand interface {
	Int64N(n int64) int64
}

// Leadership is a member's view of its group's leader.
type Leadership struct {
	Term       uint64
	Leader     string        // member id, or "" if unknown
	IsLeader   bool          // this member is the leader
	LeaseUntil time.Duration // with IsLeader: end of the leader lease; no other leader can exist before
}
