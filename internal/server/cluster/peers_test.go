package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRelayFor covers which replica relays orders to the workers of a zone, for a leader in zone-1 of region west.
func TestRelayFor(t *testing.T) {
	const now = time.Minute
	syncedNow := func(zone, region string) peerInfo {
		return peerInfo{zone: zone, region: region, replica: true, lastSyncAt: now}
	}
	tests := map[string]struct {
		peers       map[string]peerInfo
		zonesServed map[string]int
		backoff     string
		zone        string
		relay       string
	}{
		"replica in the zone is preferred": {
			peers: map[string]peerInfo{"a": syncedNow("zone-2", "west"), "b": syncedNow("zone-3", "east")}, zone: "zone-3", relay: "b",
		},
		"leader itself is never a relay": {
			peers: map[string]peerInfo{"self": syncedNow("zone-1", "west"), "a": syncedNow("zone-3", "east")}, zone: "zone-1", relay: "a",
		},
		"replica in the region is preferred to one outside": {
			peers: map[string]peerInfo{"a": syncedNow("zone-3", "east"), "b": syncedNow("zone-2", "west")}, zone: "zone-1", relay: "b",
		},
		"replica that serves the fewest zones": {
			peers: map[string]peerInfo{"a": syncedNow("zone-2", "west"), "b": syncedNow("zone-4", "west")}, zonesServed: map[string]int{"a": 1}, zone: "zone-1", relay: "b",
		},
		"entry is never a relay": {
			peers: map[string]peerInfo{"a": {zone: "zone-1", region: "west", lastSyncAt: now}}, zone: "zone-1",
		},
		"replica without recent sync request is not used": {
			peers: map[string]peerInfo{"a": {zone: "zone-1", region: "west", replica: true, lastSyncAt: now - 2*maxRelaySyncAge}}, zone: "zone-1",
		},
		"replica in backoff is not used": {
			peers: map[string]peerInfo{"a": syncedNow("zone-1", "west"), "b": syncedNow("zone-3", "east")}, backoff: "a", zone: "zone-1", relay: "b",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &replica{vm: &VM{options: Options{Address: "self", Zone: "zone-1", Region: "west"}}, peers: tc.peers}
			r.relays = newRelays(r, 1)
			if tc.backoff != "" {
				r.relays.link(tc.backoff).backoffUntil = now + time.Second
			}
			is.Equal(r.relayFor(now, tc.zone, tc.zonesServed), tc.relay)
		})
	}
}
