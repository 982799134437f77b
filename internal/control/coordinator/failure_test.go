package coordinator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
)

// setFailRate replaces the agents of all hosts by ones whose tasks fail with the given probability.
func (b *testbed) setFailRate(rate float64) {
	b.failRate = rate
	for _, h := range b.hosts {
		b.restart(h)
	}
}

// TestFailedWorkerIsUsedAgain guards against accepted work that never runs: a job avoided the workers on which it had
// failed for good, and failed on all of them before it was found to be at fault.
func TestFailedWorkerIsUsedAgain(t *testing.T) {
	tests := map[string]struct {
		workers int
		run     func(is *is.I, b *testbed)
	}{
		"a job that failed on each worker": {workers: 2, run: func(is *is.I, b *testbed) {
			b.setFailRate(1)
			b.submit(pj.Job{ID: "j", Workspace: "a", Repeatable: true, MaxAttempts: 5})
			b.run(8 * time.Second) // each run takes 3 s
			is.True(!b.status("j").State.Final())
			b.setFailRate(0)
			b.run(20 * time.Second)
			is.Equal(b.status("j").State, pj.JobFinished)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test.run(is.New(t), newTestbed(test.workers)) })
	}
}
