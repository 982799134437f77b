package node

import (
	"context"

	"papayajunction/internal/server/operation"
)

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

func (n *Node) newOperations() operation.Table {
	return operation.Table{
		opHello:       operation.Typed(n.runHello),
		opSync:        operation.Typed(n.fleet.runSync),
		opPublish:     operation.Typed(n.fleet.runPublish),
		opGrantKey:    operation.Typed(n.fleet.runGrantKey),
		opWithdrawKey: operation.Typed(n.fleet.runWithdrawKey),
		opListKeys:    operation.Typed(n.fleet.runListKeys),
		opAllotments:  operation.Typed(n.fleet.runAllotments),
		opFleetStatus: operation.Typed(n.fleet.runStatus),
		opSubmit:      operation.Typed(n.runSubmit),
		opCancel:      operation.Typed(n.runCancel),
		opJob:         operation.Typed(n.runJob),
		opReport:      operation.Typed(n.runReport),
		opAnnounce:    operation.Typed(n.runAnnounce),
		opGrant:       operation.Typed(n.runGrant),
		opRelease:     operation.Typed(n.runRelease),
		opAbandon:     operation.Typed(n.runAbandon),
		opCellStatus:  operation.Typed(n.runCellStatus),
		opDrain:       operation.Typed(n.runDrain),
	}
}

// Run runs an operation that another VM asked for.
func (n *Node) Run(ctx context.Context, name string, argument []byte) (any, error) {
	return n.operations.Run(ctx, name, argument)
}
