package coordinator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
)

// TestDrain drains a worker and an endpoint; the worker's drain must survive a change of leader.
func TestDrain(t *testing.T) {
	is := is.New(t)
	b := newTestbed(2)
	b.run(time.Second)
	b.submit(job("before", "a"))
	b.run(500 * time.Millisecond)
	where := b.running()["z.before/0"][0]
	drain := func(resume bool) {
		target := pj.DrainTarget{Kind: pj.DrainWorker, Name: where}
		b.leader.Drain(pj.Drain{DrainTarget: target, Zone: "z", Resume: resume}, func(err error) { is.NoErr(err) })
		b.commit()
	}
	drain(false)
	b.elect()
	b.run(time.Second)
	is.Equal(b.running()["z.before/0"], []string{where}) // the running task continues
	for _, id := range []string{"one", "two", "three"} {
		b.submit(job(id, "a"))
	}
	b.run(time.Second)
	for _, id := range []string{"z.one/0", "z.two/0", "z.three/0"} {
		is.True(len(b.running()[id]) == 1 && b.running()[id][0] != where)
	}
	is.Equal(b.workerStatus(where).State, "draining")
	drain(true)
	b.run(time.Second)
	is.Equal(b.workerStatus(where).State, "working")

	b.config.Queues["q"] = pj.Queue{Name: "q", Workspace: "a", Kind: pj.KindRequest, MaxWaiting: 10}
	announce := func() {
		b.leader.Announce(pj.EndpointAnnouncement{Endpoint: "e", Address: "127.0.0.1:1", Zone: "z", Queues: []string{"*"}, Slots: 8, TTLMS: 3000},
			func(pj.EndpointAnnouncementReply, error) {})
	}
	granted := func() (ok bool) {
		announce()
		b.leader.Grant(pj.GrantRequest{Request: b.now.String(), Queue: "q", WaitMS: 10}, func(_ pj.Grant, err error) { ok = err == nil })
		return ok
	}
	is.True(granted())
	b.leader.Drain(pj.Drain{DrainTarget: pj.DrainTarget{Kind: pj.DrainEndpoint, Name: "e"}, Zone: "z"}, func(err error) { is.NoErr(err) })
	b.commit()
	b.run(100 * time.Millisecond)
	is.Equal(granted(), false)
}
