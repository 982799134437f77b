package cluster

import (
	"time"

	"papayajunction/internal/control/rulecache"
)

// Bounds of the lease during which a VM relies on its rules without a reply from the leader.
const (
	rulesMargin   = 300 * time.Millisecond          // subtracted from the maximum delay, for differences in clock rate and for requests in flight
	minRulesLease = 2*syncInterval + attemptTimeout // long enough for a VM to miss one reply
)

// rulesLease returns the lease of a VM's rules, 0 for the default. With a lease longer than maxDelay, a VM that gets no
// reply from the leader would continue with rules that must already be replaced everywhere.
func rulesLease(maxDelay time.Duration) time.Duration {
	if maxDelay <= 0 {
		return 0
	}
	return min(max(maxDelay-rulesMargin, minRulesLease), rulecache.DefaultLease)
}
