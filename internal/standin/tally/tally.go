// Package tally counts the tasks and requests that stand-in workers and endpoints ran, for comparison with the results
// that the system reported.
package tally

import (
	"fmt"
	"sync"
)

// Tally counts starts, ends and requests. It is safe for concurrent use, and its zero value is ready to use.
type Tally struct {
	mu            sync.Mutex
	running       map[string]string // worker by task
	finished      map[string]int    // successful runs by task
	requestRuns   map[string]int    // runs by request
	duplicates    []string
	starts        int
	slotsExceeded int
}

// Summary holds the counts.
type Summary struct {
	TasksStarted     int      `json:"tasks_started"`
	TasksFinished    int      `json:"tasks_finished"`
	TasksDoubled     []string `json:"tasks_doubled"` // one text for each start while the task ran elsewhere, and for each repeated finish
	RequestsRun      int      `json:"requests_run"`
	RequestsDoubled  int      `json:"requests_doubled"`
	SlotsOvercrowded int      `json:"slots_overcrowded"` // requests refused because all slots of the endpoint were in use
}

// TaskStarted counts a start, and records a duplicate if the task already runs.
func (t *Tally) TaskStarted(job string, task int, worker string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = make(map[string]string)
	}
	key := fmt.Sprintf("%s/%d", job, task)
	t.starts++
	if other, ok := t.running[key]; ok {
		t.duplicates = append(t.duplicates, fmt.Sprintf("%s runs on %s and was started on %s", key, other, worker))
	}
	t.running[key] = worker
}

// TaskEnded records the end of a task on a worker; finished means that it succeeded.
func (t *Tally) TaskEnded(job string, task int, worker string, finished bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := fmt.Sprintf("%s/%d", job, task)
	if t.running[key] == worker {
		delete(t.running, key)
	}
	if !finished {
		return
	}
	if t.finished == nil {
		t.finished = make(map[string]int)
	}
	t.finished[key]++
	if t.finished[key] > 1 {
		t.duplicates = append(t.duplicates, key+" finished again on "+worker)
	}
}

// RequestRun counts a request that an endpoint runs.
func (t *Tally) RequestRun(request string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requestRuns == nil {
		t.requestRuns = make(map[string]int)
	}
	t.requestRuns[request]++
}

// SlotsExceeded counts a request that was refused because all slots of the endpoint were in use.
func (t *Tally) SlotsExceeded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slotsExceeded++
}

// Summary returns the counts so far.
func (t *Tally) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{
		TasksStarted: t.starts, TasksFinished: len(t.finished), SlotsOvercrowded: t.slotsExceeded,
		TasksDoubled: append([]string{}, t.duplicates...),
	}
	for _, n := range t.requestRuns {
		s.RequestsRun += n
		if n > 1 {
			s.RequestsDoubled++
		}
	}
	return s
}
