// Package operation dispatches the operations that the VMs of a system call on each other, by name.
package operation

import (
	"context"
	"encoding/json"
	"fmt"

	pj "papayajunction"
	"papayajunction/internal/control/loop"
)

// Handler runs one operation on this VM.
type Handler func(ctx context.Context, argument []byte) (any, error)

// Table contains the operations of a VM by name.
type Table map[string]Handler

// Run runs the named operation.
func (t Table) Run(ctx context.Context, name string, argument []byte) (any, error) {
	run, ok := t[name]
	if !ok {
		return nil, pj.Refuse(pj.CodeBadRequest, "operation %s is not known", name)
	}
	return run(ctx, argument)
}

// RunLocal runs the named operation on this VM with the same encoding as a call from another VM.
func (t Table) RunLocal(ctx context.Context, name string, argument, result any) error {
	body, err := json.Marshal(argument)
	if err != nil {
		return fmt.Errorf("encode argument of %s: %w", name, err)
	}
	value, err := t.Run(ctx, name, body)
	if err != nil || result == nil {
		return err
	}
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode result of %s: %w", name, err)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("decode result of %s: %w", name, err)
	}
	return nil
}

// NewHandler returns a Handler that decodes its argument from JSON and passes it to run.
func NewHandler[A, R any](run func(context.Context, A) (R, error)) Handler {
	return func(ctx context.Context, argument []byte) (any, error) {
		var a A
		if err := json.Unmarshal(argument, &a); err != nil {
			return nil, pj.Refuse(pj.CodeBadRequest, "can't decode argument: %v", err)
		}
		return run(ctx, a)
	}
}

// RunOnLoop runs start on the goroutine of the loop and waits until start has called reply, or ctx ends. Only the first reply
// counts.
func RunOnLoop[R any](ctx context.Context, l *loop.Loop, start func(reply func(R, error))) (R, error) {
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
		var zero R
		return zero, ctx.Err()
	}
}
