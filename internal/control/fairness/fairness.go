// Package fairness keeps account of what every workspace uses and orders workspaces by weighted
// dominant share (dominant resource fairness, Ghodsi et al., 2011) over the whole fleet.
package fairness

import (
	pj "papayajunction"
)

// Ledger is the account of one cell. The zero value has no workspaces and no capacity.
type Ledger struct {
	capacity pj.Resources // of the whole fleet
	accounts map[string]*account
	weights  float64 // of all workspaces whose weight was set
}

type account struct {
	weight float64
	listed bool         // its weight was set
	limit  pj.Resources // what this cell may use
	local  pj.Resources
	remote pj.Resources // used in other cells, as last heard
}

var _ pj.Orderer = (*Ledger)(nil)

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

// SetCapacity sets the capacity of the whole fleet, which shares are parts of.
func (l *Ledger) SetCapacity(total pj.Resources) {
	l.capacity = total
}

// Capacity returns the capacity of the whole fleet.
func (l *Ledger) Capacity() pj.Resources {
	return l.capacity
}

// SetWeight sets a workspace's weight; weights that are not positive count as 1.
func (l *Ledger) SetWeight(workspace string, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	a := l.account(workspace)
	if a.listed {
		l.weights -= a.weight
	}
	a.weight = weight
	a.listed = true
	l.weights += weight
}

// WithinShare reports whether the workspace uses no more of the fleet than its weight entitles it
// to when all workspaces are busy.
func (l *Ledger) WithinShare(workspace string) bool {
	return l.weights <= 0 || l.Share(workspace)*l.weights < 1
}

// Weight returns a workspace's weight.
func (l *Ledger) Weight(workspace string) float64 {
	return l.account(workspace).weight
}

// SetLimit sets the most that the workspace may use in this cell.
func (l *Ledger) SetLimit(workspace string, limit pj.Resources) {
	l.account(workspace).limit = limit
}

// Limit returns the most that the workspace may use in this cell.
func (l *Ledger) Limit(workspace string) pj.Resources {
	return l.account(workspace).limit
}

// SetRemote sets what the workspace uses in other cells.
func (l *Ledger) SetRemote(workspace string, use pj.Resources) {
	l.account(workspace).remote = use
}

// Charge adds to what the workspace uses in this cell.
func (l *Ledger) Charge(workspace string, amount pj.Resources) {
	a := l.account(workspace)
	a.local = a.local.Add(amount)
}

// Refund takes back what was charged.
func (l *Ledger) Refund(workspace string, amount pj.Resources) {
	a := l.account(workspace)
	a.local = a.local.Sub(amount)
}

// Use returns what the workspace uses in this cell.
func (l *Ledger) Use(workspace string) pj.Resources {
	return l.account(workspace).local
}

// Allows reports whether the workspace may use more by amount in this cell.
func (l *Ledger) Allows(workspace string, amount pj.Resources) bool {
	a := l.account(workspace)
	after := a.local.Add(amount)
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
	return a.local.Add(a.remote).DominantShare(l.capacity) / a.weight
}

// Workspaces calls visit for each workspace that has an account.
func (l *Ledger) Workspaces(visit func(workspace string, use, limit pj.Resources)) {
	for name, a := range l.accounts {
		visit(name, a.local, a.limit)
	}
}
