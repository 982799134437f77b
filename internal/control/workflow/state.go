// Package workflow holds the replicated state of a cell whose workers are called: the rules in force,
// the workers, the workflows, and every run of their tasks.
package workflow

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	pj "papayajunction"
)

// Command is a change of the state. The fields that are set are run in the order given here.
type Command struct {
	Configure *pj.Ruleset       `json:"configure,omitempty"`
	Workers   []pj.CalledWorker `json:"workers,omitempty"`
	Leave     []WorkerLife      `json:"leave,omitempty"`
	Submit    *pj.Workflow      `json:"submit,omitempty"`
	Cancel    string            `json:"cancel,omitempty"`
	End       []RunEnd          `json:"end,omitempty"`
	Start     []RunStart        `json:"start,omitempty"`
	Forget    []string          `json:"forget,omitempty"`
	At        int64             `json:"at,omitempty"` // Unix time in milliseconds of the proposal
}

// WorkerLife names one life of a worker.
type WorkerLife struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
}

// RunStart records, before a worker hears of it, that a run may start there.
type RunStart struct {
	pj.RunID

	Worker string `json:"worker"`
}

// RunEnd records that a run has certainly ended.
type RunEnd struct {
	pj.RunID

	How   pj.EndHow `json:"how"`
	Saved string    `json:"saved,omitempty"`
}

// Task is one task of a step. Worker is set while a run of it may be on a worker.
type Task struct {
	Run      int    `json:"run,omitempty"` // highest number given to a run
	Failures int    `json:"failures,omitempty"`
	Done     bool   `json:"done,omitempty"`
	Saved    string `json:"saved,omitempty"` // checkpoint to go on from
	Worker   string `json:"worker,omitempty"`
}

// StepState is one step of one occurrence.
type StepState struct {
	Tasks     []Task `json:"tasks"`
	Failures  int    `json:"failures,omitempty"`   // failed runs of a gang
	FailedRun int    `json:"failed_run,omitempty"` // the last of them
	done      int
}

// Done reports whether all tasks of the step have finished.
func (s *StepState) Done() bool {
	return s.done == len(s.Tasks)
}

// Record is a workflow with the state of its tasks.
type Record struct {
	Workflow    pj.Workflow   `json:"workflow"`
	Occurrences [][]StepState `json:"occurrences"` // by occurrence and step
	Cancelled   bool          `json:"cancelled,omitempty"`
	Failed      string        `json:"failed,omitempty"`   // why it failed
	Started     bool          `json:"started,omitempty"`  // a run of it has ended on a worker, so it has surely begun
	FinalAt     int64         `json:"final_at,omitempty"` // Unix time in milliseconds
	live        int
	undone      int // steps that have not finished
}

// Step returns the state of a step, or nil if there is none of that name.
func (r *Record) Step(id pj.StepID) *StepState {
	if id.Occurrence < 0 || id.Occurrence >= len(r.Occurrences) ||
		id.Step < 0 || id.Step >= len(r.Occurrences[id.Occurrence]) {
		return nil
	}
	return &r.Occurrences[id.Occurrence][id.Step]
}

// Task returns a task, or nil if there is none of that name.
func (r *Record) Task(id pj.TaskID) *Task {
	step := r.Step(id.StepID)
	if step == nil || id.Index < 0 || id.Index >= len(step.Tasks) {
		return nil
	}
	return &step.Tasks[id.Index]
}

// Ready reports whether everything that the step depends on has finished.
func (r *Record) Ready(id pj.StepID) bool {
	for _, d := range r.Workflow.Steps[id.Step].DependsOn {
		if !r.Occurrences[id.Occurrence][d].Done() {
			return false
		}
	}
	return true
}

// Live returns the number of runs that may be on workers.
func (r *Record) Live() int {
	return r.live
}

// State returns the state that callers see.
func (r *Record) State() pj.WorkflowState {
	switch {
	case r.Cancelled:
		return pj.WorkflowCancelled
	case r.Failed != "":
		return pj.WorkflowFailed
	case r.undone == 0:
		return pj.WorkflowComplete
	case r.Started || r.live > 0:
		return pj.WorkflowRunning
	}
	return pj.WorkflowQueued
}

// recount derives what isn't stored.
func (r *Record) recount() {
	r.live, r.undone = 0, 0
	for _, steps := range r.Occurrences {
		for i := range steps {
			steps[i].done = 0
			for _, t := range steps[i].Tasks {
				if t.Done {
					steps[i].done++
				}
				if t.Worker != "" {
					r.live++
				}
			}
			if !steps[i].Done() {
				r.undone++
			}
		}
	}
}

// State is the replicated state.
type State struct {
	index   uint64
	rules   pj.Ruleset
	records map[string]*Record
	workers map[string]pj.CalledWorker
	waiting map[string]int // workflows of which nothing has started, by queue
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		records: make(map[string]*Record),
		workers: make(map[string]pj.CalledWorker),
		waiting: make(map[string]int),
	}
}

// Index returns the log index of the last command that was applied.
func (s *State) Index() uint64 {
	return s.index
}

// Rules returns the rules in force. They must not be changed.
func (s *State) Rules() *pj.Ruleset {
	return &s.rules
}

// Record returns a workflow, or nil. It must not be changed.
func (s *State) Record(id string) *Record {
	return s.records[id]
}

// Records calls visit for every workflow in order of acceptance.
func (s *State) Records(visit func(*Record)) {
	records := slices.SortedFunc(maps.Values(s.records), func(a, b *Record) int {
		if a.Workflow.AcceptedAt != b.Workflow.AcceptedAt {
			return int(min(max(a.Workflow.AcceptedAt-b.Workflow.AcceptedAt, -1), 1))
		}
		if a.Workflow.ID < b.Workflow.ID {
			return -1
		}
		return 1
	})
	for _, r := range records {
		visit(r)
	}
}

// EndedBefore returns up to most workflows that have been in a final state since before a Unix time in milliseconds and of which nothing runs.
func (s *State) EndedBefore(unixMS int64, most int) []string {
	var ids []string
	for id, r := range s.records {
		if len(ids) >= most {
			break
		}
		if r.FinalAt != 0 && r.FinalAt < unixMS && r.live == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Worker returns an announced worker.
func (s *State) Worker(id string) (pj.CalledWorker, bool) {
	w, ok := s.workers[id]
	return w, ok
}

// Workers calls visit for every announced worker in order of their ids.
func (s *State) Workers(visit func(pj.CalledWorker)) {
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		visit(s.workers[id])
	}
}

// Waiting returns how many workflows of a queue have not surely begun.
func (s *State) Waiting(queue string) int {
	return s.waiting[queue]
}

// Result is what Apply returns.
type Result struct {
	Version  int64   // of the rules in force after a configuration
	Record   *Record // of a submission
	New      bool    // the submission was not known before
	Accepted []bool  // of starts, one each
	Err      *pj.Error
}

// Apply runs one command and returns a Result.
func (s *State) Apply(index uint64, data []byte) any {
	s.index = index
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return Result{Err: pj.Refuse(pj.CodeInternal, "command %d can't be read: %v", index, err)}
	}
	var result Result
	if c.Configure != nil {
		s.configure(c.Configure)
		result.Version = s.rules.Version
	}
	for _, w := range c.Workers {
		s.announce(w)
	}
	for _, l := range c.Leave {
		if held, ok := s.workers[l.ID]; ok && held.Born <= l.Born {
			delete(s.workers, l.ID)
		}
	}
	if c.Submit != nil {
		result.Record, result.New = s.submit(*c.Submit)
	}
	if c.Cancel != "" {
		result.Record = s.cancel(c.Cancel, c.At)
	}
	for _, e := range c.End {
		s.end(e, c.At)
	}
	for _, st := range c.Start {
		result.Accepted = append(result.Accepted, s.start(st))
	}
	for _, id := range c.Forget {
		if r := s.records[id]; r != nil && r.State().Final() && r.live == 0 {
			delete(s.records, id)
		}
	}
	return result
}

func (s *State) configure(rules *pj.Ruleset) {
	if rules.Version <= s.rules.Version && s.rules.Document != nil {
		return
	}
	s.rules = *rules
	s.rules.Index()
}

// announce takes in a worker unless a later announcement of it was taken in before.
func (s *State) announce(w pj.CalledWorker) {
	held, ok := s.workers[w.ID]
	if ok && (held.Born > w.Born || (held.Born == w.Born && held.Sequence >= w.Sequence)) {
		return
	}
	s.workers[w.ID] = w
}

func (s *State) submit(w pj.Workflow) (*Record, bool) {
	if r := s.records[w.ID]; r != nil {
		return r, false
	}
	r := &Record{Workflow: w, Occurrences: make([][]StepState, w.Occurrences())}
	for k := range r.Occurrences {
		r.Occurrences[k] = make([]StepState, len(w.Steps))
		for i, step := range w.Steps {
			r.Occurrences[k][i].Tasks = make([]Task, step.Tasks)
		}
	}
	r.recount()
	s.records[w.ID] = r
	if s.counts(r) {
		s.waiting[w.Queue]++
	}
	return r, true
}

// counts reports whether the workflow is one of those that Waiting counts.
func (s *State) counts(r *Record) bool {
	return !r.Started && !r.State().Final() && r.Workflow.Times == 0
}

// change runs a change of a record and keeps the count of waiting workflows.
func (s *State) change(r *Record, change func()) {
	before := s.counts(r)
	change()
	if before && !s.counts(r) {
		s.waiting[r.Workflow.Queue]--
	}
}

func (s *State) cancel(id string, at int64) *Record {
	r := s.records[id]
	if r == nil || r.State().Final() {
		return r
	}
	s.change(r, func() { r.Cancelled = true })
	s.finish(r, at)
	return r
}

// finish drops what a workflow in a final state doesn't need any more.
func (s *State) finish(r *Record, at int64) {
	if !r.State().Final() {
		return
	}
	if r.FinalAt == 0 {
		r.FinalAt = at
	}
	if r.live == 0 {
		r.Workflow.Spec = ""
		r.Workflow.Steps = slices.Clone(r.Workflow.Steps[:0])
		r.Occurrences = nil
		r.undone = 0
	}
}

// start records a run. It is refused if the workflow has ended, if a run of the task may still be
// somewhere, or if the number isn't a new one.
func (s *State) start(st RunStart) bool {
	r := s.records[st.Task.Workflow]
	if r == nil || r.State().Final() {
		return false
	}
	t := r.Task(st.Task)
	if t == nil || t.Done || t.Worker != "" || st.Run <= t.Run || !r.Ready(st.Task.StepID) {
		return false
	}
	t.Run = st.Run
	t.Worker = st.Worker
	r.live++
	return true
}

func (s *State) end(e RunEnd, at int64) {
	r := s.records[e.Task.Workflow]
	if r == nil {
		return
	}
	t := r.Task(e.Task)
	if t == nil || t.Worker == "" || t.Run != e.Run {
		return
	}
	t.Worker = ""
	r.live--
	s.change(r, func() { s.ended(r, t, e) })
	s.finish(r, at)
}

// ended takes in how a run ended.
func (s *State) ended(r *Record, t *Task, e RunEnd) {
	if e.How != pj.EndLost && e.How != pj.EndNotStarted {
		r.Started = true
	}
	if e.Saved != "" {
		t.Saved = e.Saved
	}
	step := r.Step(e.Task.StepID)
	spec := &r.Workflow.Steps[e.Task.Step]
	switch {
	case e.How == pj.EndDone && !spec.LongRunning:
		s.done(r, step, spec, t)
	case e.How == pj.EndFailed && !spec.LongRunning:
		s.fail(r, step, spec, t, e)
	}
}

// done marks a task as finished; one member of a gang stands for all.
func (s *State) done(r *Record, step *StepState, spec *pj.Step, t *Task) {
	if step.Done() {
		return
	}
	if spec.Gang {
		for i := range step.Tasks {
			step.Tasks[i].Done = true
		}
		step.done = len(step.Tasks)
	} else if !t.Done {
		t.Done = true
		step.done++
	}
	if step.Done() {
		r.undone--
	}
}

// fail counts a failed run; members of a gang count once for each run of the gang.
func (s *State) fail(r *Record, step *StepState, spec *pj.Step, t *Task, e RunEnd) {
	failures := 0
	if spec.Gang {
		if e.Run > step.FailedRun {
			step.FailedRun = e.Run
			step.Failures++
		}
		failures = step.Failures
	} else {
		t.Failures++
		failures = t.Failures
	}
	if failures >= r.Workflow.MaxAttempts && r.Failed == "" && !r.Cancelled && !step.Done() {
		r.Failed = fmt.Sprintf("task %s failed %d times", e.Task, failures)
	}
}

// snapshot is the JSON form of State.
type snapshot struct {
	Index   uint64            `json:"index"`
	Rules   pj.Ruleset        `json:"rules"`
	Records []*Record         `json:"records"`
	Workers []pj.CalledWorker `json:"workers"`
}

// Snapshot returns the whole state as bytes.
func (s *State) Snapshot() ([]byte, error) {
	p := snapshot{Index: s.index, Rules: s.rules}
	s.Records(func(r *Record) { p.Records = append(p.Records, r) })
	s.Workers(func(w pj.CalledWorker) { p.Workers = append(p.Workers, w) })
	data, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("write workflow snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot; no bytes mean the empty state.
func (s *State) Restore(data []byte) error {
	var p snapshot
	if len(data) > 0 {
		if err := json.Unmarshal(data, &p); err != nil {
			return fmt.Errorf("read workflow snapshot: %w", err)
		}
	}
	*s = *NewState()
	s.index = p.Index
	s.rules = p.Rules
	s.rules.Index()
	for _, r := range p.Records {
		r.recount()
		s.records[r.Workflow.ID] = r
		if s.counts(r) {
			s.waiting[r.Workflow.Queue]++
		}
	}
	for _, w := range p.Workers {
		s.workers[w.ID] = w
	}
	return nil
}
