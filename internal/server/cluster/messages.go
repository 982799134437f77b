package cluster

import (
	pj "papayajunction"
)

// Names of the operations that VMs call on each other.
const (
	opHello        = "hello"
	opJoin         = "join"
	opSync         = "sync"
	opAdvise       = "advise"
	opSubmit       = "submit"
	opCancel       = "cancel"
	opState        = "state"
	opWaiting      = "waiting"
	opPublish      = "publish"
	opReadRules    = "read_rules"
	opAnnounce     = "announce"
	opLeave        = "leave"
	opOrders       = "orders"
	opOrderResults = "answers"

	// Reads that a replica serves from its own state.
	opReplicaState = "known_state"
	opReplicaRules = "known_rules"
)

// helloReply contains the incarnation of a VM's data directory and whether the group was started there.
type helloReply struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Started     bool   `json:"started"`
}

// joinRequest is a VM's request to the leader to become a member of the group.
type joinRequest struct {
	Member string `json:"member"`
}

// syncRequest requests rules newer than Version, and describes the VM that sends it.
type syncRequest struct {
	VM           string `json:"vm"`
	Rank         int    `json:"rank"`
	Zone         string `json:"zone,omitempty"`
	Region       string `json:"region,omitempty"`
	Replica      bool   `json:"replica,omitempty"`
	Version      int64  `json:"version"`
	HasRules     bool   `json:"have"`
	Stopping     bool   `json:"stopping,omitempty"` // the VM is shutting down
	MayOmitRules bool   `json:"lean,omitempty"`     // the leader omits newer rules if a replica can serve them
}

// syncReply contains the version in force, the rules if the VM doesn't have them, and the group's VMs.
type syncReply struct {
	Version      int64       `json:"version"`
	Rules        *pj.Ruleset `json:"rules,omitempty"`
	RulesOmitted bool        `json:"newer,omitempty"` // the VM doesn't have the rules of this version, and must fetch them from a replica
	Members      []string    `json:"members"`
	Applied      uint64      `json:"applied"`        // log index that the leader has applied
	ReadReplica  string      `json:"near,omitempty"` // the replica that serves this VM's reads; empty if the leader serves them itself
}

// workflowQuery identifies a workflow, and what the caller may reach.
type workflowQuery struct {
	pj.Reach

	ID string `json:"id"`
}

// key returns the query as a key of maps.
func (q workflowQuery) key() string {
	return q.Workspace + " " + q.Origin + q.ID
}

// adviseRequest is the leader's request to a VM to query the queue's policy.
type adviseRequest struct {
	Step      pj.StepID `json:"step"`
	Workers   []string  `json:"workers"`
	TimeoutMS int64     `json:"wait_ms"`
}

// publishReply contains the version of the rules in force.
type publishReply struct {
	Version int64 `json:"version"`
}

// leaveReply tells whether runs of a worker that leaves may still go on. The call is then to be repeated.
type leaveReply struct {
	Pending bool `json:"pending,omitempty"`
}
