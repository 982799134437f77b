package cluster

import (
	"context"

	pj "papayajunction"
	control "papayajunction/internal/control/replica"
	"papayajunction/internal/server/operation"
)

func (r *replica) addOperations(t operation.Table) {
	t[opHello] = operation.NewHandler(r.runHello)
	t[opJoin] = operation.NewHandler(r.runJoin)
	t[opSync] = operation.NewHandler(r.runSync)
	t[opSubmit] = operation.NewHandler(r.runSubmit)
	t[opCancel] = operation.NewHandler(r.runCancel)
	t[opState] = operation.NewHandler(r.runState)
	t[opWaiting] = operation.NewHandler(r.runWaiting)
	t[opPublish] = operation.NewHandler(r.runPublish)
	t[opReadRules] = operation.NewHandler(r.runReadRules)
	t[opAnnounce] = operation.NewHandler(r.runAnnounce)
	t[opOrders] = operation.NewHandler(r.runOrders)
	t[opOrderResults] = operation.NewHandler(r.runOrderResults)
	t[opLeave] = operation.NewHandler(r.runLeave)
	t[opReplicaState] = operation.NewHandler(r.runReplicaState)
	t[opReplicaRules] = operation.NewHandler(r.runReplicaRules)
}

// runIfLeader runs an operation on the control goroutine if this VM is the leader, and refuses it otherwise.
func runIfLeader[R any](ctx context.Context, r *replica, run func(reply func(R, error))) (R, error) {
	return operation.RunOnLoop(ctx, r.loop, func(reply func(R, error)) {
		var zero R
		if ctx.Err() != nil {
			reply(zero, ctx.Err()) // the caller no longer waits for the reply and will retry
			return
		}
		if r.controller == nil || !r.group.Serving() {
			reply(zero, r.notLeader())
			return
		}
		run(reply)
	})
}

// notLeader returns the error with which this VM refuses operations that only the leader may run. It names the leader if
// this VM knows which other VM leads.
func (r *replica) notLeader() *pj.Error {
	e := pj.Refuse(pj.CodeNotLeader, "VM %s does not lead", r.vm.options.Address)
	if r.group != nil {
		if leader := control.VMOf(r.group.Leadership().Leader); leader != r.vm.options.Address {
			e.Leader = leader
		}
	}
	return e
}

func (r *replica) runSync(ctx context.Context, s syncRequest) (syncReply, error) {
	return runIfLeader(ctx, r, func(reply func(syncReply, error)) {
		now := r.vm.clock.Now()
		if s.Stopping {
			delete(r.advisorSyncedAt, s.VM)
		} else {
			r.advisorSyncedAt[s.VM] = now
		}
		r.recordPeer(now, s)
		rules := r.state.Rules()
		response := syncReply{Version: rules.Version, Members: r.memberVMs(), Applied: r.group.Applied()}
		if !s.Replica && r.controller.WorkerCount() >= minRelayWorkers {
			response.ReadReplica = r.relayFor(now, s.Zone, nil)
		}
		if rules.Document != nil && (!s.HasRules || s.Version < rules.Version) {
			response.RulesOmitted = s.MayOmitRules && (s.Replica || response.ReadReplica != "")
			if !response.RulesOmitted {
				response.Rules = withoutDocument(rules)
			}
		}
		reply(response, nil)
	})
}

// memberVMs returns the VMs of the group's members, this one first.
func (r *replica) memberVMs() []string {
	vms := []string{r.vm.options.Address}
	m := r.group.Membership()
	for _, id := range append(append([]string(nil), m.Voters...), m.Learners...) {
		if vm := control.VMOf(id); vm != r.vm.options.Address {
			vms = append(vms, vm)
		}
	}
	return vms
}

func (r *replica) runSubmit(ctx context.Context, w pj.Workflow) (struct{}, error) {
	return runIfLeader(ctx, r, func(reply func(struct{}, error)) {
		r.controller.Submit(w, func(err error) { reply(struct{}{}, err) })
	})
}

func (r *replica) runCancel(ctx context.Context, q workflowQuery) (struct{}, error) {
	return runIfLeader(ctx, r, func(reply func(struct{}, error)) {
		r.controller.Cancel(q.ID, q.Reach, func(err error) { reply(struct{}{}, err) })
	})
}

func (r *replica) runState(ctx context.Context, q workflowQuery) (pj.WorkflowState, error) {
	return runIfLeader(ctx, r, func(reply func(pj.WorkflowState, error)) {
		reply(r.controller.Status(q.ID, q.Reach))
	})
}

func (r *replica) runWaiting(ctx context.Context, queue string) (int, error) {
	return runIfLeader(ctx, r, func(reply func(int, error)) { reply(r.controller.WaitingWorkflows(queue), nil) })
}

func (r *replica) runPublish(ctx context.Context, rules pj.Ruleset) (publishReply, error) {
	return runIfLeader(ctx, r, func(reply func(publishReply, error)) {
		r.controller.Configure(rules, func(version int64, err error) { reply(publishReply{Version: version}, err) })
	})
}

// runReadRules returns the rules after a majority has confirmed that this VM is still the leader.
func (r *replica) runReadRules(ctx context.Context, _ struct{}) (pj.Ruleset, error) {
	return runIfLeader(ctx, r, func(reply func(pj.Ruleset, error)) {
		r.group.Read(func(err error) {
			if err != nil {
				reply(pj.Ruleset{}, r.notLeader())
				return
			}
			reply(*r.state.Rules(), nil)
		})
	})
}

func (r *replica) runAnnounce(ctx context.Context, w pj.PolledWorker) (struct{}, error) {
	return runIfLeader(ctx, r, func(reply func(struct{}, error)) {
		r.controller.Announce(w, func(err error) { reply(struct{}{}, err) })
	})
}

func (r *replica) runLeave(ctx context.Context, id string) (leaveReply, error) {
	return runIfLeader(ctx, r, func(reply func(leaveReply, error)) {
		r.controller.Leave(id, func(removed bool, err error) { reply(leaveReply{Pending: !removed}, err) })
	})
}
