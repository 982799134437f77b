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

// TestIsCurrent covers when a replica may serve reads: only after a recent sync, and if it has applied all that the leader
// had applied at that sync.
func TestIsCurrent(t *testing.T) {
	tests := map[string]struct {
		started       bool
		leaderApplied uint64 // index, at the last sync
		syncAge       time.Duration
		neverSynced   bool // the process has just started, with its state from the disk
		current       bool
	}{
		"all entries applied, recent sync":     {started: true, leaderApplied: 7, current: true},
		"applied index is behind the leader's": {started: true, leaderApplied: 8},
		"last sync is too old":                 {started: true, leaderApplied: 7, syncAge: maxReplicaStaleness + 1},
		"no sync since the process started":    {started: true, neverSynced: true},
		"member has not started yet":           {leaderApplied: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &fixedClock{now: 200 * time.Millisecond} // the clock starts at zero with the process
			v := &VM{clock: clock, ruleCache: rulecache.New(clock, 0), options: Options{Metrics: metrics.NewSet()}}
			r := &replica{vm: v, state: workflow.NewState()}
			if test.started {
				host := control.New(control.Options{VM: "vm", Saver: &saver.Saver{}, Clock: clock, Rand: newRand(), Heartbeat: heartbeatInterval, ElectionTimeout: electionTimeout})
				snapshot := &pj.LogSnapshot{Index: 7, Term: 1, Membership: pj.Membership{Voters: []string{host.ID()}}}
				r.group = host.AddGroup(Group, 0, r.state, pj.RecoveredState{Snapshot: snapshot}, nil, nil)
				host.Flush()
			}
			if !test.neverSynced {
				v.ruleCache.Update(clock.now, 0, nil)
				v.updateGroupInfo(syncReply{Applied: test.leaderApplied})
			}
			clock.now += test.syncAge
			is.New(t).Equal(r.isCurrent(), test.current)
		})
	}
}
