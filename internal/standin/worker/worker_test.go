package worker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/standin/worker"
)

// TestWorkerProtocol checks the protocol that every implementation of a worker must follow.
func TestWorkerProtocol(t *testing.T) {
	id := pj.AttemptID{Job: "z.a", Task: 0, Number: 1}
	start := pj.Action{Verb: pj.VerbStart, Attempt: id, Kind: pj.KindService}
	reply := func(term uint64, actions ...pj.Action) pj.WorkerReportReply {
		return pj.WorkerReportReply{Term: term, LeaseMS: 5000, Actions: actions}
	}
	tests := map[string]struct {
		run     func(w *worker.Worker)
		running int
	}{
		"a start is carried out": {run: func(w *worker.Worker) { w.Handle(time.Second, 0, reply(2, start)) }, running: 1},
		"a start is idempotent": {run: func(w *worker.Worker) {
			w.Handle(time.Second, 0, reply(2, start))
			w.Handle(time.Second, 0, reply(2, start))
		}, running: 1},
		"the lease counts from the sending of the report": {run: func(w *worker.Worker) { w.Handle(6*time.Second, 0, reply(2, start)) }},
		"tasks end when the lease expires": {run: func(w *worker.Worker) {
			w.Handle(0, 0, reply(2, start))
			w.Tick(5 * time.Second)
		}},
		"a reply of an older term is ignored": {run: func(w *worker.Worker) {
			w.Handle(0, 0, reply(3))
			w.Handle(0, 0, reply(2, start))
		}},
		"a start that arrives after its stop is ignored": {run: func(w *worker.Worker) {
			w.Handle(0, 0, reply(2, pj.Action{Verb: pj.VerbStop, Attempt: id}))
			w.Handle(0, 0, reply(2, start))
		}},
		"a stopped task is reported until its end is acknowledged": {run: func(w *worker.Worker) {
			w.Handle(0, 0, reply(2, start))
			w.Handle(0, 0, reply(2, pj.Action{Verb: pj.VerbStop, Attempt: id}))
			if r := w.Report(0); len(r.Tasks) != 1 || r.Tasks[0].Phase != pj.PhaseStopped {
				panic("the end was not reported")
			}
			w.Handle(0, 0, pj.WorkerReportReply{Term: 2, Acknowledged: []pj.AttemptID{id}})
			if len(w.Report(0).Tasks) != 0 {
				panic("an acknowledged end was reported again")
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := worker.New(worker.Options{Name: "w", Capacity: pj.NewResources(8, 16, 0, 0)})
			test.run(w)
			is.Equal(len(w.Running()), test.running)
		})
	}
}
