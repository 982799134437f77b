package workflow_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// fixture applies JSON-encoded commands to a state with consecutive log indexes.
type fixture struct {
	is         *is.I
	state      *workflow.State
	index      uint64
	occurrence int // of the runs that are started and ended
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return &fixture{is: is.New(t), state: workflow.NewState()}
}

func (f *fixture) apply(c workflow.Command) workflow.Result {
	data, err := json.Marshal(c)
	f.is.NoErr(err)
	f.index++
	result, ok := f.state.Apply(f.index, data).(workflow.Result)
	f.is.True(ok)
	return result
}

// start reports whether the run was accepted.
func (f *fixture) start(step, index, run int) bool {
	r := f.apply(workflow.Command{Start: []workflow.RunStart{{RunID: f.id(step, index, run), Worker: "w"}}})
	return r.Accepted[0]
}

func (f *fixture) end(step, index, run int, outcome pj.RunOutcome, checkpoint string) {
	f.apply(workflow.Command{End: []workflow.RunEnd{{RunID: f.id(step, index, run), Outcome: outcome, Checkpoint: checkpoint}}, At: 7})
}

func (f *fixture) lateDone(run pj.RunID) {
	f.apply(workflow.Command{LateDone: []pj.RunID{run}, At: 7})
}

func (f *fixture) id(step, index, run int) pj.RunID {
	r := id(step, index, run)
	r.Task.Occurrence = f.occurrence
	return r
}

func id(step, index, run int) pj.RunID {
	return pj.RunID{Task: pj.TaskID{StepID: pj.StepID{Workflow: "a", Step: step}, Index: index}, Run: run}
}

func steps(steps ...pj.Step) pj.Workflow {
	return pj.Workflow{ID: "a", Queue: "q", Workspace: "team", Steps: steps, MaxAttempts: 2, Spec: "s"}
}

// TestState checks the rules for runs: one run of a task at a time, steps in order of dependency, and the effect of each
// outcome.
func TestState(t *testing.T) {
	tests := map[string]struct {
		workflow pj.Workflow
		run      func(f *fixture)
		state    pj.WorkflowState
	}{
		"one run of a task at a time": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowRunning, run: func(f *fixture) {
			f.is.True(f.start(0, 0, 1))
			f.is.True(!f.start(0, 0, 2))
		}},
		"a run number is used once": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowRunning, run: func(f *fixture) {
			f.is.True(f.start(0, 0, 1))
			f.end(0, 0, 1, pj.EndStopped, "")
			f.is.True(!f.start(0, 0, 1))
			f.is.True(f.start(0, 0, 2))
		}},
		"a finished task is not started again": {workflow: steps(pj.Step{Tasks: 2}), state: pj.WorkflowRunning, run: func(f *fixture) {
			f.is.True(f.start(0, 0, 1))
			f.end(0, 0, 1, pj.EndDone, "")
			f.is.True(!f.start(0, 0, 2))
		}},
		"a step waits for its dependency": {workflow: steps(pj.Step{Tasks: 1}, pj.Step{Tasks: 1, DependsOn: []int{0}}), state: pj.WorkflowComplete, run: func(f *fixture) {
			f.is.True(!f.start(1, 0, 1))
			f.is.True(f.start(0, 0, 1))
			f.is.True(!f.start(1, 0, 1))
			f.end(0, 0, 1, pj.EndDone, "")
			f.is.True(f.start(1, 0, 1))
			f.end(1, 0, 1, pj.EndDone, "")
		}},
		"only failed runs count as failures": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowFailed, run: func(f *fixture) {
			for run, outcome := range []pj.RunOutcome{pj.EndFailed, pj.EndStopped, pj.EndLeaseExpired, pj.EndWorkerLost, pj.EndNotStarted, pj.EndFailed} {
				f.is.True(f.start(0, 0, run+1))
				f.end(0, 0, run+1, outcome, "")
			}
			f.is.True(!f.start(0, 0, 7))
		}},
		"a gang finishes with its first finished member": {workflow: steps(pj.Step{Tasks: 3, Gang: true}), state: pj.WorkflowComplete, run: func(f *fixture) {
			for i := range 3 {
				f.is.True(f.start(0, i, 1))
			}
			f.end(0, 1, 1, pj.EndDone, "")
			f.is.Equal(f.state.Record("a").LiveRuns(), 2)
		}},
		"a failed run of a gang counts once for all its members": {workflow: steps(pj.Step{Tasks: 2, Gang: true}), state: pj.WorkflowRunning, run: func(f *fixture) {
			f.is.True(f.start(0, 0, 1))
			f.is.True(f.start(0, 1, 1))
			f.end(0, 0, 1, pj.EndFailed, "")
			f.end(0, 1, 1, pj.EndFailed, "")
			f.is.True(f.start(0, 0, 2))
		}},
		"a checkpoint is kept": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowRunning, run: func(f *fixture) {
			f.is.True(f.start(0, 0, 1))
			f.end(0, 0, 1, pj.EndStopped, "half")
			f.is.Equal(f.state.Record("a").Task(id(0, 0, 1).Task).Checkpoint, "half")
			f.is.True(f.start(0, 0, 2))
		}},
		"cancelled before the first run": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowCancelled, run: func(f *fixture) {
			f.apply(workflow.Command{Cancel: "a"})
			f.is.True(!f.start(0, 0, 1))
			f.is.Equal(f.state.WaitingWorkflows("q"), 0)
		}},
		"cancelled during a run": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowCancelled, run: func(f *fixture) {
			f.is.True(f.start(0, 0, 1))
			f.apply(workflow.Command{Cancel: "a"})
			f.is.Equal(f.state.Record("a").LiveRuns(), 1)
			f.end(0, 0, 1, pj.EndDone, "")
			f.is.Equal(f.state.Record("a").LiveRuns(), 0)
		}},
		"the end of an earlier run is ignored": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowRunning, run: func(f *fixture) {
			f.is.True(f.start(0, 0, 1))
			f.end(0, 0, 1, pj.EndWorkerLost, "")
			f.is.True(f.start(0, 0, 2))
			f.end(0, 0, 1, pj.EndDone, "")
			f.is.Equal(f.state.Record("a").LiveRuns(), 1)
		}},
		"an end as done after another end finishes the task": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowComplete, run: func(f *fixture) {
			f.is.True(f.start(0, 0, 1))
			f.end(0, 0, 1, pj.EndWorkerLost, "")
			f.lateDone(id(0, 0, 1))
			f.is.True(!f.start(0, 0, 2))
		}},
		"an end as done after another end finishes the task of a later run": {workflow: steps(pj.Step{Tasks: 2}), state: pj.WorkflowRunning, run: func(f *fixture) {
			f.is.True(f.start(0, 0, 1))
			f.end(0, 0, 1, pj.EndWorkerLost, "")
			f.is.True(f.start(0, 0, 2))
			f.lateDone(id(0, 0, 1))
			f.is.Equal(f.state.Record("a").LiveRuns(), 1)
			f.end(0, 0, 2, pj.EndFailed, "")
			f.is.Equal(f.state.Record("a").Task(id(0, 0, 2).Task).Failures, 0) // the task is done
			f.is.True(!f.start(0, 0, 3))
			f.is.True(f.start(0, 1, 1))
		}},
		"an end as done of a run that was never started is ignored": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowQueued, run: func(f *fixture) {
			f.lateDone(id(0, 0, 1))
		}},
		"an end as done of a long-running task changes nothing": {workflow: steps(pj.Step{Tasks: 1, LongRunning: true}), state: pj.WorkflowQueued, run: func(f *fixture) {
			f.is.True(f.start(0, 0, 1))
			f.end(0, 0, 1, pj.EndWorkerLost, "")
			f.lateDone(id(0, 0, 1))
			f.is.True(f.start(0, 0, 2))
			f.end(0, 0, 2, pj.EndNotStarted, "")
		}},
		"a long-running task is restarted without limit": {workflow: steps(pj.Step{Tasks: 1, LongRunning: true}), state: pj.WorkflowRunning, run: func(f *fixture) {
			for run := 1; run < 6; run++ {
				f.is.True(f.start(0, 0, run))
				f.end(0, 0, run, pj.EndFailed, "")
			}
			f.is.True(f.start(0, 0, 6))
		}},
		"submitted twice": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowRunning, run: func(f *fixture) {
			f.is.True(f.start(0, 0, 1))
			again := steps(pj.Step{Tasks: 9})
			f.is.True(!f.apply(workflow.Command{Submit: &again}).New)
			f.is.Equal(f.state.Record("a").LiveRuns(), 1)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.is.True(f.apply(workflow.Command{Submit: &tc.workflow}).New)
			tc.run(f)
			f.is.Equal(f.state.Record("a").State(), tc.state)
			f.checkSnapshotRoundTrip()
		})
	}
}

// checkSnapshotRoundTrip checks that a snapshot contains the whole state.
func (f *fixture) checkSnapshotRoundTrip() {
	data, err := f.state.Snapshot()
	f.is.NoErr(err)
	restored := workflow.NewState()
	f.is.NoErr(restored.Restore(data))
	again, err := restored.Snapshot()
	f.is.NoErr(err)
	f.is.Equal(string(again), string(data))
	f.is.Equal(restored.WaitingWorkflows("q"), f.state.WaitingWorkflows("q"))
	f.is.Equal(restored.Record("a").State(), f.state.Record("a").State())
	f.is.Equal(restored.Record("a").LiveRuns(), f.state.Record("a").LiveRuns())
}

// checkLegacySnapshot checks that a snapshot of an older version, which has the state of each task of each occurrence, restores the same state.
func (f *fixture) checkLegacySnapshot() {
	data, err := f.state.Snapshot()
	f.is.NoErr(err)
	var snapshot map[string]any
	f.is.NoErr(json.Unmarshal(data, &snapshot))
	r := f.state.Record("a")
	record := snapshot["records"].([]any)[0].(map[string]any)
	delete(record, "closed")
	record["occurrences"] = legacyOccurrences(r)
	legacy, err := json.Marshal(snapshot)
	f.is.NoErr(err)
	var readByOlder struct {
		Records []struct {
			Occurrences [][]workflow.StepState `json:"occurrences"`
		} `json:"records"`
	}
	f.is.True(json.Unmarshal(data, &readByOlder) != nil) // it stops
	f.is.NoErr(json.Unmarshal(legacy, &readByOlder))
	restored := workflow.NewState()
	f.is.NoErr(restored.Restore(legacy))
	again, err := restored.Snapshot()
	f.is.NoErr(err)
	f.is.Equal(string(again), string(data))
	f.is.Equal(restored.Record("a").State(), r.State())
	f.is.Equal(restored.Record("a").LiveRuns(), r.LiveRuns())
	f.is.Equal(restored.Footprint().Total(), f.state.Footprint().Total())
}

// legacyOccurrences returns the state of all tasks as older versions stored it, by occurrence and step.
func legacyOccurrences(r *workflow.Record) [][]workflow.StepState {
	if len(r.Workflow.Steps) == 0 {
		return nil
	}
	occurrences := make([][]workflow.StepState, r.Workflow.Occurrences())
	for k := range occurrences {
		for i := range r.Workflow.Steps {
			step := r.Step(pj.StepID{Workflow: "a", Occurrence: k, Step: i})
			stored := workflow.StepState{Failures: step.Failures, FailedRun: step.FailedRun}
			for index := range step.Size() {
				stored.Tasks = append(stored.Tasks, step.Task(index))
			}
			occurrences[k] = append(occurrences[k], stored)
		}
	}
	return occurrences
}

// TestOutdatedCommands checks that configurations, announcements and removals that arrive late, twice or out of order are ignored.
func TestOutdatedCommands(t *testing.T) {
	f := newFixture(t)
	publish := func(version int64, text string) int64 {
		return f.apply(workflow.Command{Configure: &pj.Ruleset{Version: version, Document: []byte(text)}}).Version
	}
	f.is.Equal(publish(3, "three"), int64(3))
	f.is.Equal(publish(3, "other"), int64(3))
	f.is.Equal(string(f.state.Rules().Document), "three") // different content with the same version is ignored
	f.is.Equal(publish(2, "two"), int64(3))
	f.is.Equal(publish(7, "seven"), int64(7))
	f.is.Equal(string(f.state.Rules().Document), "seven")

	announce := func(w pj.PolledWorker) { f.apply(workflow.Command{Workers: []pj.PolledWorker{w}}) }
	announce(pj.PolledWorker{ID: "w", Incarnation: 1, Sequence: 5, Draining: true})
	announce(pj.PolledWorker{ID: "w", Incarnation: 1, Sequence: 4})
	w, _ := f.state.Worker("w")
	f.is.True(w.Draining) // an older announcement that arrives later is ignored
	announce(pj.PolledWorker{ID: "w", Incarnation: 2, Sequence: 1})
	w, _ = f.state.Worker("w")
	f.is.True(!w.Draining) // a newer incarnation replaces the earlier one
	f.apply(workflow.Command{RemoveWorkers: []workflow.WorkerIncarnation{{ID: "w", Incarnation: 1}}})
	_, ok := f.state.Worker("w")
	f.is.True(ok) // the removal applies only to the earlier incarnation
}

// TestUnsettledWorkers: until the leader has committed that it is over, each leader must know that calls for an earlier incarnation may have
// reached a worker's current one.
func TestUnsettledWorkers(t *testing.T) {
	announce := func(incarnation, sequence int64) workflow.Command {
		return workflow.Command{Workers: []pj.PolledWorker{{ID: "w", Incarnation: incarnation, Sequence: sequence}}}
	}
	remove := func(incarnation int64, at time.Duration) workflow.Command {
		return workflow.Command{RemoveWorkers: []workflow.WorkerIncarnation{{ID: "w", Incarnation: incarnation}}, At: at.Milliseconds()}
	}
	settled := func(incarnation int64) workflow.Command {
		return workflow.Command{Settled: []workflow.WorkerIncarnation{{ID: "w", Incarnation: incarnation}}}
	}
	tests := map[string]struct {
		commands  []workflow.Command
		unsettled bool
	}{
		"never announced":              {},
		"announced":                    {commands: []workflow.Command{announce(1, 1)}},
		"announced again":              {commands: []workflow.Command{announce(1, 1), announce(1, 2)}},
		"restarted":                    {commands: []workflow.Command{announce(1, 1), announce(2, 1)}, unsettled: true},
		"restarted, announced again":   {commands: []workflow.Command{announce(1, 1), announce(2, 1), announce(2, 2)}, unsettled: true},
		"a late announcement":          {commands: []workflow.Command{announce(2, 1), announce(1, 1)}},
		"settled":                      {commands: []workflow.Command{announce(1, 1), announce(2, 1), settled(2)}},
		"an earlier one is settled":    {commands: []workflow.Command{announce(1, 1), announce(2, 1), announce(3, 1), settled(2)}, unsettled: true},
		"restarted and removed":        {commands: []workflow.Command{announce(1, 1), announce(2, 1), remove(2, time.Hour)}},
		"removed, then restarted":      {commands: []workflow.Command{announce(1, 1), remove(1, time.Hour), announce(2, 1)}, unsettled: true},
		"removed long ago":             {commands: []workflow.Command{announce(1, 1), remove(1, time.Hour), announce(2, 1), settled(2), remove(2, 3*time.Hour)}},
		"removed, others removed long": {commands: []workflow.Command{announce(1, 1), remove(1, time.Hour), {Workers: []pj.PolledWorker{{ID: "v"}}}, {RemoveWorkers: []workflow.WorkerIncarnation{{ID: "v"}}, At: (2 * time.Hour).Milliseconds()}, announce(2, 1)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			for _, c := range test.commands {
				f.apply(c)
			}
			f.is.Equal(f.state.Unsettled("w"), test.unsettled)
			data, err := f.state.Snapshot()
			f.is.NoErr(err)
			restored := workflow.NewState()
			f.is.NoErr(restored.Restore(data))
			f.is.Equal(restored.Unsettled("w"), test.unsettled)
		})
	}
}

// TestRandomCommands applies random commands and checks that no task gets a second live run, that no run starts of a step
// whose dependencies have not finished, and that a snapshot restores the same state.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fixture{is: is.NewRelaxed(t), state: workflow.NewState()}
		w := steps(pj.Step{Tasks: 2}, pj.Step{Tasks: 2, Gang: true, DependsOn: []int{0}})
		w.ScheduledOccurrences = rapid.SampledFrom([]int{0, 1, 3}).Draw(t, "occurrences")
		f.apply(workflow.Command{Submit: &w})
		outcomes := []pj.RunOutcome{pj.EndDone, pj.EndFailed, pj.EndStopped, pj.EndWorkerLost, pj.EndGangMemberEnded, pj.EndNotStarted}
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			step, index, run := rapid.IntRange(0, 1).Draw(t, "step"), rapid.IntRange(0, 1).Draw(t, "index"), rapid.IntRange(1, 6).Draw(t, "run")
			f.occurrence = rapid.IntRange(0, w.Occurrences()-1).Draw(t, "occurrence")
			r := f.state.Record("a")
			if rapid.Bool().Draw(t, "start") {
				task := r.Task(f.id(step, index, run).Task)
				idle := task == nil || task.Worker == ""
				ready := r.State().Final() || r.Ready(f.id(step, index, run).Task.StepID)
				if f.start(step, index, run) && (!idle || !ready) {
					t.Fatalf("run %v was accepted, idle %v, ready %v", f.id(step, index, run), idle, ready)
				}
				continue
			}
			f.end(step, index, run, rapid.SampledFrom(outcomes).Draw(t, "outcome"), "")
		}
		f.checkSnapshotRoundTrip()
		f.checkLegacySnapshot()
	})
}
