// Package called is an in-memory stand-in for workers that serve start, stop and hold orders at their addresses. It
// follows the protocol for fences, run numbers, leases and acknowledgements, and records violations of guarantees.
package polledworker

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	pj "papayajunction"
)

// Fleet is a set of stand-in workers. It implements pj.WorkerLink and is safe for concurrent use.
type Fleet struct {
	mu         sync.Mutex
	runTime    time.Duration
	started    time.Time
	workers    map[string]*worker
	running    map[pj.TaskID]string // id of the worker that runs a task
	finishes   map[pj.TaskID]int    // number of finished runs of a task
	violations []string
}

type worker struct {
	info           pj.PolledWorker
	fence          uint64
	leaseUntil     int64 // 0 before the first lease
	runs           map[pj.RunID]time.Time
	lastEnded      map[pj.TaskID]int // highest run number that was stopped or ended on this worker
	unacknowledged []pj.EndedRun
	lastEndNumber  int64
	unresponsive   bool
}

var _ pj.WorkerClient = (*Fleet)(nil)

// New returns the given workers; each run on them takes runTime.
func New(infos []pj.PolledWorker, runTime time.Duration) *Fleet {
	f := &Fleet{
		runTime: runTime, started: time.Now(), workers: make(map[string]*worker),
		running: make(map[pj.TaskID]string), finishes: make(map[pj.TaskID]int),
	}
	for _, info := range infos {
		f.workers[info.ID] = &worker{
			info: info, runs: make(map[pj.RunID]time.Time), lastEnded: make(map[pj.TaskID]int),
		}
	}
	return f
}

// Violations returns the violations so far: tasks that finished twice or ran on two workers at once.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// FinishedTasks returns the number of tasks that have finished.
func (f *Fleet) FinishedTasks() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.finishes)
}

// Finished reports whether a task has finished.
func (f *Fleet) Finished(task pj.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finishes[task] > 0
}

// SetUnresponsive sets whether a worker leaves all calls unanswered.
func (f *Fleet) SetUnresponsive(id string, unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].unresponsive = unresponsive
}

// clock returns the steady clock of all workers, in milliseconds from 1.
func (f *Fleet) clock() int64 {
	return time.Since(f.started).Milliseconds() + 1
}

// execute carries out an order on a worker, after ending the runs that are over by now. It refuses an order with an older fence.
func (f *Fleet) execute(ctx context.Context, id string, fence uint64, order func(w *worker) error) (int64, error) {
	f.mu.Lock()
	w := f.workers[id]
	if w == nil || w.unresponsive {
		f.mu.Unlock()
		<-ctx.Done()
		return 0, fmt.Errorf("worker %s does not respond: %w", id, ctx.Err())
	}
	defer f.mu.Unlock()
	f.advance(w)
	if fence < w.fence {
		return f.clock(), &pj.RefusedError{Reason: pj.RefusedStaleFence, ClockMS: f.clock()}
	}
	w.fence = fence
	return f.clock(), order(w)
}

// advance ends the runs whose run time or lease is over.
func (f *Fleet) advance(w *worker) {
	for run, start := range w.runs {
		switch {
		case w.leaseUntil != 0 && f.clock() > w.leaseUntil:
			f.end(w, run, pj.EndLeaseExpired)
		case time.Since(start) >= f.runTime:
			f.end(w, run, pj.EndDone)
			f.finishes[run.Task]++
			if f.finishes[run.Task] > 1 {
				f.violations = append(f.violations, fmt.Sprintf("task %s finished more than once", run.Task))
			}
		}
	}
}

func (f *Fleet) end(w *worker, run pj.RunID, how pj.RunOutcome) {
	delete(w.runs, run)
	if f.running[run.Task] == w.info.ID {
		delete(f.running, run.Task)
	}
	w.lastEnded[run.Task] = max(w.lastEnded[run.Task], run.Run)
	w.lastEndNumber++
	w.unacknowledged = append(w.unacknowledged, pj.EndedRun{Number: w.lastEndNumber, Run: run, Outcome: how})
}

// Start is part of pj.WorkerLink.
func (f *Fleet) Start(ctx context.Context, c *pj.PolledWorker, o pj.StartRequest) (int64, error) {
	return f.execute(ctx, c.ID, o.Fence, func(w *worker) error {
		if _, runs := w.runs[o.Run]; runs {
			return nil
		}
		if o.Run.Run <= w.lastEnded[o.Run.Task] {
			return &pj.RefusedError{Reason: pj.RefusedStaleRun}
		}
		if o.LeaseUntilMS <= f.clock() {
			return &pj.RefusedError{Reason: pj.RefusedLeaseExpired}
		}
		if other, runs := f.running[o.Run.Task]; runs {
			f.violations = append(f.violations, fmt.Sprintf("task %s was running on %s when it was started on %s", o.Run.Task, other, w.info.ID))
		}
		w.leaseUntil = max(w.leaseUntil, o.LeaseUntilMS)
		w.runs[o.Run] = time.Now()
		f.running[o.Run.Task] = w.info.ID
		return nil
	})
}

// Stop is part of pj.WorkerLink.
func (f *Fleet) Stop(ctx context.Context, c *pj.PolledWorker, run pj.RunID, fence uint64) (int64, error) {
	return f.execute(ctx, c.ID, fence, func(w *worker) error {
		if _, runs := w.runs[run]; runs {
			f.end(w, run, pj.EndStopped)
		}
		w.lastEnded[run.Task] = max(w.lastEnded[run.Task], run.Run)
		return nil
	})
}

// Pace is part of pj.WorkerLink.
func (f *Fleet) Pace(ctx context.Context, c *pj.PolledWorker, _ pj.RunID, _ int, fence uint64) (int64, error) {
	return f.execute(ctx, c.ID, fence, func(*worker) error { return nil })
}

// holdPollInterval is the interval at which Hold checks for ended runs while it waits.
const holdPollInterval = 20 * time.Millisecond

// Poll is part of pj.WorkerLink.
func (f *Fleet) Poll(ctx context.Context, c *pj.PolledWorker, o pj.PollRequest) (pj.PollResponse, error) {
	deadline := time.Now().Add(o.MaxWait)
	for {
		var a pj.PollResponse
		_, err := f.execute(ctx, c.ID, o.Fence, func(w *worker) error {
			w.leaseUntil = max(w.leaseUntil, o.LeaseUntilMS)
			w.unacknowledged = slices.DeleteFunc(w.unacknowledged, func(e pj.EndedRun) bool { return e.Number <= o.Ack })
			a = pj.PollResponse{ClockMS: f.clock(), Incarnation: w.info.Incarnation, Finished: slices.Clone(w.unacknowledged)}
			for run, start := range w.runs {
				a.Running = append(a.Running, pj.RunStatus{Run: run, Progress: int(100 * time.Since(start) / f.runTime)})
			}
			return nil
		})
		if err != nil || len(a.Finished) > 0 || !time.Now().Before(deadline) {
			return a, err
		}
		time.Sleep(holdPollInterval)
	}
}
