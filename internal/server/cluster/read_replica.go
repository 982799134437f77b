package cluster

import (
	"context"
	"errors"
	"time"

	pj "papayajunction"
	"papayajunction/internal/server/operation"
)

// In a large fleet the replicas answer for the leader what their own state tells: states of workflows, which callers ask for more often than
// for anything else, announcements in which nothing has changed, and newer rules, which every VM needs at the same moment.
const (
	nearTimeout = 250 * time.Millisecond // then the leader is asked, and the replica not again until the next sync
	rulesWait   = time.Second            // for newer rules, which may be large
	nearFresh   = time.Second            // a replica that hasn't heard the leader for so long doesn't answer: callers see their work within 3 s
)

// nearReplica returns the replica that answers this VM for the leader, "" if none does.
func (v *VM) nearReplica() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.near
}

func (v *VM) setNear(vm string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.near = vm
}

// nearState asks the replica that answers for the leader; ok is false if the leader has to be asked.
func (v *VM) nearState(ctx context.Context, q workflowQuery) (state pj.WorkflowState, ok bool) {
	vm := v.nearReplica()
	if vm == "" {
		return "", false
	}
	bounded, cancel := context.WithTimeout(ctx, nearTimeout)
	defer cancel()
	err := v.transport.Call(bounded, vm, opKnownState, q, &state)
	var refused *pj.Error
	if err != nil && ctx.Err() == nil && !errors.As(err, &refused) {
		v.setNear("")
		v.log("near_failed", "vm", vm, "err", err)
	}
	return state, err == nil
}

// runKnownState answers from this replica's own state. It refuses what only the leader can tell: that a workflow isn't known.
func (r *replica) runKnownState(ctx context.Context, q workflowQuery) (pj.WorkflowState, error) {
	return operation.Await(ctx, r.loop, func(reply func(pj.WorkflowState, error)) {
		if !r.isCurrent() {
			reply("", r.notLeader())
			return
		}
		record := r.state.Record(q.ID)
		if record == nil || (q.Workspace != "" && record.Workflow.Workspace != q.Workspace) {
			reply("", pj.Refuse(pj.CodeUnknownJob, "workflow %s is not known on this replica", q.ID))
			return
		}
		reply(record.State(), nil)
	})
}

// nearRules returns rules of at least a version from this replica's own state, or from the replica that answers this VM; nil if they don't
// have them.
func (v *VM) nearRules(ctx context.Context, version int64) *pj.Ruleset {
	ctx, cancel := context.WithTimeout(ctx, rulesWait)
	defer cancel()
	var rules pj.Ruleset
	var err error
	if v.replica != nil {
		rules, err = v.replica.runKnownRules(ctx, struct{}{})
	} else {
		err = v.transport.Call(ctx, v.nearReplica(), opKnownRules, struct{}{}, &rules)
	}
	if err != nil || rules.Version < version {
		v.log("near_rules_missing", "version", version, "known", rules.Version, "err", err)
		return nil
	}
	return &rules
}

func (r *replica) runKnownRules(ctx context.Context, _ struct{}) (pj.Ruleset, error) {
	return operation.Await(ctx, r.loop, func(reply func(pj.Ruleset, error)) { reply(*withoutDocument(r.state.Rules()), nil) })
}

// withoutDocument returns a copy of the rules for look-ups. What was published is only read back from the leader, and a VM's link may be slow.
func withoutDocument(rules *pj.Ruleset) *pj.Ruleset {
	copied := *rules
	if copied.Document != nil {
		copied.Document = []byte("{}")
	}
	return &copied
}

// isCurrent reports whether this replica's state holds what the leader's held a short time ago.
func (r *replica) isCurrent() bool {
	r.vm.mu.Lock()
	told := r.vm.applied
	r.vm.mu.Unlock()
	return r.group != nil && r.group.Applied() >= told && r.vm.book.Age() <= nearFresh
}

// knows reports whether the replicated state holds a worker as it announces itself, so that the leader needn't hear of it.
func (r *replica) knows(ctx context.Context, w *pj.PolledWorker) bool {
	known, err := operation.Await(ctx, r.loop, func(reply func(bool, error)) {
		held, ok := r.state.Worker(w.ID)
		reply(ok && r.isCurrent() && held.Incarnation == w.Incarnation && held.Sequence < w.Sequence && !w.Draining && held.SameAs(w), nil)
	})
	return err == nil && known
}
