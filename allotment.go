package papayajunction

// Allotment is the part of a workspace's upper limit that a cell may use.
//
// Seq grows by one with each change that the fleet group makes to the allotment of one workspace
// in one cell.
type Allotment struct {
	Workspace string    `json:"workspace"`
	Seq       uint64    `json:"seq"`
	Value     Resources `json:"value"`
}

// CellDemand is what a cell's leader reports to the fleet leader about one workspace.
type CellDemand struct {
	Committed    Allotment `json:"committed"`        // allotment that the cell's group has committed
	Usage        Resources `json:"use,omitzero"`     // in this cell
	Waiting      Resources `json:"waiting,omitzero"` // resources that the waiting tasks and requests need
	WaitingCount int       `json:"count,omitempty"`  // number of waiting tasks and requests
}

// AllotmentReport is a cell's periodic message to the fleet leader. With Full it lists every
// workspace, otherwise only those that changed since the last report that got a reply.
type AllotmentReport struct {
	Cell      string       `json:"cell"`
	Term      uint64       `json:"term"`
	Full      bool         `json:"full,omitempty"`
	FleetTerm uint64       `json:"fleet_term"` // term in the last reply that the cell received from a fleet leader
	Capacity  Resources    `json:"capacity"`
	Demands   []CellDemand `json:"demands,omitempty"`
}

// RemoteUsage is the resource usage of a workspace in the other cells.
type RemoteUsage struct {
	Workspace string    `json:"workspace"`
	Usage     Resources `json:"use"`
}

// AllotmentReply is the reply to an AllotmentReport. With NeedFull the next report must list every
// workspace.
type AllotmentReply struct {
	FleetTerm uint64        `json:"fleet_term"`
	NeedFull  bool          `json:"need_full,omitempty"`
	Targets   []Allotment   `json:"targets,omitempty"` // allotments whose last change the cell has not confirmed
	Remote    []RemoteUsage `json:"remote,omitempty"`
	Capacity  Resources     `json:"capacity"` // of the whole fleet
}
