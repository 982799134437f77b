package cluster

import (
	"slices"
	"time"

	pj "papayajunction"
)

// Parameters of the choice of relays.
const (
	maxRelaySyncAge     = time.Second // a replica whose last sync request is older is not used as a relay
	relayDistanceWeight = 100         // weight of one step of distance, relative to one zone that the replica already serves
)

// peerInfo describes another VM, from its sync requests.
type peerInfo struct {
	rank         int
	zone         string
	region       string
	replica      bool
	stopping     bool
	syncingSince time.Duration // start of the current sequence of sync requests without a gap
	lastSyncAt   time.Duration
}

// takesLead reports whether a leader of the given rank transfers the leadership to this VM, because it has a lower one.
func (p peerInfo) takesLead(now time.Duration, rank int) bool {
	return !p.stopping && p.rank < rank && now >= p.syncingSince+minLeaderTenure && now <= p.lastSyncAt+maxPeerSyncAge
}

// recordPeer updates the description of the VM that sent a sync request.
func (r *replica) recordPeer(now time.Duration, s syncRequest) {
	info, ok := r.peers[s.VM]
	if !ok || now > info.lastSyncAt+maxPeerSyncAge {
		info.syncingSince = now
	}
	info.rank, info.zone, info.region, info.replica, info.stopping, info.lastSyncAt = s.Rank, s.Zone, s.Region, s.Replica, s.Stopping, now
	r.peers[s.VM] = info
}

// zones returns the availability zones of the workers, sorted.
func (r *replica) zones() []string {
	var zones []string
	r.state.Workers(func(w pj.PolledWorker) {
		if !slices.Contains(zones, w.Zone) {
			zones = append(zones, w.Zone)
		}
	})
	slices.Sort(zones)
	return zones
}

// relayFor returns the replica that relays the leader's orders to the workers of a zone, and serves the reads of the zone's
// entries; "" if there is none. It prefers a replica in the zone, then one in the zone's region, then any other, and among
// equals the one that serves the fewest zones according to zonesServed.
func (r *replica) relayFor(now time.Duration, zone string, zonesServed map[string]int) string {
	region := r.regionOf(zone)
	best, bestDistance := "", 0
	for vm, p := range r.peers {
		if !p.replica || p.stopping || vm == r.vm.options.Address || now > p.lastSyncAt+maxRelaySyncAge || r.relays.link(vm).backoffUntil > now {
			continue
		}
		distance := p.distance(zone, region)*relayDistanceWeight + zonesServed[vm]
		if best == "" || distance < bestDistance || (distance == bestDistance && vm < best) {
			best, bestDistance = vm, distance
		}
	}
	return best
}

// regionOf returns the region of an availability zone, "" if no known VM is in that zone.
func (r *replica) regionOf(zone string) string {
	if zone == r.vm.options.Zone {
		return r.vm.options.Region
	}
	for _, p := range r.peers {
		if p.zone == zone {
			return p.region
		}
	}
	return ""
}

// distance returns 0 for a VM in the zone, 1 for one in its region, else 2.
func (p *peerInfo) distance(zone, region string) int {
	switch {
	case p.zone == zone:
		return 0
	case p.region == region:
		return 1
	}
	return 2
}
