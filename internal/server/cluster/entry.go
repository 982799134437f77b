package cluster

import (
	"context"
	"errors"
	"sync"
	"time"

	pj "papayajunction"
)

// finalStateCache caches the final states of the workflows that were added last. Final states never change.
type finalStateCache struct {
	mu       sync.Mutex
	states   map[string]pj.WorkflowState
	ids      []string // ring buffer in order of insertion
	nextSlot int      // in ids; its entry is evicted next
}

func newFinalStateCache(size int) finalStateCache {
	return finalStateCache{states: make(map[string]pj.WorkflowState), ids: make([]string, size)}
}

func (f *finalStateCache) get(id string) (pj.WorkflowState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, ok := f.states[id]
	return state, ok
}

func (f *finalStateCache) put(id string, state pj.WorkflowState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.states[id]; ok {
		return
	}
	delete(f.states, f.ids[f.nextSlot])
	f.ids[f.nextSlot] = id
	f.nextSlot = (f.nextSlot + 1) % len(f.ids)
	f.states[id] = state
}

// Authorise returns the queue of a request and the workspace that its key belongs to, which may be empty for open
// queues. Before it refuses a request, it fetches newer rules if this VM's are older than maxRefusalRulesAge.
func (v *VM) Authorise(ctx context.Context, host, path, key string) (*pj.Route, string, error) {
	route, workspace, err := v.authorise(host, path, key)
	if err == nil || pj.AsError(err).Code == pj.CodeKeysUnknown {
		return route, workspace, err
	}
	if v.ruleCache.SinceConfirmed() > maxRefusalRulesAge {
		if err := v.SyncRules(ctx); err != nil {
			return nil, "", v.rulesUnconfirmed(err)
		}
	}
	return v.authorise(host, path, key)
}

// maxRefusalRulesAge is the maximum age of the rules by which a request is refused.
const maxRefusalRulesAge = 100 * time.Millisecond

// rulesUnconfirmed returns the error with which a request is refused if the leader can't confirm the rules.
func (v *VM) rulesUnconfirmed(err error) error {
	e := pj.Refuse(pj.CodeKeysUnknown, "the rules can't be confirmed: %v", err)
	e.RetryAfter = pj.Duration(time.Second)
	return e
}

func (v *VM) authorise(host, path, key string) (*pj.Route, string, error) {
	if err := v.ruleCache.CheckLease(); err != nil {
		return nil, "", err
	}
	rules := v.ruleCache.Rules()
	route := rules.Match(host, path)
	if route == nil {
		return nil, "", pj.Refuse(pj.CodeUnknownQueue, "no queue at %s%s", host, path)
	}
	if key == "" && route.Open {
		return route, "", nil
	}
	workspace, ok := rules.Owner(key)
	switch {
	case ok:
		return route, workspace, nil
	case route.Open:
		return route, "", nil
	case key == "":
		return nil, "", pj.Refuse(pj.CodeNoKey, "queue %s needs a key", route.Name)
	}
	return nil, "", pj.Refuse(pj.CodeWrongKey, "the key is not known or was withdrawn")
}

// Submit stores a workflow durably. If the error has NotRun unset, the workflow may have been accepted.
func (v *VM) Submit(ctx context.Context, w pj.Workflow) error {
	if err := w.Check(); err != nil {
		return err
	}
	started := v.clock.Now()
	err := v.callLeaderLimited(ctx, opSubmit, w, nil)
	v.log("submit", "workflow", w.ID, "queue", w.Queue, "workspace", w.Workspace, "took", v.clock.Now()-started,
		"leader", v.leaderClient.Leader(Group), "rules_version", v.ruleCache.Rules().Version, "err", err)
	return err
}

// State returns the state of a workflow.
func (v *VM) State(ctx context.Context, id, workspace string) (pj.WorkflowState, error) {
	if state, ok := v.finalStates.get(workspace + "/" + id); ok {
		return state, nil
	}
	query := workflowQuery{ID: id, Workspace: workspace}
	state, ok := v.stateFromReadReplica(ctx, query)
	if !ok {
		if err := v.callLeaderLimited(ctx, opState, query, &state); err != nil {
			var refused *pj.Error
			if !errors.As(err, &refused) || refused.Code != pj.CodeUnknownJob {
				v.log("state_unknown", "workflow", id, "err", err)
			}
			return "", err
		}
	}
	if state.Final() {
		v.finalStates.put(workspace+"/"+id, state)
	}
	return state, nil
}

// Cancel ends a workflow.
func (v *VM) Cancel(ctx context.Context, id, workspace string) error {
	err := v.callLeaderLimited(ctx, opCancel, workflowQuery{ID: id, Workspace: workspace}, nil)
	v.log("cancel", "workflow", id, "workspace", workspace, "err", err)
	return err
}

// Waiting returns how many workflows of a queue have not started.
func (v *VM) Waiting(ctx context.Context, queue string) (int, error) {
	var n int
	err := v.callLeaderLimited(ctx, opWaiting, queue, &n)
	return n, err
}

// Publish puts rules into force unless newer rules are already in force, and returns the version in force.
func (v *VM) Publish(ctx context.Context, rules pj.Ruleset) (int64, error) {
	if err := rules.Check(); err != nil {
		v.log("rules_refused", "version", rules.Version, "err", err)
		return 0, err
	}
	var p publishReply
	err := v.callLeader(ctx, opPublish, rules, &p)
	v.log("publish", "version", rules.Version, "in_force", p.Version, "err", err)
	return p.Version, err
}

// ReadRules returns the rules in force, confirmed by a majority.
func (v *VM) ReadRules(ctx context.Context) (pj.Ruleset, error) {
	var rules pj.Ruleset
	err := v.callLeader(ctx, opReadRules, struct{}{}, &rules)
	return rules, err
}

// Announce processes a worker's announcement and returns the address for its next announcements: this VM's if it is a
// replica, else the leader's.
func (v *VM) Announce(ctx context.Context, w pj.PolledWorker) (string, error) {
	if v.replica != nil && v.replica.hasUnchangedWorker(ctx, &w) {
		return withPort(v.options.Address, v.options.ControlPort), nil
	}
	if err := v.callLeader(ctx, opAnnounce, w, nil); err != nil {
		return "", err
	}
	next := v.options.Address
	if v.replica == nil {
		next = v.leaderClient.Leader(Group)
	}
	return withPort(next, v.options.ControlPort), nil
}

// Leave removes a worker that is shutting down.
func (v *VM) Leave(ctx context.Context, id string) error {
	return v.callLeader(ctx, opLeave, id, nil)
}

// runAdvise queries the queue's policy on behalf of the leader.
func (v *VM) runAdvise(ctx context.Context, r adviseRequest) (pj.Advice, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.TimeoutMS)*time.Millisecond)
	defer cancel()
	return v.options.Advisor.Advise(ctx, r.Step, r.Workers)
}

// BodyLimit returns the maximum size of a request body in bytes, 0 if the rules don't set one.
func (v *VM) BodyLimit() int64 {
	return v.ruleCache.Rules().Limits.MaxBodyBytes
}
