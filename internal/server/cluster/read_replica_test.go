package cluster

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	pj "papayajunction"
	control "papayajunction/internal/control/replica"
	"papayajunction/internal/control/rulecache"
	"papayajunction/internal/control/workflow"
	"papayajunction/internal/storage/saver"
)

type fixedClock struct {
	now time.Duration
}

func (c *fixedClock) Now() time.Duration {
	return c.now
}

// TestIsCurrent covers when a replica may answer for the leader: only while it hears the leader and has what the leader had.
func TestIsCurrent(t *testing.T) {
	tests := map[string]struct {
		started bool
		applied uint64 // by the leader
		silent  time.Duration
		current bool
	}{
		"it has what the leader had":    {started: true, applied: 7, current: true},
		"it is behind":                  {started: true, applied: 8},
		"it hasn't heard the leader":    {started: true, applied: 7, silent: nearFresh + 1},
		"its member hasn't started yet": {applied: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &fixedClock{now: time.Minute}
			v := &VM{clock: clock, book: rulecache.New(clock, 0), options: Options{Metrics: metrics.NewSet()}}
			r := &replica{vm: v, state: workflow.NewState()}
			if test.started {
				host := control.New(control.Options{VM: "vm", Saver: &saver.Saver{}, Clock: clock, Rand: newRand(), Heartbeat: heartbeat, ElectionTimeout: election})
				snapshot := &pj.LogSnapshot{Index: 7, Term: 1, Membership: pj.Membership{Voters: []string{host.ID()}}}
				r.group = host.AddGroup(Group, 0, r.state, pj.RecoveredState{Snapshot: snapshot}, nil, nil)
				host.Flush()
			}
			v.book.Update(clock.now, 0, nil)
			v.learn(syncReply{Applied: test.applied})
			clock.now += test.silent
			is.New(t).Equal(r.isCurrent(), test.current)
		})
	}
}
