package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRelayOf covers which replica calls the workers of a zone for the leader, which is in zone-1 of west.
func TestRelayOf(t *testing.T) {
	const now = time.Minute
	alive := func(zone, region string) peerInfo {
		return peerInfo{zone: zone, region: region, replica: true, heard: now}
	}
	tests := map[string]struct {
		peers map[string]peerInfo
		used  map[string]int
		avoid string
		zone  string
		relay string
	}{
		"one in the zone": {
			peers: map[string]peerInfo{"a": alive("zone-2", "west"), "b": alive("zone-3", "east")}, zone: "zone-3", relay: "b",
		},
		"never the leader itself": {
			peers: map[string]peerInfo{"self": alive("zone-1", "west"), "a": alive("zone-3", "east")}, zone: "zone-1", relay: "a",
		},
		"one in the region": {
			peers: map[string]peerInfo{"a": alive("zone-3", "east"), "b": alive("zone-2", "west")}, zone: "zone-1", relay: "b",
		},
		"the one that serves fewest zones": {
			peers: map[string]peerInfo{"a": alive("zone-2", "west"), "b": alive("zone-4", "west")}, used: map[string]int{"a": 1}, zone: "zone-1", relay: "b",
		},
		"no entry": {
			peers: map[string]peerInfo{"a": {zone: "zone-1", region: "west", heard: now}}, zone: "zone-1",
		},
		"none that is silent": {
			peers: map[string]peerInfo{"a": {zone: "zone-1", region: "west", replica: true, heard: now - 2*relayAlive}}, zone: "zone-1",
		},
		"none that couldn't be reached": {
			peers: map[string]peerInfo{"a": alive("zone-1", "west"), "b": alive("zone-3", "east")}, avoid: "a", zone: "zone-1", relay: "b",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &replica{vm: &VM{options: Options{Address: "self", Zone: "zone-1", Region: "west"}}, peers: tc.peers}
			r.relays = newRelays(r, 1)
			if tc.avoid != "" {
				r.relays.link(tc.avoid).avoidUntil = now + time.Second
			}
			is.Equal(r.relayOf(now, tc.zone, tc.used), tc.relay)
		})
	}
}
