package fleet

import (
	"maps"
	"slices"
	"time"

	pj "papayajunction"
)

// Times of the allotment planner.
const (
	cellSilent   = 5 * time.Second // after which a cell's allotment is left as it is
	headroomPart = 8               // a cell without demand may keep 1/headroomPart of the limit spare
	smallPart    = 32              // allotments shrink by no less than 1/smallPart of the limit
)

// Planner is the fleet leader's memory of what the cells last said. It is not replicated: a new
// leader starts empty and learns everything from full reports.
type Planner struct {
	cells map[string]*cellView
	names []string // all cells of the fleet, in order
}

type cellView struct {
	term     uint64
	heard    time.Duration
	capacity pj.Resources
	demands  map[string]pj.CellDemand
}

// NewPlanner returns a planner for the named cells.
func NewPlanner(cells []string) *Planner {
	return &Planner{cells: make(map[string]*cellView), names: slices.Sorted(slices.Values(cells))}
}

// Hear takes in a report and tells whether a full one is needed.
func (p *Planner) Hear(now time.Duration, r pj.AllotmentReport) (needFull bool) {
	v := p.cells[r.Cell]
	if v != nil && r.Term < v.term {
		return false
	}
	if v == nil || r.Full || r.Term > v.term {
		if !r.Full {
			return true
		}
		v = &cellView{demands: make(map[string]pj.CellDemand)}
		p.cells[r.Cell] = v
	}
	v.term = r.Term
	v.heard = now
	v.capacity = r.Capacity
	for _, d := range r.Demands {
		v.demands[d.Committed.Workspace] = d
	}
	return false
}

// Capacity returns the capacity of all cells that were heard.
func (p *Planner) Capacity() pj.Resources {
	var sum pj.Resources
	for _, v := range p.cells {
		sum = sum.Add(v.capacity)
	}
	return sum
}

// Remote returns what each workspace has running in the other cells.
func (p *Planner) Remote(cell string) []pj.RemoteUse {
	use := make(map[string]pj.Resources)
	for name, v := range p.cells {
		if name == cell {
			continue
		}
		for workspace, d := range v.demands {
			use[workspace] = use[workspace].Add(d.Use)
		}
	}
	remote := make([]pj.RemoteUse, 0, len(use))
	for _, workspace := range slices.Sorted(maps.Keys(use)) {
		if !use[workspace].IsZero() {
			remote = append(remote, pj.RemoteUse{Workspace: workspace, Use: use[workspace]})
		}
	}
	return remote
}

// Use returns what each workspace has running in all cells, and how much waits.
func (p *Planner) Use(workspace string) (use pj.Resources, waiting int) {
	for _, v := range p.cells {
		d := v.demands[workspace]
		use = use.Add(d.Use)
		waiting += d.Count
	}
	return use, waiting
}

// Plan returns the confirmations and changes that follow from the latest reports.
func (p *Planner) Plan(now time.Duration, s *State) (confirms []AllotConfirm, changes []AllotChange) {
	for _, workspace := range p.workspaces(s) {
		for _, cell := range p.names {
			confirms = p.confirmOne(s, workspace, cell, confirms)
		}
		changes = p.planWorkspace(now, s, workspace, changes)
	}
	return confirms, changes
}

func (p *Planner) workspaces(s *State) []string {
	names := make(map[string]struct{}, len(s.config.Workspaces))
	for name := range s.config.Workspaces {
		names[name] = struct{}{}
	}
	for name := range s.escrows {
		names[name] = struct{}{}
	}
	return slices.Sorted(maps.Keys(names))
}

func (p *Planner) confirmOne(s *State, workspace, cell string, confirms []AllotConfirm) []AllotConfirm {
	v := p.cells[cell]
	if v == nil {
		return confirms
	}
	held := s.escrows[workspace][cell]
	committed := v.demands[workspace].Committed
	if held.Seq != held.ConfirmedSeq && committed.Seq == held.Seq {
		confirms = append(confirms, AllotConfirm{Cell: cell, Allotment: committed})
	}
	return confirms
}

// planWorkspace moves one workspace's limit towards the cells that need it. First allotments
// shrink, then, once the cells have confirmed, others grow.
func (p *Planner) planWorkspace(now time.Duration, s *State, workspace string, changes []AllotChange) []AllotChange {
	limit := s.config.Workspaces[workspace].Limit
	targets := p.targets(now, s, workspace, limit)
	free := limit.Sub(s.sumOfBounds(workspace))
	for _, cell := range p.names {
		held := s.escrows[workspace][cell]
		target, reachable := targets[cell]
		if !reachable || held.Seq != held.ConfirmedSeq {
			continue
		}
		next := held.Confirmed
		for d := range next {
			if target[d] < next[d] {
				if next[d]-target[d] > limit[d]/smallPart || free[d] < 0 {
					next[d] = target[d]
				}
				continue
			}
			grow := min(target[d]-next[d], max(free[d], 0))
			next[d] += grow
			free[d] -= grow
		}
		if next == held.Confirmed {
			continue
		}
		changes = append(changes, AllotChange{
			Cell:      cell,
			Allotment: pj.Allotment{Workspace: workspace, Seq: held.Seq + 1, Value: next},
		})
	}
	return changes
}

// targets returns where each reachable cell's allotment should go: what it uses, then what it
// waits for in proportion, then equal parts of the rest. Cells that can't be reached keep theirs.
func (p *Planner) targets(now time.Duration, s *State, workspace string, limit pj.Resources) map[string]pj.Resources {
	reachable := make([]string, 0, len(p.names))
	rest := limit
	for _, cell := range p.names {
		if v := p.cells[cell]; v != nil && now <= v.heard+cellSilent {
			reachable = append(reachable, cell)
			continue
		}
		rest = rest.Sub(s.escrows[workspace][cell].bound())
	}
	targets := make(map[string]pj.Resources, len(reachable))
	for d := range rest {
		p.splitDimension(pj.Dimension(d), max(rest[d], 0), workspace, reachable, targets)
	}
	return p.steady(s, workspace, targets)
}

func (p *Planner) splitDimension(d pj.Dimension, amount int64, workspace string, cells []string, targets map[string]pj.Resources) {
	give := func(cell string, part int64) {
		t := targets[cell]
		t[d] += part
		targets[cell] = t
		amount -= part
	}
	var wanted int64
	for _, cell := range cells {
		demand := p.cells[cell].demands[workspace]
		give(cell, min(demand.Use[d], amount))
		wanted += demand.Waiting[d]
	}
	left := amount
	for _, cell := range cells {
		waiting := p.cells[cell].demands[workspace].Waiting[d]
		if wanted == 0 || waiting == 0 {
			continue
		}
		// In parts so that the product stays within 64 bits.
		part := int64(float64(min(left, wanted)) * (float64(waiting) / float64(wanted)))
		give(cell, min(part, amount))
	}
	for i, cell := range cells {
		give(cell, amount/int64(len(cells)-i))
	}
}

// steady keeps allotments as they are unless a cell waits for more than it has or the limit fell,
// so that use which wavers causes no stream of changes.
func (p *Planner) steady(s *State, workspace string, targets map[string]pj.Resources) map[string]pj.Resources {
	limit := s.config.Workspaces[workspace].Limit
	allotted := s.sumOfBounds(workspace)
	for d := range limit {
		if allotted[d] > limit[d] || p.needs(pj.Dimension(d), s, workspace, targets, limit[d]-allotted[d]) {
			continue
		}
		for cell, t := range targets {
			t[d] = s.escrows[workspace][cell].Confirmed[d]
			targets[cell] = t
		}
	}
	return targets
}

// needs reports whether a reachable cell lacks room for what it uses and waits for, or whether a
// good part of the limit isn't allotted to any cell yet.
func (p *Planner) needs(d pj.Dimension, s *State, workspace string, targets map[string]pj.Resources, free int64) bool {
	if free > s.config.Workspaces[workspace].Limit[d]/headroomPart {
		return true
	}
	for cell := range targets {
		demand := p.cells[cell].demands[workspace]
		if demand.Waiting[d] > 0 && demand.Use[d]+demand.Waiting[d] > s.escrows[workspace][cell].Confirmed[d] {
			return true
		}
	}
	return false
}

// Targets returns the allotments that a cell has not committed yet.
func (s *State) Targets(cell string) []pj.Allotment {
	var targets []pj.Allotment
	for _, workspace := range slices.Sorted(maps.Keys(s.escrows)) {
		e, ok := s.escrows[workspace][cell]
		if ok && e.Seq != e.ConfirmedSeq {
			targets = append(targets, pj.Allotment{Workspace: workspace, Seq: e.Seq, Value: e.Value})
		}
	}
	return targets
}
