package cell_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/cell"
)

// fixture applies JSON-encoded commands to a state with consecutive log indexes.
type fixture struct {
	is    *is.I
	state *cell.State
	index uint64
}

func (f *fixture) apply(c cell.Command) any {
	data, err := json.Marshal(c)
	f.is.NoErr(err)
	f.index++
	return f.state.Apply(f.index, data)
}

func start(task, number int, worker string) cell.StartAttempt {
	return cell.StartAttempt{
		Attempt: pj.AttemptID{Job: "z.job", Task: task, Number: number}, Worker: worker, Reservation: pj.NewResources(2, 2, 0, 0),
	}
}

func (f *fixture) start(starts ...cell.StartAttempt) []bool {
	accepted, _ := f.apply(cell.Command{Start: starts}).([]bool)
	return accepted
}

func (f *fixture) end(task, number int, phase pj.Phase, countsAsFailure bool) {
	f.apply(cell.Command{End: []cell.EndAttempt{{
		Attempt: pj.AttemptID{Job: "z.job", Task: task, Number: number}, Phase: phase, CountsAsFailure: countsAsFailure, Reason: "exit status 1", Result: "ok",
	}}})
}

func (f *fixture) allot(seq uint64, cores float64) pj.Resources {
	f.apply(cell.Command{Allot: []cell.AllotmentCommit{{Allotment: pj.Allotment{Workspace: "a", Seq: seq, Value: pj.NewResources(cores, 64, 0, 0)}}}})
	return f.state.Allotment("a").Value
}

// TestState checks the rules that the replicated state enforces by itself, whatever commands a leader proposes.
func TestState(t *testing.T) {
	tests := map[string]func(f *fixture){
		"a live task is not started again": func(f *fixture) {
			f.is.Equal(f.start(start(0, 1, "w1"), start(0, 2, "w2"), start(0, 1, "w2")), []bool{true, false, false})
		},
		"attempts have consecutive numbers": func(f *fixture) {
			f.is.Equal(f.start(start(0, 2, "w1")), []bool{false})
		},
		"starts beyond the allotment are refused": func(f *fixture) {
			f.allot(2, 3)
			f.is.Equal(f.start(start(0, 1, "w1"), start(1, 1, "w1")), []bool{true, false})
		},
		"an allotment doesn't shrink below what is in use": func(f *fixture) {
			f.start(start(0, 1, "w1"), start(1, 1, "w1"))
			f.is.Equal(f.allot(2, 1)[pj.Cores], int64(4000))
			f.end(0, 1, pj.PhaseStopped, false)
			f.is.Equal(f.allot(3, 1)[pj.Cores], int64(2000))
		},
		"an allotment with a lower sequence number is ignored": func(f *fixture) {
			f.allot(5, 3)
			f.is.Equal(f.allot(4, 30)[pj.Cores], int64(3000))
		},
		"a job submitted again is accepted as the existing job": func(f *fixture) {
			again, ok := f.apply(cell.Command{Submit: &pj.Job{ID: "z.job", Workspace: "a", Tasks: 2, MaxAttempts: 2}}).(cell.SubmitResult)
			f.is.True(ok && !again.New && again.Err == nil)
		},
		"a job id with different content is refused": func(f *fixture) {
			other, ok := f.apply(cell.Command{Submit: &pj.Job{ID: "z.job", Workspace: "a", Tasks: 2, Payload: "x"}}).(cell.SubmitResult)
			f.is.True(ok && other.Err != nil && other.Err.Code == pj.CodeConflict)
		},
		"an end is counted once": func(f *fixture) {
			f.start(start(0, 1, "w1"))
			f.end(0, 1, pj.PhaseFinished, false)
			f.end(0, 1, pj.PhaseFailed, true)
			f.is.Equal(f.state.Reserved("a"), pj.Resources{})
			f.is.Equal(f.state.Job("z.job").PendingTasks(), []int{1})
		},
		"a job fails after its maximum number of attempts": func(f *fixture) {
			f.start(start(0, 1, "w1"))
			f.end(0, 1, pj.PhaseFailed, true)
			f.start(start(0, 2, "w2"))
			f.end(0, 2, pj.PhaseFailed, true)
			f.is.Equal(f.state.Job("z.job").State(nil), pj.JobFailed)
			f.is.Equal(f.start(start(1, 1, "w1")), []bool{false})
		},
		"a cancelled job starts nothing": func(f *fixture) {
			f.apply(cell.Command{Cancel: []string{"z.job"}})
			f.is.Equal(f.start(start(0, 1, "w1")), []bool{false})
			f.is.Equal(f.state.Job("z.job").State(nil), pj.JobCancelled)
		},
		"a snapshot contains the whole state": func(f *fixture) {
			f.start(start(0, 1, "w1"), start(1, 1, "w1"))
			f.end(0, 1, pj.PhaseFinished, false)
			target := pj.DrainTarget{Kind: pj.DrainWorker, Name: "w9"}
			f.apply(cell.Command{Drain: &pj.Drain{DrainTarget: target, Zone: "z"}})
			data, err := f.state.Snapshot()
			f.is.NoErr(err)
			restored := cell.NewState()
			f.is.NoErr(restored.Restore(data))
			again, err := restored.Snapshot()
			f.is.NoErr(err)
			f.is.Equal(string(again), string(data))
			f.is.Equal(restored.Reserved("a"), f.state.Reserved("a"))
			f.is.Equal(restored.Job("z.job").LiveAttempts(), 1)
			f.is.True(restored.Drained(target))
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fixture{is: is.New(t), state: cell.NewState()}
			f.allot(1, 64)
			f.apply(cell.Command{Submit: &pj.Job{ID: "z.job", Workspace: "a", Tasks: 2, MaxAttempts: 2}})
			test(f)
		})
	}
}

// FuzzApply applies arbitrary bytes as a command; this must not panic, and the resulting snapshot must be restorable.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"submit":{"id":"z.a","tasks":1}}`))
	f.Add([]byte(`{"start":[{"attempt":"z.a/0/1","worker":"w"}],"end":[{"attempt":"z.a/0/1","phase":"failed"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := cell.NewState()
		s.Apply(1, []byte(`{"submit":{"id":"z.a","workspace":"a","tasks":2,"max_attempts":1}}`))
		s.Apply(2, data)
		snapshot, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := cell.NewState().Restore(snapshot); err != nil {
			t.Fatal(err)
		}
	})
}
