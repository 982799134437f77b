// Package bootclock provides a clock that also counts the time for which the VM is suspended, so that a lease that
// expired during a suspension is not treated as valid.
package bootclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// suspensionCheckThreshold is the change of the offset between wall clock and monotonic clock above which the time of
// suspension is read again. Reading it takes system calls, so it isn't read on every call of Now.
const suspensionCheckThreshold = 50 * time.Millisecond

// Sources are the system's clocks.
type Sources struct {
	Monotonic func() time.Duration // stops while the VM is suspended
	WallClock func() time.Duration // may be set by hand
	Suspended func() time.Duration // total time for which the VM has been suspended since it booted
}

// Clock is a pj.Clock that is safe for use by many goroutines.
type Clock struct {
	sources Sources
	origin  time.Duration // monotonic time plus suspensions at which the clock was zero

	mu              sync.Mutex
	wallClockOffset time.Duration // wall clock minus monotonic clock when suspended was last read
	suspended       time.Duration
}

// New returns a clock that starts at zero and reads the system's clocks.
func New() *Clock {
	start := time.Now()
	return NewWithSources(Sources{
		Monotonic: func() time.Duration { return time.Since(start) },
		WallClock: func() time.Duration { return time.Duration(time.Now().UnixNano() - start.UnixNano()) },
		Suspended: suspendedSinceBoot,
	})
}

// NewWithSources returns a clock that starts at zero and reads the given clocks.
func NewWithSources(sources Sources) *Clock {
	c := &Clock{sources: sources}
	c.wallClockOffset = sources.WallClock() - sources.Monotonic()
	c.suspended = sources.Suspended()
	c.origin = sources.Monotonic() + c.suspended
	return c
}

// Now implements pj.Clock.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	monotonic := c.sources.Monotonic()
	offset := c.sources.WallClock() - monotonic
	if (offset - c.wallClockOffset).Abs() > suspensionCheckThreshold {
		c.wallClockOffset = offset
		c.suspended = max(c.suspended, c.sources.Suspended())
	}
	return monotonic + c.suspended - c.origin
}

// suspendedSinceBoot returns the difference between the system clock that counts suspensions and the one that doesn't.
func suspendedSinceBoot() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0 // a system without these clocks is treated as never suspended
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
