package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayajunction/internal/control/quarantine"
)

// quarantined returns a tracker with a worker "w" that is quarantined from second 0 on for 4 s.
func quarantined(is *is.I) *quarantine.Tracker {
	tracker := quarantine.New(quarantine.WithQuarantine(4*time.Second, 10*time.Second))
	for _, job := range []string{"a", "b", "c"} {
		tracker.RecordFailure(0, job, "w")
	}
	is.True(tracker.Quarantined(4*time.Second-1, "w"))
	return tracker
}

// TestBarsEnd guards against workers that are barred for longer than there is a reason: for a job that failed there once,
// or for all jobs after a probe that has no end.
func TestBarsEnd(t *testing.T) {
	tests := map[string]func(is *is.I){
		"a job avoids a worker for a time": func(is *is.I) {
			tracker := quarantine.New()
			tracker.RecordFailure(0, "a", "w")
			is.Equal(len(tracker.Expire(quarantine.AvoidLimitedAttempts-1)), 0)
			is.Equal(len(tracker.AvoidedWorkers("a")), 1)
			is.Equal(tracker.Expire(quarantine.AvoidLimitedAttempts), []string{"w"})
			is.Equal(len(tracker.AvoidedWorkers("a")), 0)
			is.True(tracker.FailedOn("a", "w")) // other workers are still better
		},
		"a further failure begins anew": func(is *is.I) {
			tracker := quarantine.New()
			tracker.RecordFailureAvoiding(0, "a", "w", time.Second)
			tracker.RecordFailureAvoiding(time.Second-1, "a", "w", time.Second)
			is.Equal(len(tracker.Expire(time.Second)), 0)
			is.Equal(len(tracker.AvoidedWorkers("a")), 1)
		},
		"a later success of another job ends it": func(is *is.I) {
			tracker := quarantine.New()
			tracker.RecordFailure(2*time.Second, "a", "w")
			tracker.RecordSuccess(time.Second, "b", "w") // started before the failure
			is.Equal(len(tracker.AvoidedWorkers("a")), 1)
			tracker.RecordSuccess(3*time.Second, "b", "w")
			is.Equal(len(tracker.AvoidedWorkers("a")), 0)
		},
		"an ended job leaves nothing behind": func(is *is.I) {
			tracker := quarantine.New()
			tracker.RecordFailure(0, "a", "w")
			tracker.RemoveJob("a")
			is.Equal(len(tracker.Expire(time.Hour)), 0)
			is.Equal(tracker.FailedOn("a", "w"), false)
		},
		"failures on several workers stay attributed to the job": func(is *is.I) {
			tracker := quarantine.New()
			tracker.RecordFailure(0, "a", "w1")
			tracker.RecordFailure(0, "a", "w2")
			tracker.Expire(time.Minute)
			atFault, _ := tracker.RecordFailure(time.Minute, "a", "w3")
			is.True(atFault)
		},
		"jobs that fail everywhere": func(is *is.I) {
			tracker := quarantine.New(quarantine.WithQuarantine(4*time.Second, time.Minute))
			jobs, workers := []string{"a", "b", "c", "d"}, []string{"w1", "w2", "w3", "w4"}
			barred := 0
			for round := range 100 {
				now := time.Duration(round) * time.Second
				for _, worker := range workers {
					if tracker.Quarantined(now, worker) {
						barred++
						continue
					}
					for _, job := range jobs {
						tracker.RecordStart(worker)
						tracker.RecordFailureAvoiding(now, job, worker, quarantine.AvoidUnlimitedAttempts)
					}
				}
			}
			is.True(barred <= 4) // only the first worker, once
		},
		"a worker that fails jobs which run elsewhere": func(is *is.I) {
			tracker := quarantine.New()
			for i, job := range []string{"a", "b", "c"} {
				tracker.RecordFailure(0, job, "sound") // once, and then it succeeds there
				tracker.RecordSuccess(time.Second, job, "sound")
				_, barred := tracker.RecordFailure(2*time.Second, job, "faulty")
				is.Equal(barred, i == 2)
			}
		},
		"a failure elsewhere long ago": func(is *is.I) {
			tracker := quarantine.New()
			for i, job := range []string{"a", "b", "c"} {
				tracker.RecordFailure(0, job, job)
				_, barred := tracker.RecordFailure(2*time.Minute, job, "faulty")
				is.Equal(barred, i == 2)
			}
		},
		"the lengths of quarantines": func(is *is.I) {
			tracker := quarantined(is)
			now := 4 * time.Second
			for _, length := range []time.Duration{8 * time.Second, 10 * time.Second, 10 * time.Second} {
				is.Equal(tracker.Quarantined(now, "w"), false)
				is.True(tracker.RecordStart("w"))
				_, again := tracker.RecordFailure(now, "a", "w")
				is.True(again)
				is.True(tracker.Quarantined(now+length-1, "w"))
				now += length
			}
		},
		"a probe passes once it has run for a while": func(is *is.I) {
			tracker := quarantined(is)
			is.Equal(tracker.Quarantined(4*time.Second, "w"), false)
			is.True(tracker.RecordStart("w"))
			tracker.RecordRunning(9*time.Second, 4*time.Second, "w")
			is.True(tracker.Quarantined(9*time.Second, "w"))
			tracker.RecordRunning(20*time.Second, 3*time.Second, "w") // started before the quarantine
			is.True(tracker.Quarantined(20*time.Second, "w"))
			tracker.RecordRunning(20*time.Second, 4*time.Second, "w")
			is.Equal(tracker.Quarantined(20*time.Second, "w"), false)
			is.Equal(tracker.RecordStart("w"), false) // no probe
		},
		"a probe that doesn't start is followed by another": func(is *is.I) {
			tracker := quarantined(is)
			is.Equal(tracker.Quarantined(4*time.Second, "w"), false)
			is.True(tracker.RecordStart("w"))
			tracker.RecordStop("w")
			is.Equal(tracker.Quarantined(5*time.Second, "w"), false)
			is.True(tracker.RecordStart("w"))
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(is.New(t)) })
	}
}
