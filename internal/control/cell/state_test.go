package cell_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/cell"
)

type run struct {
	is    *is.I
	state *cell.State
	index uint64
}

func (r *run) apply(c cell.Command) any {
	data, err := json.Marshal(c)
	r.is.NoErr(err)
	r.index++
	return r.state.Apply(r.index, data)
}

func start(task, number int, worker string) cell.StartAttempt {
	return cell.StartAttempt{
		Attempt: pj.AttemptID{Job: "z.job", Task: task, Number: number}, Worker: worker, Reservation: pj.NewResources(2, 2, 0, 0),
	}
}

func (r *run) start(starts ...cell.StartAttempt) []bool {
	accepted, _ := r.apply(cell.Command{Start: starts}).([]bool)
	return accepted
}

func (r *run) end(task, number int, phase pj.Phase, blame bool) {
	r.apply(cell.Command{End: []cell.EndAttempt{{
		Attempt: pj.AttemptID{Job: "z.job", Task: task, Number: number}, Phase: phase, Blame: blame, Reason: "exit status 1", Result: "ok",
	}}})
}

func (r *run) allot(seq uint64, cores float64) pj.Resources {
	r.apply(cell.Command{Allot: []cell.AllotCommit{{Allotment: pj.Allotment{Workspace: "a", Seq: seq, Value: pj.NewResources(cores, 64, 0, 0)}}}})
	return r.state.Allotment("a").Value
}

// TestState holds the rules that the replicated state keeps by itself, whatever a leader asks for.
func TestState(t *testing.T) {
	tests := map[string]func(r *run){
		"a live task is not started again": func(r *run) {
			r.is.Equal(r.start(start(0, 1, "w1"), start(0, 2, "w2"), start(0, 1, "w2")), []bool{true, false, false})
		},
		"attempts have consecutive numbers": func(r *run) {
			r.is.Equal(r.start(start(0, 2, "w1")), []bool{false})
		},
		"starts stop at the allotment": func(r *run) {
			r.allot(2, 3)
			r.is.Equal(r.start(start(0, 1, "w1"), start(1, 1, "w1")), []bool{true, false})
		},
		"an allotment doesn't shrink below what is in use": func(r *run) {
			r.start(start(0, 1, "w1"), start(1, 1, "w1"))
			r.is.Equal(r.allot(2, 1)[pj.Cores], int64(4000))
			r.end(0, 1, pj.PhaseStopped, false)
			r.is.Equal(r.allot(3, 1)[pj.Cores], int64(2000))
		},
		"an allotment of an older number is ignored": func(r *run) {
			r.allot(5, 3)
			r.is.Equal(r.allot(4, 30)[pj.Cores], int64(3000))
		},
		"a job sent again is the same job": func(r *run) {
			again, ok := r.apply(cell.Command{Submit: &pj.Job{ID: "z.job", Workspace: "a", Tasks: 2, MaxAttempts: 2}}).(cell.SubmitResult)
			r.is.True(ok && !again.New && again.Err == nil)
		},
		"a job id with other content is refused": func(r *run) {
			other, ok := r.apply(cell.Command{Submit: &pj.Job{ID: "z.job", Workspace: "a", Tasks: 2, Payload: "x"}}).(cell.SubmitResult)
			r.is.True(ok && other.Err != nil && other.Err.Code == pj.CodeConflict)
		},
		"an end is counted once": func(r *run) {
			r.start(start(0, 1, "w1"))
			r.end(0, 1, pj.PhaseFinished, false)
			r.end(0, 1, pj.PhaseFailed, true)
			r.is.Equal(r.state.Used("a"), pj.Resources{})
			r.is.Equal(r.state.Job("z.job").Pending(), []int{1})
		},
		"a job fails after its attempts": func(r *run) {
			r.start(start(0, 1, "w1"))
			r.end(0, 1, pj.PhaseFailed, true)
			r.start(start(0, 2, "w2"))
			r.end(0, 2, pj.PhaseFailed, true)
			r.is.Equal(r.state.Job("z.job").State(nil), pj.JobFailed)
			r.is.Equal(r.start(start(1, 1, "w1")), []bool{false})
		},
		"a cancelled job starts nothing": func(r *run) {
			r.apply(cell.Command{Cancel: []string{"z.job"}})
			r.is.Equal(r.start(start(0, 1, "w1")), []bool{false})
			r.is.Equal(r.state.Job("z.job").State(nil), pj.JobCancelled)
		},
		"a snapshot holds everything": func(r *run) {
			r.start(start(0, 1, "w1"), start(1, 1, "w1"))
			r.end(0, 1, pj.PhaseFinished, false)
			target := pj.DrainTarget{Kind: pj.DrainWorker, Name: "w9"}
			r.apply(cell.Command{Drain: &pj.Drain{DrainTarget: target, Zone: "z"}})
			data, err := r.state.Snapshot()
			r.is.NoErr(err)
			restored := cell.NewState()
			r.is.NoErr(restored.Restore(data))
			again, err := restored.Snapshot()
			r.is.NoErr(err)
			r.is.Equal(string(again), string(data))
			r.is.Equal(restored.Used("a"), r.state.Used("a"))
			r.is.Equal(restored.Job("z.job").Live(), 1)
			r.is.True(restored.Drained(target))
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &run{is: is.New(t), state: cell.NewState()}
			r.allot(1, 64)
			r.apply(cell.Command{Submit: &pj.Job{ID: "z.job", Workspace: "a", Tasks: 2, MaxAttempts: 2}})
			test(r)
		})
	}
}

// FuzzApply feeds arbitrary bytes to the state; it must neither panic nor lose its own snapshot.
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
