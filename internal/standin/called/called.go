// Package called is a stand-in for workers that take orders at their addresses: it keeps their rules on fences, run
// numbers, leases and acknowledgements, and remembers what would break a promise.
package called

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	pj "papayajunction"
)

// Fleet is a set of workers. It is a pj.WorkerLink and safe for use by many goroutines.
type Fleet struct {
	mu       sync.Mutex
	runTime  time.Duration
	started  time.Time
	workers  map[string]*worker
	running  map[pj.TaskID]string // worker that runs a task now
	done     map[pj.TaskID]int    // how often a task has finished
	breaches []string
}

type worker struct {
	info   pj.CalledWorker
	fence  uint64
	until  int64 // end of the lease
	runs   map[pj.RunID]time.Time
	latest map[pj.TaskID]int // highest run that was stopped or ended here
	ends   []pj.EndRow
	number int64
	silent bool
}

var _ pj.WorkerLink = (*Fleet)(nil)

// New returns workers whose tasks run for the given time and need the given amount each.
func New(infos []pj.CalledWorker, runTime time.Duration) *Fleet {
	f := &Fleet{
		runTime: runTime, started: time.Now(), workers: make(map[string]*worker),
		running: make(map[pj.TaskID]string), done: make(map[pj.TaskID]int),
	}
	for _, info := range infos {
		f.workers[info.ID] = &worker{
			info: info, runs: make(map[pj.RunID]time.Time), latest: make(map[pj.TaskID]int),
		}
	}
	return f
}

// Breaches returns what broke a promise.
func (f *Fleet) Breaches() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.breaches)
}

// Done returns how many tasks have finished.
func (f *Fleet) Done() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.done)
}

// Finished returns whether a task has finished.
func (f *Fleet) Finished(task pj.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task] > 0
}

// Silence makes a worker leave all calls unanswered, or ends that.
func (f *Fleet) Silence(id string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].silent = silent
}

func (f *Fleet) clock() int64 {
	return time.Since(f.started).Milliseconds() + 1
}

// at runs an order on a worker after what is due there has ended.
func (f *Fleet) at(ctx context.Context, id string, fence uint64, order func(w *worker) error) (int64, error) {
	f.mu.Lock()
	w := f.workers[id]
	if w == nil || w.silent {
		f.mu.Unlock()
		<-ctx.Done()
		return 0, fmt.Errorf("worker %s is silent: %w", id, ctx.Err())
	}
	defer f.mu.Unlock()
	f.advance(w)
	if fence < w.fence {
		return f.clock(), &pj.RefusedError{Reason: pj.RefusedFence, ClockMS: f.clock()}
	}
	w.fence = fence
	return f.clock(), order(w)
}

// advance ends what has run long enough and what has lost its lease.
func (f *Fleet) advance(w *worker) {
	for run, since := range w.runs {
		switch {
		case w.until != 0 && f.clock() > w.until:
			f.end(w, run, pj.EndLapsed)
		case time.Since(since) >= f.runTime:
			f.end(w, run, pj.EndDone)
			f.done[run.Task]++
			if f.done[run.Task] > 1 {
				f.breaches = append(f.breaches, fmt.Sprintf("task %s has finished twice", run.Task))
			}
		}
	}
}

func (f *Fleet) end(w *worker, run pj.RunID, how pj.EndHow) {
	delete(w.runs, run)
	if f.running[run.Task] == w.info.ID {
		delete(f.running, run.Task)
	}
	w.latest[run.Task] = max(w.latest[run.Task], run.Run)
	w.number++
	w.ends = append(w.ends, pj.EndRow{Number: w.number, Run: run, How: how})
}

// Start is part of pj.WorkerLink.
func (f *Fleet) Start(ctx context.Context, c *pj.CalledWorker, o pj.StartOrder) (int64, error) {
	return f.at(ctx, c.ID, o.Fence, func(w *worker) error {
		if _, runs := w.runs[o.Run]; runs {
			return nil
		}
		if o.Run.Run <= w.latest[o.Run.Task] {
			return &pj.RefusedError{Reason: pj.RefusedOld}
		}
		if o.UntilMS <= f.clock() {
			return &pj.RefusedError{Reason: pj.RefusedLate}
		}
		if other, runs := f.running[o.Run.Task]; runs {
			f.breaches = append(f.breaches, fmt.Sprintf("task %s runs on %s and is started on %s", o.Run.Task, other, w.info.ID))
		}
		w.until = max(w.until, o.UntilMS)
		w.runs[o.Run] = time.Now()
		f.running[o.Run.Task] = w.info.ID
		return nil
	})
}

// Stop is part of pj.WorkerLink.
func (f *Fleet) Stop(ctx context.Context, c *pj.CalledWorker, run pj.RunID, fence uint64) (int64, error) {
	return f.at(ctx, c.ID, fence, func(w *worker) error {
		if _, runs := w.runs[run]; runs {
			f.end(w, run, pj.EndStopped)
		}
		w.latest[run.Task] = max(w.latest[run.Task], run.Run)
		return nil
	})
}

// Pace is part of pj.WorkerLink.
func (f *Fleet) Pace(ctx context.Context, c *pj.CalledWorker, _ pj.RunID, _ int, fence uint64) (int64, error) {
	return f.at(ctx, c.ID, fence, func(*worker) error { return nil })
}

// holdStep is how often a held look is tried again.
const holdStep = 20 * time.Millisecond

// Hold is part of pj.WorkerLink.
func (f *Fleet) Hold(ctx context.Context, c *pj.CalledWorker, o pj.HoldOrder) (pj.HoldAnswer, error) {
	deadline := time.Now().Add(o.Wait)
	for {
		var a pj.HoldAnswer
		_, err := f.at(ctx, c.ID, o.Fence, func(w *worker) error {
			w.until = max(w.until, o.UntilMS)
			w.ends = slices.DeleteFunc(w.ends, func(e pj.EndRow) bool { return e.Number <= o.Ack })
			a = pj.HoldAnswer{ClockMS: f.clock(), Born: w.info.Born, Finished: slices.Clone(w.ends)}
			for run, since := range w.runs {
				a.Running = append(a.Running, pj.RunningRow{Run: run, Progress: int(100 * time.Since(since) / f.runTime)})
			}
			return nil
		})
		if err != nil || len(a.Finished) > 0 || !time.Now().Before(deadline) {
			return a, err
		}
		time.Sleep(holdStep)
	}
}
