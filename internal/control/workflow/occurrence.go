package workflow

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/bits"
	"slices"

	pj "papayajunction"
)

// Task is one task of a step. Worker is set while a run of the task may be on that worker.
type Task struct {
	LastRun    int    `json:"run,omitempty"` // highest run number assigned so far
	Failures   int    `json:"failures,omitempty"`
	Done       bool   `json:"done,omitempty"`
	Checkpoint string `json:"saved,omitempty"` // checkpoint to resume from
	Worker     string `json:"worker,omitempty"`
	LostOn     string `json:"lost_on,omitempty"` // worker of the last run that counted as lost; that run may go on there
}

// StepState is one step of one occurrence.
type StepState struct {
	Tasks         []Task `json:"tasks,omitempty"`      // empty before the step's first run
	Failures      int    `json:"failures,omitempty"`   // number of failed runs of a gang
	FailedRun     int    `json:"failed_run,omitempty"` // number of the last failed run of a gang
	size          int    // number of tasks
	finishedTasks int
}

// Done reports whether all tasks of the step have finished.
func (s *StepState) Done() bool {
	return s.finishedTasks == s.size
}

// Size returns the number of tasks.
func (s *StepState) Size() int {
	return s.size
}

// Task returns a copy of the state of a task, by its index.
func (s *StepState) Task(index int) Task {
	if len(s.Tasks) == 0 {
		return Task{Done: s.Done()}
	}
	return s.Tasks[index]
}

// edit returns the state of a task to be changed.
func (s *StepState) edit(index int) *Task {
	if len(s.Tasks) == 0 {
		s.Tasks = make([]Task, s.size)
	}
	return &s.Tasks[index]
}

// Occurrence is one occurrence of a workflow that has run, by step.
type Occurrence struct {
	Steps           []StepState `json:"steps"`
	liveRuns        int
	unfinishedSteps int
}

// recompute computes what is not part of a snapshot.
func (o *Occurrence) recompute(w *pj.Workflow) {
	o.liveRuns, o.unfinishedSteps = 0, 0
	for i := range o.Steps {
		step := &o.Steps[i]
		step.finishedTasks, step.size = 0, len(step.Tasks)
		if i < len(w.Steps) {
			step.size = w.Steps[i].Tasks
		}
		for _, t := range step.Tasks {
			if t.Done {
				step.finishedTasks++
			}
			if t.Worker != "" {
				o.liveRuns++
			}
		}
		if !step.Done() {
			o.unfinishedSteps++
		}
	}
}

// discardUntouched discards the state of the steps that have not run and reports whether any has run.
func (o *Occurrence) discardUntouched() (touched bool) {
	for i := range o.Steps {
		step := &o.Steps[i]
		if slices.ContainsFunc(step.Tasks, func(t Task) bool { return t != Task{} }) {
			touched = true
		} else {
			step.Tasks = nil
		}
	}
	return touched
}

// openOccurrences holds occurrences by their number. In JSON it is always an object. Older versions stored an array of all occurrences, by
// occurrence and step; it is read as well, and Record.recompute drops what has not run. An older version can't read the object, so it stops
// rather than take the workflow for one without steps.
type openOccurrences map[int]*Occurrence

// MarshalJSON implements json.Marshaler.
func (o openOccurrences) MarshalJSON() ([]byte, error) {
	occurrences := map[int]*Occurrence(o)
	if occurrences == nil {
		occurrences = map[int]*Occurrence{}
	}
	data, err := json.Marshal(occurrences)
	if err != nil {
		return nil, fmt.Errorf("write occurrences: %w", err)
	}
	return data, nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (o *openOccurrences) UnmarshalJSON(data []byte) error {
	if !bytes.HasPrefix(data, []byte("[")) {
		var occurrences map[int]*Occurrence
		if err := json.Unmarshal(data, &occurrences); err != nil {
			return fmt.Errorf("read occurrences: %w", err)
		}
		*o = occurrences
		return nil
	}
	var all [][]StepState
	if err := json.Unmarshal(data, &all); err != nil {
		return fmt.Errorf("read occurrences: %w", err)
	}
	*o = make(openOccurrences, len(all))
	for k, steps := range all {
		(*o)[k] = &Occurrence{Steps: steps}
	}
	return nil
}

// occurrenceSet is a set of occurrences, a bit for each up to the last one that it contains.
type occurrenceSet []byte

const bitsPerByte = 8

func (s occurrenceSet) contains(k int) bool {
	return k/bitsPerByte < len(s) && s[k/bitsPerByte]&(1<<(k%bitsPerByte)) != 0
}

func (s *occurrenceSet) add(k int) {
	for k/bitsPerByte >= len(*s) {
		*s = append(*s, 0)
	}
	(*s)[k/bitsPerByte] |= 1 << (k % bitsPerByte)
}

// size returns the number of occurrences in the set.
func (s occurrenceSet) size() int {
	n := 0
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}
