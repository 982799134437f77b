// Package workflow implements the replicated state of a cell of polled workers, to which the leader sends polls and
// orders (see package runs): the rules in force, the workers, the workflows, and every run of their tasks.
package workflow

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	pj "papayajunction"
)

// Command is a change of the state. The fields that are set are applied in the order declared here.
type Command struct {
	Configure     *pj.Ruleset         `json:"configure,omitempty"`
	Workers       []pj.PolledWorker   `json:"workers,omitempty"`
	RemoveWorkers []WorkerIncarnation `json:"leave,omitempty"`
	Settled       []WorkerIncarnation `json:"settled,omitempty"` // see State.Unsettled
	Submit        *pj.Workflow        `json:"submit,omitempty"`
	Cancel        string              `json:"cancel,omitempty"`
	LateDone      []pj.RunID          `json:"late_done,omitempty"` // runs that ended as done after another end was recorded, because their worker was out of reach
	End           []RunEnd            `json:"end,omitempty"`
	Start         []RunStart          `json:"start,omitempty"`
	Delete        []string            `json:"forget,omitempty"`
	At            int64               `json:"at,omitempty"` // Unix time in milliseconds of the proposal
}

// WorkerIncarnation identifies one incarnation of a worker.
type WorkerIncarnation struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"born"` // Unix time in milliseconds at which the incarnation started
}

// RunStart records that a run may start on a worker. It is committed before the order is sent to the worker.
type RunStart struct {
	pj.RunID

	Worker string `json:"worker"`
}

// RunEnd records that a run has certainly ended.
type RunEnd struct {
	pj.RunID

	Outcome    pj.RunOutcome `json:"how"`
	Checkpoint string        `json:"saved,omitempty"` // checkpoint to resume from
}

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
	Tasks         []Task `json:"tasks"`
	Failures      int    `json:"failures,omitempty"`   // number of failed runs of a gang
	FailedRun     int    `json:"failed_run,omitempty"` // number of the last failed run of a gang
	finishedTasks int
}

// Done reports whether all tasks of the step have finished.
func (s *StepState) Done() bool {
	return s.finishedTasks == len(s.Tasks)
}

// Record is a workflow with the state of its tasks.
type Record struct {
	Workflow        pj.Workflow   `json:"workflow"`
	Fingerprint     string        `json:"fingerprint,omitempty"` // of the workflow as submitted; "" if an older version discarded the definition
	Occurrences     [][]StepState `json:"occurrences"`           // by occurrence and step
	Cancelled       bool          `json:"cancelled,omitempty"`
	Failed          string        `json:"failed,omitempty"`   // reason for the failure
	Started         bool          `json:"started,omitempty"`  // set once a run that is known to have started on a worker has ended
	FinalAt         int64         `json:"final_at,omitempty"` // Unix time in milliseconds
	liveRuns        int
	unfinishedSteps int
}

// Step returns the state of a step, or nil if there is no such step.
func (r *Record) Step(id pj.StepID) *StepState {
	if id.Occurrence < 0 || id.Occurrence >= len(r.Occurrences) ||
		id.Step < 0 || id.Step >= len(r.Occurrences[id.Occurrence]) {
		return nil
	}
	return &r.Occurrences[id.Occurrence][id.Step]
}

// Task returns a task, or nil if there is no such task.
func (r *Record) Task(id pj.TaskID) *Task {
	step := r.Step(id.StepID)
	if step == nil || id.Index < 0 || id.Index >= len(step.Tasks) {
		return nil
	}
	return &step.Tasks[id.Index]
}

// Ready reports whether all steps that the step depends on have finished.
func (r *Record) Ready(id pj.StepID) bool {
	for _, d := range r.Workflow.Steps[id.Step].DependsOn {
		if !r.Occurrences[id.Occurrence][d].Done() {
			return false
		}
	}
	return true
}

// LiveRuns returns the number of runs that may still be on workers.
func (r *Record) LiveRuns() int {
	return r.liveRuns
}

// State returns the state that is reported to callers.
func (r *Record) State() pj.WorkflowState {
	switch {
	case r.Cancelled:
		return pj.WorkflowCancelled
	case r.Failed != "":
		return pj.WorkflowFailed
	case r.unfinishedSteps == 0:
		return pj.WorkflowComplete
	case r.Started || r.liveRuns > 0:
		return pj.WorkflowRunning
	}
	return pj.WorkflowQueued
}

// addFingerprint adds the fingerprint to a record of an older version that still has its definition.
func (r *Record) addFingerprint() (err error) {
	if r.Fingerprint == "" && len(r.Workflow.Steps) > 0 {
		r.Fingerprint, err = r.Workflow.Fingerprint()
	}
	return err
}

// recomputeCounters recomputes the counters, which are not part of a snapshot.
func (r *Record) recomputeCounters() {
	r.liveRuns, r.unfinishedSteps = 0, 0
	for _, steps := range r.Occurrences {
		for i := range steps {
			steps[i].finishedTasks = 0
			for _, t := range steps[i].Tasks {
				if t.Done {
					steps[i].finishedTasks++
				}
				if t.Worker != "" {
					r.liveRuns++
				}
			}
			if !steps[i].Done() {
				r.unfinishedSteps++
			}
		}
	}
}

// State is the replicated state.
type State struct {
	index     uint64
	rules     pj.Ruleset
	records   map[string]*Record
	workers   map[string]pj.PolledWorker
	unsettled map[string]int64 // incarnation, by worker; see Unsettled
	removedAt map[string]int64 // Unix time in milliseconds, by removed worker
	waiting   map[string]int   // number of waiting workflows (see isWaiting), by queue
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		records:   make(map[string]*Record),
		workers:   make(map[string]pj.PolledWorker),
		unsettled: make(map[string]int64),
		removedAt: make(map[string]int64),
		waiting:   make(map[string]int),
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

// EndedBefore returns the ids of up to maxCount workflows that reached a final state before unixMS, a Unix time in
// milliseconds, and have no live runs.
func (s *State) EndedBefore(unixMS int64, maxCount int) []string {
	var ids []string
	for id, r := range s.records {
		if len(ids) >= maxCount {
			break
		}
		if r.FinalAt != 0 && r.FinalAt < unixMS && r.liveRuns == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Worker returns the latest announcement of a worker.
func (s *State) Worker(id string) (pj.PolledWorker, bool) {
	w, ok := s.workers[id]
	return w, ok
}

// Workers calls visit for every announced worker, in order of id.
func (s *State) Workers(visit func(pj.PolledWorker)) {
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		visit(s.workers[id])
	}
}

// Unsettled reports whether an earlier incarnation of a worker was known, and calls that were meant for it may have given the
// current one a lease that ends later than any leader has in mind. The leader commits when that is over.
func (s *State) Unsettled(id string) bool {
	incarnation, ok := s.unsettled[id]
	return ok && incarnation == s.workers[id].Incarnation
}

// WaitingWorkflows returns the number of workflows of a queue that are not known to have started. Ended workflows and
// those with scheduled occurrences are not counted.
func (s *State) WaitingWorkflows(queue string) int {
	return s.waiting[queue]
}

// Result is what Apply returns.
type Result struct {
	Version  int64   // of the rules in force, after Configure
	Record   *Record // of the workflow, after Submit or Cancel
	New      bool    // Submit added the workflow; it did not exist before
	Accepted []bool  // for each element of Start, whether it was accepted
	Err      *pj.Error
}

// Apply applies one command and returns a Result.
func (s *State) Apply(index uint64, data []byte) any {
	s.index = index
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return Result{Err: pj.Refuse(pj.CodeInternal, "workflow command %d can't be decoded: %v", index, err)}
	}
	var result Result
	if c.Configure != nil {
		s.configure(c.Configure)
		result.Version = s.rules.Version
	}
	s.applyWorkers(&c)
	if c.Submit != nil {
		s.submit(*c.Submit, &result)
	}
	if c.Cancel != "" {
		result.Record = s.cancel(c.Cancel, c.At)
	}
	s.applyRuns(&c, &result)
	for _, id := range c.Delete {
		if r := s.records[id]; r != nil && r.State().Final() && r.liveRuns == 0 {
			delete(s.records, id)
		}
	}
	return result
}

func (s *State) applyWorkers(c *Command) {
	for _, w := range c.Workers {
		s.applyAnnouncement(w)
	}
	for _, incarnation := range c.RemoveWorkers {
		if current, ok := s.workers[incarnation.ID]; ok && current.Incarnation <= incarnation.Incarnation {
			s.removeWorker(incarnation.ID, c.At)
		}
	}
	for _, incarnation := range c.Settled {
		if s.unsettled[incarnation.ID] == incarnation.Incarnation {
			delete(s.unsettled, incarnation.ID)
		}
	}
}

func (s *State) applyRuns(c *Command, result *Result) {
	for _, id := range c.LateDone {
		s.finishLate(id, c.At)
	}
	for _, e := range c.End {
		s.endRun(e, c.At)
	}
	for _, st := range c.Start {
		result.Accepted = append(result.Accepted, s.startRun(st))
	}
}

func (s *State) configure(rules *pj.Ruleset) {
	if rules.Version <= s.rules.Version && s.rules.Document != nil {
		return
	}
	s.rules = *rules
	s.rules.BuildIndex()
}

// applyAnnouncement stores a worker's announcement unless the same or a newer one is already stored.
func (s *State) applyAnnouncement(w pj.PolledWorker) {
	current, ok := s.workers[w.ID]
	if ok && (current.Incarnation > w.Incarnation || (current.Incarnation == w.Incarnation && current.Sequence >= w.Sequence)) {
		return
	}
	_, removed := s.removedAt[w.ID]
	delete(s.removedAt, w.ID)
	if removed || ok && current.Incarnation < w.Incarnation {
		s.unsettled[w.ID] = w.Incarnation
	}
	s.workers[w.ID] = w
}

// removalMemory is how long a removed worker is remembered: longer than calls that were sent to it may still be carried out.
const removalMemory = time.Minute

func (s *State) removeWorker(id string, at int64) {
	delete(s.workers, id)
	delete(s.unsettled, id)
	for other, removedAt := range s.removedAt {
		if removedAt < at-removalMemory.Milliseconds() {
			delete(s.removedAt, other)
		}
	}
	s.removedAt[id] = at
}

func (s *State) submit(w pj.Workflow, result *Result) {
	if r := s.records[w.ID]; r != nil {
		result.Record = r
		return
	}
	fingerprint, err := w.Fingerprint()
	if err != nil {
		result.Err = pj.Refuse(pj.CodeInternal, "submission can't be stored: %v", err)
		return
	}
	r := &Record{Workflow: w, Fingerprint: fingerprint, Occurrences: make([][]StepState, w.Occurrences())}
	for k := range r.Occurrences {
		r.Occurrences[k] = make([]StepState, len(w.Steps))
		for i, step := range w.Steps {
			r.Occurrences[k][i].Tasks = make([]Task, step.Tasks)
		}
	}
	r.recomputeCounters()
	s.records[w.ID] = r
	if s.isWaiting(r) {
		s.waiting[w.Queue]++
	}
	result.Record, result.New = r, true
}

// isWaiting reports whether WaitingWorkflows counts the workflow.
func (s *State) isWaiting(r *Record) bool {
	return !r.Started && !r.State().Final() && r.Workflow.ScheduledOccurrences == 0
}

// update changes a record and adjusts the number of waiting workflows of its queue.
func (s *State) update(r *Record, change func()) {
	wasWaiting := s.isWaiting(r)
	change()
	if wasWaiting && !s.isWaiting(r) {
		s.waiting[r.Workflow.Queue]--
	}
}

func (s *State) cancel(id string, at int64) *Record {
	r := s.records[id]
	if r == nil || r.State().Final() {
		return r
	}
	s.update(r, func() { r.Cancelled = true })
	s.finalise(r, at)
	return r
}

// finalise sets the end time of a workflow in a final state and, once no run of it is live, discards its definition, but
// for the fingerprint, and the state of its tasks. It does nothing for other workflows.
func (s *State) finalise(r *Record, at int64) {
	if !r.State().Final() {
		return
	}
	if r.FinalAt == 0 {
		r.FinalAt = at
	}
	if r.liveRuns == 0 {
		r.Workflow.Spec = ""
		r.Workflow.Steps = slices.Clone(r.Workflow.Steps[:0])
		r.Occurrences = nil
		r.unfinishedSteps = 0
	}
}

// startRun records a run. It refuses a run if the workflow has ended, if the task has finished or a run of it may
// still be on a worker, if the run number is not higher than all earlier ones, or if the step is not ready.
func (s *State) startRun(st RunStart) bool {
	r := s.records[st.Task.Workflow]
	if r == nil || r.State().Final() {
		return false
	}
	t := r.Task(st.Task)
	if t == nil || t.Done || t.Worker != "" || st.Run <= t.LastRun || !r.Ready(st.Task.StepID) {
		return false
	}
	t.LastRun = st.Run
	t.Worker = st.Worker
	r.liveRuns++
	return true
}

func (s *State) endRun(e RunEnd, at int64) {
	r := s.records[e.Task.Workflow]
	if r == nil {
		return
	}
	t := r.Task(e.Task)
	if t == nil || t.Worker == "" || t.LastRun != e.Run {
		return
	}
	worker := t.Worker
	t.Worker = ""
	r.liveRuns--
	s.update(r, func() { s.applyOutcome(r, t, worker, e) })
	s.finalise(r, at)
}

// finishLate marks a task as finished by a run of which another end was recorded before.
func (s *State) finishLate(id pj.RunID, at int64) {
	r := s.records[id.Task.Workflow]
	if r == nil || r.State().Final() {
		return
	}
	t := r.Task(id.Task)
	if t == nil || t.Done || id.Run > t.LastRun || r.Workflow.Steps[id.Task.Step].LongRunning {
		return
	}
	s.update(r, func() {
		r.Started = true
		s.finishTask(r, r.Step(id.Task.StepID), &r.Workflow.Steps[id.Task.Step], t)
	})
	s.finalise(r, at)
}

// applyOutcome updates the record, the step and the task with the outcome of a run on a worker.
func (s *State) applyOutcome(r *Record, t *Task, worker string, e RunEnd) {
	if e.Outcome != pj.EndWorkerLost && e.Outcome != pj.EndNotStarted {
		r.Started = true
	}
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	step := r.Step(e.Task.StepID)
	spec := &r.Workflow.Steps[e.Task.Step]
	switch {
	case e.Outcome == pj.EndWorkerLost:
		t.LostOn = worker
	case e.Outcome == pj.EndDone && !spec.LongRunning:
		s.finishTask(r, step, spec, t)
	case e.Outcome == pj.EndFailed && !spec.LongRunning && !t.Done:
		s.recordFailure(r, step, spec, t, e)
	}
}

// finishTask marks a task as finished. The first member of a gang to finish marks all members as finished.
func (s *State) finishTask(r *Record, step *StepState, spec *pj.Step, t *Task) {
	if step.Done() {
		return
	}
	if spec.Gang {
		for i := range step.Tasks {
			step.Tasks[i].Done = true
		}
		step.finishedTasks = len(step.Tasks)
	} else if !t.Done {
		t.Done = true
		step.finishedTasks++
	}
	if step.Done() {
		r.unfinishedSteps--
	}
}

// recordFailure counts a failed run and fails the workflow once the maximum number of attempts is reached. Members of a
// gang count once for each run of the gang.
func (s *State) recordFailure(r *Record, step *StepState, spec *pj.Step, t *Task, e RunEnd) {
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
	Index     uint64            `json:"index"`
	Rules     pj.Ruleset        `json:"rules"`
	Records   []*Record         `json:"records"`
	Workers   []pj.PolledWorker `json:"workers"`
	Unsettled map[string]int64  `json:"unsettled,omitempty"`
	RemovedAt map[string]int64  `json:"removed_at,omitempty"`
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Index: s.index, Rules: s.rules, Unsettled: s.unsettled, RemovedAt: s.removedAt}
	s.Records(func(r *Record) { snap.Records = append(snap.Records, r) })
	s.Workers(func(w pj.PolledWorker) { snap.Workers = append(snap.Workers, w) })
	data, err := json.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("write workflow snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state with that of a snapshot. Without data, the state becomes empty.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if len(data) > 0 {
		if err := json.Unmarshal(data, &snap); err != nil {
			return fmt.Errorf("read workflow snapshot: %w", err)
		}
	}
	*s = *NewState()
	s.index = snap.Index
	s.rules = snap.Rules
	s.rules.BuildIndex()
	for _, r := range snap.Records {
		if err := r.addFingerprint(); err != nil {
			return fmt.Errorf("read workflow snapshot: %w", err)
		}
		r.recomputeCounters()
		s.records[r.Workflow.ID] = r
		if s.isWaiting(r) {
			s.waiting[r.Workflow.Queue]++
		}
	}
	for _, w := range snap.Workers {
		s.workers[w.ID] = w
	}
	maps.Copy(s.unsettled, snap.Unsettled)
	maps.Copy(s.removedAt, snap.RemovedAt)
	return nil
}
