// Package trace reads and writes recorded traces: one JSON object a line, in order of time. The
// format is described in docs/TRACES.md.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	pj "papayajunction"
)

// Kind says what an event is.
type Kind string

// The kinds of event.
const (
	KindWorkspace  Kind = "workspace"   // a workspace has this share and limit from now on
	KindWorker     Kind = "worker"      // a worker is there from now on
	KindWorkerLost Kind = "worker_lost" // a worker is gone; its tasks stop and wait again
	KindFailing    Kind = "failing"     // a worker fails every task from now on
	KindEndpoint   Kind = "endpoint"    // an endpoint is there from now on
	KindSubmit     Kind = "submit"      // a job arrives
	KindCancel     Kind = "cancel"      // a job is cancelled
	KindRequests   Kind = "requests"    // requests arrive at random with a mean rate until a given time
)

// Event is one line of a trace. Times are in milliseconds from the start.
type Event struct {
	At   int64 `json:"at_ms"`
	Kind Kind  `json:"event"`

	Worker    string       `json:"worker,omitempty"`
	Rack      string       `json:"rack,omitempty"`
	Capacity  pj.Resources `json:"capacity,omitzero"`
	Endpoint  string       `json:"endpoint,omitempty"`
	Slots     int          `json:"slots,omitempty"`
	Workspace string       `json:"workspace,omitempty"`
	Share     float64      `json:"share,omitempty"`
	Limit     pj.Resources `json:"limit,omitzero"`

	Job        string       `json:"job,omitempty"`
	Queue      string       `json:"queue,omitempty"`
	JobKind    pj.Kind      `json:"kind,omitempty"`
	Urgency    pj.Urgency   `json:"urgency,omitempty"`
	Repeatable bool         `json:"repeatable,omitempty"`
	Tasks      int          `json:"tasks,omitempty"`
	Task       pj.Resources `json:"task,omitzero"` // declared
	Uses       pj.Resources `json:"uses,omitzero"` // really used, if not as declared
	DeclaredMS int64        `json:"declared_run_ms,omitempty"`
	RunMS      int64        `json:"run_ms,omitempty"` // really, of each task

	Rate      float64 `json:"rate,omitempty"`       // requests a second
	ServiceMS float64 `json:"service_ms,omitempty"` // mean time to answer one
	Until     int64   `json:"until_ms,omitempty"`
}

const maxLineBytes = 1 << 20

// Read returns the events of a trace.
func Read(r io.Reader) ([]Event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	var events []Event
	for line := 1; scanner.Scan(); line++ {
		var e Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		if n := len(events); n > 0 && events[n-1].At > e.At {
			return nil, fmt.Errorf("line %d: %w", line, errOrder)
		}
		events = append(events, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	return events, nil
}

var errOrder = errors.New("the time is before that of the line above")

// Write writes events, one a line.
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

// ToJob returns the job that a submit event brings.
func (e Event) ToJob() *pj.Job {
	return &pj.Job{
		ID: e.Job, Workspace: e.Workspace, Queue: e.Queue, Kind: e.JobKind, Urgency: e.Urgency, Repeatable: e.Repeatable,
		Tasks: max(e.Tasks, 1), Task: e.Task, RunTime: pj.Duration(e.DeclaredMS * 1e6), SubmittedAt: e.At,
	}
}
