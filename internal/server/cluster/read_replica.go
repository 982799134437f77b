package cluster

import (
	"context"
	"errors"
	"time"

	pj "papayajunction"
	"papayajunction/internal/server/operation"
)

// In a large fleet, replicas relieve the leader of requests that they can serve from their own state: queries for the state
// of a workflow, which are callers' most frequent requests, announcements without a change, and newer rules, which all VMs
// need at the same moment.
const (
	replicaReadTimeout  = 250 * time.Millisecond // after which the leader is queried, and the replica is not used until the next sync
	rulesTimeout        = time.Second            // longer, because rules may be large
	maxReplicaStaleness = time.Second            // a replica without contact to the leader for longer refuses reads, so that callers see their work within 3 s
)

// assignedReadReplica returns the replica that serves this VM's reads, or "" if the leader serves them.
func (v *VM) assignedReadReplica() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.readReplica
}

func (v *VM) setReadReplica(vm string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.readReplica = vm
}

// stateFromReadReplica queries the read replica for the state of a workflow; ok is false if the leader must be queried
// instead.
func (v *VM) stateFromReadReplica(ctx context.Context, q workflowQuery) (state pj.WorkflowState, ok bool) {
	vm := v.assignedReadReplica()
	if vm == "" {
		return "", false
	}
	readCtx, cancel := context.WithTimeout(ctx, replicaReadTimeout)
	defer cancel()
	err := v.transport.Call(readCtx, vm, opReplicaState, q, &state)
	var refused *pj.Error
	if err != nil && ctx.Err() == nil && !errors.As(err, &refused) {
		v.setReadReplica("")
		v.log("near_failed", "vm", vm, "err", err)
	}
	return state, err == nil
}

// runReplicaState returns the state of a workflow from this replica's own state. If the workflow is not there, it returns an
// error, and the caller must query the leader, because only the leader's state certainly contains every workflow.
func (r *replica) runReplicaState(ctx context.Context, q workflowQuery) (pj.WorkflowState, error) {
	return operation.RunOnLoop(ctx, r.loop, func(reply func(pj.WorkflowState, error)) {
		if !r.isCurrent() {
			reply("", r.notLeader())
			return
		}
		record := r.state.Record(q.ID)
		if record == nil || !q.Includes(&record.Workflow) {
			reply("", pj.Refuse(pj.CodeUnknownJob, "workflow %s is not known on this replica", q.ID))
			return
		}
		reply(record.State(), nil)
	})
}

// rulesFromReplica returns rules of at least the given version, from this VM's own state if it is a replica, else from its
// read replica. It returns nil if that replica doesn't have them.
func (v *VM) rulesFromReplica(ctx context.Context, version int64) *pj.Ruleset {
	ctx, cancel := context.WithTimeout(ctx, rulesTimeout)
	defer cancel()
	var rules pj.Ruleset
	var err error
	if v.replica != nil {
		rules, err = v.replica.runReplicaRules(ctx, struct{}{})
	} else {
		err = v.transport.Call(ctx, v.assignedReadReplica(), opReplicaRules, struct{}{}, &rules)
	}
	if err != nil || rules.Version < version {
		v.log("near_rules_missing", "version", version, "known", rules.Version, "err", err)
		return nil
	}
	return &rules
}

func (r *replica) runReplicaRules(ctx context.Context, _ struct{}) (pj.Ruleset, error) {
	return operation.RunOnLoop(ctx, r.loop, func(reply func(pj.Ruleset, error)) { reply(*withoutDocument(r.state.Rules()), nil) })
}

// withoutDocument returns a copy of the rules for lookups, in which a placeholder replaces the published document: that is
// only read from the leader, and a VM's network link may be slow.
func withoutDocument(rules *pj.Ruleset) *pj.Ruleset {
	copied := *rules
	if copied.Document != nil {
		copied.Document = []byte("{}")
	}
	return &copied
}

// isCurrent reports whether this replica has applied all that the leader had applied at the last sync, and that sync is
// at most maxReplicaStaleness old.
func (r *replica) isCurrent() bool {
	r.vm.mu.Lock()
	leaderApplied := r.vm.leaderApplied
	r.vm.mu.Unlock()
	return r.group != nil && r.group.Applied() >= leaderApplied && r.vm.ruleCache.SinceConfirmed() <= maxReplicaStaleness
}

// hasUnchangedWorker reports whether the replicated state already contains a worker as it is announced, so that the
// announcement need not be forwarded to the leader.
func (r *replica) hasUnchangedWorker(ctx context.Context, w *pj.PolledWorker) bool {
	unchanged, err := operation.RunOnLoop(ctx, r.loop, func(reply func(bool, error)) {
		stored, ok := r.state.Worker(w.ID)
		reply(ok && r.isCurrent() && stored.Incarnation == w.Incarnation && stored.Sequence < w.Sequence && !w.Draining && stored.SameAs(w), nil)
	})
	return err == nil && unchanged
}
