package papayajunction

import (
	"fmt"
	"strconv"
	"strings"
)

// JobState is the state of a job as callers see it.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobStarting  JobState = "starting"
	JobRunning   JobState = "running"
	JobFinished  JobState = "finished"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state is final.
func (s JobState) Final() bool {
	return s == JobFinished || s == JobFailed || s == JobCancelled
}

// Submission is the request with which a caller submits a job. Fields added to it must be left out of its JSON form
// when they are zero, so that fingerprints stay the same.
type Submission struct {
	Queue   string    `json:"queue"`
	Tasks   int       `json:"tasks,omitempty"`
	Task    Resources `json:"task,omitzero"`
	RunTime Duration  `json:"run_time,omitempty"`
	Payload string    `json:"payload,omitempty"`
}

// Fingerprint returns a hash by which a repetition of the submission is recognised. Unlike the job that is built from
// the submission, it doesn't depend on the configuration of the queue.
func (s Submission) Fingerprint() (string, error) {
	hash, err := fingerprint(s)
	if err != nil {
		return "", fmt.Errorf("submission to queue %s: %w", s.Queue, err)
	}
	return hash, nil
}

// Job is a durable unit of work: one or more identical tasks, which run on workers.
type Job struct {
	ID          string    `json:"id"`
	Workspace   string    `json:"workspace"`
	Queue       string    `json:"queue"`
	Kind        Kind      `json:"kind"`
	Urgency     Urgency   `json:"urgency"`
	Repeatable  bool      `json:"repeatable"`
	Tasks       int       `json:"tasks"`
	Task        Resources `json:"task"`
	RunTime     Duration  `json:"run_time,omitempty"`
	Payload     string    `json:"payload,omitempty"`
	MaxAttempts int       `json:"max_attempts"`
	MaxWaiting  int       `json:"max_waiting,omitempty"`
	SubmittedAt int64     `json:"submitted_at"`          // Unix time in milliseconds
	Fingerprint string    `json:"fingerprint,omitempty"` // of the submission; empty if an earlier version accepted the job
}

// TaskStatus is one task of a job as callers see it.
type TaskStatus struct {
	Index    int      `json:"index"`
	State    JobState `json:"state"`
	Worker   string   `json:"worker,omitempty"`
	Rack     string   `json:"rack,omitempty"`
	Attempts int      `json:"attempts"`
	Result   string   `json:"result,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	WaitedMS int64    `json:"waited_ms"`
}

// JobStatus is a job as callers see it.
type JobStatus struct {
	ID        string       `json:"id"`
	Workspace string       `json:"workspace"`
	Queue     string       `json:"queue"`
	State     JobState     `json:"state"`
	Reason    string       `json:"reason,omitempty"`
	Tasks     []TaskStatus `json:"tasks"`
}

// AttemptID identifies one attempt at one task of a job.
type AttemptID struct {
	Job    string
	Task   int
	Number int
}

// String returns the text form "job/task/number".
func (a AttemptID) String() string {
	return a.Job + "/" + strconv.Itoa(a.Task) + "/" + strconv.Itoa(a.Number)
}

// MarshalText writes the text form.
func (a AttemptID) MarshalText() ([]byte, error) {
	return []byte(a.String()), nil
}

// UnmarshalText reads the text form.
func (a *AttemptID) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), "/")
	if len(parts) != 3 {
		return fmt.Errorf("attempt %q is not of the form job/task/number", text)
	}
	task, err := strconv.Atoi(parts[1])
	if err != nil {
		return fmt.Errorf("task of attempt %q: %w", text, err)
	}
	number, err := strconv.Atoi(parts[2])
	if err != nil {
		return fmt.Errorf("number of attempt %q: %w", text, err)
	}
	*a = AttemptID{Job: parts[0], Task: task, Number: number}
	return nil
}

// HomeZone returns the availability zone in the job id "<zone>.<random>", or "" if the id has none.
func HomeZone(jobID string) string {
	zone, _, found := strings.Cut(jobID, ".")
	if !found {
		return ""
	}
	return zone
}
