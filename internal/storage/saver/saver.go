// Package saver writes replicated logs to disk on a dedicated goroutine.
package saver

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	pj "papayajunction"
	"papayajunction/internal/control/loop"
)

// Saver implements replica.Saver. It writes one batch at a time.
type Saver struct {
	store        pj.LogStore
	loop         *loop.Loop
	queue        chan batch
	syncs        *metrics.Counter
	writeSeconds *metrics.Histogram

	mu     sync.Mutex
	totals Totals
}

// Totals are the number of writes and their total duration.
type Totals struct {
	Writes int
	Took   time.Duration
}

type batch struct {
	writes []pj.LogWrite
	done   func(error)
}

// New returns a saver and a function that stops it once all queued batches are written.
func New(store pj.LogStore, l *loop.Loop, set *metrics.Set) (*Saver, func()) {
	s := &Saver{
		store: store, loop: l, queue: make(chan batch, 1),
		syncs:        set.GetOrCreateCounter("papaya_disk_syncs_total"),
		writeSeconds: set.GetOrCreateHistogram("papaya_disk_write_seconds"),
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.run()
	}()
	var once sync.Once
	return s, func() {
		once.Do(func() { close(s.queue) })
		<-stopped
	}
}

// Save implements replica.Saver. It calls done on the goroutine of the control loop once the write has succeeded or failed.
func (s *Saver) Save(writes []pj.LogWrite, done func(error)) {
	s.queue <- batch{writes: writes, done: done}
}

// After implements replica.Saver.
func (s *Saver) After(wait time.Duration, run func()) {
	s.loop.After(wait, run)
}

func (s *Saver) run() {
	for b := range s.queue {
		started := time.Now()
		err := s.store.Save(b.writes)
		s.writeSeconds.UpdateDuration(started)
		s.syncs.Inc()
		s.addWrite(time.Since(started))
		s.loop.Post(func() { b.done(err) })
	}
}

func (s *Saver) addWrite(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals.Writes++
	s.totals.Took += took
}

// Totals returns the totals since New.
func (s *Saver) Totals() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals
}

// DiscardStore is a pj.LogStore that discards all writes, for VMs without a data directory: they start with an empty
// log after each restart.
type DiscardStore struct{}

// Load implements pj.LogStore.
func (*DiscardStore) Load(string) (pj.RecoveredState, error) {
	return pj.RecoveredState{}, nil
}

// Save implements pj.LogStore.
func (*DiscardStore) Save([]pj.LogWrite) error {
	return nil
}
