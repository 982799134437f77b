package papayajunction

import (
	"net"
	"strings"
)

// Ruleset is a configuration that is published whole under a version of its publisher's choice; the
// highest version is in force. Document is what was published, byte for byte.
type Ruleset struct {
	Version  int64          `json:"version"`
	Routes   []Route        `json:"routes,omitempty"`
	Teams    []Team         `json:"teams,omitempty"`
	Pools    []string       `json:"pools,omitempty"`
	Limits   IntakeLimits   `json:"limits,omitzero"`
	Document []byte         `json:"document,omitempty"`
	keys     map[string]int // secret to index of Teams
	teams    map[string]int // name to index of Teams
}

// Route is a queue as callers reach it, with the policy of its work.
type Route struct {
	Name        string        `json:"queue"`
	Host        string        `json:"host"`
	PathPrefix  string        `json:"path_prefix"`
	Pool        string        `json:"pool"`
	Priority    int           `json:"priority"` // 0 starts first
	MaxAttempts int           `json:"max_attempts"`
	Stretch     float64       `json:"stretch,omitempty"`      // objective, in lengths of the work's longest chain
	ObjectiveMS int64         `json:"objective_ms,omitempty"` // allowed on top of that
	TimeoutMS   int64         `json:"timeout_ms"`
	Open        bool          `json:"open,omitempty"` // needs no key
	Advice      *AdvicePolicy `json:"advice,omitempty"`
}

// AdvicePolicy says that only some workers may run a step of the queue, and what asking costs.
type AdvicePolicy struct {
	DecisionMS  float64 `json:"decision_ms"`
	PerWorkerMS float64 `json:"per_worker_ms"`
	ValidityMS  int64   `json:"validity_ms"`
}

// Team is a workspace with its keys.
type Team struct {
	Workspace

	Keys []string `json:"keys,omitempty"`
}

// IntakeLimits bound what callers may send.
type IntakeLimits struct {
	MaxHeaderBytes  int   `json:"max_header_bytes,omitempty"`
	MaxBodyBytes    int64 `json:"max_body_bytes,omitempty"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty"`
}

// Check returns the first fault of the rules, or nil.
func (r *Ruleset) Check() error {
	pools := make(map[string]bool)
	for _, p := range r.Pools {
		pools[p] = true
	}
	places := make(map[[2]string]string)
	for _, route := range r.Routes {
		place := [2]string{route.Host, route.PathPrefix}
		switch {
		case !pools[route.Pool]:
			return Refuse(CodeBadRequest, "queue %s names the unknown pool %q", route.Name, route.Pool)
		case places[place] != "":
			return Refuse(CodeBadRequest, "queues %s and %s share host and prefix", places[place], route.Name)
		case route.TimeoutMS <= 0:
			return Refuse(CodeBadRequest, "queue %s has no timeout", route.Name)
		}
		places[place] = route.Name + " "
	}
	owners := make(map[string]string)
	for _, team := range r.Teams {
		for _, key := range team.Keys {
			if owner, taken := owners[key]; taken && owner != team.Name {
				return Refuse(CodeBadRequest, "workspaces %s and %s share a key", owner, team.Name)
			}
			owners[key] = team.Name
		}
	}
	return nil
}

// Index prepares the rules for look-ups; it must be called before the rules are shared.
func (r *Ruleset) Index() {
	r.keys = make(map[string]int)
	r.teams = make(map[string]int)
	for i, team := range r.Teams {
		r.teams[team.Name] = i
		for _, key := range team.Keys {
			r.keys[key] = i
		}
	}
}

// Match returns the queue with the longest prefix of the path on the host, or nil.
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

// Route returns the queue of a name, or nil.
func (r *Ruleset) Route(name string) *Route {
	for i := range r.Routes {
		if r.Routes[i].Name == name {
			return &r.Routes[i]
		}
	}
	return nil
}

// Team returns the workspace of a name, or nil.
func (r *Ruleset) Team(name string) *Team {
	if i, ok := r.teams[name]; ok {
		return &r.Teams[i]
	}
	return nil
}

// Owner returns the workspace that a key belongs to.
func (r *Ruleset) Owner(key string) (workspace string, ok bool) {
	i, ok := r.keys[key]
	if !ok {
		return "", false
	}
	return r.Teams[i].Name, true
}
