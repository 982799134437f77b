package fleet

import (
	"maps"
	"slices"
	"time"

	pj "papayajunction"
)

// Parameters of the allotment planner.
const (
	cellReportTimeout = 5 * time.Second // a cell that has not reported for longer keeps its allotment
	headroomDivisor   = 8               // up to limit/headroomDivisor may stay unallotted without a rebalance
	minShrinkDivisor  = 32              // unless the limit is exceeded, an allotment shrinks only by more than limit/minShrinkDivisor
)

// Planner plans allotments from the latest reports of the cells. It runs on the fleet leader and is not
// replicated: a new leader starts without reports and requests full ones.
type Planner struct {
	reports   map[string]*cellReport
	cellNames []string // all cells of the fleet, in order
}

// cellReport is the state of a cell, as of its last full report and the partial ones since.
type cellReport struct {
	term       uint64
	receivedAt time.Duration
	capacity   pj.Resources
	demands    map[string]pj.CellDemand
}

// NewPlanner returns a planner for the named cells.
func NewPlanner(cells []string) *Planner {
	return &Planner{reports: make(map[string]*cellReport), cellNames: slices.Sorted(slices.Values(cells))}
}

// HandleReport stores a cell's report. If a full report is needed first, it stores nothing and returns true. Reports of
// an earlier term of the cell are ignored.
func (p *Planner) HandleReport(now time.Duration, r pj.AllotmentReport) (needFull bool) {
	last := p.reports[r.Cell]
	if last != nil && r.Term < last.term {
		return false
	}
	if last == nil || r.Full || r.Term > last.term {
		if !r.Full {
			return true
		}
		last = &cellReport{demands: make(map[string]pj.CellDemand)}
		p.reports[r.Cell] = last
	}
	last.term = r.Term
	last.receivedAt = now
	last.capacity = r.Capacity
	for _, d := range r.Demands {
		last.demands[d.Committed.Workspace] = d
	}
	return false
}

// Capacity returns the total capacity of all cells that have reported.
func (p *Planner) Capacity() pj.Resources {
	var sum pj.Resources
	for _, report := range p.reports {
		sum = sum.Add(report.capacity)
	}
	return sum
}

// RemoteUsage returns the usage of each workspace in all cells but the given one.
func (p *Planner) RemoteUsage(cell string) []pj.RemoteUsage {
	usage := make(map[string]pj.Resources)
	for name, report := range p.reports {
		if name == cell {
			continue
		}
		for workspace, d := range report.demands {
			usage[workspace] = usage[workspace].Add(d.Usage)
		}
	}
	remote := make([]pj.RemoteUsage, 0, len(usage))
	for _, workspace := range slices.Sorted(maps.Keys(usage)) {
		if !usage[workspace].IsZero() {
			remote = append(remote, pj.RemoteUsage{Workspace: workspace, Usage: usage[workspace]})
		}
	}
	return remote
}

// WorkspaceUsage returns a workspace's usage in all cells, and how many of its tasks and requests are waiting.
func (p *Planner) WorkspaceUsage(workspace string) (usage pj.Resources, waiting int) {
	for _, report := range p.reports {
		d := report.demands[workspace]
		usage = usage.Add(d.Usage)
		waiting += d.WaitingCount
	}
	return usage, waiting
}

// Plan returns the confirmations and allotment changes that result from the latest reports.
func (p *Planner) Plan(now time.Duration, s *State) (confirmations []AllotmentConfirmation, changes []AllotmentChange) {
	for _, workspace := range p.workspaces(s) {
		for _, cell := range p.cellNames {
			confirmations = p.appendConfirmation(s, workspace, cell, confirmations)
		}
		changes = p.planWorkspace(now, s, workspace, changes)
	}
	return confirmations, changes
}

func (p *Planner) workspaces(s *State) []string {
	names := make(map[string]struct{}, len(s.config.Workspaces))
	for name := range s.config.Workspaces {
		names[name] = struct{}{}
	}
	for name := range s.allotments {
		names[name] = struct{}{}
	}
	return slices.Sorted(maps.Keys(names))
}

func (p *Planner) appendConfirmation(s *State, workspace, cell string, confirmations []AllotmentConfirmation) []AllotmentConfirmation {
	report := p.reports[cell]
	if report == nil {
		return confirmations
	}
	current := s.allotments[workspace][cell]
	committed := report.demands[workspace].Committed
	if current.Seq != current.ConfirmedSeq && committed.Seq == current.Seq {
		confirmations = append(confirmations, AllotmentConfirmation{Cell: cell, Allotment: committed})
	}
	return confirmations
}

// planWorkspace shifts one workspace's limit to the cells that need it. Allotments shrink first; others grow once
// the cells have confirmed the decreases.
func (p *Planner) planWorkspace(now time.Duration, s *State, workspace string, changes []AllotmentChange) []AllotmentChange {
	limit := s.config.Workspaces[workspace].Limit
	targets := p.computeTargets(now, s, workspace, limit)
	unallotted := limit.Sub(s.totalMaxUsage(workspace))
	for _, cell := range p.cellNames {
		current := s.allotments[workspace][cell]
		target, reachable := targets[cell]
		if !reachable || current.Seq != current.ConfirmedSeq {
			continue
		}
		next := current.Confirmed
		for d := range next {
			if target[d] < next[d] {
				if next[d]-target[d] > limit[d]/minShrinkDivisor || unallotted[d] < 0 {
					next[d] = target[d]
				}
				continue
			}
			increase := min(target[d]-next[d], max(unallotted[d], 0))
			next[d] += increase
			unallotted[d] -= increase
		}
		if next == current.Confirmed {
			continue
		}
		changes = append(changes, AllotmentChange{
			Cell:      cell,
			Allotment: pj.Allotment{Workspace: workspace, Seq: current.Seq + 1, Value: next},
		})
	}
	return changes
}

// computeTargets returns the target allotment of each reachable cell: its current usage, then a share of the remaining
// limit in proportion to its waiting demand, then an equal share of what remains after that. Unreachable cells keep their allotments.
func (p *Planner) computeTargets(now time.Duration, s *State, workspace string, limit pj.Resources) map[string]pj.Resources {
	reachable := make([]string, 0, len(p.cellNames))
	available := limit
	for _, cell := range p.cellNames {
		if report := p.reports[cell]; report != nil && now <= report.receivedAt+cellReportTimeout {
			reachable = append(reachable, cell)
			continue
		}
		available = available.Sub(s.allotments[workspace][cell].maxUsage())
	}
	targets := make(map[string]pj.Resources, len(reachable))
	for d := range available {
		p.splitDimension(pj.Dimension(d), max(available[d], 0), workspace, reachable, targets)
	}
	return p.dampen(s, workspace, targets)
}

func (p *Planner) splitDimension(d pj.Dimension, remaining int64, workspace string, cells []string, targets map[string]pj.Resources) {
	assign := func(cell string, share int64) {
		t := targets[cell]
		t[d] += share
		targets[cell] = t
		remaining -= share
	}
	var totalWaiting int64
	for _, cell := range cells {
		demand := p.reports[cell].demands[workspace]
		assign(cell, min(demand.Usage[d], remaining))
		totalWaiting += demand.Waiting[d]
	}
	availableForWaiting := remaining
	for _, cell := range cells {
		waiting := p.reports[cell].demands[workspace].Waiting[d]
		if totalWaiting == 0 || waiting == 0 {
			continue
		}
		// Divides before multiplying, since the product of the two integers could overflow 64 bits.
		share := int64(float64(min(availableForWaiting, totalWaiting)) * (float64(waiting) / float64(totalWaiting)))
		assign(cell, min(share, remaining))
	}
	for i, cell := range cells {
		assign(cell, remaining/int64(len(cells)-i))
	}
}

// dampen keeps the current allotments of a dimension unless they exceed a limit that was lowered or needsRebalance is
// true, so that fluctuating usage does not cause constant changes.
func (p *Planner) dampen(s *State, workspace string, targets map[string]pj.Resources) map[string]pj.Resources {
	limit := s.config.Workspaces[workspace].Limit
	allotted := s.totalMaxUsage(workspace)
	for d := range limit {
		if allotted[d] > limit[d] || p.needsRebalance(pj.Dimension(d), s, workspace, targets, limit[d]-allotted[d]) {
			continue
		}
		for cell, t := range targets {
			t[d] = s.allotments[workspace][cell].Confirmed[d]
			targets[cell] = t
		}
	}
	return targets
}

// needsRebalance reports whether the allotment of a reachable cell is too small for its usage and waiting demand, or
// whether more than limit/headroomDivisor is not allotted to any cell.
func (p *Planner) needsRebalance(d pj.Dimension, s *State, workspace string, targets map[string]pj.Resources, unallotted int64) bool {
	if unallotted > s.config.Workspaces[workspace].Limit[d]/headroomDivisor {
		return true
	}
	for cell := range targets {
		demand := p.reports[cell].demands[workspace]
		if demand.Waiting[d] > 0 && demand.Usage[d]+demand.Waiting[d] > s.allotments[workspace][cell].Confirmed[d] {
			return true
		}
	}
	return false
}

// UnconfirmedAllotments returns the allotments of a cell whose last change the cell has not yet confirmed.
func (s *State) UnconfirmedAllotments(cell string) []pj.Allotment {
	var unconfirmed []pj.Allotment
	for _, workspace := range slices.Sorted(maps.Keys(s.allotments)) {
		a, ok := s.allotments[workspace][cell]
		if ok && a.Seq != a.ConfirmedSeq {
			unconfirmed = append(unconfirmed, pj.Allotment{Workspace: workspace, Seq: a.Seq, Value: a.Value})
		}
	}
	return unconfirmed
}
