package cluster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	pj "papayajunction"
	"papayajunction/internal/server/leaderclient"
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

// Authorise checks a request against the rules. Before it refuses a request, it fetches newer rules if this VM's are older
// than maxRefusalRulesAge. If that takes longer than maxRulesWait, the request may be sent again later.
func (v *VM) Authorise(ctx context.Context, request pj.CallerRequest) (pj.Authorization, error) {
	a, err := v.authorise(request)
	if err == nil || pj.AsError(err).Code == pj.CodeKeysUnknown {
		return a, err
	}
	if err := v.confirmRules(ctx); err != nil {
		return pj.Authorization{}, v.rulesUnconfirmed(request, err)
	}
	a, err = v.authorise(request)
	if err != nil {
		v.log("call_refused", "host", truncate(request.Host()), "path", truncate(request.Path()), "rules_version", a.RulesVersion(),
			"confirmed_before", v.ruleCache.SinceConfirmed(), "err", err)
	}
	return a, err
}

// Limits of the time for which a request that the held rules refuse waits for newer ones.
const (
	maxRefusalRulesAge = 100 * time.Millisecond // of the rules by which a request is refused
	maxRulesWait       = 100 * time.Millisecond // later requests are handled by the held rules meanwhile, so an answer by newer ones must not come late
	maxSyncTime        = time.Second            // of an exchange that goes on for other requests
	maxSyncs           = 2                      // exchanges that one request waits for: the first may have begun before
)

// confirmRules waits until the held rules are no older than maxRefusalRulesAge, for at most maxRulesWait. Requests share an
// exchange, which goes on when they no longer wait.
func (v *VM) confirmRules(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxRulesWait)
	defer cancel()
	exchange := func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxSyncTime)
		defer cancel()
		return nil, v.SyncRules(ctx)
	}
	for range maxSyncs {
		if v.ruleCache.SinceConfirmed() <= maxRefusalRulesAge {
			return nil
		}
		select {
		case r := <-v.refusalSyncs.DoChan("", exchange):
			if r.Err != nil {
				return fmt.Errorf("fetch newer rules: %w", r.Err)
			}
		case <-ctx.Done():
			return fmt.Errorf("wait for newer rules: %w", ctx.Err())
		}
	}
	return nil
}

// maxLoggedBytes is the maximum length of a caller's text in a log line.
const maxLoggedBytes = 64

func truncate(text string) string {
	return text[:min(len(text), maxLoggedBytes)]
}

// rulesUnconfirmed returns the error with which a request is refused if the leader can't confirm the rules in time.
func (v *VM) rulesUnconfirmed(request pj.CallerRequest, err error) error {
	v.log("call_undecided", "host", truncate(request.Host()), "path", truncate(request.Path()), "rules_version", v.ruleCache.Rules().Version,
		"confirmed_before", v.ruleCache.SinceConfirmed(), "err", err)
	e := pj.Refuse(pj.CodeKeysUnknown, "the rules can't be confirmed: %v", err)
	e.RetryAfter = pj.Duration(time.Second)
	return e
}

// authorise checks a request against this VM's rules, whose version it returns also with an error.
func (v *VM) authorise(request pj.CallerRequest) (pj.Authorization, error) {
	rules, err := v.ruleCache.Leased()
	refused := pj.NewAuthorization(request, nil, "", rules.Version)
	if err != nil {
		return refused, fmt.Errorf("check lease: %w", err)
	}
	route := rules.Match(request.Host(), request.Path())
	if route == nil {
		return refused, pj.Refuse(pj.CodeUnknownQueue, "no queue at %s%s", request.Host(), request.Path())
	}
	if request.Key() == "" && route.Open {
		return pj.NewAuthorization(request, route, "", rules.Version), nil
	}
	workspace, ok := rules.Owner(request.Key())
	switch {
	case ok:
		return pj.NewAuthorization(request, route, workspace, rules.Version), nil
	case route.Open:
		return pj.NewAuthorization(request, route, "", rules.Version), nil
	case request.Key() == "":
		return refused, pj.Refuse(pj.CodeNoKey, "queue %s needs a key", route.Name)
	}
	return refused, pj.Refuse(pj.CodeWrongKey, "the key is not known or was withdrawn")
}

// recheck returns nil if a request is still permitted on behalf of the same workspace: the rules may have changed since it was
// authorised, or this VM may have been suspended.
func (v *VM) recheck(ctx context.Context, a pj.Authorization) error {
	if v.ruleCache.Rules().Version == a.RulesVersion() {
		return v.ruleCache.CheckLease()
	}
	now, err := v.Authorise(ctx, a.Request())
	if err != nil {
		return err
	}
	if now.Workspace() != a.Workspace() || now.Route().Name != a.Route().Name {
		e := pj.Refuse(pj.CodeKeysUnknown, "the key or the path has changed hands while the request waited")
		e.RetryAfter = pj.Duration(time.Second)
		return e
	}
	return nil
}

// callLeaderFor runs an operation on the leader on behalf of a caller, within the limit of concurrent calls. The request is
// checked again when it no longer waits for others.
func (v *VM) callLeaderFor(ctx context.Context, a pj.Authorization, name string, argument, result any) error {
	return v.limiter.do(ctx, a.Workspace(), func() error {
		if err := v.recheck(ctx, a); err != nil {
			return fmt.Errorf("check request again: %w", err)
		}
		return v.callLeader(ctx, name, argument, result)
	})
}

// Submit stores a workflow durably. If the error has NotRun unset, the workflow may have been accepted.
func (v *VM) Submit(ctx context.Context, a pj.Authorization, w pj.Workflow) error {
	if err := w.Check(); err != nil {
		return err
	}
	started := v.clock.Now()
	err := v.callLeaderFor(ctx, a, opSubmit, w, nil)
	v.log("submit", "workflow", w.ID, "queue", w.Queue, "workspace", w.Workspace, "took", v.clock.Now()-started,
		"leader", v.leaderClient.Leader(Group), "rules_version", w.RulesVersion, "not_run", err != nil && pj.AsError(err).NotRun, "err", err)
	return err
}

// State returns the state of a workflow.
func (v *VM) State(ctx context.Context, a pj.Authorization, id string) (pj.WorkflowState, error) {
	query := workflowQuery{ID: id, Reach: a.Reach()}
	if state, ok := v.finalStates.get(query.key()); ok {
		return state, nil
	}
	state, ok := v.stateFromReadReplica(ctx, query)
	if !ok {
		if err := v.callLeaderFor(ctx, a, opState, query, &state); err != nil {
			var refused *pj.Error
			if !errors.As(err, &refused) || refused.Code != pj.CodeUnknownJob {
				v.log("state_unknown", "workflow", id, "rules_version", a.RulesVersion(), "err", err)
			}
			return "", err
		}
	}
	if state.Final() {
		v.finalStates.put(query.key(), state)
	}
	return state, nil
}

// Cancel ends a workflow.
func (v *VM) Cancel(ctx context.Context, a pj.Authorization, id string) error {
	err := v.callLeaderFor(ctx, a, opCancel, workflowQuery{ID: id, Reach: a.Reach()}, nil)
	v.log("cancel", "workflow", id, "workspace", a.Workspace(), "rules_version", a.RulesVersion(), "err", err)
	return err
}

// Waiting returns how many workflows of a queue have not started.
func (v *VM) Waiting(ctx context.Context, a pj.Authorization) (int, error) {
	var n int
	started := v.clock.Now()
	err := v.callLeaderFor(ctx, a, opWaiting, a.Route().Name, &n)
	v.log("count", "queue", a.Route().Name, "took", v.clock.Now()-started, "rules_version", a.RulesVersion(), "err", err)
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

// Parameters of the calls for a worker that leaves.
const (
	leaveCheckInterval = 50 * time.Millisecond
	maxLeaveWait       = 5 * time.Second // after which a caller that still waits is told to repeat its call; workers repeat it after a second
)

// Leave removes a worker that is shutting down. It returns nil once all runs of the worker have ended, so that a worker that waits for it
// doesn't end them by its exit. A VM that is stopping doesn't wait: the worker repeats its call elsewhere.
func (v *VM) Leave(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, maxLeaveWait)
	defer cancel()
	for {
		var reply leaveReply
		if err := v.callLeader(ctx, opLeave, id, &reply); err != nil {
			return fmt.Errorf("leave call of worker %s: %w", id, err)
		}
		if !reply.Pending {
			return nil
		}
		if v.stopping.Load() || !leaderclient.Sleep(ctx, leaveCheckInterval) {
			return pj.Fail(pj.CodeOutcomeUnknown, "runs of worker %s are still being stopped", id)
		}
	}
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
