package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayajunction/internal/control/rulecache"
)

// TestRulesLease covers that no VM relies on its rules for longer than the maximum time until newer rules must be in force
// everywhere.
func TestRulesLease(t *testing.T) {
	tests := map[string]struct {
		maxDelay, lease time.Duration
	}{
		"no guarantee":             {},
		"shorter than the default": {maxDelay: 2500 * time.Millisecond, lease: 2200 * time.Millisecond},
		"longer than the default":  {maxDelay: time.Minute, lease: rulecache.DefaultLease},
		"shorter than the minimum": {maxDelay: 100 * time.Millisecond, lease: minRulesLease},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(rulesLease(test.maxDelay), test.lease)
		})
	}
}
