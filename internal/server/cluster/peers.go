package cluster

import (
	"slices"
	"time"

	pj "papayajunction"
)

// Choosing relays.
const (
	relayAlive  = time.Second // a replica that asked for rules within this time can relay
	relayWeight = 100         // of distance against zones that a replica serves already
)

// peerInfo is what another VM tells of itself when it asks for rules.
type peerInfo struct {
	rank    int
	zone    string
	region  string
	replica bool
	since   time.Duration // since when it has been heard without a break
	heard   time.Duration
}

// hearPeer takes in a question for rules.
func (r *replica) hearPeer(now time.Duration, s syncRequest) {
	known, ok := r.peers[s.VM]
	if !ok || now > known.heard+askerAlive {
		known.since = now
	}
	known.rank, known.zone, known.region, known.replica, known.heard = s.Rank, s.Zone, s.Region, s.Replica, now
	r.peers[s.VM] = known
}

// zones returns the availability zones of the workers in order.
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

// relayOf returns the replica that calls the workers of a zone for this leader, or none: one in the zone, else one in its
// region, else any, and among those the one that was used least.
func (r *replica) relayOf(now time.Duration, zone string, used map[string]int) string {
	region := r.regionOf(zone)
	best, bestDistance := "", 0
	for vm, p := range r.peers {
		if !p.replica || vm == r.vm.options.Address || now > p.heard+relayAlive || r.relays.link(vm).avoidUntil > now {
			continue
		}
		distance := p.distance(zone, region)*relayWeight + used[vm]
		if best == "" || distance < bestDistance || (distance == bestDistance && vm < best) {
			best, bestDistance = vm, distance
		}
	}
	return best
}

// regionOf returns the region of an availability zone, "" if no VM there has been heard.
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
