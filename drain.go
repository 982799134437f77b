package papayajunction

// DrainKind is the type of a drain target.
type DrainKind string

// The kinds of target of a Drain.
const (
	DrainWorker   DrainKind = "worker"
	DrainEndpoint DrainKind = "endpoint"
)

// DrainTarget identifies a worker or an endpoint.
type DrainTarget struct {
	Kind DrainKind `json:"kind"`
	Name string    `json:"name"`
}

// Drain takes a worker or endpoint of a zone out of service, or puts it back into service. Tasks and
// requests that run there continue to their end.
type Drain struct {
	DrainTarget
	Zone   string `json:"zone"`
	Resume bool   `json:"off,omitempty"` // put back into service
}
