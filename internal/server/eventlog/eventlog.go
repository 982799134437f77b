// Package eventlog writes key=value lines without ever making the process wait: lines that can't be written
// in time, or beyond a rate, are dropped and counted.
package eventlog

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitlog "github.com/go-kit/log"
	kratoslog "github.com/go-kratos/kratos/v2/log"
)

// Bounds of the log.
const (
	bufferBytes = 256 << 10              // lines that wait to be written
	flushEvery  = 100 * time.Millisecond // lines are written together
	perSecond   = 600                    // lines of one second; more are dropped
)

// Log is a kitlog.Logger with a bounded buffer. It is safe for use by many goroutines.
type Log struct {
	dropped *metrics.Counter
	quiet   bool

	mu      sync.Mutex
	buffer  bytes.Buffer
	encoder kitlog.Logger
	second  int64
	lines   int
	lost    int // since the last line that told so
	wake    chan struct{}
}

// New returns a log and a function that writes what waits and ends it.
func New(out io.Writer, set *metrics.Set, quiet bool) (*Log, func()) {
	l := &Log{dropped: set.GetOrCreateCounter("papaya_log_lines_dropped_total"), quiet: quiet, wake: make(chan struct{}, 1)}
	l.encoder = kitlog.NewLogfmtLogger(&l.buffer)
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run(out, done)
	}()
	return l, func() {
		close(done)
		<-ended
	}
}

// Log adds a line, or drops it if too many wait.
func (l *Log) Log(keyvals ...any) error {
	if l.quiet {
		return nil
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Unix() != l.second {
		l.second = now.Unix()
		l.lines = 0
	}
	if l.lines >= perSecond || l.buffer.Len() > bufferBytes {
		l.lost++
		l.dropped.Inc()
		return nil
	}
	l.lines++
	if l.lost > 0 {
		lost := l.lost
		l.lost = 0
		if err := l.encoder.Log("ts", now.UTC().Format(timeFormat), "event", "log_lines_dropped", "count", lost); err != nil {
			return err
		}
	}
	if l.buffer.Len() == 0 {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
	return l.encoder.Log(append([]any{"ts", now.UTC().Format(timeFormat)}, keyvals...)...)
}

// timeFormat has milliseconds, so that lines of several VMs can be put in order.
const timeFormat = "2006-01-02T15:04:05.000Z"

func (l *Log) run(out io.Writer, done <-chan struct{}) {
	for {
		select {
		case <-done:
			l.write(out)
			return
		case <-l.wake:
		}
		select {
		case <-done:
		case <-time.After(flushEvery):
		}
		l.write(out)
	}
}

// write takes the lines out of the buffer before it writes them, so that nobody waits for the reader.
func (l *Log) write(out io.Writer) {
	l.mu.Lock()
	lines := bytes.Clone(l.buffer.Bytes())
	l.buffer.Reset()
	l.mu.Unlock()
	if len(lines) > 0 {
		_, _ = out.Write(lines) // there is nowhere else to tell that the log can't be written
	}
}

// Framework returns a logger for the server framework's own warnings.
func Framework(logger kitlog.Logger) kratoslog.Logger {
	return framework{logger: logger}
}

type framework struct {
	logger kitlog.Logger
}

// Log is part of the framework's logger.
func (f framework) Log(level kratoslog.Level, keyvals ...any) error {
	if level < kratoslog.LevelWarn {
		return nil
	}
	return f.logger.Log(append([]any{"event", "framework", "level", level.String()}, keyvals...)...)
}
