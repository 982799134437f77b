// Package cell implements the replicated state of one availability zone: its jobs, every attempt to run
// a task, their outcomes, and the zone's allotments.
package cell

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	pj "papayajunction"
)

// MaxResultBytes is the maximum size of a task's stored result; longer results are truncated.
const MaxResultBytes = 16 << 10

// Command is a change of the state. The fields that are set are applied in the order declared here.
type Command struct {
	Submit      *pj.Job           `json:"submit,omitempty"`
	Cancel      []string          `json:"cancel,omitempty"`
	CancelledAt int64             `json:"cancelled_at,omitempty"` // Unix time in milliseconds
	Start       []StartAttempt    `json:"start,omitempty"`
	End         []EndAttempt      `json:"end,omitempty"`
	Allot       []AllotmentCommit `json:"allot,omitempty"`
	Delete      []string          `json:"forget,omitempty"`
	Drain       *pj.Drain         `json:"drain,omitempty"`
}

// StartAttempt records that a task is to run on a worker. It is committed before the attempt is sent to the worker.
type StartAttempt struct {
	Attempt     pj.AttemptID `json:"attempt"`
	Worker      string       `json:"worker"`
	Rack        string       `json:"rack"`
	Incarnation string       `json:"incarnation"`
	Reservation pj.Resources `json:"reservation"`
	WaitedMS    int64        `json:"waited_ms"`
}

// EndAttempt records that an attempt has certainly ended.
type EndAttempt struct {
	Attempt         pj.AttemptID `json:"attempt"`
	Phase           pj.Phase     `json:"phase"`
	Result          string       `json:"result,omitempty"`
	Reason          string       `json:"reason,omitempty"`
	Fatal           bool         `json:"fatal,omitempty"`   // the job fails even if attempts remain
	CountsAsFailure bool         `json:"blame,omitempty"`   // the failure counts towards the job's MaxAttempts
	EndedAt         int64        `json:"ended_at,omitzero"` // Unix time in milliseconds
}

// AllotmentCommit puts an allotment into force. The committed value is not reduced below what is in use; SlotsUsed
// is the number of slots in use, which the state does not record.
type AllotmentCommit struct {
	pj.Allotment
	SlotsUsed int64 `json:"slots_used"`
}

// Attempt is the current attempt of a task, which may be running.
type Attempt struct {
	Number      int          `json:"number"`
	Worker      string       `json:"worker"`
	Rack        string       `json:"rack"`
	Incarnation string       `json:"incarnation"`
	Reservation pj.Resources `json:"reservation"`
}

// Task is one task of a job.
type Task struct {
	LiveAttempt  *Attempt `json:"live,omitempty"` // nil if no attempt may be running
	AttemptCount int      `json:"number"`         // number of attempts started so far
	Failures     int      `json:"failures,omitempty"`
	Done         bool     `json:"done,omitempty"`
	Worker       string   `json:"worker,omitempty"` // of the last attempt
	Rack         string   `json:"rack,omitempty"`
	Result       string   `json:"result,omitempty"`
	Reason       string   `json:"reason,omitempty"`
	WaitedMS     int64    `json:"waited_ms,omitempty"` // before the first attempt
}

// Record is a job with its tasks.
type Record struct {
	Job           pj.Job `json:"job"`
	Tasks         []Task `json:"tasks"`
	Cancelled     bool   `json:"cancelled,omitempty"`
	Failed        string `json:"failed,omitempty"`   // reason for the failure
	EndedAt       int64  `json:"ended_at,omitempty"` // Unix time in milliseconds
	liveAttempts  int
	finishedTasks int
}

// SubmitResult is the result of Apply for a submission.
type SubmitResult struct {
	Record *Record
	New    bool
	Err    *pj.Error
}

// CancelResult is the result of Apply for a cancellation.
type CancelResult struct {
	Ended bool // the cancellation ended the job, because none of its attempts was live
}

// State is the replicated state of a cell.
type State struct {
	index          uint64
	jobs           map[string]*Record
	allotments     map[string]pj.Allotment
	reserved       map[string]pj.Resources // by live attempts, by workspace
	drainedTargets map[pj.DrainTarget]struct{}
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		jobs:           make(map[string]*Record),
		allotments:     make(map[string]pj.Allotment),
		reserved:       make(map[string]pj.Resources),
		drainedTargets: make(map[pj.DrainTarget]struct{}),
	}
}

// Index returns the log index of the last command that was applied.
func (s *State) Index() uint64 {
	return s.index
}

// Job returns a job's record, or nil. It must not be changed.
func (s *State) Job(id string) *Record {
	return s.jobs[id]
}

// Jobs calls visit for every job, in order of submission.
func (s *State) Jobs(visit func(*Record)) {
	records := slices.SortedFunc(maps.Values(s.jobs), func(a, b *Record) int {
		if a.Job.SubmittedAt != b.Job.SubmittedAt {
			return int(min(max(a.Job.SubmittedAt-b.Job.SubmittedAt, -1), 1))
		}
		if a.Job.ID < b.Job.ID {
			return -1
		}
		return 1
	})
	for _, r := range records {
		visit(r)
	}
}

// Allotment returns a workspace's allotment in this cell.
func (s *State) Allotment(workspace string) pj.Allotment {
	a := s.allotments[workspace]
	a.Workspace = workspace
	return a
}

// Allotments calls visit for every allotment.
func (s *State) Allotments(visit func(pj.Allotment)) {
	for _, name := range slices.Sorted(maps.Keys(s.allotments)) {
		visit(s.Allotment(name))
	}
}

// Reserved returns what the live attempts of a workspace have reserved.
func (s *State) Reserved(workspace string) pj.Resources {
	return s.reserved[workspace]
}

// Apply applies one command. It returns a SubmitResult for a submission, a CancelResult for the last cancellation and, for
// starts, a []bool of which were accepted.
func (s *State) Apply(index uint64, data []byte) any {
	s.index = index
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return SubmitResult{Err: pj.Refuse(pj.CodeInternal, "cell command %d can't be decoded: %v", index, err)}
	}
	var result any
	if c.Submit != nil {
		result = s.submit(*c.Submit)
	}
	for _, id := range c.Cancel {
		result = CancelResult{Ended: s.cancel(id, c.CancelledAt)}
	}
	if c.Start != nil {
		result = s.startAttempts(c.Start)
	}
	for _, e := range c.End {
		s.endAttempt(e)
	}
	for _, a := range c.Allot {
		s.commitAllotment(a)
	}
	if c.Drain != nil {
		s.setDrain(*c.Drain)
	}
	for _, id := range c.Delete {
		if r := s.jobs[id]; r != nil && r.Ended() {
			delete(s.jobs, id)
		}
	}
	return result
}

func (s *State) submit(job pj.Job) SubmitResult {
	if r := s.jobs[job.ID]; r != nil {
		return SubmitResult{Record: r, Err: r.CheckRepetition(&job)}
	}
	r := &Record{Job: job, Tasks: make([]Task, job.Tasks)}
	s.jobs[job.ID] = r
	return SubmitResult{Record: r, New: true}
}

// cancel cancels a job and reports whether that ended it; otherwise it had ended, or ends with its live attempts.
func (s *State) cancel(id string, now int64) (ended bool) {
	r := s.jobs[id]
	if r == nil || r.Ended() {
		return false
	}
	r.Cancelled = true
	if r.Ended() {
		r.EndedAt = now
	}
	return r.Ended()
}

// startAttempts records attempts and returns which were accepted. An attempt is refused if the job was
// cancelled or has failed, if the task has finished or may still be running, if the attempt number is not the next
// one, or if its reservation does not fit into the workspace's allotment.
func (s *State) startAttempts(starts []StartAttempt) []bool {
	accepted := make([]bool, len(starts))
	for i, st := range starts {
		accepted[i] = s.startAttempt(st)
	}
	return accepted
}

func (s *State) startAttempt(st StartAttempt) bool {
	r := s.jobs[st.Attempt.Job]
	if r == nil || r.Cancelled || r.Failed != "" || st.Attempt.Task < 0 || st.Attempt.Task >= len(r.Tasks) {
		return false
	}
	t := &r.Tasks[st.Attempt.Task]
	if t.LiveAttempt != nil || t.Done || st.Attempt.Number != t.AttemptCount+1 {
		return false
	}
	newReserved := s.reserved[r.Job.Workspace].Add(st.Reservation)
	if !newReserved.FitsWhereUsed(s.allotments[r.Job.Workspace].Value) {
		return false
	}
	s.reserved[r.Job.Workspace] = newReserved
	t.AttemptCount++
	t.LiveAttempt = &Attempt{
		Number: t.AttemptCount, Worker: st.Worker, Rack: st.Rack, Incarnation: st.Incarnation, Reservation: st.Reservation,
	}
	t.Worker = st.Worker
	t.Rack = st.Rack
	if t.AttemptCount == 1 {
		t.WaitedMS = st.WaitedMS
	}
	r.liveAttempts++
	return true
}

func (s *State) endAttempt(e EndAttempt) {
	r := s.jobs[e.Attempt.Job]
	if r == nil || e.Attempt.Task < 0 || e.Attempt.Task >= len(r.Tasks) {
		return
	}
	t := &r.Tasks[e.Attempt.Task]
	if t.LiveAttempt == nil || t.LiveAttempt.Number != e.Attempt.Number {
		return
	}
	s.reserved[r.Job.Workspace] = s.reserved[r.Job.Workspace].Sub(t.LiveAttempt.Reservation)
	t.LiveAttempt = nil
	r.liveAttempts--
	t.Reason = e.Reason
	switch {
	case e.Phase == pj.PhaseFinished:
		t.Done = true
		t.Reason = ""
		t.Result = e.Result[:min(len(e.Result), MaxResultBytes)]
		r.finishedTasks++
	case e.CountsAsFailure:
		t.Failures++
	}
	if r.Failed == "" && !r.Cancelled && !t.Done && (e.Fatal || t.Failures >= r.Job.MaxAttempts) {
		r.Failed = e.Reason
		if r.Failed == "" {
			r.Failed = "failed"
		}
	}
	if r.Ended() {
		r.EndedAt = e.EndedAt
	}
}

func (s *State) commitAllotment(a AllotmentCommit) {
	current := s.allotments[a.Workspace]
	if a.Seq <= current.Seq {
		return
	}
	inUse := s.reserved[a.Workspace]
	inUse[pj.Slots] = a.SlotsUsed
	current.Seq = a.Seq
	current.Value = a.Value.Max(inUse.Min(current.Value))
	s.allotments[a.Workspace] = current
}

func (s *State) setDrain(d pj.Drain) {
	if d.Resume {
		delete(s.drainedTargets, d.DrainTarget)
		return
	}
	s.drainedTargets[d.DrainTarget] = struct{}{}
}

// Drained reports whether an operator drained a worker or endpoint.
func (s *State) Drained(target pj.DrainTarget) bool {
	_, ok := s.drainedTargets[target]
	return ok
}

// CheckRepetition returns nil if job was built from the submission that created r. Otherwise it returns a conflict, with
// NotRun only if the submission is certainly another one. A job of another workspace may come from the same caller,
// because keys and queues can move between workspaces.
func (r *Record) CheckRepetition(job *pj.Job) *pj.Error {
	same, certain := r.compareSubmission(job)
	switch {
	case same && r.Job.Workspace == job.Workspace:
		return nil
	case same:
		return pj.Fail(pj.CodeConflict, "job %s already exists in another workspace", job.ID)
	case certain:
		return pj.Refuse(pj.CodeConflict, "job %s already exists with different content", job.ID)
	}
	return pj.Fail(pj.CodeConflict, "job %s already exists, and its content or the configuration of its queue was different", job.ID)
}

// compareSubmission reports whether job was built from the submission that created r, and whether that is certain. A
// record of an earlier version has no fingerprint; the fields that the queue's configuration can set don't tell then
// whether the submission was another one.
func (r *Record) compareSubmission(job *pj.Job) (same, certain bool) {
	if r.Job.Fingerprint != "" && job.Fingerprint != "" {
		return r.Job.Fingerprint == job.Fingerprint, true
	}
	if r.Job.Queue != job.Queue || r.Job.Payload != job.Payload {
		return false, true
	}
	return r.Job.Tasks == job.Tasks && r.Job.Task == job.Task && r.Job.RunTime == job.RunTime, false
}

// Ended reports whether no attempt of the job may be running and none will be started.
func (r *Record) Ended() bool {
	if r.liveAttempts > 0 {
		return false
	}
	return r.Cancelled || r.Failed != "" || r.finishedTasks == len(r.Tasks)
}

// Stopping reports whether the job was cancelled or has failed, so that its running attempts are to be stopped.
func (r *Record) Stopping() bool {
	return r.Cancelled || r.Failed != ""
}

// PendingTasks returns the indexes of the tasks that are to be started.
func (r *Record) PendingTasks() []int {
	if r.Stopping() {
		return nil
	}
	var pending []int
	for i, t := range r.Tasks {
		if t.LiveAttempt == nil && !t.Done {
			pending = append(pending, i)
		}
	}
	return pending
}

// LiveAttempts returns the number of attempts that may be running.
func (r *Record) LiveAttempts() int {
	return r.liveAttempts
}

// State returns the job's state. The callback running reports whether a worker has confirmed a live attempt; if
// nil, no attempt counts as confirmed.
func (r *Record) State(running func(pj.AttemptID) bool) pj.JobState {
	switch {
	case r.Ended() && r.finishedTasks == len(r.Tasks):
		return pj.JobFinished
	case r.Ended() && r.Failed != "":
		return pj.JobFailed
	case r.Ended():
		return pj.JobCancelled
	case r.liveAttempts == 0:
		return pj.JobQueued
	}
	for i, t := range r.Tasks {
		if t.LiveAttempt != nil && running != nil && running(pj.AttemptID{Job: r.Job.ID, Task: i, Number: t.AttemptCount}) {
			return pj.JobRunning
		}
	}
	return pj.JobStarting
}

// snapshot is the JSON form of State.
type snapshot struct {
	Index      uint64                  `json:"index"`
	Jobs       []*Record               `json:"jobs"`
	Allotments map[string]pj.Allotment `json:"allotments"`
	Drained    []pj.DrainTarget        `json:"drained,omitempty"`
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Index: s.index, Allotments: s.allotments}
	s.Jobs(func(r *Record) { snap.Jobs = append(snap.Jobs, r) })
	snap.Drained = slices.SortedFunc(maps.Keys(s.drainedTargets), func(a, b pj.DrainTarget) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	data, err := json.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("write cell snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state with that of a snapshot. Without data, the state becomes empty.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if len(data) > 0 {
		if err := json.Unmarshal(data, &snap); err != nil {
			return fmt.Errorf("read cell snapshot: %w", err)
		}
	}
	*s = *NewState()
	s.index = snap.Index
	if snap.Allotments != nil {
		s.allotments = snap.Allotments
	}
	for _, target := range snap.Drained {
		s.drainedTargets[target] = struct{}{}
	}
	for _, r := range snap.Jobs {
		s.jobs[r.Job.ID] = r
		s.recomputeCounters(r)
	}
	return nil
}

// recomputeCounters recomputes what a snapshot does not contain: the counters of a record and its workspace's
// reserved resources.
func (s *State) recomputeCounters(r *Record) {
	for _, t := range r.Tasks {
		if t.Done {
			r.finishedTasks++
		}
		if t.LiveAttempt != nil {
			r.liveAttempts++
			s.reserved[r.Job.Workspace] = s.reserved[r.Job.Workspace].Add(t.LiveAttempt.Reservation)
		}
	}
}
