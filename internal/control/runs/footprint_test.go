package runs_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

const (
	hour   = int64(time.Hour / time.Millisecond)
	yearOf = 8760 // hours
)

// shape is a kind of work that was accepted, in a number of copies.
type shape struct {
	copies  int
	steps   []pj.Step
	spec    string
	times   int
	startAt int64 // relative to the test's start, in milliseconds
	label   string
	run     int // tasks of each workflow whose first run is lost with its worker
	cancel  bool
}

func manySteps(n int) []pj.Step {
	return make([]pj.Step, n)
}

// shapes are kinds of work that the sites hardly use.
func shapes() map[string]shape {
	return map[string]shape{
		"one task each":                   {copies: 5000},
		"cancelled":                       {copies: 5000, cancel: true},
		"cancelled years of hours":        {copies: 1000, times: yearOf, startAt: -yearOf * hour, cancel: true},
		"each hour of a year ahead":       {copies: 60, times: yearOf, startAt: hour},
		"each hour of the year behind":    {copies: 60, times: yearOf, startAt: -yearOf * hour},
		"12 tasks, 5,000 times, overdue":  {copies: 20, steps: []pj.Step{{Tasks: 12}}, times: 5000, startAt: -5000 * hour},
		"4,000 tasks":                     {copies: 20, steps: []pj.Step{{Tasks: 4000}}},
		"4,000 tasks that have run":       {copies: 20, steps: []pj.Step{{Tasks: 4000}}, run: 4000},
		"64 steps":                        {copies: 200, steps: manySteps(64)},
		"64 steps in a year of hours":     {copies: 5, steps: manySteps(7), times: yearOf, startAt: -yearOf * hour},
		"16 steps of 4,096 tasks":         {copies: 1, steps: slicesOf(pj.Step{Tasks: 4096}, 16)},
		"specs of the maximum length":     {copies: 500, spec: strings.Repeat("s", pj.MaxSpecBytes)},
		"specs that JSON escapes":         {copies: 300, spec: strings.Repeat("<", pj.MaxSpecBytes)},
		"a label of its own for each one": {copies: 2000, label: "label-"},
	}
}

func slicesOf(s pj.Step, n int) []pj.Step {
	steps := make([]pj.Step, n)
	for i := range steps {
		steps[i] = s
	}
	return steps
}

func (s *shape) workflow(i int) pj.Workflow {
	steps := append([]pj.Step(nil), s.steps...)
	if len(steps) == 0 {
		steps = []pj.Step{{}}
	}
	for k := range steps {
		steps[k].Tasks = max(steps[k].Tasks, 1)
		steps[k].Task = pj.NewResources(1, 1, 0, 0)
		steps[k].Label = "none"
		if s.label != "" {
			steps[k].Label = fmt.Sprint(s.label, i)
		}
	}
	return pj.Workflow{
		ID: fmt.Sprintf("%016x", i), Queue: "q", Workspace: "team", Pool: "pool", Spec: s.spec, Steps: steps, MaxAttempts: 2,
		ScheduledOccurrences: s.times, StartAtMS: testTime + s.startAt, IntervalMS: hour,
	}
}

// heapInUse returns the bytes of live objects on the heap.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestFootprintCoversMemory: what accepted work takes on a leader, on its heap and for the copies of its snapshot, is no more than the
// estimate by which work is accepted. Guards against work whose cost nothing bounds: 40 jobs of 8,760 occurrences filled each leader's memory.
func TestFootprintCoversMemory(t *testing.T) {
	const snapshotCopies = 2 // the last one and the next one
	for name, s := range shapes() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newCell(t, 2)
			before := heapInUse()
			for i := range s.copies {
				x.c.Submit(s.workflow(i), func(err error) { is.NoErr(err) })
				for index := range s.run {
					x.lose(fmt.Sprintf("%016x", i), index)
				}
			}
			if s.cancel {
				x.cancelAll(s.copies)
			}
			x.flush()
			x.advance(200 * time.Millisecond)
			x.orders.sent = nil
			heap := heapInUse() - before
			snapshot, err := x.group.state.Snapshot()
			is.NoErr(err)
			bytes := heap + snapshotCopies*int64(len(snapshot))
			estimate := x.group.state.Footprint().Total()
			t.Logf("%d workflows: heap %d, snapshot %d, estimate %d bytes", s.copies, heap, len(snapshot), estimate)
			if bytes > estimate {
				t.Errorf("%d bytes, estimated were %d", bytes, estimate)
			}
			runtime.KeepAlive(x)
		})
	}
}

// lose records a run of a task that was lost with its worker.
func (x *cell) lose(id string, index int) {
	run := pj.RunID{Task: pj.TaskID{StepID: pj.StepID{Workflow: id}, Index: index}, Run: 1}
	x.apply(workflow.Command{Start: []workflow.RunStart{{RunID: run, Worker: "worker-of-" + id}}})
	x.apply(workflow.Command{End: []workflow.RunEnd{{RunID: run, Outcome: pj.EndWorkerLost, Checkpoint: "0123456789abcdef"}}})
}

func (x *cell) cancelAll(workflows int) {
	for i := range workflows {
		x.c.Cancel(fmt.Sprintf("%016x", i), ofTeam, func(err error) { x.is.NoErr(err) })
	}
}

func (x *cell) apply(c workflow.Command) {
	data, err := json.Marshal(c)
	x.is.NoErr(err)
	x.group.Commit(data, func(pj.CommitResult) {})
}
