package rulecache_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/rulecache"
)

type clock struct{ now time.Duration }

func (c *clock) Now() time.Duration { return c.now }

func rules(version int64) *pj.Ruleset {
	return &pj.Ruleset{Version: version, Document: []byte("{}")}
}

// TestBook checks which rules a VM relies on, and for how long.
func TestBook(t *testing.T) {
	tests := map[string]struct {
		lease   time.Duration
		run     func(b *rulecache.Cache, c *clock)
		inForce bool
		version int64
	}{
		"no rules published": {run: func(b *rulecache.Cache, _ *clock) { b.Update(0, 0, nil) }},
		"first rules":        {run: func(b *rulecache.Cache, _ *clock) { b.Update(0, 2, rules(2)) }, inForce: true, version: 2},
		"older rules are ignored": {run: func(b *rulecache.Cache, _ *clock) {
			b.Update(0, 5, rules(5))
			b.Update(0, 4, rules(4))
		}, inForce: true, version: 5},
		"the lease starts when the request was sent": {run: func(b *rulecache.Cache, c *clock) {
			c.now = 2 * time.Second
			b.Update(0, 2, rules(2)) // the reply arrives 2 s after the request was sent
			c.now = rulecache.DefaultLease
		}, version: 2},
		"within a configured lease": {lease: time.Second, run: func(b *rulecache.Cache, c *clock) {
			b.Update(0, 2, rules(2))
			c.now = time.Second - 1
		}, inForce: true, version: 2},
		"after a configured lease": {lease: time.Second, run: func(b *rulecache.Cache, c *clock) {
			b.Update(0, 2, rules(2))
			c.now = time.Second
		}, version: 2},
		"renewed without newer rules": {run: func(b *rulecache.Cache, c *clock) {
			b.Update(0, 2, rules(2))
			c.now = 2 * time.Second
			b.Update(c.now, 2, nil)
			c.now = 4 * time.Second
		}, inForce: true, version: 2},
		"the leader has newer rules that have not arrived": {run: func(b *rulecache.Cache, c *clock) {
			b.Update(0, 2, rules(2))
			c.now = 2 * time.Second
			b.Update(c.now, 3, nil)
			c.now = 4 * time.Second
		}, version: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &clock{}
			b := rulecache.New(c, tc.lease)
			tc.run(b, c)
			is.Equal(b.CheckLease() == nil, tc.inForce)
			is.Equal(b.Rules().Version, tc.version)
		})
	}
}
