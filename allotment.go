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

// CellDemand is what a cell's leader tells the fleet leader of one workspace.
type CellDemand struct {
	Committed Allotment `json:"committed"`
	Use       Resources `json:"use,omitzero"`
	Waiting   Resources `json:"waiting,omitzero"`
	Count     int       `json:"count,omitempty"` // tasks and requests that wait
}

// AllotmentReport is a cell's regular message to the fleet leader. With Full it lists every
// workspace, otherwise those that changed since the last report that was answered.
type AllotmentReport struct {
	Cell      string       `json:"cell"`
	Term      uint64       `json:"term"`
	Full      bool         `json:"full,omitempty"`
	FleetTerm uint64       `json:"fleet_term"` // term of the fleet leader that the cell last heard
	Capacity  Resources    `json:"capacity"`
	Demands   []CellDemand `json:"demands,omitempty"`
}

// RemoteUse is what a workspace has running in the other cells.
type RemoteUse struct {
	Workspace string    `json:"workspace"`
	Use       Resources `json:"use"`
}

// AllotmentReply answers an AllotmentReport.
type AllotmentReply struct {
	FleetTerm uint64      `json:"fleet_term"`
	NeedFull  bool        `json:"need_full,omitempty"`
	Targets   []Allotment `json:"targets,omitempty"`
	Remote    []RemoteUse `json:"remote,omitempty"`
	Capacity  Resources   `json:"capacity"` // of the whole fleet
}
