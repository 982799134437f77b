package polledworker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/standin/polledworker"
)

// TestUnresponsiveWorker guards against a violation that isn't one: a worker that answers nothing counted as running a task whose lease had
// ended, because leases were only looked at with requests to that worker.
func TestUnresponsiveWorker(t *testing.T) {
	const lease, runTime = time.Second, time.Minute
	tests := map[string]struct {
		after      time.Duration
		violations int
	}{
		"lease not over": {after: lease / 2, violations: 1},
		"lease over":     {after: 2 * lease},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				started := time.Now()
				workers := []pj.PolledWorker{{ID: "w0"}, {ID: "w1"}}
				fleet := polledworker.New(workers, runTime)
				start := func(worker *pj.PolledWorker, run int) {
					id := pj.RunID{Task: pj.TaskID{StepID: pj.StepID{Workflow: "a"}}, Run: run}
					until := time.Since(started).Milliseconds() + lease.Milliseconds()
					_, err := fleet.Start(t.Context(), worker, pj.StartRequest{Run: id, LeaseUntilMS: until})
					is.NoErr(err)
				}
				start(&workers[0], 1)
				fleet.SetUnresponsive("w0", true)
				time.Sleep(test.after)
				start(&workers[1], 2)
				is.Equal(len(fleet.Violations()), test.violations)
			})
		})
	}
}
