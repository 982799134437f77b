package fleet

import (
	pj "papayajunction"
)

// cellAllotment is the allotment of one workspace in one cell. While Seq and ConfirmedSeq differ, the
// cell may be using either value, so maxUsage takes the larger of the two in each dimension.
type cellAllotment struct {
	Seq          uint64       `json:"seq"`
	Value        pj.Resources `json:"value"`
	ConfirmedSeq uint64       `json:"confirmed_seq"`
	Confirmed    pj.Resources `json:"confirmed"`
}

// maxUsage returns the maximum usage that the cell may have.
func (a cellAllotment) maxUsage() pj.Resources {
	if a.Seq == a.ConfirmedSeq {
		return a.Confirmed
	}
	return a.Value.Max(a.Confirmed)
}

// changeAllotments records changes and returns how many were accepted. A change is refused if its sequence number
// is not the next, if the previous change is still unconfirmed, or if it would raise the total that all cells may
// be using above the workspace's upper limit.
func (s *State) changeAllotments(changes []AllotmentChange) int {
	accepted := 0
	for _, c := range changes {
		if s.changeAllotment(c) {
			accepted++
		}
	}
	return accepted
}

func (s *State) changeAllotment(c AllotmentChange) bool {
	current := s.allotments[c.Workspace][c.Cell]
	if c.Seq != current.Seq+1 || current.Seq != current.ConfirmedSeq {
		return false
	}
	next := current
	next.Seq = c.Seq
	next.Value = c.Value
	limit := s.config.Workspaces[c.Workspace].Limit
	newTotal := s.totalMaxUsage(c.Workspace).Sub(current.maxUsage()).Add(next.maxUsage())
	for d := range newTotal {
		if next.maxUsage()[d] > current.maxUsage()[d] && newTotal[d] > limit[d] {
			return false
		}
	}
	if s.allotments[c.Workspace] == nil {
		s.allotments[c.Workspace] = make(map[string]cellAllotment)
	}
	s.allotments[c.Workspace][c.Cell] = next
	return true
}

// confirmAllotments records the values that cells committed and returns how many were accepted. A cell may
// commit a larger value than requested, because running work stays allotted to it.
func (s *State) confirmAllotments(confirmations []AllotmentConfirmation) int {
	accepted := 0
	for _, c := range confirmations {
		current, ok := s.allotments[c.Workspace][c.Cell]
		if !ok || c.Seq != current.Seq || current.Seq == current.ConfirmedSeq {
			continue
		}
		current.ConfirmedSeq = c.Seq
		current.Confirmed = c.Value
		current.Value = current.Confirmed
		s.allotments[c.Workspace][c.Cell] = current
		accepted++
	}
	return accepted
}

func (s *State) totalMaxUsage(workspace string) pj.Resources {
	var sum pj.Resources
	for _, a := range s.allotments[workspace] {
		sum = sum.Add(a.maxUsage())
	}
	return sum
}

// Allotted returns the maximum that all cells together may be using of a workspace's limit.
func (s *State) Allotted(workspace string) pj.Resources {
	return s.totalMaxUsage(workspace)
}
