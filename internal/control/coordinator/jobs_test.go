package coordinator_test

import (
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
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
