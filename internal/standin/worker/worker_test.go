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
	stop := pj.Action{Verb: pj.VerbStop, Attempt: id}
	reply := func(r pj.WorkerReport, term uint64, actions ...pj.Action) pj.WorkerReportReply {
		return pj.WorkerReportReply{Incarnation: r.Incarnation, Sequence: r.Sequence, Term: term, LeaseMS: 5000, Actions: actions}
	}
	// exchange sends a report and delivers the reply.
	exchange := func(w *worker.Worker, sent, received time.Duration, term uint64, actions ...pj.Action) {
		w.Handle(received, reply(w.Report(sent), term, actions...))
	}
	acknowledge := func(w *worker.Worker, now time.Duration) {
		r := w.Report(now)
		w.Handle(now, pj.WorkerReportReply{Incarnation: r.Incarnation, Sequence: r.Sequence, Term: 2, Acknowledged: []pj.AttemptID{id}})
	}
	tests := map[string]struct {
		run     func(w *worker.Worker)
		running int
	}{
		"a start is carried out": {run: func(w *worker.Worker) { exchange(w, 0, time.Second, 2, start) }, running: 1},
		"a start is idempotent": {run: func(w *worker.Worker) {
			exchange(w, 0, time.Second, 2, start)
			exchange(w, 0, time.Second, 2, start)
		}, running: 1},
		"the lease counts from the sending of the report": {run: func(w *worker.Worker) { exchange(w, 0, 6*time.Second, 2, start) }},
		"tasks end when the lease expires": {run: func(w *worker.Worker) {
			exchange(w, 0, 0, 2, start)
			w.Tick(5 * time.Second)
		}},
		"a reply of an older term is ignored": {run: func(w *worker.Worker) {
			exchange(w, 0, 0, 3)
			exchange(w, 0, 0, 2, start)
		}},
		"a start that arrives after its stop is ignored": {run: func(w *worker.Worker) {
			exchange(w, 0, 0, 2, stop)
			exchange(w, 0, 0, 2, start)
		}},
		"a stopped task is reported until its end is acknowledged": {run: func(w *worker.Worker) {
			exchange(w, 0, 0, 2, start)
			exchange(w, 0, 0, 2, stop)
			if r := w.Report(0); len(r.Tasks) != 1 || r.Tasks[0].Phase != pj.PhaseStopped {
				panic("the end was not reported")
			}
			acknowledge(w, 0)
			if len(w.Report(0).Tasks) != 0 {
				panic("an acknowledged end was reported again")
			}
		}},
		"a reply to a former incarnation is ignored": {run: func(w *worker.Worker) {
			former := worker.New(worker.Options{Name: "w", Incarnation: "former"}).Report(0)
			w.Report(0) // has the same sequence
			w.Handle(0, reply(former, 2, start))
		}},
		"a reply to an earlier report doesn't renew the lease": {run: func(w *worker.Worker) {
			exchange(w, 0, 0, 2, start)
			earlier := w.Report(time.Second)
			w.Report(4 * time.Second)
			w.Handle(4*time.Second, reply(earlier, 2))
			w.Tick(5 * time.Second)
		}},
		"a start in a reply to an earlier report is ignored, also after its end was acknowledged": {run: func(w *worker.Worker) {
			earlier := w.Report(0)
			exchange(w, 0, 0, 2, stop)
			acknowledge(w, 0)
			w.Report(0)
			w.Handle(0, reply(earlier, 2, start))
		}},
		"a second reply to a report is ignored": {run: func(w *worker.Worker) {
			r := w.Report(0)
			w.Handle(0, reply(r, 2))
			w.Handle(0, reply(r, 2, start))
		}},
		"an acknowledgement in a reply to an earlier report is ignored": {run: func(w *worker.Worker) {
			exchange(w, 0, 0, 2, start)
			earlier := w.Report(0)
			exchange(w, 0, 0, 2, stop)
			w.Report(0)
			w.Handle(0, pj.WorkerReportReply{Incarnation: earlier.Incarnation, Sequence: earlier.Sequence, Term: 2, Acknowledged: []pj.AttemptID{id}})
			if len(w.Report(0).Tasks) != 1 {
				panic("the end is not reported any more")
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := worker.New(worker.Options{Name: "w", Incarnation: "present", Capacity: pj.NewResources(8, 16, 0, 0)})
			test.run(w)
			is.Equal(len(w.Running()), test.running)
		})
	}
}
