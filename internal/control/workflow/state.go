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

// Record is a workflow with the state of its tasks. An occurrence has state of its own only from its first run until its last run has ended,
// so that the size of a record follows what has run and not how many occurrences are scheduled.
type Record struct {
	Workflow    pj.Workflow     `json:"workflow"`
	Fingerprint string          `json:"fingerprint,omitempty"` // of the workflow as submitted; "" if an older version discarded the definition
	Open        openOccurrences `json:"occurrences"`           // occurrences that have run and aren't closed
	Closed      occurrenceSet   `json:"closed,omitempty"`      // occurrences whose steps and runs have ended
	Cancelled   bool            `json:"cancelled,omitempty"`
	Failed      string          `json:"failed,omitempty"`   // reason for the failure
	Started     bool            `json:"started,omitempty"`  // set once a run that is known to have started on a worker has ended
	FinalAt     int64           `json:"final_at,omitempty"` // Unix time in milliseconds

	liveRuns   int
	unfinished int // occurrences with steps that aren't done

	footprint        int64 // as of the last measurement
	initialFootprint int64 // before its first run
	openFootprint    int64 // of each further occurrence
}

// Step returns the state of a step, or nil if there is no such step. It must not be changed, and isn't updated if the step has not run yet.
func (r *Record) Step(id pj.StepID) *StepState {
	if id.Step < 0 || id.Step >= len(r.Workflow.Steps) || id.Occurrence < 0 || id.Occurrence >= r.Workflow.Occurrences() {
		return nil
	}
	if o := r.Open[id.Occurrence]; o != nil {
		return &o.Steps[id.Step]
	}
	step := &StepState{size: r.Workflow.Steps[id.Step].Tasks}
	if r.Closed.contains(id.Occurrence) {
		step.finishedTasks = step.size
	}
	return step
}

// Task returns a copy of the state of a task, or nil if there is no such task.
func (r *Record) Task(id pj.TaskID) *Task {
	step := r.Step(id.StepID)
	if step == nil || id.Index < 0 || id.Index >= step.size {
		return nil
	}
	t := step.Task(id.Index)
	return &t
}

// Ready reports whether all steps that the step depends on have finished.
func (r *Record) Ready(id pj.StepID) bool {
	for _, d := range r.Workflow.Steps[id.Step].DependsOn {
		if !r.Step(pj.StepID{Workflow: id.Workflow, Occurrence: id.Occurrence, Step: d}).Done() {
			return false
		}
	}
	return true
}

// NextUnclosed returns the first occurrence from the given one that isn't closed, or the number of occurrences if there is none.
func (r *Record) NextUnclosed(from int) int {
	for from < r.Workflow.Occurrences() && r.Closed.contains(from) {
		from++
	}
	return from
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
	case r.unfinished == 0:
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

// open returns an occurrence, adding its state if it has not run yet.
func (r *Record) open(k int) *Occurrence {
	o := r.Open[k]
	if o != nil {
		return o
	}
	o = &Occurrence{Steps: make([]StepState, len(r.Workflow.Steps))}
	o.recompute(&r.Workflow)
	if r.Open == nil {
		r.Open = make(openOccurrences)
	}
	r.Open[k] = o
	return o
}

// close discards the state of an occurrence that is done and without live runs.
func (r *Record) close(k int) {
	if o := r.Open[k]; o != nil && o.unfinishedSteps == 0 && o.liveRuns == 0 {
		delete(r.Open, k)
		r.Closed.add(k)
	}
}

// recompute computes what is not part of a snapshot.
func (r *Record) recompute() {
	r.liveRuns, r.unfinished = 0, r.Workflow.Occurrences()
	for k, o := range r.Open {
		o.recompute(&r.Workflow)
		r.liveRuns += o.liveRuns
		switch {
		case o.unfinishedSteps == 0 && o.liveRuns > 0:
			r.unfinished--
		case o.unfinishedSteps == 0:
			r.close(k)
		case !o.discardUntouched():
			delete(r.Open, k)
		}
	}
	r.unfinished -= r.Closed.size()
	if len(r.Workflow.Steps) == 0 || (r.FinalAt != 0 && len(r.Open) == 0) { // finalise has discarded the state
		r.unfinished = 0
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
	footprint Footprint
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
			s.footprint.Add(r.Workflow.Workspace, -r.footprint)
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
	r := &Record{Workflow: w, Fingerprint: fingerprint}
	r.recompute()
	r.estimate()
	s.records[w.ID] = r
	if s.isWaiting(r) {
		s.waiting[w.Queue]++
	}
	s.measure(r)
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
		r.Open, r.Closed = nil, nil
		r.unfinished = 0
		r.estimate()
	}
	s.measure(r)
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
	o := r.open(st.Task.Occurrence)
	started := o.Steps[st.Task.Step].edit(st.Task.Index)
	started.LastRun = st.Run
	started.Worker = st.Worker
	o.liveRuns++
	r.liveRuns++
	s.measure(r)
	return true
}

func (s *State) endRun(e RunEnd, at int64) {
	r := s.records[e.Task.Workflow]
	if r == nil {
		return
	}
	if t := r.Task(e.Task); t == nil || t.Worker == "" || t.LastRun != e.Run {
		return
	}
	o := r.Open[e.Task.Occurrence]
	t := o.Steps[e.Task.Step].edit(e.Task.Index)
	worker := t.Worker
	t.Worker = ""
	o.liveRuns--
	r.liveRuns--
	s.update(r, func() { s.applyOutcome(r, o, t, worker, e) })
	r.close(e.Task.Occurrence)
	s.finalise(r, at)
	s.measure(r)
}

// finishLate marks a task as finished by a run of which another end was recorded before.
func (s *State) finishLate(id pj.RunID, at int64) {
	r := s.records[id.Task.Workflow]
	if r == nil || r.State().Final() {
		return
	}
	if t := r.Task(id.Task); t == nil || t.Done || id.Run > t.LastRun || r.Workflow.Steps[id.Task.Step].LongRunning {
		return // a task with a run number has an open occurrence
	}
	o := r.open(id.Task.Occurrence)
	s.update(r, func() {
		r.Started = true
		s.finishTask(r, o, id.Task)
	})
	r.close(id.Task.Occurrence)
	s.finalise(r, at)
	s.measure(r)
}

// applyOutcome updates the record, the step and the task with the outcome of a run on a worker.
func (s *State) applyOutcome(r *Record, o *Occurrence, t *Task, worker string, e RunEnd) {
	if e.Outcome != pj.EndWorkerLost && e.Outcome != pj.EndNotStarted {
		r.Started = true
	}
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	step := &o.Steps[e.Task.Step]
	spec := &r.Workflow.Steps[e.Task.Step]
	switch {
	case e.Outcome == pj.EndWorkerLost:
		t.LostOn = worker
	case e.Outcome == pj.EndDone && !spec.LongRunning:
		s.finishTask(r, o, e.Task)
	case e.Outcome == pj.EndFailed && !spec.LongRunning && !t.Done:
		s.recordFailure(r, step, spec, t, e)
	}
}

// finishTask marks a task as finished. The first member of a gang to finish marks all members as finished.
func (s *State) finishTask(r *Record, o *Occurrence, id pj.TaskID) {
	step := &o.Steps[id.Step]
	if step.Done() {
		return
	}
	if r.Workflow.Steps[id.Step].Gang {
		for i := range step.size {
			step.edit(i).Done = true
		}
		step.finishedTasks = step.size
	} else if t := step.edit(id.Index); !t.Done {
		t.Done = true
		step.finishedTasks++
	}
	if !step.Done() {
		return
	}
	o.unfinishedSteps--
	if o.unfinishedSteps == 0 {
		r.unfinished--
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
		r.recompute()
		r.estimate()
		s.measure(r)
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
