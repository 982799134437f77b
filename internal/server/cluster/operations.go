package cluster

import (
	"context"

	pj "papayajunction"
	control "papayajunction/internal/control/replica"
	"papayajunction/internal/server/operation"
)

func (r *replica) addOperations(t operation.Table) {
	t[opHello] = operation.Typed(r.runHello)
	t[opJoin] = operation.Typed(r.runJoin)
	t[opSync] = operation.Typed(r.runSync)
	t[opSubmit] = operation.Typed(r.runSubmit)
	t[opCancel] = operation.Typed(r.runCancel)
	t[opState] = operation.Typed(r.runState)
	t[opWaiting] = operation.Typed(r.runWaiting)
	t[opPublish] = operation.Typed(r.runPublish)
	t[opReadRules] = operation.Typed(r.runReadRules)
	t[opAnnounce] = operation.Typed(r.runAnnounce)
	t[opOrders] = operation.Typed(r.runOrders)
	t[opAnswers] = operation.Typed(r.runAnswers)
	t[opLeave] = operation.Typed(r.runLeave)
	t[opKnownState] = operation.Typed(r.runKnownState)
	t[opKnownRules] = operation.Typed(r.runKnownRules)
}

// leading runs work on the control goroutine if this VM leads.
func leading[R any](ctx context.Context, r *replica, work func(reply func(R, error))) (R, error) {
	return operation.Await(ctx, r.loop, func(reply func(R, error)) {
		var none R
		if ctx.Err() != nil {
			reply(none, ctx.Err()) // nobody waits for the answer any more, and the caller tries again
			return
		}
		if r.controller == nil || !r.group.Serving() {
			reply(none, r.notLeader())
			return
		}
		work(reply)
	})
}

// notLeader returns the error with which this VM refuses what only the leader may do.
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
	return leading(ctx, r, func(reply func(syncReply, error)) {
		now := r.vm.clock.Now()
		r.askers[s.VM] = now
		r.hearPeer(now, s)
		rules := r.state.Rules()
		answer := syncReply{Version: rules.Version, Members: r.memberVMs(), Applied: r.group.Applied()}
		if !s.Replica && r.controller.Workers() >= relayFrom {
			answer.Near = r.relayOf(now, s.Zone, nil)
		}
		if rules.Document != nil && (!s.Have || s.Version < rules.Version) {
			answer.Newer = s.Lean && (s.Replica || answer.Near != "")
			if !answer.Newer {
				answer.Rules = withoutDocument(rules)
			}
		}
		reply(answer, nil)
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
	return leading(ctx, r, func(reply func(struct{}, error)) {
		r.controller.Submit(w, func(err error) { reply(struct{}{}, err) })
	})
}

func (r *replica) runCancel(ctx context.Context, q workflowQuery) (struct{}, error) {
	return leading(ctx, r, func(reply func(struct{}, error)) {
		r.controller.Cancel(q.ID, q.Workspace, func(err error) { reply(struct{}{}, err) })
	})
}

func (r *replica) runState(ctx context.Context, q workflowQuery) (pj.WorkflowState, error) {
	return leading(ctx, r, func(reply func(pj.WorkflowState, error)) {
		reply(r.controller.Status(q.ID, q.Workspace))
	})
}

func (r *replica) runWaiting(ctx context.Context, queue string) (int, error) {
	return leading(ctx, r, func(reply func(int, error)) { reply(r.controller.Waiting(queue), nil) })
}

func (r *replica) runPublish(ctx context.Context, rules pj.Ruleset) (published, error) {
	return leading(ctx, r, func(reply func(published, error)) {
		r.controller.Configure(rules, func(version int64, err error) { reply(published{Version: version}, err) })
	})
}

// runReadRules answers after a majority has confirmed that this VM still leads.
func (r *replica) runReadRules(ctx context.Context, _ struct{}) (pj.Ruleset, error) {
	return leading(ctx, r, func(reply func(pj.Ruleset, error)) {
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
	return leading(ctx, r, func(reply func(struct{}, error)) {
		r.controller.Announce(w, func(err error) { reply(struct{}{}, err) })
	})
}

func (r *replica) runLeave(ctx context.Context, id string) (struct{}, error) {
	return leading(ctx, r, func(reply func(struct{}, error)) {
		r.controller.Leave(id, func(err error) { reply(struct{}{}, err) })
	})
}
