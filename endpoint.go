package papayajunction

import "time"

// Announcement is how an endpoint makes itself known; it is renewed before TTLMS runs out.
type Announcement struct {
	Endpoint string   `json:"endpoint"`
	Address  string   `json:"address"` // IP and port, such as "127.0.0.1:9000"
	Zone     string   `json:"zone"`
	Queues   []string `json:"queues"`
	Slots    int      `json:"slots"`
	InFlight int      `json:"in_flight"`
	Leaving  bool     `json:"leaving,omitempty"`
	TTLMS    int64    `json:"ttl_ms"`
}

// AnnouncementReply answers an announcement. With RenewWithinMS the endpoint is to announce itself
// again after that many milliseconds, without it at once; the answer may be held back for a while.
// Entry is the address of the entry VM that had better be asked next.
type AnnouncementReply struct {
	RenewWithinMS int64  `json:"renew_within_ms,omitempty"`
	Entry         string `json:"entry,omitempty"`
}

// GrantRequest asks a cell's leader for a slot of an endpoint.
type GrantRequest struct {
	Request   string   `json:"request"`
	Queue     string   `json:"queue"`
	Workspace string   `json:"workspace"`
	Urgency   Urgency  `json:"urgency"`
	WaitMS    int64    `json:"wait_ms"` // how long the request may still wait for a slot
	Avoid     []string `json:"avoid,omitempty"`
	Entry     string   `json:"entry"`
}

// Grant is the right to send one request to one endpoint.
//
// WaitedMS is how long the request waited at the leader, in milliseconds. Counted from when the entry
// asked, the grant holds for WaitedMS and ValidMS together; Until is that time by the entry's clock.
type Grant struct {
	ID       string `json:"id"`
	Endpoint string `json:"endpoint"`
	Address  string `json:"address"`
	ValidMS  int64  `json:"valid_ms"`
	WaitedMS int64  `json:"waited_ms"`

	Until time.Duration `json:"-"`
}

// GrantRelease gives a slot back.
type GrantRelease struct {
	ID        string `json:"id"`
	LatencyMS int64  `json:"latency_ms"`
	Failed    bool   `json:"failed,omitempty"`
}
