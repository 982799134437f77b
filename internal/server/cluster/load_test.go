package cluster

import (
	"runtime/debug"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAdaptGC: the garbage collector runs less often while the process uses much of a core, and as often as before afterwards.
func TestAdaptGC(t *testing.T) {
	const usual = 77
	defer debug.SetGCPercent(debug.SetGCPercent(usual))
	current := func() int {
		percent := debug.SetGCPercent(usual)
		debug.SetGCPercent(percent)
		return percent
	}
	is := is.New(t)
	var m loadMeter
	m.adaptGC(100*time.Millisecond, time.Second)
	is.Equal(current(), usual)
	for range 2 {
		m.adaptGC(900*time.Millisecond, time.Second)
		is.Equal(current(), busyGCPercent)
	}
	for range 2 {
		m.adaptGC(100*time.Millisecond, time.Second)
		is.Equal(current(), usual)
	}
}
