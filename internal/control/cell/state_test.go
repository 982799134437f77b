package cell_test

import (
	"encoding/json"
	"testing"
	"time"

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

// TestRepeatedSubmission guards against refusing the repetition of an accepted submission as another one, and against
// acknowledging another submission that would never run.
func TestRepeatedSubmission(t *testing.T) {
	accepted := pj.Job{
		ID: "z.job", Workspace: "a", Queue: "q", Kind: pj.KindBatch, Payload: "p", Fingerprint: "f1",
		Tasks: 2, Task: pj.NewResources(1, 1, 0, 0), RunTime: pj.Duration(time.Second), MaxAttempts: 2,
	}
	const accept, conflict, uncertainConflict = "accepted", "conflict, not run", "conflict"
	tests := map[string]struct {
		recorded func(*pj.Job) // changes the job that was accepted
		repeated func(*pj.Job) // changes the job that is submitted under the same id
		want     string
	}{
		"same job": {want: accept},
		"queue's configuration has changed": {repeated: func(j *pj.Job) {
			j.Kind, j.Urgency, j.Tasks, j.Task, j.RunTime, j.MaxAttempts = pj.KindService, pj.Urgent, 5, pj.NewResources(9, 9, 0, 0), 0, 7
		}, want: accept},
		"another submission":                    {repeated: func(j *pj.Job) { j.Fingerprint = "f2" }, want: conflict},
		"another submission of other workspace": {repeated: func(j *pj.Job) { j.Fingerprint, j.Workspace = "f2", "b" }, want: conflict},
		"key or queue moved to other workspace": {repeated: func(j *pj.Job) { j.Workspace = "b" }, want: uncertainConflict},
		"old record, same job":                  {recorded: func(j *pj.Job) { j.Fingerprint = "" }, want: accept},
		"job from an old entry, same job":       {repeated: func(j *pj.Job) { j.Fingerprint = "" }, want: accept},
		"old record, other workspace":           {recorded: func(j *pj.Job) { j.Fingerprint = "" }, repeated: func(j *pj.Job) { j.Workspace = "b" }, want: uncertainConflict},
		"old record, other payload":             {recorded: func(j *pj.Job) { j.Fingerprint = "" }, repeated: func(j *pj.Job) { j.Payload = "x" }, want: conflict},
		"old record, other queue":               {recorded: func(j *pj.Job) { j.Fingerprint = "" }, repeated: func(j *pj.Job) { j.Queue = "x" }, want: conflict},
		"old record, other tasks or defaults":   {recorded: func(j *pj.Job) { j.Fingerprint = "" }, repeated: func(j *pj.Job) { j.Tasks = 3 }, want: uncertainConflict},
		"old record, other resources":           {recorded: func(j *pj.Job) { j.Fingerprint = "" }, repeated: func(j *pj.Job) { j.Task[pj.Cores]++ }, want: uncertainConflict},
		"old record, other run time":            {recorded: func(j *pj.Job) { j.Fingerprint = "" }, repeated: func(j *pj.Job) { j.RunTime++ }, want: uncertainConflict},
		"old record, kind of the queue changed": {recorded: func(j *pj.Job) { j.Fingerprint = "" }, repeated: func(j *pj.Job) { j.Kind = pj.KindGang }, want: accept},
	}
	change := func(change func(*pj.Job)) *pj.Job {
		job := accepted
		if change != nil {
			change(&job)
		}
		return &job
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fixture{is: is.New(t), state: cell.NewState()}
			f.apply(cell.Command{Submit: change(test.recorded)})
			before, err := f.state.Snapshot()
			f.is.NoErr(err)
			restored := cell.NewState() // the fingerprint is kept in snapshots
			f.is.NoErr(restored.Restore(before))
			f.state = restored
			result, ok := f.apply(cell.Command{Submit: change(test.repeated)}).(cell.SubmitResult)
			f.is.True(ok && !result.New)
			got := accept
			switch {
			case result.Err != nil && result.Err.NotRun:
				got = string(result.Err.Code) + ", not run"
			case result.Err != nil:
				got = string(result.Err.Code)
			}
			f.is.Equal(got, test.want)
			f.is.Equal(f.state.Job("z.job").Job, *change(test.recorded)) // the record is unchanged
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
