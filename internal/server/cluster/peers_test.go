package cluster

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitlog "github.com/go-kit/log"
	"github.com/matryer/is"

	pj "papayajunction"
	control "papayajunction/internal/control/replica"
	"papayajunction/internal/control/runs"
	"papayajunction/internal/control/workflow"
)

// TestRelayFor covers which replica relays orders to the workers of a zone, for a leader in zone-1 of region west.
func TestRelayFor(t *testing.T) {
	const now = time.Minute
	syncedNow := func(zone, region string) peerInfo {
		return peerInfo{zone: zone, region: region, replica: true, lastSyncAt: now}
	}
	tests := map[string]struct {
		peers       map[string]peerInfo
		zonesServed map[string]int
		backoff     string
		zone        string
		relay       string
	}{
		"replica in the zone is preferred": {
			peers: map[string]peerInfo{"a": syncedNow("zone-2", "west"), "b": syncedNow("zone-3", "east")}, zone: "zone-3", relay: "b",
		},
		"leader itself is never a relay": {
			peers: map[string]peerInfo{"self": syncedNow("zone-1", "west"), "a": syncedNow("zone-3", "east")}, zone: "zone-1", relay: "a",
		},
		"replica in the region is preferred to one outside": {
			peers: map[string]peerInfo{"a": syncedNow("zone-3", "east"), "b": syncedNow("zone-2", "west")}, zone: "zone-1", relay: "b",
		},
		"replica that serves the fewest zones": {
			peers: map[string]peerInfo{"a": syncedNow("zone-2", "west"), "b": syncedNow("zone-4", "west")}, zonesServed: map[string]int{"a": 1}, zone: "zone-1", relay: "b",
		},
		"entry is never a relay": {
			peers: map[string]peerInfo{"a": {zone: "zone-1", region: "west", lastSyncAt: now}}, zone: "zone-1",
		},
		"replica without recent sync request is not used": {
			peers: map[string]peerInfo{"a": {zone: "zone-1", region: "west", replica: true, lastSyncAt: now - 2*maxRelaySyncAge}}, zone: "zone-1",
		},
		"replica that is stopping is not used": {
			peers: map[string]peerInfo{"a": {zone: "zone-1", region: "west", replica: true, lastSyncAt: now, stopping: true}, "b": syncedNow("zone-3", "east")}, zone: "zone-1", relay: "b",
		},
		"replica in backoff is not used": {
			peers: map[string]peerInfo{"a": syncedNow("zone-1", "west"), "b": syncedNow("zone-3", "east")}, backoff: "a", zone: "zone-1", relay: "b",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &replica{vm: &VM{options: Options{Address: "self", Zone: "zone-1", Region: "west"}}, peers: tc.peers}
			r.relays = newRelays(r, 1)
			if tc.backoff != "" {
				r.relays.link(tc.backoff).backoffUntil = now + time.Second
			}
			is.Equal(r.relayFor(now, tc.zone, tc.zonesServed), tc.relay)
		})
	}
}

// TestAwaitsRelays: a new leader of a large fleet polls no worker before the other replicas have sent a sync request or the
// wait is over. It would connect to each worker itself, and have no time for the replicas and entries that look for it.
func TestAwaitsRelays(t *testing.T) {
	const elected = time.Minute
	tests := map[string]struct {
		workers int
		synced  int // other replicas that have sent a sync request
		since   time.Duration
		waits   bool
	}{
		"none has synced":            {workers: minRelayWorkers, waits: true},
		"one of two has synced":      {workers: minRelayWorkers, synced: 1, waits: true},
		"all have synced":            {workers: minRelayWorkers, synced: 2},
		"the wait is over":           {workers: minRelayWorkers, since: maxRelayWait},
		"a fleet that has no relays": {workers: minRelayWorkers - 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			state := workflow.NewState()
			command := workflow.Command{}
			for i := range tc.workers {
				command.Workers = append(command.Workers, pj.PolledWorker{
					ID: strconv.Itoa(i), Pool: "pool", Zone: "zone-1", Address: "10.0.0.1:1", Sequence: 1, Capacity: pj.NewResources(1, 1, 0, 0),
				})
			}
			data, err := json.Marshal(command)
			is := is.New(t)
			is.NoErr(err)
			state.Apply(2, data)
			clock := &fixedClock{now: elected}
			host := control.New(control.Options{VM: "self", Incarnation: "1", Clock: clock})
			members := pj.Membership{Voters: []string{"self/1", "a/1", "b/1"}}
			group := host.AddGroup(Group, 0, state, pj.RecoveredState{Snapshot: &pj.LogSnapshot{Index: 2, Term: 1, Membership: members, Data: snapshotOf(is, state)}}, nil, nil)
			r := &replica{vm: &VM{options: Options{Address: "self"}, clock: clock}, group: group, leaderSince: elected, peers: map[string]peerInfo{"entry": {}}}
			r.controller = runs.New(runs.Options{State: state, Group: group, Clock: clock, UnixMilli: func() int64 { return 0 }, Events: newEvents(&VM{options: Options{Logger: kitlog.NewNopLogger(), Metrics: metrics.NewSet()}})})
			for _, vm := range []string{"a", "b"}[:tc.synced] {
				r.peers[vm] = peerInfo{replica: true}
			}
			is.Equal(r.awaitsRelays(elected+tc.since), tc.waits)
		})
	}
}

func snapshotOf(is *is.I, state *workflow.State) []byte {
	data, err := state.Snapshot()
	is.NoErr(err)
	return data
}

// TestTakesLead guards against the lead of a VM that is stopping: nobody can call it any more, and it is killed while it leads.
func TestTakesLead(t *testing.T) {
	const now = time.Minute
	info := peerInfo{rank: 0, syncingSince: now - 2*minLeaderTenure, lastSyncAt: now}
	tests := map[string]struct {
		change func(p *peerInfo)
		takes  bool
	}{
		"a VM of a lower rank":       {change: func(*peerInfo) {}, takes: true},
		"a VM that is stopping":      {change: func(p *peerInfo) { p.stopping = true }},
		"a VM of the same rank":      {change: func(p *peerInfo) { p.rank = 1 }},
		"a VM that was away lately":  {change: func(p *peerInfo) { p.syncingSince = now - minLeaderTenure/2 }},
		"a VM that isn't heard now":  {change: func(p *peerInfo) { p.lastSyncAt = now - 2*maxPeerSyncAge }},
		"a VM that has just started": {change: func(p *peerInfo) { p.syncingSince = now }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := info
			test.change(&p)
			is.New(t).Equal(p.takesLead(now, 1), test.takes)
		})
	}
}
