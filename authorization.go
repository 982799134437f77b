package papayajunction

// CallerRequest is what the rules look at in a caller's request.
type CallerRequest struct {
	host string
	path string
	key  string
}

// NewCallerRequest returns a request to a host, which may include a port, with a path and the secret of a key, which is empty if
// the caller sent none.
func NewCallerRequest(host, path, key string) CallerRequest {
	return CallerRequest{host: host, path: path, key: key}
}

// Host returns the host, which may include a port.
func (r CallerRequest) Host() string {
	return r.host
}

// Path returns the path.
func (r CallerRequest) Path() string {
	return r.path
}

// Key returns the secret of the caller's key, "" if there is none.
func (r CallerRequest) Key() string {
	return r.key
}

// Authorization is the result of checking a request against the rules: the request's queue, and the workspace on whose behalf
// it is made.
type Authorization struct {
	request      CallerRequest
	route        *Route
	workspace    string
	rulesVersion int64
}

// NewAuthorization returns the authorization of a request by the given version of the rules. The workspace may be empty for
// open queues.
func NewAuthorization(request CallerRequest, route *Route, workspace string, rulesVersion int64) Authorization {
	return Authorization{request: request, route: route, workspace: workspace, rulesVersion: rulesVersion}
}

// Request returns the request.
func (a Authorization) Request() CallerRequest {
	return a.request
}

// Route returns the request's queue.
func (a Authorization) Route() *Route {
	return a.route
}

// Workspace returns the workspace of the request's key, "" if an open queue was called without a known key.
func (a Authorization) Workspace() string {
	return a.workspace
}

// Reach returns which workflows the request may read and cancel.
func (a Authorization) Reach() Reach {
	return Reach{Workspace: a.workspace, Origin: a.route.Origin()}
}

// RulesVersion returns the version of the rules that permit the request.
func (a Authorization) RulesVersion() int64 {
	return a.rulesVersion
}

// Reach is the set of workflows that a caller may read and cancel.
type Reach struct {
	Workspace string `json:"workspace,omitempty"` // "" for a caller of an open queue without a known key
	Origin    string `json:"origin,omitempty"`    // address of the queue that was called; see Route.Origin
}

// Includes reports whether the caller may have submitted the workflow. Keys tell workspaces apart; where there was no key, then or now,
// because the queue was or became an open one, the queue's address has to be the same.
func (r Reach) Includes(w *Workflow) bool {
	if r.Workspace != "" && w.Workspace != "" {
		return r.Workspace == w.Workspace
	}
	return w.Origin == "" || w.Origin == r.Origin // workflows of earlier versions have no origin
}
