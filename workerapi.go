package papayajunction

import (
	"context"
	"fmt"
	"time"
)

// CalledWorker is a worker that the leader calls at the worker's address, as opposed to one that sends
// reports to the leader.
//
// A worker that restarts under the same id is a new incarnation and has none of the earlier one's runs.
type CalledWorker struct {
	ID          string    `json:"id"`
	Born        int64     `json:"born"`     // when this incarnation started, in Unix milliseconds
	Sequence    int64     `json:"sequence"` // grows with each announcement of an incarnation
	Pool        string    `json:"pool"`
	Address     string    `json:"address"` // IP and port
	Zone        string    `json:"zone"`
	Rack        string    `json:"rack,omitempty"`
	Labels      []string  `json:"labels,omitempty"`
	Capacity    Resources `json:"capacity"`
	Draining    bool      `json:"draining,omitempty"`
	RemainingMS int64     `json:"remaining_ms,omitempty"` // while draining: the minimum time until the worker stops
}

// SameAs reports whether two announcements of a worker are equal except for their sequence and the
// remaining time.
func (w *CalledWorker) SameAs(o *CalledWorker) bool {
	a, b := *w, *o
	a.Sequence, b.Sequence = 0, 0
	a.RemainingMS, b.RemainingMS = 0, 0
	a.Labels, b.Labels = nil, nil
	return fmt.Sprint(a, w.Labels) == fmt.Sprint(b, o.Labels)
}

// StartOrder is the request that starts a run on a worker.
type StartOrder struct {
	Run        RunID  `json:"run"`
	Spec       string `json:"spec,omitempty"`
	UntilMS    int64  `json:"until_ms"` // end of the lease, on the worker's clock
	Fence      uint64 `json:"fence"`    // fencing token
	Checkpoint string `json:"checkpoint,omitempty"`
	Ticket     string `json:"ticket,omitempty"` // issued by the queue's placement policy, if it has one
}

// HoldOrder is the request with which the leader polls a worker: it renews the worker's lease and
// acknowledges ended runs, and the answer lists the worker's runs.
type HoldOrder struct {
	UntilMS int64         `json:"until_ms,omitempty"` // end of the lease, on the worker's clock; 0 leaves the lease unchanged
	Fence   uint64        `json:"fence"`              // fencing token
	Ack     int64         `json:"ack,omitempty"`      // the records of ended runs up to this number are committed
	Wait    time.Duration `json:"wait_ns,omitempty"`  // how long the worker may delay the answer until a run ends
}

// RunningRow is the state of one run on a worker.
type RunningRow struct {
	Run      RunID  `json:"run"`
	Saved    string `json:"saved,omitempty"`    // latest checkpoint; empty if there is none
	Progress int    `json:"progress,omitempty"` // percent
	Figure   int64  `json:"figure,omitempty"`   // tail latency in ms if the task has a response time target, else thousandths of a core in use
}

// EndHow is the way in which a run ended.
type EndHow string

// The ways in which a run ends. The last two are set by the leader, not reported by a worker.
const (
	EndDone       EndHow = "done"
	EndFailed     EndHow = "failed"
	EndStopped    EndHow = "stopped"
	EndLapsed     EndHow = "lapsed" // its lease expired
	EndBroken     EndHow = "broken" // another member of its gang ended
	EndAlone      EndHow = "alone"  // the other members of its gang did not start
	EndLost       EndHow = "lost"   // its worker ended, or its lease has certainly expired
	EndNotStarted EndHow = "not_started"
)

// EndRow is the record of one ended run, which the worker lists until the leader acknowledges it.
type EndRow struct {
	Number int64  `json:"number"` // grows by one within an incarnation of the worker
	Run    RunID  `json:"run"`
	How    EndHow `json:"how"`
	Saved  string `json:"saved,omitempty"`
}

// HoldAnswer is a worker's answer to a poll: its current runs and those that have ended.
type HoldAnswer struct {
	ClockMS  int64        `json:"clock_ms"` // the worker's monotonic clock
	Born     int64        `json:"born"`     // when this incarnation started, in Unix milliseconds
	Running  []RunningRow `json:"running,omitempty"`
	Finished []EndRow     `json:"finished,omitempty"`
	Partial  bool         `json:"partial,omitempty"` // more ended runs follow once these are acknowledged
}

// OrderRefusal is a worker's reason for rejecting a request.
type OrderRefusal string

// The reasons for which a worker rejects a request.
const (
	RefusedFence     OrderRefusal = "fence"      // the fencing token is older than that of a leader whose request the worker has received
	RefusedOld       OrderRefusal = "old"        // the run is not newer than one of the same task that was stopped or ended there
	RefusedLate      OrderRefusal = "late"       // the lease in the request has already expired
	RefusedRoom      OrderRefusal = "room"       // the worker has too little free capacity
	RefusedTicket    OrderRefusal = "ticket"     // the ticket is missing, wrong or expired
	RefusedUnhealthy OrderRefusal = "unhealthy"  // the worker is unhealthy and did not carry out the request
	RefusedOtherLife OrderRefusal = "other_life" // the request is for another incarnation
	RefusedInvalid   OrderRefusal = "invalid"
)

// RefusedError is returned when a worker certainly did not carry out a request.
type RefusedError struct {
	Reason  OrderRefusal `json:"reason"`
	ClockMS int64        `json:"clock_ms,omitempty"` // the worker's clock; 0 if the answer has none
}

// Error returns a message with the reason.
func (e *RefusedError) Error() string {
	return "the worker refused the request: " + string(e.Reason)
}

// WorkerLink is a client for the API of workers. After an error other than a RefusedError it is unknown
// whether the worker carries out the request, now or later.
type WorkerLink interface {
	Start(ctx context.Context, w *CalledWorker, o StartOrder) (clockMS int64, err error)
	Stop(ctx context.Context, w *CalledWorker, run RunID, fence uint64) (clockMS int64, err error)
	Hold(ctx context.Context, w *CalledWorker, o HoldOrder) (HoldAnswer, error)
	Pace(ctx context.Context, w *CalledWorker, run RunID, percent int, fence uint64) (clockMS int64, err error)
}

// Ticket is the permission of a queue's placement policy to start the tasks of a step on a worker.
type Ticket struct {
	Worker string `json:"worker"`
	Ticket string `json:"ticket"`
}

// Advice is a placement policy's decision about a step: tickets for the workers that may run it.
type Advice struct {
	Good       []Ticket `json:"good,omitempty"`
	ValidityMS int64    `json:"validity_ms,omitempty"`
}

// Advisor queries a queue's placement policy for the workers, among those given, that may run a step.
type Advisor interface {
	Advise(ctx context.Context, step StepID, workers []string) (Advice, error)
}
