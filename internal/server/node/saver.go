package node

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	pj "papayajunction"
	"papayajunction/internal/control/loop"
)

// saver writes to the disk on its own goroutine, one write at a time.
type saver struct {
	store  pj.LogStore
	loop   *loop.Loop
	jobs   chan saveJob
	syncs  *metrics.Counter
	timing *metrics.Histogram
}

type saveJob struct {
	writes []pj.LogWrite
	done   func(error)
}

func newSaver(store pj.LogStore, l *loop.Loop, set *metrics.Set) (*saver, func()) {
	s := &saver{
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
func (s *saver) Save(writes []pj.LogWrite, done func(error)) {
	s.jobs <- saveJob{writes: writes, done: done}
}

// After is part of replica.Retrier.
func (s *saver) After(wait time.Duration, run func()) {
	s.loop.After(wait, run)
}

func (s *saver) run() {
	for job := range s.jobs {
		started := time.Now()
		err := s.store.Save(job.writes)
		s.timing.UpdateDuration(started)
		s.syncs.Inc()
		s.loop.Post(func() { job.done(err) })
	}
}

// memoryStore keeps nothing; a VM without a data folder starts anew each time.
type memoryStore struct{}

// Load is part of pj.LogStore.
func (*memoryStore) Load(string) (pj.Recovered, error) {
	return pj.Recovered{}, nil
}

// Save is part of pj.LogStore.
func (*memoryStore) Save([]pj.LogWrite) error {
	return nil
}
