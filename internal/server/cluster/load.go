package cluster

import (
	"time"

	"golang.org/x/sys/unix"

	"papayajunction/internal/storage/boltlog"
	"papayajunction/internal/storage/saver"
)

// loadInterval is the time between two lines on a replica's load: short enough to see a burst, long enough to cost nothing.
const loadInterval = time.Second

// loadMeter tells each second what a replica's processor, disk and control goroutine did. It belongs to the control goroutine.
type loadMeter struct {
	replica *replica
	store   *boltlog.Store
	saver   *saver.Saver

	at      time.Duration
	cpu     time.Duration
	saved   saver.Totals
	written boltlog.WriteStats
	applied uint64
	calls   int64
}

// report writes a line and counts in the metrics once the time has come.
func (m *loadMeter) report(now time.Duration) {
	if now < m.at+loadInterval {
		return
	}
	passed := now - m.at
	m.at = now
	usage := m.replica.loop.TakeUsage()
	cpu, saved, written := processorTime(), m.saver.Totals(), m.store.WriteStats()
	applied, calls := m.replica.group.Applied(), m.replica.vm.calls.Load()
	keyvals := []any{
		"span", passed, "cpu", cpu - m.cpu, "loop_busy", usage.Busy, "loop_longest", usage.Longest, "events", usage.Events,
		"calls", calls - m.calls, "applied", applied - m.applied, "disk_writes", saved.Writes - m.saved.Writes, "disk_time", saved.Took - m.saved.Took,
		"disk_payload_bytes", written.PayloadBytes - m.written.PayloadBytes, "disk_page_bytes", written.PageBytes - m.written.PageBytes,
	}
	set := m.replica.vm.options.Metrics
	set.GetOrCreateFloatCounter("papaya_control_busy_seconds_total").Add(usage.Busy.Seconds())
	set.GetOrCreateCounter("papaya_disk_payload_bytes_total").AddInt64(written.PayloadBytes - m.written.PayloadBytes)
	set.GetOrCreateCounter("papaya_disk_page_bytes_total").AddInt64(written.PageBytes - m.written.PageBytes)
	if m.replica.controller != nil {
		l := m.replica.controller.Load()
		keyvals = append(keyvals, "leads", true, "waiting_steps", l.WaitingSteps, "waiting_tasks", l.WaitingTasks, "oldest", l.OldestWait, "asking", l.AwaitingAdvice,
			"running", l.Running, "relayed_orders", len(m.replica.relays.waiting))
	}
	m.cpu, m.saved, m.written, m.applied, m.calls = cpu, saved, written, applied, calls
	m.replica.vm.log("load", keyvals...)
}

// processorTime returns what this process has used, 0 if the system doesn't tell.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
