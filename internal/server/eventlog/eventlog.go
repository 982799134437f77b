// Package eventlog writes key=value log lines without blocking the caller. Lines that exceed the buffer or the rate limit
// are dropped and counted.
package eventlog

import (
	"bytes"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitlog "github.com/go-kit/log"
	kratoslog "github.com/go-kratos/kratos/v2/log"
)

// Limits of the log.
const (
	maxBufferBytes    = 256 << 10              // maximum size of the buffered lines
	flushInterval     = 100 * time.Millisecond // lines are written in batches
	maxLinesPerSecond = 600                    // further lines of the same second are dropped
	maxLinesPerEvent  = 100                    // per second, so that one frequent event leaves room for the others
)

// Log is a kitlog.Logger with a bounded buffer. It is safe for use by many goroutines.
type Log struct {
	dropped *metrics.Counter
	quiet   bool

	mu              sync.Mutex
	buffer          bytes.Buffer
	encoder         kitlog.Logger
	currentSecond   int64
	linesThisSecond int
	linesByEvent    map[string]int // in the current second
	dropsByEvent    map[string]int // lines dropped since the last log_lines_dropped event
	wake            chan struct{}
}

// New returns a log and a function that writes the buffered lines and closes it. With quiet, the log discards all lines
// without counting them.
func New(out io.Writer, set *metrics.Set, quiet bool) (*Log, func()) {
	l := &Log{
		dropped: set.GetOrCreateCounter("papaya_log_lines_dropped_total"), quiet: quiet, wake: make(chan struct{}, 1),
		linesByEvent: make(map[string]int), dropsByEvent: make(map[string]int),
	}
	l.encoder = kitlog.NewLogfmtLogger(&l.buffer)
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		l.run(out, done)
	}()
	return l, func() {
		close(done)
		<-stopped
	}
}

// Log buffers a line, or drops it if the buffer is full or a rate limit is reached. Dropped lines are reported once a second.
func (l *Log) Log(keyvals ...any) error {
	if l.quiet {
		return nil
	}
	now := time.Now()
	event := eventOf(keyvals)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buffer.Len() == 0 {
		defer l.wakeWriter()
	}
	if now.Unix() != l.currentSecond {
		if err := l.reportDrops(now); err != nil {
			return err
		}
		l.currentSecond, l.linesThisSecond = now.Unix(), 0
		clear(l.linesByEvent)
	}
	if l.linesThisSecond >= maxLinesPerSecond || l.linesByEvent[event] >= maxLinesPerEvent || l.buffer.Len() > maxBufferBytes {
		l.dropsByEvent[event]++
		l.dropped.Inc()
		return nil
	}
	l.linesThisSecond++
	l.linesByEvent[event]++
	return l.encoder.Log(append([]any{"ts", now.UTC().Format(timeFormat)}, keyvals...)...)
}

// wakeWriter makes the buffered lines be written.
func (l *Log) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// eventOf returns the value of the key event, which names the kind of a line.
func eventOf(keyvals []any) string {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == "event" {
			name, _ := keyvals[i+1].(string)
			return name
		}
	}
	return ""
}

// reportDrops writes how many lines of each event were dropped since the last report.
func (l *Log) reportDrops(now time.Time) error {
	for _, event := range slices.Sorted(maps.Keys(l.dropsByEvent)) {
		if err := l.encoder.Log("ts", now.UTC().Format(timeFormat), "event", "log_lines_dropped", "of", event, "count", l.dropsByEvent[event]); err != nil {
			return err
		}
	}
	clear(l.dropsByEvent)
	return nil
}

// timeFormat includes milliseconds, so that lines of several VMs can be sorted by time.
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
		case <-time.After(flushInterval):
		}
		l.write(out)
	}
}

// write removes the lines from the buffer before it writes them, so that a slow reader of the output blocks no caller of
// Log.
func (l *Log) write(out io.Writer) {
	l.mu.Lock()
	lines := bytes.Clone(l.buffer.Bytes())
	l.buffer.Reset()
	l.mu.Unlock()
	if len(lines) > 0 {
		_, _ = out.Write(lines) // an error can't be reported, because this is the log
	}
}

// NewFrameworkLogger returns a logger for the warnings and errors of the server framework.
func NewFrameworkLogger(logger kitlog.Logger) kratoslog.Logger {
	return frameworkLogger{logger: logger}
}

type frameworkLogger struct {
	logger kitlog.Logger
}

// Log implements kratoslog.Logger.
func (l frameworkLogger) Log(level kratoslog.Level, keyvals ...any) error {
	if level < kratoslog.LevelWarn {
		return nil
	}
	return l.logger.Log(append([]any{"event", "framework", "level", level.String()}, keyvals...)...)
}
