package coordinator

import (
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/cell"
)

// jobWaiter is a caller waiting for a job to end.
type jobWaiter struct {
	until time.Duration
	reply func(pj.JobStatus, error)
}

// Submit commits a job to the replicated state and calls done with its status. The checks for new jobs don't apply to a
// job that is already known or is being committed.
func (c *Coordinator) Submit(job pj.Job, done func(pj.JobStatus, error)) {
	fail := func(err error) { done(pj.JobStatus{}, err) }
	if c.submissions.Await(job.ID, func() { c.Submit(job, done) }, fail) {
		return
	}
	if c.options.State.Job(job.ID) == nil {
		if err := c.checkAdmission(job); err != nil {
			done(pj.JobStatus{}, err)
			return
		}
	}
	job.SubmittedAt = c.options.UnixMilli()
	c.submissions.Begin(job.ID)
	c.commit(cell.Command{Submit: &job}, func(r pj.CommitResult) {
		defer c.submissions.End(job.ID, r.Err)
		if r.Err != nil {
			done(pj.JobStatus{}, r.Err)
			return
		}
		result, ok := r.Value.(cell.SubmitResult)
		switch {
		case !ok:
			done(pj.JobStatus{}, pj.Fail(pj.CodeInternal, "the submission of job %s has no result", job.ID))
			return
		case result.Err != nil:
			done(pj.JobStatus{}, result.Err)
			return
		}
		if result.New && !c.closed {
			c.submitPending(c.options.Clock.Now(), result.Record)
		}
		done(c.jobStatus(result.Record), nil)
		if !c.closed {
			c.Schedule()
		}
	})
}

// Repeated replies with the status of the job that an earlier attempt of the same submission created. Of job, only the
// fields that the caller has set and the workspace are needed. An error with NotRun says that no attempt was accepted.
func (c *Coordinator) Repeated(job pj.Job, reply func(pj.JobStatus, error)) {
	r := c.options.State.Job(job.ID)
	switch {
	case c.submissions.Contains(job.ID):
		reply(pj.JobStatus{}, beingCommittedError(job.ID))
	case r == nil:
		reply(pj.JobStatus{}, unknownJobError(job.ID))
	default:
		if err := r.CheckRepetition(&job); err != nil {
			reply(pj.JobStatus{}, err)
			return
		}
		reply(c.jobStatus(r), nil)
	}
}

// checkAdmission returns the error with which a new job is rejected, or nil if it is admitted.
func (c *Coordinator) checkAdmission(job pj.Job) *pj.Error {
	// Until every worker has had time to report to a new leader, the cell's capacity is incomplete and
	// a job must not be rejected as too large.
	if c.options.Clock.Now() > c.electedAt+taskLeaseExpiry && !c.scheduler.CanEverRun(&job) {
		return pj.Refuse(pj.CodeNeverRuns,
			"%d task(s) of %v each would not fit on the workers of zone %s even if all were idle",
			job.Tasks, job.Task, c.options.Zone)
	}
	waiting := 0
	c.scheduler.EachPending(func(workspace, queue string, tasks int, _ pj.Resources, _ string) {
		if workspace == job.Workspace && queue == job.Queue {
			waiting += tasks
		}
	})
	if job.MaxWaiting > 0 && waiting >= job.MaxWaiting {
		e := pj.Refuse(pj.CodeOverloaded, "queue %s already has %d tasks waiting", job.Queue, waiting)
		e.RetryAfter = pj.Duration(5 * time.Second)
		return e
	}
	return nil
}

// Cancel cancels a job and stops its running tasks.
func (c *Coordinator) Cancel(id, workspace string, done func(pj.JobStatus, error)) {
	fail := func(err error) { done(pj.JobStatus{}, err) }
	if c.submissions.Await(id, func() { c.Cancel(id, workspace, done) }, fail) {
		return
	}
	r := c.options.State.Job(id)
	if r == nil || (workspace != "" && r.Job.Workspace != workspace) {
		done(pj.JobStatus{}, unknownJobError(id))
		return
	}
	c.commit(cell.Command{Cancel: []string{id}, CancelledAt: c.options.UnixMilli()}, func(result pj.CommitResult) {
		if result.Err != nil {
			done(pj.JobStatus{}, result.Err)
			return
		}
		if cancelled, ok := result.Value.(cell.CancelResult); ok && cancelled.Ended {
			c.endedJobs = append(c.endedJobs, id)
		}
		if !c.closed && r.Cancelled {
			c.scheduler.Cancel(id)
			c.stopLiveAttempts(r)
			c.notifyJob(id)
		}
		done(c.jobStatus(r), nil)
	})
}

// beingCommittedError is for queries while it isn't known whether there is a job.
func beingCommittedError(id string) *pj.Error {
	return pj.Fail(pj.CodeOutcomeUnknown, "the submission of job %s is being committed", id)
}

func unknownJobError(id string) *pj.Error {
	return pj.Refuse(pj.CodeUnknownJob, "unknown job %s", id)
}

// Status replies with a job's status: at once if the job has ended or wait is 0, otherwise when it
// ends or wait has elapsed.
func (c *Coordinator) Status(id, workspace string, wait time.Duration, reply func(pj.JobStatus, error)) {
	if c.submissions.Contains(id) {
		reply(pj.JobStatus{}, beingCommittedError(id))
		return
	}
	r := c.options.State.Job(id)
	if r == nil || (workspace != "" && r.Job.Workspace != workspace) {
		reply(pj.JobStatus{}, unknownJobError(id))
		return
	}
	if wait <= 0 || r.Ended() {
		reply(c.jobStatus(r), nil)
		return
	}
	c.waiters[id] = append(c.waiters[id], &jobWaiter{until: c.options.Clock.Now() + wait, reply: reply})
}

// notifyJob replies to the waiters of a job if it has ended.
func (c *Coordinator) notifyJob(id string) {
	list := c.waiters[id]
	if len(list) == 0 {
		return
	}
	r := c.options.State.Job(id)
	if r == nil || !r.Ended() {
		return
	}
	delete(c.waiters, id)
	for _, jw := range list {
		jw.reply(c.jobStatus(r), nil)
	}
}

func (c *Coordinator) tickWaiters(now time.Duration) {
	for id, list := range c.waiters {
		remaining := list[:0]
		for _, jw := range list {
			if now < jw.until {
				remaining = append(remaining, jw)
				continue
			}
			if r := c.options.State.Job(id); r != nil {
				jw.reply(c.jobStatus(r), nil)
			} else {
				jw.reply(pj.JobStatus{}, unknownJobError(id))
			}
		}
		if len(remaining) == 0 {
			delete(c.waiters, id)
		} else {
			c.waiters[id] = remaining
		}
	}
}

func (c *Coordinator) isRunning(id pj.AttemptID) bool {
	v := c.attempts[id]
	return v != nil && v.running
}

// jobStatus returns the status of a job that callers receive.
func (c *Coordinator) jobStatus(r *cell.Record) pj.JobStatus {
	st := pj.JobStatus{
		ID: r.Job.ID, Workspace: r.Job.Workspace, Queue: r.Job.Queue,
		State: r.State(c.isRunning), Reason: r.Failed,
		Tasks: make([]pj.TaskStatus, len(r.Tasks)),
	}
	if st.State == pj.JobQueued {
		st.Reason = c.scheduler.PendingReason(r.Job.ID)
	}
	for i, t := range r.Tasks {
		st.Tasks[i] = pj.TaskStatus{
			Index: i, State: c.taskState(r, i), Worker: t.Worker, Rack: t.Rack, Attempts: t.AttemptCount,
			Result: t.Result, Reason: t.Reason, WaitedMS: t.WaitedMS,
		}
	}
	return st
}

func (c *Coordinator) taskState(r *cell.Record, i int) pj.JobState {
	t := r.Tasks[i]
	switch {
	case t.Done:
		return pj.JobFinished
	case t.LiveAttempt != nil && c.isRunning(pj.AttemptID{Job: r.Job.ID, Task: i, Number: t.AttemptCount}):
		return pj.JobRunning
	case t.LiveAttempt != nil:
		return pj.JobStarting
	case r.Cancelled:
		return pj.JobCancelled
	case r.Failed != "":
		return pj.JobFailed
	}
	return pj.JobQueued
}
