package fleet

import (
	pj "papayajunction"
)

// escrow is the allotment of one workspace in one cell. While Seq and ConfirmedSeq differ, the
// cell may be using either value, so both count.
type escrow struct {
	Seq          uint64       `json:"seq"`
	Value        pj.Resources `json:"value"`
	ConfirmedSeq uint64       `json:"confirmed_seq"`
	Confirmed    pj.Resources `json:"confirmed"`
}

// bound returns the most that the cell may be using.
func (e escrow) bound() pj.Resources {
	if e.Seq == e.ConfirmedSeq {
		return e.Confirmed
	}
	return e.Value.Max(e.Confirmed)
}

// allot records changes. A change is refused if one is still unconfirmed, or if it would let the
// bounds of all cells together grow beyond the workspace's upper limit.
func (s *State) allot(changes []AllotChange) int {
	accepted := 0
	for _, c := range changes {
		if s.allotOne(c) {
			accepted++
		}
	}
	return accepted
}

func (s *State) allotOne(c AllotChange) bool {
	held := s.escrows[c.Workspace][c.Cell]
	if c.Seq != held.Seq+1 || held.Seq != held.ConfirmedSeq {
		return false
	}
	next := held
	next.Seq = c.Seq
	next.Value = c.Value
	limit := s.config.Workspaces[c.Workspace].Limit
	grown := s.sumOfBounds(c.Workspace).Sub(held.bound()).Add(next.bound())
	for d := range grown {
		if next.bound()[d] > held.bound()[d] && grown[d] > limit[d] {
			return false
		}
	}
	if s.escrows[c.Workspace] == nil {
		s.escrows[c.Workspace] = make(map[string]escrow)
	}
	s.escrows[c.Workspace][c.Cell] = next
	return true
}

// confirm records what cells committed. A cell may commit more than it was asked to go down to,
// because its running work stays counted.
func (s *State) confirm(confirms []AllotConfirm) int {
	accepted := 0
	for _, c := range confirms {
		held, ok := s.escrows[c.Workspace][c.Cell]
		if !ok || c.Seq != held.Seq || held.Seq == held.ConfirmedSeq {
			continue
		}
		held.ConfirmedSeq = c.Seq
		held.Confirmed = c.Value
		held.Value = held.Confirmed
		s.escrows[c.Workspace][c.Cell] = held
		accepted++
	}
	return accepted
}

func (s *State) sumOfBounds(workspace string) pj.Resources {
	var sum pj.Resources
	for _, e := range s.escrows[workspace] {
		sum = sum.Add(e.bound())
	}
	return sum
}

// Allotted returns the most that the cells together may be using of a workspace's limit.
func (s *State) Allotted(workspace string) pj.Resources {
	return s.sumOfBounds(workspace)
}
