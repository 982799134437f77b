// Package papayajunction holds the domain types and the interfaces of the cluster scheduler.
//
// Implementations are below internal/, grouped by area: control (consensus, state, policy), traffic
// (requests), server (the daemons), client, config, storage, standin (simulated workers and
// endpoints), replay (simulation of recorded and generated traces) and soak (fault injection).
package papayajunction

import (
	"context"
	"time"
)

// Clock returns the time elapsed since an arbitrary fixed point of the process.
type Clock interface {
	Now() time.Duration
}

// Committer makes a command durable in a replicated group and calls done once with its result.
type Committer interface {
	Commit(command []byte, done func(CommitResult))
}

// CommitResult is the outcome of one Commit: the value that the state machine returned, or an error.
type CommitResult struct {
	Value any
	Err   error
}

// StateMachine is the deterministic state machine of a replicated group; each replica applies the
// group's log to its own instance.
type StateMachine interface {
	Apply(index uint64, command []byte) any
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Handler serves one request.
type Handler interface {
	Serve(ctx context.Context, x *Exchange) error
}

// HandlerFunc lets a plain function serve as a Handler.
type HandlerFunc func(ctx context.Context, x *Exchange) error

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, x *Exchange) error {
	return f(ctx, x)
}

// Filter wraps a Handler with one concern, such as authorization or a deadline.
type Filter interface {
	Wrap(next Handler) Handler
}

// Placer chooses workers for tasks without reserving anything.
type Placer interface {
	Place(r PlacementRequest) (worker string, ok bool)
}

// FairnessPolicy limits the usage of workspaces and orders them: the one with the smallest share is
// served next.
type FairnessPolicy interface {
	Allows(workspace string, amount Resources) bool // whether the workspace stays within its limit if its usage grows by amount
	Share(workspace string) float64                 // dominant share of the fleet divided by the workspace's weight
}

// Estimator estimates the sizes and run times of a queue's tasks from observed runs.
type Estimator interface {
	Observe(queue string, peak Resources, runTime time.Duration)
	Reservation(queue string, declared Resources) Resources
	RunTime(queue string, declared time.Duration) time.Duration
}

// Scheduler decides which tasks start on which workers. All times are readings of one Clock.
type Scheduler interface {
	SetWorker(w Worker)
	SetUsable(worker string, usable bool)
	RemoveWorker(worker string)
	SetWorkspace(workspace string, weight float64, limit Resources)
	Submit(now time.Duration, job PendingJob)
	Cancel(job string)
	Adopt(task RunningTask) // adds a task that is already running
	Ended(now time.Duration, job string, task int)
	Next(now time.Duration, maxStarts int) Plan
}

// Worker is a VM that runs tasks.
type Worker struct {
	Name     string
	Rack     string
	Capacity Resources
}

// PendingJob is a job with those of its tasks that are pending.
type PendingJob struct {
	Job   *Job
	Tasks []int         // indexes of the tasks that are not running
	Since time.Duration // when the tasks became pending
}

// RunningTask is a task with its worker and its reservation.
type RunningTask struct {
	Job         *Job
	Task        int
	Worker      string
	Reservation Resources
	Started     time.Duration
}

// Plan is the set of actions that a Scheduler has decided on.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
}

// Start is the decision to start one task on a worker.
type Start struct {
	Job         string
	Task        int
	Worker      string
	Reservation Resources
	Waited      time.Duration
}

// Preemption is the decision to end a running task in favour of others. Verb is VerbCheckpoint, so the
// task's progress is not lost; the task becomes pending again.
type Preemption struct {
	Job    string
	Task   int
	Worker string
	Verb   Verb
}

// PlacementRequest is the set of requirements and preferences for choosing a worker.
type PlacementRequest struct {
	Kind    Kind
	Amount  Resources
	Rack    string              // when set, only workers of this rack are considered
	Exclude map[string]struct{} // workers that must not be chosen
	Spread  map[string]int      // number of tasks of the same job in each rack; racks with fewer are preferred
}
