// Package cell holds the replicated state of one availability zone: its jobs, every attempt to run
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

// MaxResultBytes bounds the result that is kept of a task.
const MaxResultBytes = 16 << 10

// Command is a change of the state. The fields that are set are run in the order given here.
type Command struct {
	Submit *pj.Job        `json:"submit,omitempty"`
	Cancel []string       `json:"cancel,omitempty"`
	Start  []StartAttempt `json:"start,omitempty"`
	End    []EndAttempt   `json:"end,omitempty"`
	Allot  []AllotCommit  `json:"allot,omitempty"`
	Forget []string       `json:"forget,omitempty"`
	Drain  *pj.Drain      `json:"drain,omitempty"`
}

// StartAttempt records, before a worker hears of it, that a task is to run there.
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
	Attempt pj.AttemptID `json:"attempt"`
	Phase   pj.Phase     `json:"phase"`
	Result  string       `json:"result,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	Fatal   bool         `json:"fatal,omitempty"`   // the job fails, whatever attempts it has left
	Blame   bool         `json:"blame,omitempty"`   // the failure counts against the job's attempts
	EndedAt int64        `json:"ended_at,omitzero"` // Unix time in milliseconds
}

// AllotCommit puts an allotment into force. A smaller one leaves room for what is in use.
type AllotCommit struct {
	pj.Allotment
	SlotsUsed int64 `json:"slots_used"`
}

// Attempt is the current attempt of a task that may be running.
type Attempt struct {
	Number      int          `json:"number"`
	Worker      string       `json:"worker"`
	Rack        string       `json:"rack"`
	Incarnation string       `json:"incarnation"`
	Reservation pj.Resources `json:"reservation"`
}

// Task is one task of a job.
type Task struct {
	Live     *Attempt `json:"live,omitempty"` // nil if nothing of it may be running
	Number   int      `json:"number"`         // attempts started so far
	Failures int      `json:"failures,omitempty"`
	Done     bool     `json:"done,omitempty"`
	Worker   string   `json:"worker,omitempty"` // of the last attempt
	Rack     string   `json:"rack,omitempty"`
	Result   string   `json:"result,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	WaitedMS int64    `json:"waited_ms,omitempty"`
}

// Record is a job with its tasks.
type Record struct {
	Job       pj.Job `json:"job"`
	Tasks     []Task `json:"tasks"`
	Cancelled bool   `json:"cancelled,omitempty"`
	Failed    string `json:"failed,omitempty"` // why the job failed
	EndedAt   int64  `json:"ended_at,omitempty"`
	live      int
	done      int
}

// SubmitResult is what Apply returns for a submission.
type SubmitResult struct {
	Record *Record
	New    bool
	Err    *pj.Error
}

// State is the replicated state of a cell.
type State struct {
	index      uint64
	jobs       map[string]*Record
	allotments map[string]pj.Allotment
	used       map[string]pj.Resources // reserved by live attempts, by workspace
	drained    map[pj.DrainTarget]struct{}
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		jobs:       make(map[string]*Record),
		allotments: make(map[string]pj.Allotment),
		used:       make(map[string]pj.Resources),
		drained:    make(map[pj.DrainTarget]struct{}),
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

// Used returns what the live attempts of a workspace have reserved.
func (s *State) Used(workspace string) pj.Resources {
	return s.used[workspace]
}

// Apply runs one command. It returns a SubmitResult for a submission and the number of accepted
// starts for starts.
func (s *State) Apply(index uint64, data []byte) any {
	s.index = index
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return SubmitResult{Err: pj.Refuse(pj.CodeInternal, "cell command %d can't be read: %v", index, err)}
	}
	var result any
	if c.Submit != nil {
		result = s.submit(*c.Submit)
	}
	for _, id := range c.Cancel {
		s.cancel(id)
	}
	if c.Start != nil {
		result = s.startAll(c.Start)
	}
	for _, e := range c.End {
		s.end(e)
	}
	for _, a := range c.Allot {
		s.allot(a)
	}
	if c.Drain != nil {
		s.drain(*c.Drain)
	}
	for _, id := range c.Forget {
		if r := s.jobs[id]; r != nil && r.Ended() {
			delete(s.jobs, id)
		}
	}
	return result
}

func (s *State) submit(job pj.Job) SubmitResult {
	if r := s.jobs[job.ID]; r != nil {
		if r.Job.Queue != job.Queue || r.Job.Payload != job.Payload || r.Job.Tasks != job.Tasks {
			return SubmitResult{Record: r, Err: pj.Refuse(pj.CodeConflict, "job %s exists with other content", job.ID)}
		}
		return SubmitResult{Record: r}
	}
	r := &Record{Job: job, Tasks: make([]Task, job.Tasks)}
	s.jobs[job.ID] = r
	return SubmitResult{Record: r, New: true}
}

func (s *State) cancel(id string) {
	r := s.jobs[id]
	if r == nil || r.Ended() {
		return
	}
	r.Cancelled = true
}

// startAll records attempts and returns which were accepted. An attempt is refused if the task
// may still be running, has ended, or if the number isn't the next one.
func (s *State) startAll(starts []StartAttempt) []bool {
	accepted := make([]bool, len(starts))
	for i, st := range starts {
		accepted[i] = s.start(st)
	}
	return accepted
}

func (s *State) start(st StartAttempt) bool {
	r := s.jobs[st.Attempt.Job]
	if r == nil || r.Cancelled || r.Failed != "" || st.Attempt.Task < 0 || st.Attempt.Task >= len(r.Tasks) {
		return false
	}
	t := &r.Tasks[st.Attempt.Task]
	if t.Live != nil || t.Done || st.Attempt.Number != t.Number+1 {
		return false
	}
	after := s.used[r.Job.Workspace].Add(st.Reservation)
	if !after.FitsWhereUsed(s.allotments[r.Job.Workspace].Value) {
		return false
	}
	s.used[r.Job.Workspace] = after
	t.Number++
	t.Live = &Attempt{
		Number: t.Number, Worker: st.Worker, Rack: st.Rack, Incarnation: st.Incarnation, Reservation: st.Reservation,
	}
	t.Worker = st.Worker
	t.Rack = st.Rack
	if t.Number == 1 {
		t.WaitedMS = st.WaitedMS
	}
	r.live++
	return true
}

func (s *State) end(e EndAttempt) {
	r := s.jobs[e.Attempt.Job]
	if r == nil || e.Attempt.Task < 0 || e.Attempt.Task >= len(r.Tasks) {
		return
	}
	t := &r.Tasks[e.Attempt.Task]
	if t.Live == nil || t.Live.Number != e.Attempt.Number {
		return
	}
	s.used[r.Job.Workspace] = s.used[r.Job.Workspace].Sub(t.Live.Reservation)
	t.Live = nil
	r.live--
	t.Reason = e.Reason
	switch {
	case e.Phase == pj.PhaseFinished:
		t.Done = true
		t.Reason = ""
		t.Result = e.Result[:min(len(e.Result), MaxResultBytes)]
		r.done++
	case e.Blame:
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

func (s *State) allot(a AllotCommit) {
	held := s.allotments[a.Workspace]
	if a.Seq <= held.Seq {
		return
	}
	floor := s.used[a.Workspace]
	floor[pj.Slots] = a.SlotsUsed
	held.Seq = a.Seq
	held.Value = a.Value.Max(floor.Min(held.Value))
	s.allotments[a.Workspace] = held
}

func (s *State) drain(d pj.Drain) {
	if d.Off {
		delete(s.drained, d.DrainTarget)
		return
	}
	s.drained[d.DrainTarget] = struct{}{}
}

// Drained reports whether operators took a worker or endpoint out of service.
func (s *State) Drained(target pj.DrainTarget) bool {
	_, ok := s.drained[target]
	return ok
}

// Ended reports whether nothing of the job runs and nothing will.
func (r *Record) Ended() bool {
	if r.live > 0 {
		return false
	}
	return r.Cancelled || r.Failed != "" || r.done == len(r.Tasks)
}

// Stopping reports whether running attempts of the job are to be stopped.
func (r *Record) Stopping() bool {
	return r.Cancelled || r.Failed != ""
}

// Pending returns the tasks that are to be started.
func (r *Record) Pending() []int {
	if r.Stopping() {
		return nil
	}
	var pending []int
	for i, t := range r.Tasks {
		if t.Live == nil && !t.Done {
			pending = append(pending, i)
		}
	}
	return pending
}

// Live returns the number of attempts that may be running.
func (r *Record) Live() int {
	return r.live
}

// State returns the job's state; running tells which live attempts a worker has confirmed.
func (r *Record) State(running func(pj.AttemptID) bool) pj.JobState {
	switch {
	case r.Ended() && r.done == len(r.Tasks):
		return pj.JobFinished
	case r.Ended() && r.Failed != "":
		return pj.JobFailed
	case r.Ended():
		return pj.JobCancelled
	case r.live == 0:
		return pj.JobQueued
	}
	for i, t := range r.Tasks {
		if t.Live != nil && running != nil && running(pj.AttemptID{Job: r.Job.ID, Task: i, Number: t.Number}) {
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

// Snapshot returns the whole state as bytes.
func (s *State) Snapshot() ([]byte, error) {
	p := snapshot{Index: s.index, Allotments: s.allotments}
	s.Jobs(func(r *Record) { p.Jobs = append(p.Jobs, r) })
	p.Drained = slices.SortedFunc(maps.Keys(s.drained), func(a, b pj.DrainTarget) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	data, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("write cell snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot; no bytes mean the empty state.
func (s *State) Restore(data []byte) error {
	var p snapshot
	if len(data) > 0 {
		if err := json.Unmarshal(data, &p); err != nil {
			return fmt.Errorf("read cell snapshot: %w", err)
		}
	}
	*s = *NewState()
	s.index = p.Index
	if p.Allotments != nil {
		s.allotments = p.Allotments
	}
	for _, target := range p.Drained {
		s.drained[target] = struct{}{}
	}
	for _, r := range p.Jobs {
		s.jobs[r.Job.ID] = r
		s.recount(r)
	}
	return nil
}

func (s *State) recount(r *Record) {
	for _, t := range r.Tasks {
		if t.Done {
			r.done++
		}
		if t.Live != nil {
			r.live++
			s.used[r.Job.Workspace] = s.used[r.Job.Workspace].Add(t.Live.Reservation)
		}
	}
}
