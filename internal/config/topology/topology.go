// Package topology derives from the list of VMs which replicated groups there are and which VMs
// are their members. Every VM works it out from the same list, so all agree.
package topology

import (
	"cmp"
	"slices"
	"strings"
)

// FleetGroup is the name of the group that all zones share.
const FleetGroup = "fleet"

const (
	cellPrefix   = "cell-"
	maxFleetSize = 5 // voters of the fleet group
	localQuorum  = 3 // local replicas with which a zone needs none elsewhere
)

// VM is one entry VM of the system.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"` // IP and port
	Replica bool   `json:"replica"` // it has a disk for the system's state
}

// Member is a VM's place in a group. VMs with a lower rank lead the group if they can.
type Member struct {
	VM   string
	Rank int
}

// Topology is the list of VMs. The zero value has none.
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

// VMs returns all VMs in order of zone and name.
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

// Zones returns the names of all zones in order.
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

// fleetMembers takes replicas from every zone in turn, an odd number of them.
func (t Topology) fleetMembers() []Member {
	var members []Member
	for turn := 0; len(members) < maxFleetSize; turn++ {
		before := len(members)
		for _, zone := range t.Zones() {
			replicas := t.replicasIn(zone)
			if turn < len(replicas) && len(members) < maxFleetSize {
				members = append(members, Member{VM: replicas[turn].Name})
			}
		}
		if len(members) == before {
			break
		}
	}
	if len(members) > 1 && len(members)%2 == 0 {
		members = members[:len(members)-1]
	}
	return members
}

// cellMembers takes the zone's replicas and, if they are two, one in the nearest other zone, so
// that the zone by itself has a majority and may lose one VM.
func (t Topology) cellMembers(zone string) []Member {
	var members []Member
	for _, vm := range t.replicasIn(zone) {
		members = append(members, Member{VM: vm.Name})
	}
	switch {
	case len(members) == 0 || len(members) >= localQuorum:
		return members[:min(len(members), localQuorum)]
	case len(members) == 1:
		return members
	}
	if other, ok := t.nearestReplica(zone); ok {
		members = append(members, Member{VM: other.Name, Rank: 2})
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

// nearestReplica returns the last replica of the next zone, of the same region if there is one.
func (t Topology) nearestReplica(zone string) (VM, bool) {
	zones := t.Others(zone)
	for _, z := range zones {
		if replicas := t.replicasIn(z); len(replicas) > 0 {
			return replicas[len(replicas)-1], true
		}
	}
	return VM{}, false
}

// Others returns the other zones, those of the same region first, each part starting after the
// given zone in order of name.
func (t Topology) Others(zone string) []string {
	all := t.Zones()
	at := max(slices.Index(all, zone), 0)
	var near, far []string
	for i := range all {
		z := all[(at+i)%len(all)]
		switch {
		case z == zone:
		case t.Region(z) == t.Region(zone):
			near = append(near, z)
		default:
			far = append(far, z)
		}
	}
	return append(near, far...)
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

// IsMember reports whether a VM is a member of a group, and with which rank.
func (t Topology) IsMember(group, vm string) (rank int, ok bool) {
	for _, m := range t.Members(group) {
		if m.VM == vm {
			return m.Rank, true
		}
	}
	return 0, false
}
