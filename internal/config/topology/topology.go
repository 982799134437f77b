// Package topology derives the replicated groups and their members from the list of VMs. The result
// depends only on that list, so all VMs with the same list compute the same groups.
package topology

import (
	"cmp"
	"slices"
	"strings"
)

// FleetGroup is the name of the group that is shared by all zones.
const FleetGroup = "fleet"

const (
	cellPrefix      = "cell-"
	maxFleetMembers = 5 // voters of the fleet group
	maxCellMembers  = 3 // voters of a cell group; a zone with that many replicas needs no member in another zone
)

// VM is one entry VM of the system.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"` // IP and port
	Replica bool   `json:"replica"` // whether the VM has a disk for the replicated state
}

// Member is a VM that is a member of a group. Members with a lower rank are preferred as leader.
type Member struct {
	VM   string
	Rank int
}

// Topology is a list of VMs with the groups that follow from it. The zero value has no VMs.
type Topology struct {
	vms []VM
}

// New returns the topology of the VMs.
func New(vms []VM) Topology {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b VM) int {
		return cmp.Or(strings.Compare(a.Zone, b.Zone), strings.Compare(a.Name, b.Name))
	})
	return Topology{vms: sorted}
}

// VMs returns all VMs, sorted by zone and name.
func (t Topology) VMs() []VM {
	return t.vms
}

// VM returns the named VM.
func (t Topology) VM(name string) (VM, bool) {
	for _, vm := range t.vms {
		if vm.Name == name {
			return vm, true
		}
	}
	return VM{}, false
}

// Zones returns the sorted names of all zones.
func (t Topology) Zones() []string {
	var zones []string
	for _, vm := range t.vms {
		if !slices.Contains(zones, vm.Zone) {
			zones = append(zones, vm.Zone)
		}
	}
	return zones
}

// CellGroup returns the name of a zone's group.
func CellGroup(zone string) string {
	return cellPrefix + zone
}

// ZoneOfGroup returns the zone of a cell group, or "" for the fleet group.
func ZoneOfGroup(group string) string {
	zone, found := strings.CutPrefix(group, cellPrefix)
	if !found {
		return ""
	}
	return zone
}

// Groups returns the names of all groups.
func (t Topology) Groups() []string {
	groups := []string{FleetGroup}
	for _, zone := range t.Zones() {
		groups = append(groups, CellGroup(zone))
	}
	return groups
}

// Members returns the members of a group.
func (t Topology) Members(group string) []Member {
	if group == FleetGroup {
		return t.fleetMembers()
	}
	return t.cellMembers(ZoneOfGroup(group))
}

// fleetMembers returns up to maxFleetMembers replicas, chosen from all zones in turn. Their number is
// odd.
func (t Topology) fleetMembers() []Member {
	var members []Member
	for round := 0; len(members) < maxFleetMembers; round++ {
		count := len(members)
		for _, zone := range t.Zones() {
			replicas := t.replicasIn(zone)
			if round < len(replicas) && len(members) < maxFleetMembers {
				members = append(members, Member{VM: replicas[round].Name})
			}
		}
		if len(members) == count {
			break
		}
	}
	if len(members) > 1 && len(members)%2 == 0 {
		members = members[:len(members)-1]
	}
	return members
}

// cellMembers returns up to maxCellMembers replicas of the zone. If the zone has two, one in the nearest
// other zone is added, so that the group tolerates the loss of one VM and the zone has a majority
// without other zones. A single replica remains the only member.
func (t Topology) cellMembers(zone string) []Member {
	var members []Member
	for _, vm := range t.replicasIn(zone) {
		members = append(members, Member{VM: vm.Name})
	}
	switch {
	case len(members) == 0 || len(members) >= maxCellMembers:
		return members[:min(len(members), maxCellMembers)]
	case len(members) == 1:
		return members
	}
	if remote, ok := t.nearestReplica(zone); ok {
		members = append(members, Member{VM: remote.Name, Rank: 2})
	}
	return members
}

func (t Topology) replicasIn(zone string) []VM {
	var replicas []VM
	for _, vm := range t.vms {
		if vm.Zone == zone && vm.Replica {
			replicas = append(replicas, vm)
		}
	}
	return replicas
}

// nearestReplica returns the last replica of the first other zone that has replicas; zones of
// the same region come first.
func (t Topology) nearestReplica(zone string) (VM, bool) {
	others := t.OtherZones(zone)
	for _, z := range others {
		if replicas := t.replicasIn(z); len(replicas) > 0 {
			return replicas[len(replicas)-1], true
		}
	}
	return VM{}, false
}

// OtherZones returns the other zones, those of the same region first. Within each of the two parts, the
// zones are in order of name, starting after the given zone and wrapping around.
func (t Topology) OtherZones(zone string) []string {
	all := t.Zones()
	start := max(slices.Index(all, zone), 0)
	var sameRegion, otherRegions []string
	for i := range all {
		z := all[(start+i)%len(all)]
		switch {
		case z == zone:
		case t.Region(z) == t.Region(zone):
			sameRegion = append(sameRegion, z)
		default:
			otherRegions = append(otherRegions, z)
		}
	}
	return append(sameRegion, otherRegions...)
}

// Region returns the region of a zone.
func (t Topology) Region(zone string) string {
	for _, vm := range t.vms {
		if vm.Zone == zone {
			return vm.Region
		}
	}
	return ""
}

// MemberRank reports whether a VM is a member of a group, and returns its rank.
func (t Topology) MemberRank(group, vm string) (rank int, ok bool) {
	for _, m := range t.Members(group) {
		if m.VM == vm {
			return m.Rank, true
		}
	}
	return 0, false
}
