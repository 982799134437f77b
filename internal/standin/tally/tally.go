// Package tally counts what stand-in workers and endpoints really did, to compare it with what the
// system said.
package tally

import (
	"fmt"
	"sync"
)

// Tally is safe for use by many goroutines. The zero value has counted nothing.
type Tally struct {
	mu       sync.Mutex
	running  map[string]string // task to worker
	finished map[string]int    // task to number of successful runs
	served   map[string]int    // request to number of runs
	doubled  []string
	starts   int
	crowded  int
}

// Summary is what was counted.
type Summary struct {
	TasksStarted     int      `json:"tasks_started"`
	TasksFinished    int      `json:"tasks_finished"`
	TasksDoubled     []string `json:"tasks_doubled"` // ran in two places, or to the end twice
	RequestsRun      int      `json:"requests_run"`
	RequestsDoubled  int      `json:"requests_doubled"`
	SlotsOvercrowded int      `json:"slots_overcrowded"` // requests beyond an endpoint's slots
}

// TaskStarted counts a start and notes if the task runs elsewhere at the same time.
func (t *Tally) TaskStarted(job string, task int, worker string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = make(map[string]string)
	}
	key := fmt.Sprintf("%s/%d", job, task)
	t.starts++
	if other, ok := t.running[key]; ok {
		t.doubled = append(t.doubled, fmt.Sprintf("%s on %s and %s", key, other, worker))
	}
	t.running[key] = worker
}

// TaskEnded counts an end on a worker.
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
		t.doubled = append(t.doubled, key+" finished again on "+worker)
	}
}

// RequestRun counts a run of a request on an endpoint.
func (t *Tally) RequestRun(request string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.served == nil {
		t.served = make(map[string]int)
	}
	t.served[request]++
}

// Crowded counts a request beyond an endpoint's slots.
func (t *Tally) Crowded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crowded++
}

// Summary returns what was counted so far.
func (t *Tally) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{
		TasksStarted: t.starts, TasksFinished: len(t.finished), SlotsOvercrowded: t.crowded,
		TasksDoubled: append([]string{}, t.doubled...),
	}
	for _, n := range t.served {
		s.RequestsRun += n
		if n > 1 {
			s.RequestsDoubled++
		}
	}
	return s
}
