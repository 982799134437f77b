package coordinator_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/cell"
)

// oddGroup commits commands with a result of another type.
type oddGroup struct{ *fakeGroup }

func (g oddGroup) Commit(_ []byte, done func(pj.CommitResult)) {
	done(pj.CommitResult{})
}

// TestSubmitWithoutResult: a submission without a result is a failure of unknown outcome. A nil *pj.Error in the error
// interface would end the process that reads it.
func TestSubmitWithoutResult(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	c := b.newLeader(oddGroup{b.group})
	called := false
	c.Submit(pj.Job{ID: "z.a", Workspace: "a", Tasks: 1}, func(_ pj.JobStatus, err error) {
		called = true
		is.Equal(pj.AsError(err).Code, pj.CodeInternal)
		is.True(!pj.AsError(err).NotRun)
	})
	is.True(called)
}

// TestRepetitionDuringCommit guards against refusing, as not run, the repetition of a submission that is being committed.
func TestRepetitionDuringCommit(t *testing.T) {
	tooLarge := pj.NewResources(1000, 1, 0, 0)
	tests := map[string]struct {
		id       string
		task     pj.Resources
		waiting  int // MaxWaiting of the repetition, which the configuration may have lowered
		accepted bool
	}{
		"queue full":                     {id: "z.b", waiting: 1, accepted: true},
		"too large since":                {id: "z.b", task: tooLarge, accepted: true},
		"another id, queue full":         {id: "z.c", waiting: 1},
		"another id, would never be run": {id: "z.c", task: tooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(1)
			b.run(30 * time.Second) // the capacity of the workers is known
			b.submit(pj.Job{ID: "z.a", Workspace: "a", Task: pj.NewResources(8, 16, 0, 0)})
			b.submit(pj.Job{ID: "z.waiting", Workspace: "a", Task: pj.NewResources(8, 16, 0, 0)})
			job := pj.Job{
				ID: "z.b", Workspace: "a", Queue: "a-batch", Kind: pj.KindBatch, Tasks: 1, Task: pj.NewResources(1, 1, 0, 0),
				MaxAttempts: 1, Fingerprint: "f",
			}
			var first, second error
			b.leader.Submit(job, func(_ pj.JobStatus, err error) { first = err })
			job.ID, job.MaxWaiting = test.id, test.waiting
			if !test.task.IsZero() {
				job.Task = test.task
			}
			b.leader.Submit(job, func(_ pj.JobStatus, err error) { second = err })
			b.commit()
			is.NoErr(first)
			is.Equal(second == nil, test.accepted)
			if second != nil {
				is.True(pj.AsError(second).NotRun) // no submission with its id was accepted
			}
			is.Equal(b.state.Job("z.b").Job.MaxWaiting, 0) // as in the first submission
		})
	}
}

// TestRepeated guards against the claim that no attempt of a submission was accepted while one is being committed.
func TestRepeated(t *testing.T) {
	job := pj.Job{ID: "z.b", Workspace: "a", Queue: "a-batch", Kind: pj.KindBatch, Tasks: 1, Task: pj.NewResources(1, 1, 0, 0), MaxAttempts: 1, Fingerprint: "f"}
	tests := map[string]struct {
		submitted, committed bool
		workspace            string
		fingerprint          string
		code                 pj.Code // empty if the job's status is returned
		notRun               bool
	}{
		"unknown":                 {workspace: "a", fingerprint: "f", code: pj.CodeUnknownJob, notRun: true},
		"being committed":         {submitted: true, workspace: "a", fingerprint: "f", code: pj.CodeOutcomeUnknown},
		"committed":               {submitted: true, committed: true, workspace: "a", fingerprint: "f"},
		"another submission":      {submitted: true, committed: true, workspace: "a", fingerprint: "g", code: pj.CodeConflict, notRun: true},
		"another workspace":       {submitted: true, committed: true, workspace: "b", fingerprint: "f", code: pj.CodeConflict},
		"caller without identity": {submitted: true, committed: true, fingerprint: "f", code: pj.CodeConflict},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(1)
			if test.submitted {
				b.leader.Submit(job, func(pj.JobStatus, error) {})
			}
			if test.committed {
				b.commit()
			}
			var st pj.JobStatus
			var err error
			b.leader.Repeated(pj.Job{ID: job.ID, Workspace: test.workspace, Fingerprint: test.fingerprint}, func(got pj.JobStatus, e error) { st, err = got, e })
			if test.code == "" {
				is.NoErr(err)
				is.Equal(st.ID, job.ID)
				return
			}
			is.True(err != nil)
			is.Equal(pj.AsError(err).Code, test.code)
			is.Equal(pj.AsError(err).NotRun, test.notRun)
			is.Equal(st.ID, "")
		})
	}
}

// TestEndedJobIsRemembered guards against running a job again because its record was removed before the retention time
// was over, and against keeping it forever.
func TestEndedJobIsRemembered(t *testing.T) {
	tests := map[string]struct {
		cancel       bool // while the job is queued; otherwise it finishes
		leaderChange bool
		later        time.Duration
		remembered   bool
	}{
		"finished":                              {later: 23 * time.Hour, remembered: true},
		"finished, leader changed":              {leaderChange: true, later: 23 * time.Hour, remembered: true},
		"finished, retention over":              {later: 25 * time.Hour},
		"cancelled":                             {cancel: true, later: 23 * time.Hour, remembered: true},
		"cancelled, leader changed":             {cancel: true, leaderChange: true, later: 23 * time.Hour, remembered: true},
		"cancelled, retention over":             {cancel: true, later: 25 * time.Hour},
		"cancelled, retention over, new leader": {cancel: true, leaderChange: true, later: 25 * time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(1)
			b.now = 48 * time.Hour // so that the retention time doesn't reach back beyond 0
			b.elect()
			b.run(30 * time.Second)
			b.submit(pj.Job{ID: "z.full", Workspace: "a", Task: b.capacity})
			job := pj.Job{ID: "z.b", Workspace: "a", Fingerprint: "f"}
			b.submit(job)
			is.Equal(b.statuses[job.ID].State, pj.JobQueued)
			state := pj.JobFinished
			if test.cancel {
				state = pj.JobCancelled
				b.leader.Cancel(job.ID, "a", func(_ pj.JobStatus, err error) { is.NoErr(err) })
				b.leader.Cancel(job.ID, "a", func(_ pj.JobStatus, err error) { is.NoErr(err) })
				b.commit()
			}
			b.run(time.Minute)
			is.Equal(b.status(job.ID).State, state)
			if test.leaderChange {
				b.elect()
			}
			b.now += test.later
			b.run(time.Minute)
			is.Equal(b.state.Job(job.ID) != nil, test.remembered)
			b.submit(job)
			is.Equal(b.statuses[job.ID].State == state, test.remembered) // it isn't run again
		})
	}
}

// TestOldestEndedJobsAreRemoved guards against removing, beyond the maximum number of ended jobs, one that has just
// ended because it was submitted first.
func TestOldestEndedJobsAreRemoved(t *testing.T) {
	const maxEndedJobs = 20000
	is := is.New(t)
	b := newTestbed(1)
	b.now = time.Hour
	apply := func(c cell.Command) {
		data, err := json.Marshal(c)
		is.NoErr(err)
		b.index++
		b.state.Apply(b.index, data)
	}
	id := func(n int) string { return fmt.Sprint("z.job", n) }
	for n := range maxEndedJobs + 10 {
		apply(cell.Command{
			Submit: &pj.Job{ID: id(n), Workspace: "a", Tasks: 1, MaxAttempts: 1, SubmittedAt: int64(n)},
			Start:  []cell.StartAttempt{{Attempt: pj.AttemptID{Job: id(n), Number: 1}, Worker: "w"}},
		})
	}
	for n := maxEndedJobs + 9; n >= 0; n-- { // the job that was submitted first ends last
		apply(cell.Command{End: []cell.EndAttempt{{
			Attempt: pj.AttemptID{Job: id(n), Number: 1}, Phase: pj.PhaseFinished, EndedAt: b.now.Milliseconds() - int64(n),
		}}})
	}
	b.elect()
	b.run(time.Minute)
	is.True(b.state.Job(id(0)) != nil)
	is.True(b.state.Job(id(maxEndedJobs-1)) != nil)
	is.True(b.state.Job(id(maxEndedJobs)) == nil)
}
