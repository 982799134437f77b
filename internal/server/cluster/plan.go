package cluster

import (
	"slices"

	pj "papayajunction"
	control "papayajunction/internal/control/replica"
)

// Sizes of the group.
const (
	votersMost  = 5 // further replicas receive the log and wait for a place
	votersLeast = 3 // a silent voter isn't removed from a group of this size, unless another takes its place
)

// changeKind names a change of the membership.
type changeKind string

// The changes of the membership.
const (
	changeNone    changeKind = ""
	changeLearn   changeKind = "learner"
	changePromote changeKind = "voter"
	changeRemove  changeKind = "removed"
)

// memberChange is the next change that a leader makes.
type memberChange struct {
	kind changeKind
	id   string
	why  string
}

// planChange returns the next step towards a group in which all joiners have a place and no silent voter weakens the
// majority. A joiner becomes a learner, then, once it has caught up, a voter; the voter that it replaces leaves before.
func planChange(m pj.Membership, joiners []string, alive, caughtUp func(id string) bool) memberChange {
	for _, id := range joiners {
		if !slices.Contains(m.Learners, id) {
			return memberChange{kind: changeLearn, id: id, why: "it asked to join"}
		}
		if !alive(id) || !caughtUp(id) {
			continue
		}
		old := replacedBy(m, id, alive)
		switch {
		case old != "" && majorityWithout(m, old, alive):
			return memberChange{kind: changeRemove, id: old, why: "replaced by " + id}
		case old == "" && len(m.Voters) < votersMost:
			return memberChange{kind: changePromote, id: id, why: "it has caught up"}
		}
	}
	if len(m.Voters) <= votersLeast {
		return memberChange{}
	}
	for _, id := range m.Voters {
		if !alive(id) && majorityWithout(m, id, alive) {
			return memberChange{kind: changeRemove, id: id, why: "it is silent and enough others are there"}
		}
	}
	return memberChange{}
}

// replacedBy returns the voter whose place a learner takes: an earlier identity of the same VM, or one that is silent.
func replacedBy(m pj.Membership, id string, alive func(id string) bool) string {
	for _, voter := range m.Voters {
		if control.VMOf(voter) == control.VMOf(id) {
			return voter
		}
	}
	for _, voter := range m.Voters {
		if !alive(voter) {
			return voter
		}
	}
	return ""
}

// majorityWithout reports whether a majority of the voters answers once one of them has been removed.
func majorityWithout(m pj.Membership, removed string, alive func(id string) bool) bool {
	answering := 0
	for _, id := range m.Voters {
		if id != removed && alive(id) {
			answering++
		}
	}
	return answering >= (len(m.Voters)-1)/2+1
}
