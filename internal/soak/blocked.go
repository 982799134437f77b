package soak

import (
	"context"
	"fmt"
	"time"

	pj "papayajunction"
)

// Jobs that can't start. The jobs behind them have to end all the same.
const (
	blockedJobs       = 450 // more than a scheduling pass considers
	blockedSubmitters = 15
	blockedWorkspace  = "blocked"
	blockedKey        = "key-blocked"
	blockedCores      = 1   // limit of the workspace
	wideGang          = 100 // members; the fleet of a small cell has room for fewer
)

// newBlockedWork returns a job that can't start: its tasks exceed the workspace's limit, need a label that no worker has, or are a gang wider
// than the limit allows.
func newBlockedWork(n int) *pj.Workflow {
	id := fmt.Sprintf("b%015x", n)
	step := pj.Step{Tasks: 1, Task: pj.NewResources(2*blockedCores, 0.5, 0, 0), EstimateMS: taskRunTime.Milliseconds()}
	switch n % 3 {
	case 1:
		step.Task, step.Label = pj.NewResources(blockedCores, 0.5, 0, 0), "nobody"
	case 2:
		step.Tasks, step.Gang = wideGang, true
	}
	return &pj.Workflow{ID: id, Spec: id, Steps: []pj.Step{step}}
}

// submitBlocked submits the jobs that can't start, each until it is accepted, until ctx ends.
func (l *load) submitBlocked(ctx context.Context) {
	for first := range blockedSubmitters {
		go func() {
			for n := first; n < blockedJobs; n += blockedSubmitters {
				l.submitBlockedJob(ctx, n)
			}
		}()
	}
}

func (l *load) submitBlockedJob(ctx context.Context, n int) {
	route, _ := newWork("")
	for ctx.Err() == nil {
		err := l.client.Submit(ctx, l.randomAddress(entryRole, frontPort), route, blockedKey, newBlockedWork(n))
		_, permanent := refused(err)
		switch {
		case err == nil:
			l.mu.Lock()
			l.blocked++
			l.mu.Unlock()
			return
		case permanent:
			l.recordViolation("blocked job %d was refused: %v", n, err)
			return
		}
		time.Sleep(retryDelay)
	}
}
