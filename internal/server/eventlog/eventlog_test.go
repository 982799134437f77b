package eventlog_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"papayajunction/internal/server/eventlog"
)

// TestBlockedReader checks that a reader that does not read the output blocks no caller of Log, and that dropped lines are
// counted.
func TestBlockedReader(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	reader, writer := io.Pipe() // a write blocks until it is read
	log, closeLog := eventlog.New(writer, set, false)
	for range 5000 {
		is.NoErr(log.Log("event", "e", "text", strings.Repeat("x", 200)))
	}
	var text bytes.Buffer
	set.WritePrometheus(&text)
	is.True(!strings.Contains(text.String(), "papaya_log_lines_dropped_total 0\n"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(io.Discard, reader)
	}()
	closeLog()
	is.NoErr(writer.Close())
	<-done
}

// TestLineFormat checks that lines are key=value and in order, and that closing the log writes the buffered lines.
func TestLineFormat(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, closeLog := eventlog.New(&out, metrics.NewSet(), false)
	is.NoErr(log.Log("event", "a", "n", 1))
	is.NoErr(log.Log("event", "b", "text", "two words"))
	closeLog()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.HasPrefix(lines[0], "ts=") && strings.HasSuffix(lines[0], " event=a n=1"))
	is.True(strings.HasSuffix(lines[1], ` event=b text="two words"`))
}

// TestLogGoesOnAfterDrops guards against a process that logs nothing any more: after a second with dropped lines the report of these was the first in the
// empty buffer, and nothing woke the writer.
func TestLogGoesOnAfterDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log, closeLog := eventlog.New(&out, metrics.NewSet(), false)
		defer closeLog()
		for range 150 {
			is.NoErr(log.Log("event", "frequent"))
		}
		for _, event := range []string{"first", "second"} {
			time.Sleep(2 * time.Second)
			is.NoErr(log.Log("event", event))
			time.Sleep(2 * time.Second)
			synctest.Wait()
			is.True(strings.Contains(out.String(), "event="+event))
		}
	})
}

// TestFrequentEvent: an event with thousands of lines in a second, such as each worker's first answer to a new leader, must not
// push the lines of other events out of the log.
func TestFrequentEvent(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, closeLog := eventlog.New(&out, metrics.NewSet(), false)
	for range 2000 {
		is.NoErr(log.Log("vm", "a", "event", "frequent"))
		is.NoErr(log.Log("vm", "a", "event", "also_frequent"))
	}
	is.NoErr(log.Log("vm", "a", "event", "load"))
	closeLog()
	is.True(strings.Contains(out.String(), "event=load"))
	is.True(strings.Count(out.String(), "event=frequent") < 2000)
}
