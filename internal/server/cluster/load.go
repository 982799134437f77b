package cluster

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"papayajunction/internal/control/runs"
	"papayajunction/internal/storage/boltlog"
	"papayajunction/internal/storage/saver"
)

// loadInterval is the time between two log lines on a replica's load: short enough to show a burst, long enough for
// negligible overhead.
const loadInterval = time.Second

// While the process uses much of a core, the garbage collector runs less often, at the cost of memory. The process's memory
// limit still holds.
const (
	busyProcessor = 0.5 // cores
	busyGCPercent = 300
)

// loadMeter reports the use of a replica's processor, disk and control goroutine in each loadInterval. It may only be used
// on the control goroutine.
type loadMeter struct {
	replica *replica
	store   *boltlog.Store
	saver   *saver.Saver

	// Totals as of the last report.
	reportedAt     time.Duration
	lastCPU        time.Duration
	lastSaves      saver.Totals
	lastWriteStats boltlog.WriteStats
	lastApplied    uint64
	lastCalls      int64

	usualGCPercent int                      // 0 unless busyGCPercent is set
	blockedGauges  map[string]blockedGauges // by reason
}

// blockedGauges are the gauges of the waiting steps that one reason keeps from starting.
type blockedGauges struct {
	steps, oldest *metrics.Gauge
}

// adaptGC sets how often the garbage collector runs from the processor time that the process has used in a span.
func (m *loadMeter) adaptGC(used, span time.Duration) {
	busy := float64(used) > busyProcessor*float64(span)
	switch {
	case busy && m.usualGCPercent == 0:
		m.usualGCPercent = debug.SetGCPercent(busyGCPercent)
	case !busy && m.usualGCPercent != 0:
		debug.SetGCPercent(m.usualGCPercent)
		m.usualGCPercent = 0
	}
}

// report writes a log line and updates the metrics if loadInterval has passed since the last report.
func (m *loadMeter) report(now time.Duration) {
	if now < m.reportedAt+loadInterval {
		return
	}
	elapsed := now - m.reportedAt
	m.reportedAt = now
	usage := m.replica.loop.TakeUsage()
	cpu, saves, writeStats := processorTime(), m.saver.Totals(), m.store.WriteStats()
	applied, calls := m.replica.group.Applied(), m.replica.vm.receivedCalls.Load()
	keyvals := []any{
		"span", elapsed, "cpu", cpu - m.lastCPU, "loop_busy", usage.Busy, "loop_longest", usage.Longest, "events", usage.Events,
		"calls", calls - m.lastCalls, "applied", applied - m.lastApplied, "disk_writes", saves.Writes - m.lastSaves.Writes, "disk_time", saves.Took - m.lastSaves.Took,
		"disk_payload_bytes", writeStats.PayloadBytes - m.lastWriteStats.PayloadBytes, "disk_page_bytes", writeStats.PageBytes - m.lastWriteStats.PageBytes,
	}
	core := m.replica.group.Core()
	if core.Leadership().IsLeader {
		keyvals = append(keyvals, "uncommitted", core.Uncommitted(), "lags", core.Lags())
	}
	set := m.replica.vm.options.Metrics
	set.GetOrCreateFloatCounter("papaya_control_busy_seconds_total").Add(usage.Busy.Seconds())
	set.GetOrCreateGauge("papaya_log_uncommitted_entries", nil).Set(float64(core.Uncommitted()))
	set.GetOrCreateCounter("papaya_disk_payload_bytes_total").AddInt64(writeStats.PayloadBytes - m.lastWriteStats.PayloadBytes)
	set.GetOrCreateCounter("papaya_disk_page_bytes_total").AddInt64(writeStats.PageBytes - m.lastWriteStats.PageBytes)
	stateBytes := m.replica.state.Footprint().Total()
	set.GetOrCreateGauge("papaya_state_estimated_bytes", nil).Set(float64(stateBytes))
	keyvals = append(keyvals, "state_bytes", stateBytes)
	if m.replica.controller != nil {
		l := m.replica.controller.Load()
		keyvals = append(keyvals, "leads", true, "waiting_steps", l.WaitingSteps, "waiting_tasks", l.WaitingTasks, "oldest", l.OldestWait, "asking", l.AwaitingAdvice,
			"running", l.Running, "relayed_orders", len(m.replica.relays.pending))
		for _, b := range l.Blocked {
			if b.Steps > 0 {
				keyvals = append(keyvals, "waiting_"+b.Reason, b.Steps)
			}
		}
		m.reportBlocked(l.Blocked)
	} else {
		m.reportBlocked(nil)
	}
	if m.reportedAt > elapsed { // else the span includes the start of the process
		m.adaptGC(cpu-m.lastCPU, elapsed)
	}
	m.lastCPU, m.lastSaves, m.lastWriteStats, m.lastApplied, m.lastCalls = cpu, saves, writeStats, applied, calls
	m.replica.vm.log("load", keyvals...)
}

// reportBlocked sets the gauges of the steps that wait, by what blocks them, and resets those of reasons that are not given.
func (m *loadMeter) reportBlocked(blocked []runs.Blocked) {
	if m.blockedGauges == nil {
		m.blockedGauges = make(map[string]blockedGauges)
	}
	for _, g := range m.blockedGauges {
		g.steps.Set(0)
		g.oldest.Set(0)
	}
	for _, b := range blocked {
		g, ok := m.blockedGauges[b.Reason]
		if !ok {
			set := m.replica.vm.options.Metrics
			g = blockedGauges{
				steps:  set.GetOrCreateGauge(fmt.Sprintf("papaya_waiting_steps{reason=%q}", b.Reason), nil),
				oldest: set.GetOrCreateGauge(fmt.Sprintf("papaya_waiting_oldest_seconds{reason=%q}", b.Reason), nil),
			}
			m.blockedGauges[b.Reason] = g
		}
		g.steps.Set(float64(b.Steps))
		g.oldest.Set(b.Oldest.Seconds())
	}
}

// processorTime returns the CPU time that this process has used, 0 if the operating system does not provide it.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
