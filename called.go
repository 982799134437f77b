package papayajunction

import (
	"context"
	"fmt"
	"time"
)

// CalledWorker is a worker that takes orders at its address, as opposed to one that reports.
//
// Born is when this life of the worker began, in Unix milliseconds; a worker that starts anew under
// the same id is another life and holds nothing of the earlier one.
type CalledWorker struct {
	ID          string    `json:"id"`
	Born        int64     `json:"born"`
	Sequence    int64     `json:"sequence"` // grows with each announcement of a life
	Pool        string    `json:"pool"`
	Address     string    `json:"address"` // IP and port
	Zone        string    `json:"zone"`
	Rack        string    `json:"rack,omitempty"`
	Labels      []string  `json:"labels,omitempty"`
	Capacity    Resources `json:"capacity"`
	Draining    bool      `json:"draining,omitempty"`
	RemainingMS int64     `json:"remaining_ms,omitempty"` // while draining: the least time that is left
}

// SameAs reports whether two announcements of a worker differ in nothing but their sequence and the
// time that is left.
func (w *CalledWorker) SameAs(o *CalledWorker) bool {
	a, b := *w, *o
	a.Sequence, b.Sequence = 0, 0
	a.RemainingMS, b.RemainingMS = 0, 0
	a.Labels, b.Labels = nil, nil
	return fmt.Sprint(a, w.Labels) == fmt.Sprint(b, o.Labels)
}

// StartOrder asks a worker to start a run.
type StartOrder struct {
	Run        RunID  `json:"run"`
	Spec       string `json:"spec,omitempty"`
	UntilMS    int64  `json:"until_ms"` // end of the lease, on the worker's clock
	Fence      uint64 `json:"fence"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Ticket     string `json:"ticket,omitempty"` // of the queue's policy, if it has one
}

// HoldOrder renews a worker's lease, acknowledges ends and asks what the worker runs.
type HoldOrder struct {
	UntilMS int64         `json:"until_ms,omitempty"` // end of the lease, on the worker's clock; 0 leaves it as it is
	Fence   uint64        `json:"fence"`
	Ack     int64         `json:"ack,omitempty"`     // ends up to this number are committed
	Wait    time.Duration `json:"wait_ns,omitempty"` // how long the answer may wait for an end
}

// RunningRow is one run on a worker.
type RunningRow struct {
	Run      RunID  `json:"run"`
	Saved    string `json:"saved,omitempty"`    // checkpoint; empty if there is none
	Progress int    `json:"progress,omitempty"` // percent
	Figure   int64  `json:"figure,omitempty"`   // response time tail in ms of a task with a target, else thousandths of a core in use
}

// EndHow says how a run ended.
type EndHow string

// The ways in which a run ends. The last two are concluded by the leader, not reported.
const (
	EndDone       EndHow = "done"
	EndFailed     EndHow = "failed"
	EndStopped    EndHow = "stopped"
	EndLapsed     EndHow = "lapsed" // its lease ran out
	EndBroken     EndHow = "broken" // another member of its gang ended
	EndAlone      EndHow = "alone"  // the other members of its gang didn't come
	EndLost       EndHow = "lost"   // its worker ended, or its lease surely ran out
	EndNotStarted EndHow = "not_started"
)

// EndRow is one end that a worker lists until it is acknowledged.
type EndRow struct {
	Number int64  `json:"number"` // grows by one within a life of the worker
	Run    RunID  `json:"run"`
	How    EndHow `json:"how"`
	Saved  string `json:"saved,omitempty"`
}

// HoldAnswer is what a worker says it runs and what has ended.
type HoldAnswer struct {
	ClockMS  int64        `json:"clock_ms"` // the worker's steady clock
	Born     int64        `json:"born"`
	Running  []RunningRow `json:"running,omitempty"`
	Finished []EndRow     `json:"finished,omitempty"`
	Partial  bool         `json:"partial,omitempty"` // more ends follow once these are acknowledged
}

// OrderRefusal is a worker's reason for not carrying out an order.
type OrderRefusal string

// The reasons of a worker.
const (
	RefusedFence     OrderRefusal = "fence"     // it has heard a newer leader
	RefusedOld       OrderRefusal = "old"       // the run isn't newer than one that ended there
	RefusedLate      OrderRefusal = "late"      // the lease named in the order is over
	RefusedRoom      OrderRefusal = "room"      // it doesn't fit
	RefusedTicket    OrderRefusal = "ticket"    // the ticket is missing, wrong or too old
	RefusedUnhealthy OrderRefusal = "unhealthy" // the worker is ill and did nothing
	RefusedOtherLife OrderRefusal = "other_life"
	RefusedInvalid   OrderRefusal = "invalid"
)

// RefusedError is returned when a worker certainly did not carry out an order.
type RefusedError struct {
	Reason  OrderRefusal `json:"reason"`
	ClockMS int64        `json:"clock_ms,omitempty"` // 0 if the answer has none
}

// Error returns the reason.
func (e *RefusedError) Error() string {
	return "the worker refused the order: " + string(e.Reason)
}

// WorkerLink carries orders to workers. An error other than a RefusedError leaves open whether the
// order is carried out, now or later.
type WorkerLink interface {
	Start(ctx context.Context, w *CalledWorker, o StartOrder) (clockMS int64, err error)
	Stop(ctx context.Context, w *CalledWorker, run RunID, fence uint64) (clockMS int64, err error)
	Hold(ctx context.Context, w *CalledWorker, o HoldOrder) (HoldAnswer, error)
	Pace(ctx context.Context, w *CalledWorker, run RunID, percent int, fence uint64) (clockMS int64, err error)
}

// Ticket lets the tasks of a step start on a worker.
type Ticket struct {
	Worker string `json:"worker"`
	Ticket string `json:"ticket"`
}

// Advice is the answer to a question about a step: tickets for the workers that may run it.
type Advice struct {
	Good       []Ticket `json:"good,omitempty"`
	ValidityMS int64    `json:"validity_ms,omitempty"`
}

// Advisor knows which workers a queue's policy allows for a step.
type Advisor interface {
	Advise(ctx context.Context, step StepID, workers []string) (Advice, error)
}
