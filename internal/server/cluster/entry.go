package cluster

import (
	"context"
	"errors"
	"sync"
	"time"

	pj "papayajunction"
)

// finals remembers final states of workflows, which never change.
type finals struct {
	mu     sync.Mutex
	states map[string]pj.WorkflowState
	order  []string
	next   int
}

func newFinals(most int) finals {
	return finals{states: make(map[string]pj.WorkflowState), order: make([]string, most)}
}

func (f *finals) get(id string) (pj.WorkflowState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, ok := f.states[id]
	return state, ok
}

func (f *finals) put(id string, state pj.WorkflowState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.states[id]; ok {
		return
	}
	delete(f.states, f.order[f.next])
	f.order[f.next] = id
	f.next = (f.next + 1) % len(f.order)
	f.states[id] = state
}

// Authorise returns the queue of a call and the workspace that its key belongs to, which is empty for
// queues that are open to all. What isn't known here is asked for before it is refused.
func (v *VM) Authorise(ctx context.Context, host, path, key string) (*pj.Route, string, error) {
	route, workspace, err := v.authorise(host, path, key)
	if err == nil || pj.AsError(err).Code == pj.CodeKeysUnknown {
		return route, workspace, err
	}
	if v.book.Age() > rulesFresh {
		if err := v.Sync(ctx); err != nil {
			return nil, "", v.unsure(err)
		}
	}
	return v.authorise(host, path, key)
}

// rulesFresh is the age up to which rules are new enough to refuse a call by them.
const rulesFresh = 100 * time.Millisecond

// unsure refuses a call because the rules can't be confirmed.
func (v *VM) unsure(err error) error {
	e := pj.Refuse(pj.CodeKeysUnknown, "the rules can't be confirmed: %v", err)
	e.RetryAfter = pj.Duration(time.Second)
	return e
}

func (v *VM) authorise(host, path, key string) (*pj.Route, string, error) {
	if err := v.book.CheckLease(); err != nil {
		return nil, "", err
	}
	rules := v.book.Rules()
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

// Submit makes a workflow durable. An error with NotRun unset leaves open whether it was accepted.
func (v *VM) Submit(ctx context.Context, w pj.Workflow) error {
	if err := w.Check(); err != nil {
		return err
	}
	started := v.clock.Now()
	err := v.callInTurn(ctx, opSubmit, w, nil)
	v.log("submit", "workflow", w.ID, "queue", w.Queue, "workspace", w.Workspace, "took", v.clock.Now()-started,
		"leader", v.finder.Leader(Group), "rules_version", v.book.Rules().Version, "err", err)
	return err
}

// State returns the state of a workflow.
func (v *VM) State(ctx context.Context, id, workspace string) (pj.WorkflowState, error) {
	if state, ok := v.finals.get(workspace + "/" + id); ok {
		return state, nil
	}
	query := workflowQuery{ID: id, Workspace: workspace}
	state, ok := v.nearState(ctx, query)
	if !ok {
		if err := v.callInTurn(ctx, opState, query, &state); err != nil {
			var refused *pj.Error
			if !errors.As(err, &refused) || refused.Code != pj.CodeUnknownJob {
				v.log("state_unknown", "workflow", id, "err", err)
			}
			return "", err
		}
	}
	if state.Final() {
		v.finals.put(workspace+"/"+id, state)
	}
	return state, nil
}

// Cancel ends a workflow.
func (v *VM) Cancel(ctx context.Context, id, workspace string) error {
	err := v.callInTurn(ctx, opCancel, workflowQuery{ID: id, Workspace: workspace}, nil)
	v.log("cancel", "workflow", id, "workspace", workspace, "err", err)
	return err
}

// Waiting returns how many workflows of a queue have not started.
func (v *VM) Waiting(ctx context.Context, queue string) (int, error) {
	var n int
	err := v.callInTurn(ctx, opWaiting, queue, &n)
	return n, err
}

// Publish puts rules into force unless newer ones are, and returns the version in force.
func (v *VM) Publish(ctx context.Context, rules pj.Ruleset) (int64, error) {
	if err := rules.Check(); err != nil {
		v.log("rules_refused", "version", rules.Version, "err", err)
		return 0, err
	}
	var p published
	err := v.call(ctx, opPublish, rules, &p)
	v.log("publish", "version", rules.Version, "in_force", p.Version, "err", err)
	return p.Version, err
}

// ReadRules returns the rules in force, confirmed by a majority.
func (v *VM) ReadRules(ctx context.Context) (pj.Ruleset, error) {
	var rules pj.Ruleset
	err := v.call(ctx, opReadRules, struct{}{}, &rules)
	return rules, err
}

// Announce takes in what a worker says of itself and returns the address for its next announcements, this VM's if it is a replica.
func (v *VM) Announce(ctx context.Context, w pj.PolledWorker) (string, error) {
	if v.replica != nil && v.replica.knows(ctx, &w) {
		return withPort(v.options.Address, v.options.PublicPort), nil
	}
	if err := v.call(ctx, opAnnounce, w, nil); err != nil {
		return "", err
	}
	next := v.options.Address
	if v.replica == nil {
		next = v.finder.Leader(Group)
	}
	return withPort(next, v.options.PublicPort), nil
}

// Leave takes in that a worker ends.
func (v *VM) Leave(ctx context.Context, id string) error {
	return v.call(ctx, opLeave, id, nil)
}

// runAdvise asks the queue's policy on behalf of the leader.
func (v *VM) runAdvise(ctx context.Context, r adviseRequest) (pj.Advice, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.WaitMS)*time.Millisecond)
	defer cancel()
	return v.options.Advisor.Advise(ctx, r.Step, r.Workers)
}

// BodyLimit returns how many bytes a caller's body may have, 0 if the rules don't say.
func (v *VM) BodyLimit() int64 {
	return v.book.Rules().Limits.MaxBodyBytes
}
