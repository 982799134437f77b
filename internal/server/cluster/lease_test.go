package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayajunction/internal/control/rulecache"
)

// TestRulesLease covers that no VM relies on its rules for longer than newer ones may take to be in force everywhere.
func TestRulesLease(t *testing.T) {
	tests := map[string]struct {
		within, lease time.Duration
	}{
		"nothing is promised":   {},
		"less than the default": {within: 2500 * time.Millisecond, lease: 2200 * time.Millisecond},
		"more than the default": {within: time.Minute, lease: rulecache.DefaultLease},
		"hardly any time":       {within: 100 * time.Millisecond, lease: rulesLeaseLeast},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(rulesLease(test.within), test.lease)
		})
	}
}
