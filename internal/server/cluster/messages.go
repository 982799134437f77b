package cluster

import (
	pj "papayajunction"
)

// Names of operations between VMs.
const (
	opHello     = "hello"
	opJoin      = "join"
	opSync      = "sync"
	opAdvise    = "advise"
	opSubmit    = "submit"
	opCancel    = "cancel"
	opState     = "state"
	opWaiting   = "waiting"
	opPublish   = "publish"
	opReadRules = "read_rules"
	opAnnounce  = "announce"
	opLeave     = "leave"
	opOrders    = "orders"
	opAnswers   = "answers"

	opKnownState = "known_state"
	opKnownRules = "known_rules"
)

// helloReply tells the identity of a VM's data folder and whether the group was started there.
type helloReply struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Started     bool   `json:"started"`
}

// joinRequest asks the leader to make a VM a member of the group.
type joinRequest struct {
	Member string `json:"member"`
}

// syncRequest asks for rules newer than Version, and says who asks.
type syncRequest struct {
	VM      string `json:"vm"`
	Rank    int    `json:"rank"`
	Zone    string `json:"zone,omitempty"`
	Region  string `json:"region,omitempty"`
	Replica bool   `json:"replica,omitempty"`
	Version int64  `json:"version"`
	Have    bool   `json:"have"`
	Lean    bool   `json:"lean,omitempty"` // newer rules are left out if a replica can give them
}

// syncReply names the version in force, with the rules if the VM hasn't them, and the group's VMs.
type syncReply struct {
	Version int64       `json:"version"`
	Rules   *pj.Ruleset `json:"rules,omitempty"`
	Newer   bool        `json:"newer,omitempty"` // the VM hasn't these rules, and they were left out
	Members []string    `json:"members"`
	Applied uint64      `json:"applied"`        // index up to which the leader has applied the log
	Near    string      `json:"near,omitempty"` // the replica that answers this VM for the leader; empty if the leader does itself
}

// workflowQuery names a workflow of a workspace; an empty workspace stands for any.
type workflowQuery struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace,omitempty"`
}

// adviseRequest asks a VM to ask the queue's policy.
type adviseRequest struct {
	Step    pj.StepID `json:"step"`
	Workers []string  `json:"workers"`
	WaitMS  int64     `json:"wait_ms"`
}

// published tells the version of the rules in force.
type published struct {
	Version int64 `json:"version"`
}
