// Package fairness tracks the resource usage of workspaces and orders them by weighted dominant
// share (dominant resource fairness, Ghodsi et al., 2011) over the whole fleet.
package fairness

import (
	pj "papayajunction"
)

// Ledger holds the resource usage of the workspaces of one cell. The zero value has no workspaces
// and no capacity.
type Ledger struct {
	capacity    pj.Resources // of the whole fleet
	accounts    map[string]*account
	totalWeight float64 // sum over the workspaces whose weight was set
}

type account struct {
	weight      float64
	weightSet   bool         // SetWeight was called
	limit       pj.Resources // maximum usage in this cell
	localUsage  pj.Resources // usage in this cell
	remoteUsage pj.Resources // usage in other cells, as last reported
}

var _ pj.FairnessPolicy = (*Ledger)(nil)

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{accounts: make(map[string]*account)}
}

func (l *Ledger) account(workspace string) *account {
	a := l.accounts[workspace]
	if a == nil {
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		a = &account{weight: 1}
		l.accounts[workspace] = a
	}
	return a
}

// SetCapacity sets the capacity of the whole fleet, relative to which shares are computed.
func (l *Ledger) SetCapacity(total pj.Resources) {
	l.capacity = total
}

// Capacity returns the capacity of the whole fleet.
func (l *Ledger) Capacity() pj.Resources {
	return l.capacity
}

// SetWeight sets a workspace's weight. A weight that is not positive withdraws it, as for a workspace that was deleted:
// what still runs for the workspace counts with weight 1, and its weight no longer lowers the fair share of the others.
func (l *Ledger) SetWeight(workspace string, weight float64) {
	a := l.account(workspace)
	a.weight, a.weightSet = weight, weight > 0
	if !a.weightSet {
		a.weight = 1
	}
	l.totalWeight = 0
	for _, other := range l.accounts {
		if other.weightSet {
			l.totalWeight += other.weight
		}
	}
}

// WithinFairShare reports whether the workspace's usage is below its fair share: the fraction of the
// fleet that its weight entitles it to while all workspaces have enough work.
func (l *Ledger) WithinFairShare(workspace string) bool {
	return l.totalWeight <= 0 || l.Share(workspace)*l.totalWeight < 1
}

// Weight returns a workspace's weight, which is 1 unless set.
func (l *Ledger) Weight(workspace string) float64 {
	return l.account(workspace).weight
}

// SetLimit sets the maximum usage of the workspace in this cell.
func (l *Ledger) SetLimit(workspace string, limit pj.Resources) {
	l.account(workspace).limit = limit
}

// Limit returns the maximum usage of the workspace in this cell.
func (l *Ledger) Limit(workspace string) pj.Resources {
	return l.account(workspace).limit
}

// SetRemoteUsage sets the workspace's usage in other cells.
func (l *Ledger) SetRemoteUsage(workspace string, usage pj.Resources) {
	l.account(workspace).remoteUsage = usage
}

// Charge adds the amount to the workspace's usage in this cell.
func (l *Ledger) Charge(workspace string, amount pj.Resources) {
	a := l.account(workspace)
	a.localUsage = a.localUsage.Add(amount)
}

// Refund subtracts an amount that was charged.
func (l *Ledger) Refund(workspace string, amount pj.Resources) {
	a := l.account(workspace)
	a.localUsage = a.localUsage.Sub(amount)
}

// Usage returns the workspace's usage in this cell.
func (l *Ledger) Usage(workspace string) pj.Resources {
	return l.account(workspace).localUsage
}

// Allows reports whether the workspace stays within its limit in this cell if its usage grows by
// the amount.
func (l *Ledger) Allows(workspace string, amount pj.Resources) bool {
	a := l.account(workspace)
	after := a.localUsage.Add(amount)
	for d := range amount {
		if amount[d] > 0 && after[d] > a.limit[d] {
			return false
		}
	}
	return true
}

// Share returns the workspace's dominant share of the fleet divided by its weight.
func (l *Ledger) Share(workspace string) float64 {
	a := l.account(workspace)
	return a.localUsage.Add(a.remoteUsage).DominantShare(l.capacity) / a.weight
}

// EachWorkspace calls visit for each workspace with its usage and limit in this cell.
func (l *Ledger) EachWorkspace(visit func(workspace string, usage, limit pj.Resources)) {
	for name, a := range l.accounts {
		visit(name, a.localUsage, a.limit)
	}
}
