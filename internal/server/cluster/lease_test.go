package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayajunction/internal/control/rulecache"
)

// TestRulesLease covers that no VM relies on its rules for longer than the maximum time until newer rules must be in force
// everywhere, however short that is, and that it can renew them in time.
func TestRulesLease(t *testing.T) {
	tests := map[string]struct {
		maxDelay, lease time.Duration
	}{
		"no guarantee":             {},
		"shorter than the default": {maxDelay: 2500 * time.Millisecond, lease: 2200 * time.Millisecond},
		"longer than the default":  {maxDelay: time.Minute, lease: rulecache.DefaultLease},
		"one second":               {maxDelay: time.Second, lease: 750 * time.Millisecond},
		"very short":               {maxDelay: 100 * time.Millisecond, lease: 75 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lease := rulesLease(test.maxDelay)
			is.Equal(lease, test.lease)
			is.True(test.maxDelay == 0 || lease < test.maxDelay)
			is.True(lease == 0 || 3*syncIntervalFor(test.maxDelay) < lease)
			is.True(syncIntervalFor(test.maxDelay) <= syncInterval)
		})
	}
}
