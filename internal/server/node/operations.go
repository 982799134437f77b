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
	opRepeated    = "repeated"
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
		opHello:       operation.NewHandler(n.handleHello),
		opSync:        operation.NewHandler(n.fleet.handleSync),
		opPublish:     operation.NewHandler(n.fleet.handlePublish),
		opGrantKey:    operation.NewHandler(n.fleet.handleGrantKey),
		opWithdrawKey: operation.NewHandler(n.fleet.handleWithdrawKey),
		opListKeys:    operation.NewHandler(n.fleet.handleListKeys),
		opAllotments:  operation.NewHandler(n.fleet.handleAllotments),
		opFleetStatus: operation.NewHandler(n.fleet.handleStatus),
		opSubmit:      operation.NewHandler(n.handleSubmit),
		opRepeated:    operation.NewHandler(n.handleRepeated),
		opCancel:      operation.NewHandler(n.handleCancel),
		opJob:         operation.NewHandler(n.handleJob),
		opReport:      operation.NewHandler(n.handleReport),
		opAnnounce:    operation.NewHandler(n.handleAnnounce),
		opGrant:       operation.NewHandler(n.handleGrant),
		opRelease:     operation.NewHandler(n.handleRelease),
		opAbandon:     operation.NewHandler(n.handleAbandon),
		opCellStatus:  operation.NewHandler(n.handleCellStatus),
		opDrain:       operation.NewHandler(n.handleDrain),
	}
}

// Run runs an operation that another VM called.
func (n *Node) Run(ctx context.Context, name string, argument []byte) (any, error) {
	return n.operations.Run(ctx, name, argument)
}
