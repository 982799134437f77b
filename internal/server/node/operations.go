package node

import (
	"context"

	"papayajunction/internal/server/operation"
)

// Names of the operations that VMs call on each other.
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
		opHello:       operation.Typed(n.handleHello),
		opSync:        operation.Typed(n.fleet.handleSync),
		opPublish:     operation.Typed(n.fleet.handlePublish),
		opGrantKey:    operation.Typed(n.fleet.handleGrantKey),
		opWithdrawKey: operation.Typed(n.fleet.handleWithdrawKey),
		opListKeys:    operation.Typed(n.fleet.handleListKeys),
		opAllotments:  operation.Typed(n.fleet.handleAllotments),
		opFleetStatus: operation.Typed(n.fleet.handleStatus),
		opSubmit:      operation.Typed(n.handleSubmit),
		opCancel:      operation.Typed(n.handleCancel),
		opJob:         operation.Typed(n.handleJob),
		opReport:      operation.Typed(n.handleReport),
		opAnnounce:    operation.Typed(n.handleAnnounce),
		opGrant:       operation.Typed(n.handleGrant),
		opRelease:     operation.Typed(n.handleRelease),
		opAbandon:     operation.Typed(n.handleAbandon),
		opCellStatus:  operation.Typed(n.handleCellStatus),
		opDrain:       operation.Typed(n.handleDrain),
	}
}

// Run runs an operation that another VM called.
func (n *Node) Run(ctx context.Context, name string, argument []byte) (any, error) {
	return n.operations.Run(ctx, name, argument)
}
