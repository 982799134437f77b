package cluster

import (
	"cmp"
	"time"

	"papayajunction/internal/control/rulecache"
)

// Parameters of the lease during which a VM relies on its rules without a reply from the leader.
const (
	rulesMargin   = 300 * time.Millisecond // subtracted from the maximum delay, for differences in clock rate and for requests in flight
	syncsPerLease = 4                      // requests for newer rules in one lease, so that a VM may miss some replies
)

// rulesLease returns the lease of a VM's rules, 0 for the default. With a lease longer than maxDelay, a VM that gets no
// reply from the leader would continue with rules that must already be replaced everywhere.
func rulesLease(maxDelay time.Duration) time.Duration {
	if maxDelay <= 0 {
		return 0
	}
	margin := min(rulesMargin, maxDelay/syncsPerLease)
	return min(maxDelay-margin, rulecache.DefaultLease)
}

// syncIntervalFor returns the time between two requests for newer rules.
func syncIntervalFor(maxDelay time.Duration) time.Duration {
	return min(syncInterval, cmp.Or(rulesLease(maxDelay), rulecache.DefaultLease)/syncsPerLease)
}
