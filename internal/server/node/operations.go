package node

import (
	"context"
	"encoding/json"

	pj "papayajunction"
	"papayajunction/internal/control/loop"
)

// operation runs one call on this VM.
type operation func(ctx context.Context, argument []byte) (any, error)

// typed turns a function on typed messages into an operation.
func typed[A, R any](run func(context.Context, A) (R, error)) operation {
	return func(ctx context.Context, argument []byte) (any, error) {
		var a A
		if err := json.Unmarshal(argument, &a); err != nil {
			return nil, pj.Refuse(pj.CodeBadRequest, "the argument can't be read: %v", err)
		}
		return run(ctx, a)
	}
}

// await runs start on the control goroutine and waits for its reply.
func await[R any](ctx context.Context, l *loop.Loop, start func(reply func(R, error))) (R, error) {
	type outcome struct {
		value R
		err   error
	}
	replies := make(chan outcome, 1)
	l.Post(func() {
		start(func(value R, err error) {
			select {
			case replies <- outcome{value: value, err: err}:
			default:
			}
		})
	})
	select {
	case o := <-replies:
		return o.value, o.err
	case <-ctx.Done():
		var none R
		return none, ctx.Err()
	}
}

// Names of operations between VMs.
const (
	opHello       = "hello"
	opSync        = "sync"
	opPublish     = "publish"
	opGrantKey    = "grant_key"
	opWithdrawKey = "withdraw_key"
	opListKeys    = "list_keys"
	opAllotments  = "allotments"
	opFleetStatus = "fleet_status"
	opSubmit      = "submit"
	opCancel      = "cancel"
	opJob         = "job"
	opReport      = "report"
	opAnnounce    = "announce"
	opGrant       = "grant"
	opRelease     = "release"
	opAbandon     = "abandon"
	opCellStatus  = "cell_status"
	opDrain       = "drain"
)

func (n *Node) newOperations() map[string]operation {
	return map[string]operation{
		opHello:       typed(n.runHello),
		opSync:        typed(n.fleet.runSync),
		opPublish:     typed(n.fleet.runPublish),
		opGrantKey:    typed(n.fleet.runGrantKey),
		opWithdrawKey: typed(n.fleet.runWithdrawKey),
		opListKeys:    typed(n.fleet.runListKeys),
		opAllotments:  typed(n.fleet.runAllotments),
		opFleetStatus: typed(n.fleet.runStatus),
		opSubmit:      typed(n.runSubmit),
		opCancel:      typed(n.runCancel),
		opJob:         typed(n.runJob),
		opReport:      typed(n.runReport),
		opAnnounce:    typed(n.runAnnounce),
		opGrant:       typed(n.runGrant),
		opRelease:     typed(n.runRelease),
		opAbandon:     typed(n.runAbandon),
		opCellStatus:  typed(n.runCellStatus),
		opDrain:       typed(n.runDrain),
	}
}

// Run runs an operation that another VM asked for.
func (n *Node) Run(ctx context.Context, name string, argument []byte) (any, error) {
	run, ok := n.operations[name]
	if !ok {
		return nil, pj.Refuse(pj.CodeBadRequest, "operation %s is not known", name)
	}
	return run(ctx, argument)
}
