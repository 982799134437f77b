package papayajunction

// DrainKind says what is taken out of service.
type DrainKind string

// The kinds of target of a Drain.
const (
	DrainWorker   DrainKind = "worker"
	DrainEndpoint DrainKind = "endpoint"
)

// DrainTarget names a worker or an endpoint.
type DrainTarget struct {
	Kind DrainKind `json:"kind"`
	Name string    `json:"name"`
}

// Drain takes a worker or endpoint of a zone out of service, or with Off puts it back. What runs there
// goes on to its end.
type Drain struct {
	DrainTarget
	Zone string `json:"zone"`
	Off  bool   `json:"off,omitempty"`
}
