package bootclock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayajunction/internal/control/bootclock"
)

// TestClock covers suspensions and times of day that are set by hand.
func TestClock(t *testing.T) {
	tests := map[string]struct {
		steady, timeOfDay, suspended time.Duration // how far each goes on
		want                         time.Duration
	}{
		"nothing special":             {steady: time.Second, timeOfDay: time.Second, want: time.Second},
		"suspended":                   {steady: 10 * time.Millisecond, timeOfDay: 5010 * time.Millisecond, suspended: 5 * time.Second, want: 5010 * time.Millisecond},
		"time of day set ahead":       {steady: time.Second, timeOfDay: 3 * time.Second, want: time.Second},
		"time of day set back":        {steady: time.Second, timeOfDay: -time.Second, want: time.Second},
		"suspended and set back":      {steady: time.Second, timeOfDay: time.Second - 2*time.Second + 5*time.Second, suspended: 5 * time.Second, want: 6 * time.Second},
		"suspended for a short while": {steady: time.Second, timeOfDay: 1060 * time.Millisecond, suspended: 60 * time.Millisecond, want: 1060 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			steady, timeOfDay, suspended := time.Hour, 5*time.Hour, 7*time.Minute
			c := bootclock.From(bootclock.Sources{
				Steady:    func() time.Duration { return steady },
				TimeOfDay: func() time.Duration { return timeOfDay },
				Suspended: func() time.Duration { return suspended },
			})
			is.Equal(c.Now(), time.Duration(0))
			steady, timeOfDay, suspended = steady+tc.steady, timeOfDay+tc.timeOfDay, suspended+tc.suspended
			is.Equal(c.Now(), tc.want)
		})
	}
}
