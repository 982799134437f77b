package workflow

import (
	pj "papayajunction"
)

// Estimates in bytes of what a part of the state takes on a replica: on its heap, in the snapshots that it holds and writes, and, while it
// leads, in the controller.
const (
	recordBytes     = 1280 // of a workflow without its definition
	stepBytes       = 384  // of the definition of a step
	occurrenceBytes = 256  // of an occurrence that has run or may run next
	stepStateBytes  = 832  // of one of its steps
	taskBytes       = 288  // of one of its tasks
	textCopies      = 3    // of a text in JSON: in the last snapshot, in the next one and in its transfer
	escapedBytes    = 6    // of a character that JSON escapes
)

// ScheduledWindow is the maximum number of occurrences of a workflow of which one step waits at the same time. Further due ones wait for
// their turn without state of their own.
const ScheduledWindow = 16

// Footprint is an estimate of the memory that the workflows of each workspace take. The zero value is empty.
type Footprint struct {
	total       int64
	byWorkspace map[string]int64
}

// Total returns the estimate for all workspaces in bytes.
func (f *Footprint) Total() int64 {
	return f.total
}

// Of returns the estimate for a workspace in bytes.
func (f *Footprint) Of(workspace string) int64 {
	return f.byWorkspace[workspace]
}

// Add adds to the estimate for a workspace.
func (f *Footprint) Add(workspace string, bytes int64) {
	if f.byWorkspace == nil {
		f.byWorkspace = make(map[string]int64)
	}
	f.total += bytes
	f.byWorkspace[workspace] += bytes
	if f.byWorkspace[workspace] == 0 {
		delete(f.byWorkspace, workspace)
	}
}

// Footprint returns the estimate of the memory that all workflows take. It must not be changed.
func (s *State) Footprint() *Footprint {
	return &s.footprint
}

// estimate computes what the footprint of a record consists of, after its workflow was stored or discarded.
func (r *Record) estimate() {
	r.initialFootprint, r.openFootprint = NewWorkflowFootprint(&r.Workflow), OccurrenceFootprint(&r.Workflow)
}

// measure updates the footprint after a change of a record.
func (s *State) measure(r *Record) {
	extra := max(len(r.Open)-reservedOccurrences(&r.Workflow), 0)
	bytes := r.initialFootprint + int64(extra)*r.openFootprint
	s.footprint.Add(r.Workflow.Workspace, bytes-r.footprint)
	r.footprint = bytes
}

// reservedOccurrences returns for how many occurrences a workflow is charged from its acceptance on.
func reservedOccurrences(w *pj.Workflow) int {
	return min(w.Occurrences(), ScheduledWindow)
}

// NewWorkflowFootprint returns the estimate for a workflow that has not run, in bytes.
func NewWorkflowFootprint(w *pj.Workflow) int64 {
	bytes := recordBytes + textFootprint(w.Spec) + textFootprint(w.ID) + textFootprint(w.Queue) + textFootprint(w.Workspace) + textFootprint(w.Origin) + textFootprint(w.Pool)
	if len(w.Steps) == 0 {
		return bytes // the definition has been discarded
	}
	for i := range w.Steps {
		step := &w.Steps[i]
		bytes += stepBytes + textFootprint(step.Label) + textFootprint(step.DataRack) + textFootprint(step.Image) + int64(len(step.DependsOn))*escapedBytes*textCopies
	}
	return bytes + int64(reservedOccurrences(w))*OccurrenceFootprint(w)
}

// OccurrenceFootprint returns the estimate for one occurrence of a workflow that runs, in bytes.
func OccurrenceFootprint(w *pj.Workflow) int64 {
	bytes := int64(occurrenceBytes)
	for i := range w.Steps {
		bytes += stepStateBytes + int64(w.Steps[i].Tasks)*taskBytes
	}
	return bytes
}

func textFootprint(text string) int64 {
	bytes := len(text)
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			bytes += escapedBytes * textCopies
		} else {
			bytes += textCopies
		}
	}
	return int64(bytes)
}
