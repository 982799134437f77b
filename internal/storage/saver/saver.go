// Package saver writes logs to the disk on a goroutine of its own.
package saver

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	pj "papayajunction"
	"papayajunction/internal/control/loop"
)

// Saver writes one batch at a time; done is called on the control goroutine.
type Saver struct {
	store  pj.LogStore
	loop   *loop.Loop
	jobs   chan saveJob
	syncs  *metrics.Counter
	timing *metrics.Histogram

	mu     sync.Mutex
	totals Totals
}

// Totals sum up the writes so far.
type Totals struct {
	Writes int
	Took   time.Duration
}

type saveJob struct {
	writes []pj.LogWrite
	done   func(error)
}

// New returns a saver and a function that ends it after the last write.
func New(store pj.LogStore, l *loop.Loop, set *metrics.Set) (*Saver, func()) {
	s := &Saver{
		store: store, loop: l, jobs: make(chan saveJob, 1),
		syncs:  set.GetOrCreateCounter("papaya_disk_syncs_total"),
		timing: set.GetOrCreateHistogram("papaya_disk_write_seconds"),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.run()
	}()
	var once sync.Once
	return s, func() {
		once.Do(func() { close(s.jobs) })
		<-ended
	}
}

// Save is part of replica.Saver.
func (s *Saver) Save(writes []pj.LogWrite, done func(error)) {
	s.jobs <- saveJob{writes: writes, done: done}
}

// After is part of replica.Retrier.
func (s *Saver) After(wait time.Duration, run func()) {
	s.loop.After(wait, run)
}

func (s *Saver) run() {
	for job := range s.jobs {
		started := time.Now()
		err := s.store.Save(job.writes)
		s.timing.UpdateDuration(started)
		s.syncs.Inc()
		s.count(time.Since(started))
		s.loop.Post(func() { job.done(err) })
	}
}

func (s *Saver) count(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals.Writes++
	s.totals.Took += took
}

// Totals returns what was written so far.
func (s *Saver) Totals() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals
}

// Memory is a store that keeps nothing; a VM without a data folder starts anew each time.
type Memory struct{}

// Load is part of pj.LogStore.
func (*Memory) Load(string) (pj.Recovered, error) {
	return pj.Recovered{}, nil
}

// Save is part of pj.LogStore.
func (*Memory) Save([]pj.LogWrite) error {
	return nil
}
