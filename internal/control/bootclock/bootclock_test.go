package bootclock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayajunction/internal/control/bootclock"
)

// TestClock covers suspensions and a wall clock that is set by hand.
func TestClock(t *testing.T) {
	tests := map[string]struct {
		monotonic, wallClock, suspended time.Duration // by how much each advances
		want                            time.Duration
	}{
		"no suspension":                     {monotonic: time.Second, wallClock: time.Second, want: time.Second},
		"suspended":                         {monotonic: 10 * time.Millisecond, wallClock: 5010 * time.Millisecond, suspended: 5 * time.Second, want: 5010 * time.Millisecond},
		"wall clock set forward":            {monotonic: time.Second, wallClock: 3 * time.Second, want: time.Second},
		"wall clock set back":               {monotonic: time.Second, wallClock: -time.Second, want: time.Second},
		"suspended and wall clock set back": {monotonic: time.Second, wallClock: time.Second - 2*time.Second + 5*time.Second, suspended: 5 * time.Second, want: 6 * time.Second},
		"suspended for 60 ms":               {monotonic: time.Second, wallClock: 1060 * time.Millisecond, suspended: 60 * time.Millisecond, want: 1060 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			monotonic, wallClock, suspended := time.Hour, 5*time.Hour, 7*time.Minute
			c := bootclock.NewWithSources(bootclock.Sources{
				Monotonic: func() time.Duration { return monotonic },
				WallClock: func() time.Duration { return wallClock },
				Suspended: func() time.Duration { return suspended },
			})
			is.Equal(c.Now(), time.Duration(0))
			monotonic, wallClock, suspended = monotonic+tc.monotonic, wallClock+tc.wallClock, suspended+tc.suspended
			is.Equal(c.Now(), tc.want)
		})
	}
}
