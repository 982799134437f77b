package papayajunction

import (
	"fmt"
	"time"
)

// Kind is the way in which the work of a queue runs.
type Kind string

// The kinds of queue.
const (
	KindRequest Kind = "request" // answered by an endpoint, on the caller's connection
	KindBatch   Kind = "batch"   // independent tasks on workers
	KindGang    Kind = "gang"    // tasks that start together or not at all
	KindService Kind = "service" // tasks that run until cancelled
)

// Kinds lists the allowed kinds.
func Kinds() []Kind {
	return []Kind{KindRequest, KindBatch, KindGang, KindService}
}

// Urgency is the scheduling priority of work; work with a lower Rank starts first.
type Urgency uint8

// The urgencies. The zero value is normal work.
const (
	Normal Urgency = iota
	Urgent
	Deferred
)

// Urgencies lists the allowed urgencies, most urgent first.
func Urgencies() []Urgency {
	return []Urgency{Urgent, Normal, Deferred}
}

// Rank returns the position in order of urgency: 0 for urgent, 1 for normal, 2 for deferred work.
func (u Urgency) Rank() int {
	switch u {
	case Urgent:
		return 0
	case Deferred:
		return 2
	default:
		return 1
	}
}

// String returns the name used in files.
func (u Urgency) String() string {
	return [...]string{"urgent", "normal", "deferred"}[u.Rank()]
}

// MarshalText writes the name used in files.
func (u Urgency) MarshalText() ([]byte, error) {
	return []byte(u.String()), nil
}

// UnmarshalText reads the name used in files.
func (u *Urgency) UnmarshalText(text []byte) error {
	for _, urgency := range Urgencies() {
		if string(text) == urgency.String() {
			*u = urgency
			return nil
		}
	}
	return fmt.Errorf("urgency %q is not one of urgent, normal, deferred", text)
}

// Duration is a time.Duration that is written as text such as "5s" in JSON.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// MarshalText writes the duration, such as "1m30s".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration such as "1m30s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q is not of the form 500ms, 5s or 2h: %w", text, err)
	}
	*d = Duration(parsed)
	return nil
}

// Queue is one class of work, as operators define it in a queue file.
type Queue struct {
	Name       string    `json:"queue"`
	Workspace  string    `json:"workspace"`
	Kind       Kind      `json:"kind"`
	Urgency    Urgency   `json:"urgency"`
	Repeatable bool      `json:"repeatable"`
	Open       bool      `json:"open,omitempty"`
	Timeout    Duration  `json:"timeout,omitempty"`
	RunTime    Duration  `json:"run_time,omitempty"`
	Tasks      int       `json:"tasks,omitempty"`
	Task       Resources `json:"task,omitzero"`
	Attempts   int       `json:"attempts,omitempty"`
	MaxWaiting int       `json:"max_waiting,omitempty"`
}

// Workspace is one customer: its weight in fair sharing when the fleet is full, and its upper limit.
type Workspace struct {
	Name  string    `json:"workspace"`
	Share float64   `json:"share"`
	Limit Resources `json:"limit"`
}
