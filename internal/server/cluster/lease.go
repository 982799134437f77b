package cluster

import (
	"time"

	"papayajunction/internal/control/rulecache"
)

// Bounds of how long a VM relies on its rules without an answer of the leader.
const (
	rulesMargin     = 300 * time.Millisecond      // of RulesWithin, for clocks that run at different rates and for a call on its way
	rulesLeaseLeast = 2*syncInterval + tryTimeout // lets a VM miss one answer
)

// rulesLease returns how long a VM may rely on its rules, 0 for the default. A longer lease than within would let a VM that the leader
// doesn't answer go on with rules that should be replaced everywhere.
func rulesLease(within time.Duration) time.Duration {
	if within <= 0 {
		return 0
	}
	return min(max(within-rulesMargin, rulesLeaseLeast), rulecache.DefaultLease)
}
