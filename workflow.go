package papayajunction

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Step is one stage of a workflow: a number of identical tasks. It is part of the fingerprint, so fields added to it must be left out of its JSON
// form while they are zero.
type Step struct {
	Tasks             int       `json:"tasks"`
	Task              Resources `json:"task,omitzero"` // resources of each task
	EstimateMS        int64     `json:"estimate_ms,omitempty"`
	DependsOn         []int     `json:"depends_on,omitempty"` // earlier steps that must have finished
	Checkpointing     bool      `json:"checkpointing,omitempty"`
	Gang              bool      `json:"gang,omitempty"` // the tasks are scheduled all together or not at all
	TightlyCoupled    bool      `json:"tightly_coupled,omitempty"`
	Label             string    `json:"label,omitempty"`         // label that a worker must have
	DataRack          string    `json:"data_rack,omitempty"`     // rack that stores the input data
	MaxTasksPerWorker int       `json:"anti_affinity,omitempty"` // maximum number of the step's tasks on one worker; 0 for no maximum
	Speculative       bool      `json:"speculative,omitempty"`
	LongRunning       bool      `json:"long_running,omitempty"` // runs until the workflow is cancelled
	Image             string    `json:"image,omitempty"`
	TargetMS          int64     `json:"target_ms,omitempty"` // upper bound for the response times that the tasks' users should see
	BestEffort        bool      `json:"fills,omitempty"`     // best effort: no cores are reserved, the tasks use those that others leave idle
	MaxUnavailable    int       `json:"max_unavailable,omitempty"`
}

// Reservation returns the reservation of one task of the step on a worker.
func (s *Step) Reservation() Resources {
	r := s.Task
	if s.BestEffort {
		r[Cores] = 0
	}
	return r
}

// Workflow is a durable job of steps that depend on each other. It runs once, or repeatedly on a
// schedule.
type Workflow struct {
	ID                   string `json:"id"`
	Queue                string `json:"queue"`
	Workspace            string `json:"workspace"`
	Origin               string `json:"origin,omitempty"` // address of the queue when it was submitted; see Route.Origin
	Pool                 string `json:"pool"`             // pool of workers that run it
	Spec                 string `json:"spec,omitempty"`
	Steps                []Step `json:"steps"`
	ScheduledOccurrences int    `json:"times,omitempty"` // number of scheduled occurrences; 0 for a workflow that runs once, immediately
	StartAtMS            int64  `json:"start_at_ms,omitempty"`
	IntervalMS           int64  `json:"interval_ms,omitempty"`
	Priority             int    `json:"priority"` // 0 starts first
	MaxAttempts          int    `json:"max_attempts"`
	RulesVersion         int64  `json:"rules_version,omitempty"` // of the rules by which it was accepted

	// The queue's policy at the time when the workflow was accepted; see Route.
	Stretch     float64       `json:"stretch,omitempty"`
	ObjectiveMS int64         `json:"objective_ms,omitempty"`
	Advice      *AdvicePolicy `json:"advice,omitempty"`

	AcceptedAt int64 `json:"accepted_at"` // Unix time in milliseconds
}

// Occurrences returns how many times the steps run.
func (w *Workflow) Occurrences() int {
	return max(w.ScheduledOccurrences, 1)
}

// EarliestStartMS returns the Unix time in milliseconds before which an occurrence must not start, 0 if it may
// start at any time.
func (w *Workflow) EarliestStartMS(occurrence int) int64 {
	if w.ScheduledOccurrences == 0 {
		return 0
	}
	return w.StartAtMS + int64(occurrence)*w.IntervalMS
}

// Fingerprint returns a hash of what the submitter asked for: the specification, the steps and the schedule. What the queue's policy and the
// time of acceptance add is left out, so that a workflow has the same fingerprint whenever it is submitted.
func (w *Workflow) Fingerprint() (string, error) {
	content := struct {
		Spec                 string `json:"spec"`
		Steps                []Step `json:"steps"`
		ScheduledOccurrences int    `json:"times"`
		StartAtMS            int64  `json:"start_at_ms"`
		IntervalMS           int64  `json:"interval_ms"`
	}{Spec: w.Spec, Steps: w.Steps}
	if w.ScheduledOccurrences > 0 { // else the times have no effect
		content.ScheduledOccurrences, content.StartAtMS, content.IntervalMS = w.ScheduledOccurrences, w.StartAtMS, w.IntervalMS
	}
	hash, err := fingerprint(content)
	if err != nil {
		return "", fmt.Errorf("workflow %s: %w", w.ID, err)
	}
	return hash, nil
}

// Maxima of an accepted workflow. The state of each task of each occurrence is held in memory.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 64
	MaxStepTasks   = 4096
	MaxOccurrences = 10000
	MaxTasks       = 1 << 16                // of all steps and occurrences
	MaxDurationMS  = 366 * 24 * 3600 * 1000 // of an estimate and of the interval between occurrences
)

// Check returns an error if the workflow can't be accepted.
func (w *Workflow) Check() error {
	switch {
	case len(w.Spec) > MaxSpecBytes:
		return Refuse(CodeTooLarge, "the spec has %d bytes, at most %d are allowed", len(w.Spec), MaxSpecBytes)
	case len(w.Steps) == 0 || len(w.Steps) > MaxSteps:
		return Refuse(CodeBadRequest, "a workflow has 1 to %d steps, not %d", MaxSteps, len(w.Steps))
	case w.ScheduledOccurrences < 0 || w.ScheduledOccurrences > MaxOccurrences || w.IntervalMS < 0 || w.IntervalMS > MaxDurationMS:
		return Refuse(CodeBadRequest, "times must be 0 to %d and the interval 0 to %d ms", MaxOccurrences, int64(MaxDurationMS))
	case w.StartAtMS < 0 || w.StartAtMS > MaxCounter:
		return Refuse(CodeBadRequest, "the start time %d is not a Unix time in milliseconds", w.StartAtMS)
	}
	tasks := 0
	for i := range w.Steps {
		if err := w.Steps[i].check(i); err != nil {
			return err
		}
		tasks += w.Steps[i].Tasks
	}
	if tasks > MaxTasks/w.Occurrences() {
		return Refuse(CodeTooLarge, "a workflow has at most %d tasks, not %d in each of %d occurrences", MaxTasks, tasks, w.Occurrences())
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Tasks < 1 || s.Tasks > MaxStepTasks {
		return Refuse(CodeBadRequest, "step %d: 1 to %d tasks, not %d", index, MaxStepTasks, s.Tasks)
	}
	if !(Resources{}).Fits(s.Task) {
		return Refuse(CodeBadRequest, "step %d: the resources of a task must not be negative", index)
	}
	if slices.Max(s.Task[:]) > MaxWorkerCapacity {
		return Refuse(CodeBadRequest, "step %d: a task needs more than any worker has", index)
	}
	if s.EstimateMS < 0 || s.EstimateMS > MaxDurationMS {
		return Refuse(CodeBadRequest, "step %d: the estimate must be 0 to %d ms", index, int64(MaxDurationMS))
	}
	if len(s.DependsOn) > index {
		return Refuse(CodeBadRequest, "step %d names %d steps that it depends on, more than there are before it", index, len(s.DependsOn))
	}
	if s.MaxTasksPerWorker < 0 || s.MaxUnavailable < 0 {
		return Refuse(CodeBadRequest, "step %d: anti_affinity and max_unavailable must be at least 0", index)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= index {
			return Refuse(CodeBadRequest, "step %d depends on step %d, which isn't an earlier one", index, d)
		}
	}
	return nil
}

// WorkflowState is the state of a workflow as callers see it.
type WorkflowState string

// The states of a workflow.
const (
	WorkflowQueued    WorkflowState = "queued"
	WorkflowRunning   WorkflowState = "running"
	WorkflowComplete  WorkflowState = "complete"
	WorkflowFailed    WorkflowState = "failed"
	WorkflowCancelled WorkflowState = "cancelled"
)

// Final reports whether the state is final.
func (s WorkflowState) Final() bool {
	return s == WorkflowComplete || s == WorkflowFailed || s == WorkflowCancelled
}

// StepID identifies one step of one occurrence of a workflow.
type StepID struct {
	Workflow   string `json:"workflow"`
	Occurrence int    `json:"occurrence"`
	Step       int    `json:"step"`
}

// String returns the text form "workflow.occurrence.step".
func (s StepID) String() string {
	return s.Workflow + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID identifies one task of a workflow.
type TaskID struct {
	StepID

	Index int
}

// String returns the text form "workflow.occurrence.step.index".
func (t TaskID) String() string {
	return t.StepID.String() + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads the text form.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task %q is not of the form workflow.occurrence.step.index", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task %q: %q is not a number of at least 0", text, part)
		}
		numbers[i] = n
	}
	return TaskID{
		StepID: StepID{Workflow: parts[0], Occurrence: numbers[0], Step: numbers[1]}, Index: numbers[2],
	}, nil
}

// MarshalText writes the text form.
func (t TaskID) MarshalText() ([]byte, error) {
	return []byte(t.String()), nil
}

// UnmarshalText reads the text form.
func (t *TaskID) UnmarshalText(text []byte) (err error) {
	*t, err = ParseTaskID(string(text))
	return err
}

// RunID identifies one run of a task; runs are numbered from 1.
type RunID struct {
	Task TaskID `json:"task"`
	Run  int    `json:"run"`
}
