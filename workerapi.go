package papayajunction

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode"
)

// PolledWorker is a worker that the leader polls at the worker's address, as opposed to one that sends
// reports to the leader.
//
// A worker that restarts under the same id is a new incarnation and has none of the earlier one's runs.
type PolledWorker struct {
	ID          string    `json:"id"`
	Incarnation int64     `json:"born"`     // when this incarnation started, in Unix milliseconds
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
func (w *PolledWorker) SameAs(o *PolledWorker) bool {
	return w.Incarnation == o.Incarnation && w.Draining == o.Draining && w.SameDescription(o)
}

// SameDescription reports whether two announcements of a worker agree in all that stays the same while
// an incarnation lasts.
func (w *PolledWorker) SameDescription(o *PolledWorker) bool {
	return w.ID == o.ID && w.Pool == o.Pool && w.Address == o.Address && w.Zone == o.Zone && w.Rack == o.Rack &&
		w.Capacity == o.Capacity && slices.Equal(w.Labels, o.Labels)
}

// Limits of a worker's announcement. Sums over more workers than any fleet has stay within an int64.
const (
	MaxWorkerCapacity = int64(1) << 40 // in each dimension of Resources
	MaxCounter        = int64(1) << 53 // of sequences, clocks and times in milliseconds: the largest integer that all JSON libraries keep exact
	maxWorkerName     = 256            // bytes of an id, a pool, an availability zone or a label
	maxWorkerLabels   = 64
)

// Check returns an error if the announcement can't describe a worker that exists.
func (w *PolledWorker) Check() error {
	for name, value := range map[string]string{"id": w.ID, "pool": w.Pool, "zone": w.Zone} {
		if value == "" || !isWorkerName(value) {
			return Refuse(CodeBadRequest, "worker %.80q: %s %.80q is empty, too long or has control characters", w.ID, name, value)
		}
	}
	if err := checkWorkerAddress(w.Address); err != nil {
		return Refuse(CodeBadRequest, "worker %s: %v", w.ID, err)
	}
	if len(w.Labels) > maxWorkerLabels || slices.ContainsFunc(w.Labels, func(label string) bool { return !isWorkerName(label) }) {
		return Refuse(CodeBadRequest, "worker %s: more than %d labels, or one that is too long or has control characters", w.ID, maxWorkerLabels)
	}
	for d, amount := range w.Capacity {
		if amount < 0 || amount > MaxWorkerCapacity {
			return Refuse(CodeBadRequest, "worker %s: capacity %d in dimension %d is not from 0 to %d", w.ID, amount, d, MaxWorkerCapacity)
		}
	}
	if w.Capacity.IsZero() {
		return Refuse(CodeBadRequest, "worker %s has no capacity", w.ID)
	}
	for name, value := range map[string]int64{"incarnation": w.Incarnation, "sequence": w.Sequence, "remaining time": w.RemainingMS} {
		if value < 0 || value > MaxCounter {
			return Refuse(CodeBadRequest, "worker %s: %s %d is not from 0 to %d", w.ID, name, value, MaxCounter)
		}
	}
	return nil
}

// isWorkerName reports whether a text is short enough and can be sent in a header.
func isWorkerName(text string) bool {
	return len(text) <= maxWorkerName && !strings.ContainsFunc(text, unicode.IsControl)
}

// checkWorkerAddress returns an error unless the address is the IP and port of one machine.
func checkWorkerAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address %.80q is not an IP and port: %w", address, err)
	}
	if ip := parsed.Addr(); parsed.Port() == 0 || ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() {
		return fmt.Errorf("nobody can be called at address %s", address)
	}
	return nil
}

// StartRequest is the request that starts a run on a worker.
type StartRequest struct {
	Run          RunID  `json:"run"`
	Spec         string `json:"spec,omitempty"`
	LeaseUntilMS int64  `json:"until_ms"` // end of the lease, on the worker's clock
	Fence        uint64 `json:"fence"`    // fencing token
	Checkpoint   string `json:"checkpoint,omitempty"`
	Ticket       string `json:"ticket,omitempty"` // issued by the queue's placement policy, if it has one
}

// PollRequest is the request with which the leader polls a worker: it renews the worker's lease and
// acknowledges ended runs, and the response lists the worker's runs.
type PollRequest struct {
	LeaseUntilMS int64         `json:"until_ms,omitempty"` // end of the lease, on the worker's clock; 0 leaves the lease unchanged
	Fence        uint64        `json:"fence"`              // fencing token
	Ack          int64         `json:"ack,omitempty"`      // the records of ended runs up to this number are committed
	MaxWait      time.Duration `json:"wait_ns,omitempty"`  // maximum time for which the worker may delay the response until a run ends
}

// RunStatus is the state of one run on a worker.
type RunStatus struct {
	Run        RunID  `json:"run"`
	Checkpoint string `json:"saved,omitempty"`    // latest checkpoint; empty if there is none
	Progress   int    `json:"progress,omitempty"` // percent
	Metric     int64  `json:"figure,omitempty"`   // tail latency in ms if the task has a response time target, else thousandths of a core in use
}

// RunOutcome is the way in which a run ended.
type RunOutcome string

// The ways in which a run ends. The last two are set by the leader, not reported by a worker.
const (
	EndDone            RunOutcome = "done"
	EndFailed          RunOutcome = "failed"
	EndStopped         RunOutcome = "stopped"
	EndLeaseExpired    RunOutcome = "lapsed" // its lease expired
	EndGangMemberEnded RunOutcome = "broken" // another member of its gang ended
	EndGangIncomplete  RunOutcome = "alone"  // the other members of its gang did not start
	EndWorkerLost      RunOutcome = "lost"   // the worker's incarnation ended, or its lease has certainly expired
	EndNotStarted      RunOutcome = "not_started"
)

// EndedRun is the record of one ended run, which the worker lists until the leader acknowledges it.
type EndedRun struct {
	Number     int64      `json:"number"` // grows by one within an incarnation of the worker
	Run        RunID      `json:"run"`
	Outcome    RunOutcome `json:"how"`
	Checkpoint string     `json:"saved,omitempty"`
}

// PollResponse is a worker's response to a poll: its current runs and the records of ended runs.
type PollResponse struct {
	ClockMS     int64       `json:"clock_ms"` // the worker's monotonic clock
	Incarnation int64       `json:"born"`     // when this incarnation started, in Unix milliseconds
	Running     []RunStatus `json:"running,omitempty"`
	Finished    []EndedRun  `json:"finished,omitempty"` // ended runs that are not acknowledged, whatever their outcome
	Partial     bool        `json:"partial,omitempty"`  // more ended runs follow once these are acknowledged
}

// RefusalReason is a worker's reason for refusing a request.
type RefusalReason string

// The reasons for which a worker refuses a request.
const (
	RefusedStaleFence   RefusalReason = "fence"      // the fencing token is older than that of a leader whose request the worker has received
	RefusedStaleRun     RefusalReason = "old"        // the run is not newer than one of the same task that was stopped or ended there
	RefusedLeaseExpired RefusalReason = "late"       // the lease in the request has already expired
	RefusedNoCapacity   RefusalReason = "room"       // the worker has too little free capacity
	RefusedTicket       RefusalReason = "ticket"     // the ticket is missing, wrong or expired
	RefusedUnhealthy    RefusalReason = "unhealthy"  // the worker is unhealthy and did not carry out the request
	RefusedIncarnation  RefusalReason = "other_life" // the request is for another worker
	RefusedRestarted    RefusalReason = "restarted"  // the request is for another incarnation of the worker
	RefusedInvalid      RefusalReason = "invalid"
	RefusedUnreachable  RefusalReason = "unreachable" // set by the client: there was no connection to the worker, and nothing was sent
)

// RefusedError is returned when a worker certainly did not carry out a request.
type RefusedError struct {
	Reason      RefusalReason `json:"reason"`
	ClockMS     int64         `json:"clock_ms,omitempty"` // the worker's clock; 0 if the response has none
	Incarnation int64         `json:"born,omitempty"`     // for RefusedRestarted: the incarnation that answered
}

// Error returns a message with the reason.
func (e *RefusedError) Error() string {
	return "the worker refused the request: " + string(e.Reason)
}

// WorkerClient is a client for the API of workers. If the client finds that another incarnation than the given one is there, it sends
// nothing, and the error is a RefusedError with RefusedRestarted. But a connection may outlive a worker's process, and a request may
// be carried out seconds later: the next incarnation may carry out, and answer, what was meant for an earlier one, unless it has received
// a higher fencing token. Only the answer to a poll tells which incarnation has answered. An incarnation of 0 stands for any. After
// an error other than a RefusedError it is unknown whether the worker carries out the request.
type WorkerClient interface {
	Start(ctx context.Context, w *PolledWorker, r StartRequest) (clockMS int64, err error)
	Stop(ctx context.Context, w *PolledWorker, run RunID, fence uint64) (clockMS int64, err error)
	Poll(ctx context.Context, w *PolledWorker, r PollRequest) (PollResponse, error)

	// Pace sets the speed of a run, in percent.
	Pace(ctx context.Context, w *PolledWorker, run RunID, percent int, fence uint64) (clockMS int64, err error)
}

// Ticket is the permission of a queue's placement policy to start the tasks of a step on a worker.
type Ticket struct {
	Worker string `json:"worker"`
	Ticket string `json:"ticket"`
}

// Advice is a placement policy's decision about a step: tickets for the workers that may run it.
type Advice struct {
	Tickets    []Ticket `json:"good,omitempty"`
	ValidityMS int64    `json:"validity_ms,omitempty"`
}

// Advisor queries a queue's placement policy for the workers, among those given, that may run a step.
type Advisor interface {
	Advise(ctx context.Context, step StepID, workers []string) (Advice, error)
}
