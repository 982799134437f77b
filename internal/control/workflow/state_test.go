package workflow_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// machine applies commands to a state.
type machine struct {
	is    *is.I
	state *workflow.State
	index uint64
}

func newMachine(t *testing.T) *machine {
	t.Helper()
	return &machine{is: is.New(t), state: workflow.NewState()}
}

func (m *machine) apply(c workflow.Command) workflow.Result {
	data, err := json.Marshal(c)
	m.is.NoErr(err)
	m.index++
	result, ok := m.state.Apply(m.index, data).(workflow.Result)
	m.is.True(ok)
	return result
}

func (m *machine) start(step, index, run int) bool {
	r := m.apply(workflow.Command{Start: []workflow.RunStart{{RunID: id(step, index, run), Worker: "w"}}})
	return r.Accepted[0]
}

func (m *machine) end(step, index, run int, how pj.EndHow, saved string) {
	m.apply(workflow.Command{End: []workflow.RunEnd{{RunID: id(step, index, run), How: how, Saved: saved}}, At: 7})
}

func id(step, index, run int) pj.RunID {
	return pj.RunID{Task: pj.TaskID{StepID: pj.StepID{Workflow: "a", Step: step}, Index: index}, Run: run}
}

func steps(steps ...pj.Step) pj.Workflow {
	return pj.Workflow{ID: "a", Queue: "q", Workspace: "team", Steps: steps, MaxAttempts: 2, Spec: "s"}
}

// TestState covers the rules of runs: one at a time, in order, counted by cause.
func TestState(t *testing.T) {
	tests := map[string]struct {
		workflow pj.Workflow
		run      func(m *machine)
		state    pj.WorkflowState
	}{
		"one run of a task at a time": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowRunning, run: func(m *machine) {
			m.is.True(m.start(0, 0, 1))
			m.is.True(!m.start(0, 0, 2))
		}},
		"a number is given once": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowRunning, run: func(m *machine) {
			m.is.True(m.start(0, 0, 1))
			m.end(0, 0, 1, pj.EndStopped, "")
			m.is.True(!m.start(0, 0, 1))
			m.is.True(m.start(0, 0, 2))
		}},
		"nothing starts after done": {workflow: steps(pj.Step{Tasks: 2}), state: pj.WorkflowRunning, run: func(m *machine) {
			m.is.True(m.start(0, 0, 1))
			m.end(0, 0, 1, pj.EndDone, "")
			m.is.True(!m.start(0, 0, 2))
		}},
		"a step waits for the one before": {workflow: steps(pj.Step{Tasks: 1}, pj.Step{Tasks: 1, DependsOn: []int{0}}), state: pj.WorkflowComplete, run: func(m *machine) {
			m.is.True(!m.start(1, 0, 1))
			m.is.True(m.start(0, 0, 1))
			m.is.True(!m.start(1, 0, 1))
			m.end(0, 0, 1, pj.EndDone, "")
			m.is.True(m.start(1, 0, 1))
			m.end(1, 0, 1, pj.EndDone, "")
		}},
		"failures count, other ends don't": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowFailed, run: func(m *machine) {
			for run, how := range []pj.EndHow{pj.EndFailed, pj.EndStopped, pj.EndLapsed, pj.EndLost, pj.EndNotStarted, pj.EndFailed} {
				m.is.True(m.start(0, 0, run+1))
				m.end(0, 0, run+1, how, "")
			}
			m.is.True(!m.start(0, 0, 7))
		}},
		"one done member stands for its gang": {workflow: steps(pj.Step{Tasks: 3, Gang: true}), state: pj.WorkflowComplete, run: func(m *machine) {
			for i := range 3 {
				m.is.True(m.start(0, i, 1))
			}
			m.end(0, 1, 1, pj.EndDone, "")
			m.is.Equal(m.state.Record("a").Live(), 2)
		}},
		"a gang's run fails once, whatever its members": {workflow: steps(pj.Step{Tasks: 2, Gang: true}), state: pj.WorkflowRunning, run: func(m *machine) {
			m.is.True(m.start(0, 0, 1))
			m.is.True(m.start(0, 1, 1))
			m.end(0, 0, 1, pj.EndFailed, "")
			m.end(0, 1, 1, pj.EndFailed, "")
			m.is.True(m.start(0, 0, 2))
		}},
		"a checkpoint is kept": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowRunning, run: func(m *machine) {
			m.is.True(m.start(0, 0, 1))
			m.end(0, 0, 1, pj.EndStopped, "half")
			m.is.Equal(m.state.Record("a").Task(id(0, 0, 1).Task).Saved, "half")
			m.is.True(m.start(0, 0, 2))
		}},
		"cancelled before it began": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowCancelled, run: func(m *machine) {
			m.apply(workflow.Command{Cancel: "a"})
			m.is.True(!m.start(0, 0, 1))
			m.is.Equal(m.state.Waiting("q"), 0)
		}},
		"cancelled while it runs": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowCancelled, run: func(m *machine) {
			m.is.True(m.start(0, 0, 1))
			m.apply(workflow.Command{Cancel: "a"})
			m.is.Equal(m.state.Record("a").Live(), 1)
			m.end(0, 0, 1, pj.EndDone, "")
			m.is.Equal(m.state.Record("a").Live(), 0)
		}},
		"an old end changes nothing": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowRunning, run: func(m *machine) {
			m.is.True(m.start(0, 0, 1))
			m.end(0, 0, 1, pj.EndLost, "")
			m.is.True(m.start(0, 0, 2))
			m.end(0, 0, 1, pj.EndDone, "")
			m.is.Equal(m.state.Record("a").Live(), 1)
		}},
		"work that lasts runs again": {workflow: steps(pj.Step{Tasks: 1, LongRunning: true}), state: pj.WorkflowRunning, run: func(m *machine) {
			for run := 1; run < 6; run++ {
				m.is.True(m.start(0, 0, run))
				m.end(0, 0, run, pj.EndFailed, "")
			}
			m.is.True(m.start(0, 0, 6))
		}},
		"handed in twice": {workflow: steps(pj.Step{Tasks: 1}), state: pj.WorkflowRunning, run: func(m *machine) {
			m.is.True(m.start(0, 0, 1))
			again := steps(pj.Step{Tasks: 9})
			m.is.True(!m.apply(workflow.Command{Submit: &again}).New)
			m.is.Equal(m.state.Record("a").Live(), 1)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMachine(t)
			m.is.True(m.apply(workflow.Command{Submit: &tc.workflow}).New)
			tc.run(m)
			m.is.Equal(m.state.Record("a").State(), tc.state)
			m.sameAfterRestore()
		})
	}
}

// sameAfterRestore checks that a snapshot holds everything.
func (m *machine) sameAfterRestore() {
	data, err := m.state.Snapshot()
	m.is.NoErr(err)
	restored := workflow.NewState()
	m.is.NoErr(restored.Restore(data))
	again, err := restored.Snapshot()
	m.is.NoErr(err)
	m.is.Equal(string(again), string(data))
	m.is.Equal(restored.Waiting("q"), m.state.Waiting("q"))
	m.is.Equal(restored.Record("a").State(), m.state.Record("a").State())
	m.is.Equal(restored.Record("a").Live(), m.state.Record("a").Live())
}

// TestRules covers configurations and announcements that come late, twice or crossed.
func TestRules(t *testing.T) {
	m := newMachine(t)
	publish := func(version int64, text string) int64 {
		return m.apply(workflow.Command{Configure: &pj.Ruleset{Version: version, Document: []byte(text)}}).Version
	}
	m.is.Equal(publish(3, "three"), int64(3))
	m.is.Equal(publish(3, "other"), int64(3))
	m.is.Equal(string(m.state.Rules().Document), "three") // other content under the same version changes nothing
	m.is.Equal(publish(2, "two"), int64(3))
	m.is.Equal(publish(7, "seven"), int64(7))
	m.is.Equal(string(m.state.Rules().Document), "seven")

	announce := func(w pj.CalledWorker) { m.apply(workflow.Command{Workers: []pj.CalledWorker{w}}) }
	announce(pj.CalledWorker{ID: "w", Born: 1, Sequence: 5, Draining: true})
	announce(pj.CalledWorker{ID: "w", Born: 1, Sequence: 4})
	w, _ := m.state.Worker("w")
	m.is.True(w.Draining) // an overtaken announcement
	announce(pj.CalledWorker{ID: "w", Born: 2, Sequence: 1})
	w, _ = m.state.Worker("w")
	m.is.True(!w.Draining) // another life
	m.apply(workflow.Command{Leave: []workflow.WorkerLife{{ID: "w", Born: 1}}})
	_, ok := m.state.Worker("w")
	m.is.True(ok) // the earlier life has left
}

// TestRandomCommands checks after each of many random commands that no task has two runs, that nothing runs of a step
// whose turn hasn't come, and that a snapshot gives the same state.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{is: is.NewRelaxed(t), state: workflow.NewState()}
		w := steps(pj.Step{Tasks: 2}, pj.Step{Tasks: 2, Gang: true, DependsOn: []int{0}})
		m.apply(workflow.Command{Submit: &w})
		hows := []pj.EndHow{pj.EndDone, pj.EndFailed, pj.EndStopped, pj.EndLost, pj.EndBroken, pj.EndNotStarted}
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			step, index, run := rapid.IntRange(0, 1).Draw(t, "step"), rapid.IntRange(0, 1).Draw(t, "index"), rapid.IntRange(1, 6).Draw(t, "run")
			r := m.state.Record("a")
			if rapid.Bool().Draw(t, "start") {
				before := r.Task(id(step, index, run).Task)
				free := before == nil || before.Worker == ""
				ready := r.State().Final() || r.Ready(id(step, index, run).Task.StepID)
				if m.start(step, index, run) && (!free || !ready) {
					t.Fatalf("run %v was accepted, free %v, ready %v", id(step, index, run), free, ready)
				}
				continue
			}
			m.end(step, index, run, rapid.SampledFrom(hows).Draw(t, "how"), "")
		}
		m.sameAfterRestore()
	})
}
