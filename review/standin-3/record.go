//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the seconds since the start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  int
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path) //nolint:gosec // the folder of the case
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &recorder{file: file, started: time.Now()}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breach records a broken rule.
func (r *recorder) breach(format string, args ...any) {
	r.add("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	_, _ = fmt.Fprintf(os.Stdout, "BROKEN "+format+"\n", args...)
}

func (r *recorder) breaches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}
