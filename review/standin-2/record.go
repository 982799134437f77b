//go:build review

package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, with the time since it began.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func newRecord(out io.Writer) *record {
	return &record{out: out, began: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}
