// Package operation holds the calls that the VMs of a system run for each other, by name.
package operation

import (
	"context"
	"encoding/json"
	"fmt"

	pj "papayajunction"
	"papayajunction/internal/control/loop"
)

// Func runs one call on this VM.
type Func func(ctx context.Context, argument []byte) (any, error)

// Table holds the calls of a VM by name.
type Table map[string]Func

// Run runs the named call.
func (t Table) Run(ctx context.Context, name string, argument []byte) (any, error) {
	run, ok := t[name]
	if !ok {
		return nil, pj.Refuse(pj.CodeBadRequest, "operation %s is not known", name)
	}
	return run(ctx, argument)
}

// RunLocal runs the named call on this VM as if another VM had asked for it.
func (t Table) RunLocal(ctx context.Context, name string, argument, result any) error {
	body, err := json.Marshal(argument)
	if err != nil {
		return fmt.Errorf("write argument of %s: %w", name, err)
	}
	value, err := t.Run(ctx, name, body)
	if err != nil || result == nil {
		return err
	}
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("write result of %s: %w", name, err)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("read result of %s: %w", name, err)
	}
	return nil
}

// Typed turns a function on typed messages into a Func.
func Typed[A, R any](run func(context.Context, A) (R, error)) Func {
	return func(ctx context.Context, argument []byte) (any, error) {
		var a A
		if err := json.Unmarshal(argument, &a); err != nil {
			return nil, pj.Refuse(pj.CodeBadRequest, "the argument can't be read: %v", err)
		}
		return run(ctx, a)
	}
}

// Await runs start on the control goroutine and waits for its reply.
func Await[R any](ctx context.Context, l *loop.Loop, start func(reply func(R, error))) (R, error) {
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
