package cluster

import (
	"slices"

	pj "papayajunction"
	control "papayajunction/internal/control/replica"
)

// Limits of the number of voters.
const (
	maxVoters = 5 // further replicas remain learners until a voter leaves
	minVoters = 3 // in a group of at most this size an unresponsive voter is only removed if a learner replaces it
)

// changeKind is a kind of membership change.
type changeKind string

// Kinds of membership changes.
const (
	changeNone       changeKind = ""
	changeAddLearner changeKind = "learner"
	changePromote    changeKind = "voter"
	changeRemove     changeKind = "removed"
)

// memberChange is one membership change and the reason for it.
type memberChange struct {
	kind   changeKind
	id     string
	reason string
}

// planChange returns the next membership change, if any, towards a group that includes all joiners, up to maxVoters, and no
// unresponsive voters. A joiner is added as a learner and promoted to voter once it has caught up; a voter that it replaces
// is removed first.
func planChange(m pj.Membership, joiners []string, alive, caughtUp func(id string) bool) memberChange {
	for _, id := range joiners {
		if !slices.Contains(m.Learners, id) {
			return memberChange{kind: changeAddLearner, id: id, reason: "requested to join"}
		}
		if !alive(id) || !caughtUp(id) {
			continue
		}
		old := replacedBy(m, id, alive)
		switch {
		case old != "" && majorityWithout(m, old, alive):
			return memberChange{kind: changeRemove, id: old, reason: "replaced by " + id}
		case old == "" && len(m.Voters) < maxVoters:
			return memberChange{kind: changePromote, id: id, reason: "caught up"}
		}
	}
	if len(m.Voters) <= minVoters {
		return memberChange{}
	}
	for _, id := range m.Voters {
		if !alive(id) && majorityWithout(m, id, alive) {
			return memberChange{kind: changeRemove, id: id, reason: "unresponsive, and a majority remains without it"}
		}
	}
	return memberChange{}
}

// replacedBy returns the voter that a learner replaces, "" if there is none: an earlier incarnation of the same VM, else an
// unresponsive voter.
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

// majorityWithout reports whether a majority of the remaining voters is alive once one voter has been removed.
func majorityWithout(m pj.Membership, removed string, alive func(id string) bool) bool {
	aliveCount := 0
	for _, id := range m.Voters {
		if id != removed && alive(id) {
			aliveCount++
		}
	}
	return aliveCount >= (len(m.Voters)-1)/2+1
}
