package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/fairness"
	"papayajunction/internal/control/slots"
)

// testTable is a leader's table on a virtual clock, with the grants and refusals that it returned.
type testTable struct {
	*slots.Table
	ledger  *fairness.Ledger
	now     time.Duration
	grants  map[string]pj.Grant
	refused map[string]pj.Code
	seq     int
}

var queues = map[string]pj.Queue{
	"quick": {Name: "quick", Workspace: "a", Kind: pj.KindRequest, Urgency: pj.Urgent, MaxWaiting: 50},
	"slow":  {Name: "slow", Workspace: "b", Kind: pj.KindRequest, Urgency: pj.Deferred, MaxWaiting: 50},
}

func newTestTable() *testTable {
	t := &testTable{ledger: fairness.New(), grants: make(map[string]pj.Grant), refused: make(map[string]pj.Code)}
	t.ledger.SetCapacity(pj.Resources{pj.Slots: 16})
	for _, w := range []string{"a", "b"} {
		t.ledger.SetLimit(w, pj.Resources{pj.Slots: 100})
	}
	t.Table = slots.New(0, 3, t.ledger, nil)
	return t
}

func (t *testTable) announce(name string, inFlight int, draining bool) {
	_, _ = t.Announce(t.now, pj.EndpointAnnouncement{
		Endpoint: name, Address: "127.0.0.1:1", Queues: []string{"*"}, Slots: 2, InFlight: inFlight, Draining: draining, TTLMS: 2000,
	})
}

func (t *testTable) request(queue string, n int) {
	for range n {
		t.seq++
		id := fmt.Sprintf("%s-%d", queue, t.seq)
		t.Request(t.now, queues[queue], pj.GrantRequest{Request: id, Queue: queue, WaitMS: 5000}, func(g pj.Grant, err error) {
			if err != nil {
				t.refused[id] = pj.AsError(err).Code
				return
			}
			t.grants[id] = g
		})
	}
}

// advance moves the clock forward and ticks once at the end.
func (t *testTable) advance(span time.Duration) {
	t.now += span
	t.Tick(t.now)
}

// granted returns the number of grants for the endpoint, or of all grants for "".
func (t *testTable) granted(endpoint string) int {
	n := 0
	for _, g := range t.grants {
		if endpoint == "" || g.Endpoint == endpoint {
			n++
		}
	}
	return n
}

// TestInvariantDrainingEndpoint checks that an endpoint that is draining, expired or failing gets no
// grants.
func TestInvariantDrainingEndpoint(t *testing.T) {
	tests := map[string]struct {
		fault func(b *testTable)
		want  int // grants to e1 afterwards
	}{
		"it continues to serve":                  {fault: func(*testTable) {}, want: 2},
		"it announces that it is draining":       {fault: func(b *testTable) { b.announce("e1", 0, true) }},
		"its announcement expires":               {fault: func(b *testTable) { b.advance(2001 * time.Millisecond); b.announce("e2", 0, false) }},
		"it announces twice that it is draining": {fault: func(b *testTable) { b.announce("e1", 0, true); b.announce("e1", 0, true) }},
		"it drains while requests are in flight": {fault: func(b *testTable) { b.request("quick", 4); b.announce("e1", 2, true); b.grants = map[string]pj.Grant{} }},
		"it fails every request and is ejected": {fault: func(b *testTable) {
			b.request("quick", 4)
			for _, g := range b.grants {
				if g.Endpoint == "e1" {
					b.Release(b.now, pj.GrantRelease{ID: g.ID, LatencyMS: 5, Failed: true})
				}
			}
			b.request("quick", 1)
			for _, g := range b.grants {
				b.Release(b.now, pj.GrantRelease{ID: g.ID, LatencyMS: 5, Failed: g.Endpoint == "e1"})
			}
			b.grants = map[string]pj.Grant{}
			b.request("quick", 2)
			b.grants = filter(b.grants, "e1")
			if len(b.grants) > 0 {
				panic("an endpoint that fails every request was chosen although another had a free slot")
			}
			b.announce("e1", 0, true)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestTable()
			b.advance(time.Second)
			b.announce("e1", 0, false)
			b.announce("e2", 0, false)
			test.fault(b)
			before := b.granted("e1")
			b.request("quick", 10)
			is.Equal(b.granted("e1")-before, test.want)
		})
	}
}

func filter(all map[string]pj.Grant, endpoint string) map[string]pj.Grant {
	kept := make(map[string]pj.Grant)
	for id, g := range all {
		if g.Endpoint == endpoint {
			kept[id] = g
		}
	}
	return kept
}

// TestGrants checks the order in which requests are granted and the accounting of slots.
func TestGrants(t *testing.T) {
	tests := map[string]func(is *is.I, b *testTable){
		"an endpoint never gets more than its slots": func(is *is.I, b *testTable) {
			b.request("quick", 20)
			is.Equal(b.granted(""), 4)
		},
		"urgent requests go first": func(is *is.I, b *testTable) {
			b.request("slow", 10)
			b.request("quick", 1)
			for id := range b.grants {
				b.Release(b.now, pj.GrantRelease{ID: b.grants[id].ID, LatencyMS: 10})
				break
			}
			_, first := b.grants["quick-11"]
			is.True(first)
		},
		"a workspace stays within its limit": func(is *is.I, b *testTable) {
			b.ledger.SetLimit("a", pj.Resources{pj.Slots: 3})
			b.request("quick", 10)
			is.Equal(b.granted(""), 3)
		},
		"a slot is released only once": func(is *is.I, b *testTable) {
			b.request("quick", 10)
			for _, g := range b.grants {
				b.Release(b.now, pj.GrantRelease{ID: g.ID, LatencyMS: 10})
				b.Release(b.now, pj.GrantRelease{ID: g.ID, LatencyMS: 10})
				break
			}
			is.Equal(b.granted(""), 5)
		},
		"a slot that was never released is reclaimed after the deadline": func(is *is.I, b *testTable) {
			b.request("quick", 4)
			b.advance(8 * time.Second)
			b.announce("e1", 0, false)
			b.request("quick", 10)
			is.Equal(b.granted("")-4, 2)
		},
		"a request that waits too long is refused without running": func(is *is.I, b *testTable) {
			b.request("quick", 5)
			b.advance(6 * time.Second)
			is.Equal(b.refused["quick-5"], pj.CodeDeadline)
		},
		"a request for a full queue is refused at once": func(is *is.I, b *testTable) {
			b.request("quick", 60)
			is.Equal(b.refused["quick-60"], pj.CodeOverloaded)
		},
		"an abandoned request frees its place in the queue": func(is *is.I, b *testTable) {
			b.request("quick", 5)
			b.Abandon(b.now, "quick", "quick-5")
			for _, g := range b.grants {
				b.Release(b.now, pj.GrantRelease{ID: g.ID, LatencyMS: 10})
			}
			is.Equal(b.granted(""), 4)
		},
		"a new leader grants nothing until the grants of the old one have expired": func(is *is.I, _ *testTable) {
			b := newTestTable()
			b.announce("e1", 0, false)
			b.request("quick", 1)
			is.Equal(b.granted(""), 0)
			b.advance(slots.GrantValidity + slots.GrantValidity/5)
			is.Equal(b.granted(""), 0) // the announcement is from before they expired
			b.announce("e1", 0, false)
			is.Equal(b.granted(""), 1)
		},
		"a new leader counts the requests granted by the old one": func(is *is.I, _ *testTable) {
			b := newTestTable()
			b.advance(time.Second)
			b.announce("e1", 2, false)
			b.request("quick", 3)
			is.Equal(b.granted(""), 0)
			b.announce("e1", 1, false)
			is.Equal(b.granted(""), 1)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestTable()
			b.advance(time.Second)
			b.announce("e1", 0, false)
			b.announce("e2", 0, false)
			test(is.New(t), b)
		})
	}
}

// TestRequestSentAgain: a request that is sent again, because its caller lost the connection, replaces the one that waits. Both
// would be granted otherwise, and the first could not be withdrawn.
func TestRequestSentAgain(t *testing.T) {
	is := is.New(t)
	b := newTestTable()
	b.now = time.Second
	b.announce("e1", 0, false)
	b.request("quick", 2) // take both slots
	is.Equal(b.granted(""), 2)
	replies := make(map[string]error)
	send := func(attempt string) {
		b.Request(b.now, queues["quick"], pj.GrantRequest{Request: "again", Queue: "quick", WaitMS: 5000}, func(_ pj.Grant, err error) { replies[attempt] = err })
	}
	send("first")
	send("second")
	is.True(replies["first"] != nil)
	b.Abandon(b.now, "quick", "again")
	is.True(replies["second"] != nil)
	for _, g := range b.grants {
		b.Release(b.now, pj.GrantRelease{ID: g.ID, LatencyMS: 10})
	}
	is.Equal(b.SlotsUsed("a"), int64(0)) // neither was granted
}

// TestUnsentGrant: a grant that was returned without a request says nothing of its endpoint. It must not count as a success,
// which would keep a failing endpoint in use.
func TestUnsentGrant(t *testing.T) {
	is := is.New(t)
	b := newTestTable()
	b.now = time.Second
	b.announce("e1", 0, false)
	release := func(r pj.GrantRelease) {
		b.request("quick", 1)
		for id, g := range b.grants {
			r.ID = g.ID
			b.Release(b.now, r)
			delete(b.grants, id)
		}
	}
	for range 3 {
		release(pj.GrantRelease{LatencyMS: 5, Failed: true})
		release(pj.GrantRelease{})
	}
	b.announce("e2", 0, false)
	b.request("quick", 2)
	is.Equal(b.granted("e1"), 0) // ejected after three failures
	is.Equal(b.granted("e2"), 2)
}

// TestLateAnnouncement guards against an announcement that was delayed: an endpoint must not get more requests than it has
// slots, and a former incarnation or an endpoint that is draining gets none.
func TestLateAnnouncement(t *testing.T) {
	const term, formerTerm = 3, 2
	announcement := func(incarnation string, sequence uint64, term uint64) pj.EndpointAnnouncement {
		return pj.EndpointAnnouncement{
			Endpoint: "e", Address: "address of " + incarnation, Queues: []string{"*"}, Slots: 2, TTLMS: 5000,
			Incarnation: incarnation, Sequence: sequence, Term: term,
		}
	}
	inFlight := func(a pj.EndpointAnnouncement, n int) pj.EndpointAnnouncement { a.InFlight = n; return a }
	draining := func(a pj.EndpointAnnouncement) pj.EndpointAnnouncement { a.Draining = true; return a }
	tests := map[string]struct {
		early   []pj.EndpointAnnouncement // received while grants of the former leader may be valid
		late    []pj.EndpointAnnouncement // received after that
		granted map[string]int            // by address, of three requests
	}{
		"two announcements after the fence": {
			late:    []pj.EndpointAnnouncement{announcement("b", 1, 0), announcement("b", 2, term)},
			granted: map[string]int{"address of b": 2},
		},
		"requests in flight are counted": {
			early:   []pj.EndpointAnnouncement{announcement("b", 7, formerTerm)},
			late:    []pj.EndpointAnnouncement{inFlight(announcement("b", 8, formerTerm), 1), inFlight(announcement("b", 9, term), 1)},
			granted: map[string]int{"address of b": 1},
		},
		"sent before the former leader's last grant was used": {
			late: []pj.EndpointAnnouncement{announcement("b", 7, formerTerm)},
		},
		"two that were sent before the former leader's last grant was used": {
			late: []pj.EndpointAnnouncement{announcement("b", 7, formerTerm), announcement("b", 8, formerTerm)},
		},
		"sent before it, received after later ones": {
			late: []pj.EndpointAnnouncement{
				inFlight(announcement("b", 8, formerTerm), 2), inFlight(announcement("b", 9, term), 2), announcement("b", 7, formerTerm),
			},
		},
		"of a former incarnation": {
			late: []pj.EndpointAnnouncement{
				announcement("a", 1, 0), announcement("a", 2, term), announcement("b", 1, 0), announcement("b", 2, term), announcement("a", 3, term),
			},
			granted: map[string]int{"address of b": 2},
		},
		"of a former incarnation, for a former leader": {
			late:    []pj.EndpointAnnouncement{announcement("b", 1, 0), announcement("b", 2, term), announcement("a", 9, formerTerm)},
			granted: map[string]int{"address of b": 2},
		},
		"of a former incarnation that is draining": {
			late: []pj.EndpointAnnouncement{
				announcement("a", 1, 0), announcement("a", 2, term), announcement("b", 1, 0), announcement("b", 2, term), draining(announcement("a", 3, term)),
			},
			granted: map[string]int{"address of b": 2},
		},
		"sent before the endpoint was draining": {
			late: []pj.EndpointAnnouncement{
				announcement("b", 1, 0), announcement("b", 2, term), draining(announcement("b", 4, term)), announcement("b", 3, term),
			},
		},
		"of the next version, received late": {
			late:    []pj.EndpointAnnouncement{announcement("", 0, 0), announcement("a", 7, formerTerm)},
			granted: map[string]int{"address of ": 2},
		},
		"of an earlier version": {
			late:    []pj.EndpointAnnouncement{announcement("", 0, 0)},
			granted: map[string]int{"address of ": 2},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTestTable()
			deliver := func(list []pj.EndpointAnnouncement) {
				for _, a := range list {
					_, _ = table.Announce(table.now, a)
				}
			}
			table.advance(100 * time.Millisecond)
			deliver(test.early)
			table.advance(400 * time.Millisecond)
			deliver(test.late)
			table.request("quick", 3)
			granted := make(map[string]int)
			for _, g := range table.grants {
				granted[g.Address]++
			}
			is.Equal(len(granted), len(test.granted))
			for address, n := range test.granted {
				is.Equal(granted[address], n)
			}
		})
	}
}
