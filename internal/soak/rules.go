package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	pj "papayajunction"
)

// Parameters of the checks of rules.
const (
	rulesWithin        = 3 * time.Second // maximum time from the acknowledgement of rules until every entry uses them
	minPublishInterval = 300 * time.Millisecond
	maxPublishInterval = 6 * time.Second
	probeInterval      = 150 * time.Millisecond // between two probes of an entry
	recentVersions     = 4                      // most probes are for one of the next version and the ones before it
	oldProbeOneIn      = 4                      // on average, one probe in this many is for any version

	meanPublishInterval = 1500 * time.Millisecond // without the minimum and the maximum
)

// publications are the versions of the ruleset, which are published one after the other.
type publications struct {
	attempted      int64               // latest version that was sent
	acknowledgedAt map[int64]time.Time // by version
}

// probe is the result of a call to an entry that just one version of the ruleset permits.
type probe struct {
	version int64
	served  bool // if not, it was refused because of the rules
	sent    time.Time
}

// versionRoute returns the queue that only the given version of the ruleset has.
func versionRoute(version int64) pj.Route {
	number := strconv.FormatInt(version, 10)
	return pj.Route{Name: "version-" + number, Host: "jobs.example", PathPrefix: "/version/" + number + "/", Pool: pool, MaxAttempts: 1, TimeoutMS: routeTimeout.Milliseconds()}
}

// versionKey returns the key that only the given version of the ruleset has.
func versionKey(version int64) string {
	return "key-version-" + strconv.FormatInt(version, 10)
}

// check returns which guarantee a probe violates, or "". The highest version that the same entry has served before the probe was
// sent is passed in.
func (p *publications) check(r probe, servedBefore int64) string {
	next, nextAcknowledged := p.acknowledgedAt[r.version+1]
	own, ownAcknowledged := p.acknowledgedAt[r.version]
	switch {
	case r.served && r.version < servedBefore:
		return fmt.Sprintf("rules of version %d were used after those of version %d", r.version, servedBefore)
	case r.served && nextAcknowledged && r.sent.After(next.Add(rulesWithin)):
		return fmt.Sprintf("rules of version %d were used %s after the next version was acknowledged", r.version, r.sent.Sub(next))
	case !r.served && ownAcknowledged && p.attempted == r.version && r.sent.After(own.Add(rulesWithin)):
		return fmt.Sprintf("rules of version %d were not used %s after their acknowledgement", r.version, r.sent.Sub(own))
	}
	return ""
}

// probeRules sends calls that just one version of the ruleset permits to an entry until ctx ends, and checks the responses.
func (l *load) probeRules(ctx context.Context, entry vm, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // not for secrets
	servedBefore := int64(0)
	for ctx.Err() == nil {
		l.mu.Lock()
		next := l.publications.attempted + 1
		l.mu.Unlock()
		version := next - r.Int64N(recentVersions)
		if r.IntN(oldProbeOneIn) == 0 {
			version = next - r.Int64N(next)
		}
		if p, ok := l.probe(ctx, entry, version, r.IntN(2) == 0); ok {
			l.mu.Lock()
			violation := l.publications.check(p, servedBefore)
			l.mu.Unlock()
			if violation != "" {
				l.recordViolation("%s: %s", entry.name, violation)
			}
			if p.served {
				servedBefore = max(servedBefore, version)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// probe sends one call, to the version's own queue or else with the version's own key. It returns false if the response says
// nothing about the rules.
func (l *load) probe(ctx context.Context, entry vm, version int64, byQueue bool) (probe, bool) {
	route, key := versionRoute(version), apiKey
	if !byQueue {
		work, _ := newWork("")
		route, key = *work, versionKey(version)
	}
	p := probe{version: version, sent: time.Now()}
	_, err := l.client.Count(ctx, entry.address(frontPort), &route, key)
	if err == nil {
		p.served = true
		return p, true
	}
	code := pj.AsError(err).Code
	return p, code == pj.CodeUnknownQueue || code == pj.CodeWrongKey
}
