package papayajunction

import (
	"fmt"
	"strconv"
	"strings"
)

// Step is one stage of a workflow: a number of tasks that are alike.
type Step struct {
	Tasks          int       `json:"tasks"`
	Task           Resources `json:"task,omitzero"` // what each task needs
	EstimateMS     int64     `json:"estimate_ms,omitempty"`
	DependsOn      []int     `json:"depends_on,omitempty"` // earlier steps that must have finished
	Checkpointing  bool      `json:"checkpointing,omitempty"`
	Gang           bool      `json:"gang,omitempty"` // the tasks run together or not at all
	TightlyCoupled bool      `json:"tightly_coupled,omitempty"`
	Label          string    `json:"label,omitempty"`         // a worker must carry it
	DataRack       string    `json:"data_rack,omitempty"`     // the rack that holds the input
	AntiAffinity   int       `json:"anti_affinity,omitempty"` // most tasks of the step on one worker; 0 for no bound
	Speculative    bool      `json:"speculative,omitempty"`
	LongRunning    bool      `json:"long_running,omitempty"` // runs until the workflow is cancelled
	Image          string    `json:"image,omitempty"`
	TargetMS       int64     `json:"target_ms,omitempty"` // bound of the response times that the tasks' users see
	Fills          bool      `json:"fills,omitempty"`     // its cores are what other tasks leave unused
	MaxUnavailable int       `json:"max_unavailable,omitempty"`
}

// Reserved returns what one task of the step takes from a worker's capacity.
func (s *Step) Reserved() Resources {
	r := s.Task
	if s.Fills {
		r[Cores] = 0
	}
	return r
}

// Workflow is a durable job of steps that depend on each other, run once or at several times.
type Workflow struct {
	ID          string `json:"id"`
	Queue       string `json:"queue"`
	Workspace   string `json:"workspace"`
	Pool        string `json:"pool"` // the workers that run it
	Spec        string `json:"spec,omitempty"`
	Steps       []Step `json:"steps"`
	Times       int    `json:"times,omitempty"` // occurrences; 0 for a workflow that runs once, at once
	StartAtMS   int64  `json:"start_at_ms,omitempty"`
	IntervalMS  int64  `json:"interval_ms,omitempty"`
	Priority    int    `json:"priority"` // 0 starts first
	MaxAttempts int    `json:"max_attempts"`

	// The policy of the queue when the workflow was accepted.
	Stretch     float64       `json:"stretch,omitempty"`
	ObjectiveMS int64         `json:"objective_ms,omitempty"`
	Advice      *AdvicePolicy `json:"advice,omitempty"`

	AcceptedAt int64 `json:"accepted_at"` // Unix time in milliseconds
}

// Occurrences returns how many times the steps run.
func (w *Workflow) Occurrences() int {
	return max(w.Times, 1)
}

// DueAt returns the Unix time in milliseconds before which an occurrence must not start, 0 for none.
func (w *Workflow) DueAt(occurrence int) int64 {
	if w.Times == 0 {
		return 0
	}
	return w.StartAtMS + int64(occurrence)*w.IntervalMS
}

// Bounds of a workflow that is taken in.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 64
	MaxStepTasks   = 4096
	MaxOccurrences = 10000
)

// Check returns why the workflow can't be taken in, or nil.
func (w *Workflow) Check() error {
	switch {
	case len(w.Spec) > MaxSpecBytes:
		return Refuse(CodeTooLarge, "the spec has %d bytes, at most %d are allowed", len(w.Spec), MaxSpecBytes)
	case len(w.Steps) == 0 || len(w.Steps) > MaxSteps:
		return Refuse(CodeBadRequest, "a workflow has 1 to %d steps, not %d", MaxSteps, len(w.Steps))
	case w.Times < 0 || w.Times > MaxOccurrences || w.IntervalMS < 0:
		return Refuse(CodeBadRequest, "times must be 0 to %d and the interval at least 0", MaxOccurrences)
	}
	for i := range w.Steps {
		if err := w.Steps[i].check(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) check(number int) error {
	if s.Tasks < 1 || s.Tasks > MaxStepTasks {
		return Refuse(CodeBadRequest, "step %d: 1 to %d tasks, not %d", number, MaxStepTasks, s.Tasks)
	}
	if !(Resources{}).Fits(s.Task) {
		return Refuse(CodeBadRequest, "step %d: a task can't need less than nothing", number)
	}
	if s.AntiAffinity < 0 || s.MaxUnavailable < 0 {
		return Refuse(CodeBadRequest, "step %d: anti_affinity and max_unavailable must be at least 0", number)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= number {
			return Refuse(CodeBadRequest, "step %d depends on step %d, which isn't an earlier one", number, d)
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

// Final reports whether the state never changes any more.
func (s WorkflowState) Final() bool {
	return s == WorkflowComplete || s == WorkflowFailed || s == WorkflowCancelled
}

// StepID names one step of one occurrence of a workflow.
type StepID struct {
	Workflow   string `json:"workflow"`
	Occurrence int    `json:"occurrence"`
	Step       int    `json:"step"`
}

// String returns the text form "workflow.occurrence.step".
func (s StepID) String() string {
	return s.Workflow + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID names one task of a workflow.
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
		return TaskID{}, fmt.Errorf("task %q is not like workflow.occurrence.step.index", text)
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

// RunID names one run of a task; runs are numbered from 1.
type RunID struct {
	Task TaskID `json:"task"`
	Run  int    `json:"run"`
}
