package papayajunction

import "time"

// EndpointAnnouncement is an endpoint's registration, which the endpoint renews before TTLMS
// milliseconds have passed.
//
// Incarnation changes when the endpoint restarts. Sequence grows with each announcement of an incarnation. Term is the highest
// term of the cell's leader that the endpoint has received. A leader ignores announcements that may have been overtaken or sent by a
// former incarnation. Endpoints of earlier versions send none of the three, and each of their announcements counts when it arrives.
type EndpointAnnouncement struct {
	Incarnation string   `json:"incarnation,omitempty"`
	Sequence    uint64   `json:"sequence,omitempty"`
	Term        uint64   `json:"term,omitempty"`
	Endpoint    string   `json:"endpoint"`
	Address     string   `json:"address"` // IP and port, such as "127.0.0.1:9000"
	Zone        string   `json:"zone"`
	Queues      []string `json:"queues"`
	Slots       int      `json:"slots"`
	InFlight    int      `json:"in_flight"`
	Draining    bool     `json:"leaving,omitempty"` // the endpoint is draining and accepts no new requests
	TTLMS       int64    `json:"ttl_ms"`
}

// EndpointAnnouncementReply is the reply to an endpoint's announcement. The endpoint must announce
// itself again after RenewWithinMS milliseconds, or at once if that is 0; the reply may be delayed
// (long polling).
type EndpointAnnouncementReply struct {
	Term          uint64 `json:"term,omitempty"` // of the leader, once all grants of earlier leaders have expired
	RenewWithinMS int64  `json:"renew_within_ms,omitempty"`
	NextEntry     string `json:"entry,omitempty"` // address of the entry VM that the next announcement should go to
}

// GrantRequest is a request to a cell's leader for a slot of an endpoint.
type GrantRequest struct {
	Request   string   `json:"request"`
	Queue     string   `json:"queue"`
	Workspace string   `json:"workspace"`
	Urgency   Urgency  `json:"urgency"`
	WaitMS    int64    `json:"wait_ms"`         // how long the request may still wait for a slot
	Avoid     []string `json:"avoid,omitempty"` // endpoints to use only if no other has a free slot
	Entry     string   `json:"entry"`           // name of the entry VM that sends the request
}

// Grant is the right to send one request to one endpoint.
//
// WaitedMS is how long the request waited at the leader, in milliseconds. The grant is valid for the
// sum of WaitedMS and ValidMS, counted from when the entry VM sent its request.
type Grant struct {
	ID       string `json:"id"`
	Endpoint string `json:"endpoint"`
	Address  string `json:"address"`
	ValidMS  int64  `json:"valid_ms"`
	WaitedMS int64  `json:"waited_ms"`

	ExpiresAt time.Duration `json:"-"` // end of the validity, by the entry VM's clock
}

// GrantRelease returns the slot of a grant and reports the outcome of the request.
type GrantRelease struct {
	ID        string `json:"id"`
	LatencyMS int64  `json:"latency_ms"` // 0 if the request was not sent, so that nothing is known of the endpoint
	Failed    bool   `json:"failed,omitempty"`
}
