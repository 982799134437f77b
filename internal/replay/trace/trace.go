// Package trace reads, writes and generates traces: one JSON object per line, in order of time. The format is described
// in docs/TRACES.md.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	pj "papayajunction"
)

// Kind is the kind of an event.
type Kind string

// The kinds of event.
const (
	KindWorkspace     Kind = "workspace"   // sets the share and limit of a workspace
	KindWorker        Kind = "worker"      // a worker joins the fleet
	KindWorkerLost    Kind = "worker_lost" // a worker leaves the fleet; its tasks stop and are requeued
	KindWorkerFailing Kind = "failing"     // a worker fails every task that starts from then on
	KindEndpoint      Kind = "endpoint"    // an endpoint joins the fleet
	KindSubmit        Kind = "submit"      // a job is submitted
	KindCancel        Kind = "cancel"      // a job is cancelled
	KindRequests      Kind = "requests"    // requests arrive at random at a mean rate until a given time
)

// Event is one line of a trace. Times are in milliseconds from the start of the trace.
type Event struct {
	AtMS int64 `json:"at_ms"`
	Kind Kind  `json:"event"`

	Worker    string       `json:"worker,omitempty"`
	Rack      string       `json:"rack,omitempty"`
	Capacity  pj.Resources `json:"capacity,omitzero"`
	Endpoint  string       `json:"endpoint,omitempty"`
	Slots     int          `json:"slots,omitempty"`
	Workspace string       `json:"workspace,omitempty"`
	Share     float64      `json:"share,omitempty"`
	Limit     pj.Resources `json:"limit,omitzero"`

	Job           string       `json:"job,omitempty"`
	Queue         string       `json:"queue,omitempty"`
	JobKind       pj.Kind      `json:"kind,omitempty"`
	Urgency       pj.Urgency   `json:"urgency,omitempty"`
	Repeatable    bool         `json:"repeatable,omitempty"`
	Tasks         int          `json:"tasks,omitempty"`
	Task          pj.Resources `json:"task,omitzero"` // declared for each task
	ActualUsage   pj.Resources `json:"uses,omitzero"` // actual usage of each task; zero means as declared
	DeclaredRunMS int64        `json:"declared_run_ms,omitempty"`
	RunMS         int64        `json:"run_ms,omitempty"` // actual run time of each task

	Rate          float64 `json:"rate,omitempty"`       // requests per second
	MeanServiceMS float64 `json:"service_ms,omitempty"` // mean time to serve a request
	UntilMS       int64   `json:"until_ms,omitempty"`
}

const maxLineBytes = 1 << 20

// Read parses a trace. Its events must be in order of time.
func Read(r io.Reader) ([]Event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	var events []Event
	for line := 1; scanner.Scan(); line++ {
		var e Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		if n := len(events); n > 0 && events[n-1].AtMS > e.AtMS {
			return nil, fmt.Errorf("line %d: %w", line, errTimeOrder)
		}
		events = append(events, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	return events, nil
}

var errTimeOrder = errors.New("the time is earlier than that of the previous line")

// Write writes events, one per line.
func Write(w io.Writer, events []Event) error {
	out := bufio.NewWriter(w)
	encoder := json.NewEncoder(out)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}

// ToJob returns the job of a submit event.
func (e Event) ToJob() *pj.Job {
	return &pj.Job{
		ID: e.Job, Workspace: e.Workspace, Queue: e.Queue, Kind: e.JobKind, Urgency: e.Urgency, Repeatable: e.Repeatable,
		Tasks: max(e.Tasks, 1), Task: e.Task, RunTime: pj.Duration(e.DeclaredRunMS * 1e6), SubmittedAt: e.AtMS,
	}
}
