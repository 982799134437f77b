// Package bootclock is a clock that goes on while the VM is suspended, so that a lease which ran out meanwhile is not
// taken to hold.
package bootclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// jump is the difference between the time of day and the steady clock from which a suspension is looked for. Asking
// the system costs a call, so that it isn't done each time.
const jump = 50 * time.Millisecond

// Sources are the system's clocks.
type Sources struct {
	Steady    func() time.Duration // stands still while the VM is suspended
	TimeOfDay func() time.Duration // may be set by hand
	Suspended func() time.Duration // for how long the VM has been suspended since it booted
}

// Clock is a pj.Clock that is safe for use by many goroutines.
type Clock struct {
	sources Sources
	started time.Duration

	mu        sync.Mutex
	gap       time.Duration // between time of day and steady clock when the suspension was last asked for
	suspended time.Duration
}

// New returns a clock on the system's clocks that counts from now.
func New() *Clock {
	start := time.Now()
	return From(Sources{
		Steady:    func() time.Duration { return time.Since(start) },
		TimeOfDay: func() time.Duration { return time.Duration(time.Now().UnixNano() - start.UnixNano()) },
		Suspended: suspended,
	})
}

// From returns a clock on the given clocks that counts from now.
func From(sources Sources) *Clock {
	c := &Clock{sources: sources}
	c.gap = sources.TimeOfDay() - sources.Steady()
	c.suspended = sources.Suspended()
	c.started = sources.Steady() + c.suspended
	return c
}

// Now is part of pj.Clock.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady := c.sources.Steady()
	gap := c.sources.TimeOfDay() - steady
	if (gap - c.gap).Abs() > jump {
		c.gap = gap
		c.suspended = max(c.suspended, c.sources.Suspended())
	}
	return steady + c.suspended - c.started
}

// suspended compares the system's clock that counts suspensions with the one that doesn't.
func suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0 // a system without this clock is not suspended
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
