package coordinator_test

import (
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
)

// TestCancelBeforeCommit guards against a job that runs although its cancelling was answered with "unknown job": its submission was proposed
// and not yet committed.
func TestCancelBeforeCommit(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	var submitted, cancelled error
	b.leader.Submit(pj.Job{
		ID: "z.a", Workspace: "a", Queue: "q", Kind: pj.KindBatch, Tasks: 1, Task: pj.NewResources(1, 1, 0, 0), MaxAttempts: 1,
	}, func(_ pj.JobStatus, err error) { submitted = err })
	b.leader.Cancel("z.a", "a", func(_ pj.JobStatus, err error) { cancelled = err })
	b.commit()
	is.NoErr(submitted)
	is.True(cancelled == nil || pj.AsError(cancelled).Code == pj.CodeUnknownJob)
	is.True(b.state.Job("z.a").Stopping()) // whichever the answer was, the job must not run
}
