package papayajunction

import (
	"net"
	"strings"
)

// Ruleset is a complete configuration, published under a version that the publisher chooses; the
// highest version is in force. Document is the published document, byte for byte.
type Ruleset struct {
	Version    int64            `json:"version"`
	Routes     []Route          `json:"routes,omitempty"`
	Workspaces []KeyedWorkspace `json:"teams,omitempty"`
	Pools      []string         `json:"pools,omitempty"`
	Limits     RequestLimits    `json:"limits,omitzero"`
	Document   []byte           `json:"document,omitempty"`
	byKey      map[string]int   // index of the workspace by secret
	byName     map[string]int   // index of the workspace by name
}

// Route is a queue with the host and path prefix of its requests and the policy for its work.
type Route struct {
	Name        string        `json:"queue"`
	Host        string        `json:"host"`
	PathPrefix  string        `json:"path_prefix"`
	Pool        string        `json:"pool"`
	Priority    int           `json:"priority"` // 0 starts first
	MaxAttempts int           `json:"max_attempts"`
	Stretch     float64       `json:"stretch,omitempty"`      // completion objective, as a multiple of the critical path of the work
	ObjectiveMS int64         `json:"objective_ms,omitempty"` // time added to that objective
	TimeoutMS   int64         `json:"timeout_ms"`
	Open        bool          `json:"open,omitempty"` // needs no key
	Advice      *AdvicePolicy `json:"advice,omitempty"`
}

// Origin returns the address at which the queue's workflows are submitted: the host and the prefix of their paths.
func (r *Route) Origin() string {
	return r.Host + r.PathPrefix
}

// AdvicePolicy is set on queues with a placement policy, which allows only some workers to run a step.
// A decision takes DecisionMS plus PerWorkerMS for each candidate worker, and its tickets are valid
// for ValidityMS.
type AdvicePolicy struct {
	DecisionMS  float64 `json:"decision_ms"`
	PerWorkerMS float64 `json:"per_worker_ms"`
	ValidityMS  int64   `json:"validity_ms"`
}

// KeyedWorkspace is a workspace with the secrets of its keys.
type KeyedWorkspace struct {
	Workspace

	Keys []string `json:"keys,omitempty"`
}

// RequestLimits are the limits for requests from callers.
type RequestLimits struct {
	MaxHeaderBytes  int   `json:"max_header_bytes,omitempty"`
	MaxBodyBytes    int64 `json:"max_body_bytes,omitempty"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty"`
}

// Check returns an error for the first invalid rule, or nil.
func (r *Ruleset) Check() error {
	pools := make(map[string]bool)
	for _, p := range r.Pools {
		pools[p] = true
	}
	queueOf := make(map[[2]string]string) // by host and path prefix
	for _, route := range r.Routes {
		location := [2]string{route.Host, route.PathPrefix}
		other, taken := queueOf[location]
		switch {
		case !pools[route.Pool]:
			return Refuse(CodeBadRequest, "queue %s names the unknown pool %q", route.Name, route.Pool)
		case taken:
			return Refuse(CodeBadRequest, "queues %s and %s share host and prefix", other, route.Name)
		case route.TimeoutMS <= 0:
			return Refuse(CodeBadRequest, "queue %s has no timeout", route.Name)
		}
		queueOf[location] = route.Name
	}
	owners := make(map[string]string)
	for _, workspace := range r.Workspaces {
		for _, key := range workspace.Keys {
			if owner, taken := owners[key]; taken && owner != workspace.Name {
				return Refuse(CodeBadRequest, "workspaces %s and %s share a key", owner, workspace.Name)
			}
			owners[key] = workspace.Name
		}
	}
	return nil
}

// BuildIndex builds the look-up tables of workspaces by key and by name; it must be called before the
// ruleset is shared between goroutines.
func (r *Ruleset) BuildIndex() {
	r.byKey = make(map[string]int)
	r.byName = make(map[string]int)
	for i, workspace := range r.Workspaces {
		r.byName[workspace.Name] = i
		for _, key := range workspace.Keys {
			r.byKey[key] = i
		}
	}
}

// Match returns the route of the host, which may include a port, with the longest matching path prefix,
// or nil.
func (r *Ruleset) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	var best *Route
	for i := range r.Routes {
		route := &r.Routes[i]
		if route.Host == host && strings.HasPrefix(path, route.PathPrefix) &&
			(best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best
}

// Route returns the route of the named queue, or nil.
func (r *Ruleset) Route(name string) *Route {
	for i := range r.Routes {
		if r.Routes[i].Name == name {
			return &r.Routes[i]
		}
	}
	return nil
}

// Workspace returns the named workspace, or nil.
func (r *Ruleset) Workspace(name string) *KeyedWorkspace {
	if i, ok := r.byName[name]; ok {
		return &r.Workspaces[i]
	}
	return nil
}

// Owner returns the name of the workspace that a key belongs to.
func (r *Ruleset) Owner(key string) (workspace string, ok bool) {
	i, ok := r.byKey[key]
	if !ok {
		return "", false
	}
	return r.Workspaces[i].Name, true
}
