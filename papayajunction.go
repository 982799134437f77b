// Package papayajunction holds the domain types and the interfaces of the cluster scheduler.
//
// Implementations live below internal/, grouped by area: control (agreement, state, policy),
// traffic (requests), server (the daemon), client, config, storage and standin.
package papayajunction

import (
	"context"
	"time"
)

// Clock tells the time elapsed since an arbitrary fixed point of the process.
type Clock interface {
	Now() time.Duration
}

// Committer makes a command durable in a replicated group and calls done once with its result.
type Committer interface {
	Commit(command []byte, done func(CommitResult))
}

// CommitResult is the outcome of one Commit: the value that the state returned, or an error.
type CommitResult struct {
	Value any
	Err   error
}

// Replicated is a deterministic state that a replicated group keeps equal on its replicas.
type Replicated interface {
	Apply(index uint64, command []byte) any
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Handler answers one request.
type Handler interface {
	Serve(ctx context.Context, x *Exchange) error
}

// HandlerFunc lets a plain function serve as a Handler.
type HandlerFunc func(ctx context.Context, x *Exchange) error

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, x *Exchange) error {
	return f(ctx, x)
}

// Filter wraps a Handler with one concern, such as identity or a deadline.
type Filter interface {
	Wrap(next Handler) Handler
}

// Placer chooses workers for tasks without reserving anything.
type Placer interface {
	Place(shape Shape) (worker string, ok bool)
}

// Orderer orders workspaces; the one with the smallest share is served next.
type Orderer interface {
	Allows(workspace string, amount Resources) bool
	Share(workspace string) float64
}

// Estimator learns sizes and run times of a queue's tasks from what was observed.
type Estimator interface {
	Observe(queue string, peak Resources, run time.Duration)
	Reservation(queue string, declared Resources) Resources
	RunTime(queue string, declared time.Duration) time.Duration
}

// Scheduler decides which tasks start where. Times are those of one clock.
type Scheduler interface {
	SetWorker(w Worker)
	SetUsable(worker string, usable bool)
	RemoveWorker(worker string)
	SetWorkspace(workspace string, weight float64, limit Resources)
	Submit(now time.Duration, work Work)
	Cancel(job string)
	Adopt(task RunningTask)
	Ended(now time.Duration, job string, task int)
	Next(now time.Duration, most int) Plan
}

// Worker is a VM that runs tasks.
type Worker struct {
	Name     string
	Rack     string
	Capacity Resources
}

// Work is the part of a job that is to be started.
type Work struct {
	Job     *Job
	Pending []int // indexes of the tasks that don't run
	Since   time.Duration
}

// RunningTask is a task with its place and what is reserved for it.
type RunningTask struct {
	Job         *Job
	Task        int
	Worker      string
	Reservation Resources
	Started     time.Duration
}

// Plan is what a Scheduler wants done now.
type Plan struct {
	Starts   []Start
	Preempts []Preempt
}

// Start places one task.
type Start struct {
	Job         string
	Task        int
	Worker      string
	Reservation Resources
	Waited      time.Duration
}

// Preempt makes a running task give way; its work is not lost but waits again.
type Preempt struct {
	Job    string
	Task   int
	Worker string
	Verb   Verb
}

// Shape is what the choice of a worker depends on.
type Shape struct {
	Kind   Kind
	Amount Resources
	Rack   string              // when set, only workers of this rack are considered
	Avoid  map[string]struct{} // workers that must not be chosen
	Spread map[string]int      // tasks of the same job for each rack; fewer is better
}
