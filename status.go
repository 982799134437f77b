package papayajunction

// Status is the state of the system for operators, as known to one VM.
type Status struct {
	VM                  string            `json:"vm"`
	Zone                string            `json:"zone"`
	Version             uint64            `json:"configuration_version"`
	ConfirmedSecondsAgo int64             `json:"configuration_confirmed_seconds_ago"` // -1 if the VM has not confirmed its configuration since it started
	KeysInForce         bool              `json:"keys_in_force"`
	VMs                 []VMStatus        `json:"vms"`
	Groups              []GroupStatus     `json:"groups"`
	Cells               []CellStatus      `json:"cells"`
	Workspaces          []WorkspaceStatus `json:"workspaces"`
}

// VMStatus describes one entry VM of the system.
type VMStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Replica bool   `json:"replica"`
}

// GroupStatus is the state of one replicated group, as known to one VM.
type GroupStatus struct {
	Name    string   `json:"name"`
	Term    uint64   `json:"term"`
	Leader  string   `json:"leader"`
	Applied uint64   `json:"applied"`
	Members []string `json:"members"`
}

// CellStatus is the state of one availability zone: workers, endpoints and waiting work.
type CellStatus struct {
	Zone      string           `json:"zone"`
	Leader    string           `json:"leader,omitempty"`
	Problem   string           `json:"problem,omitempty"`
	Workers   []WorkerStatus   `json:"workers"`
	Endpoints []EndpointStatus `json:"endpoints"`
	Queues    []QueueStatus    `json:"queues"`
	Usage     []CellUsage      `json:"use"`
}

// CellUsage is a workspace's resource usage in one cell, with its allotment there.
type CellUsage struct {
	Workspace string    `json:"workspace"`
	Usage     Resources `json:"use"`
	Allotment Resources `json:"allotment"`
	Waiting   int       `json:"waiting"`
}

// WorkerStatus is the state of one worker.
type WorkerStatus struct {
	Name     string    `json:"name"`
	Rack     string    `json:"rack"`
	State    string    `json:"state"`
	Capacity Resources `json:"capacity"`
	Reserved Resources `json:"reserved"`
	Tasks    int       `json:"tasks"`
}

// EndpointStatus is the state of one endpoint.
type EndpointStatus struct {
	Name   string   `json:"name"`
	State  string   `json:"state"`
	Queues []string `json:"queues"`
	Slots  int      `json:"slots"`
	Used   int      `json:"used"`
}

// QueueStatus counts the waiting and running work of one queue.
type QueueStatus struct {
	Name    string `json:"name"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	Reason  string `json:"reason,omitempty"`
}

// WorkspaceStatus is the state of one workspace in the whole fleet.
type WorkspaceStatus struct {
	Name    string    `json:"name"`
	Share   float64   `json:"share"`
	Limit   Resources `json:"limit"`
	Usage   Resources `json:"use"`
	Waiting int       `json:"waiting"`
}
