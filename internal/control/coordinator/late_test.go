package coordinator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
)

// TestLateReply guards against carrying out a reply that answers another report than the one that the worker waits for.
func TestLateReply(t *testing.T) {
	// withStart returns a testbed whose only host has a reply in flight that starts a task, and whose report timed out.
	withStart := func(t *testing.T) (*testbed, *host) {
		b := newTestbed(1)
		b.run(time.Second)
		b.submit(pj.Job{ID: "z.one", Workspace: "a", RunTime: pj.Duration(time.Minute)})
		h := b.hosts[0]
		is.New(t).Equal(len(h.replies), 1)
		return b, h
	}
	cancel := func(b *testbed) {
		b.leader.Cancel("z.one", "a", func(pj.JobStatus, error) {})
		b.commit()
	}
	tests := map[string]func(b *testbed, h *host, late pj.WorkerReportReply){
		"the job was cancelled meanwhile": func(b *testbed, h *host, late pj.WorkerReportReply) {
			cancel(b)
			b.run(5 * time.Second) // the stop is reported and its end acknowledged
			b.report(h)
			h.agent.Handle(b.localTime(h), late)
		},
		"the worker restarted": func(b *testbed, h *host, late pj.WorkerReportReply) {
			cancel(b)
			b.restart(h)
			for range late.Sequence {
				b.report(h)
			}
			h.agent.Handle(b.localTime(h), late)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, h := withStart(t)
			late := h.replies[0]
			h.replies = nil
			b.report(h)
			h.replies = nil
			test(b, h, late)
			is.Equal(len(h.agent.Running()), 0)
		})
	}
}

// TestLateReport guards against taking a delayed report of a former incarnation for a sign that it is alive. The report may
// be the only one that a new leader has of the worker, or arrive after reports of the present incarnation.
func TestLateReport(t *testing.T) {
	long := pj.Job{ID: "z.one", Workspace: "a", RunTime: pj.Duration(time.Minute), Repeatable: true}
	once := pj.Job{ID: "z.once", Workspace: "a", RunTime: pj.Duration(time.Second)} // not repeatable
	captured := func(b *testbed, h *host) pj.WorkerReport { return h.agent.Report(b.localTime(h)) }
	send := func(b *testbed, r pj.WorkerReport) (reply pj.WorkerReportReply) {
		b.leader.Report(r, func(got pj.WorkerReportReply, _ error) { reply = got })
		b.commit()
		return reply
	}
	tests := map[string]struct {
		run func(b *testbed, h *host)
	}{
		"after the present incarnation has reported": {run: func(b *testbed, h *host) {
			late := captured(b, h)
			b.restart(h)
			b.run(time.Second)
			send(b, late)
			b.submit(once)
			b.run(2 * time.Second)
		}},
		"while the present incarnation runs a task": {run: func(b *testbed, h *host) {
			late := captured(b, h)
			b.restart(h)
			b.run(time.Second)
			b.submit(once)
			b.run(500 * time.Millisecond)
			send(b, late)
			b.run(1500 * time.Millisecond)
		}},
		"the first report that a new leader gets": {run: func(b *testbed, h *host) {
			late := captured(b, h)
			b.elect()
			b.restart(h)
			send(b, late)
			b.submit(once)
			b.run(2 * time.Second)
		}},
		"to a new leader, after the present incarnation has reported": {run: func(b *testbed, h *host) {
			late := captured(b, h)
			b.elect()
			b.restart(h)
			b.run(time.Second)
			send(b, late)
			b.submit(once)
			b.run(2 * time.Second)
		}},
		"two of them to a new leader": {run: func(b *testbed, h *host) {
			late, later := captured(b, h), captured(b, h)
			b.elect()
			b.restart(h)
			send(b, late)
			b.run(time.Second)
			send(b, later)
			b.submit(once)
			b.run(2 * time.Second)
		}},
		"no lease is renewed by it": {run: func(b *testbed, h *host) {
			b.submit(long)
			b.run(time.Second)
			late, later := captured(b, h), captured(b, h)
			b.restart(h)
			b.run(4 * time.Second)
			send(b, late)
			b.run(4 * time.Second)
			send(b, later)
			b.run(time.Second) // 9 s after the last lease
			b.submit(once)
			b.run(2 * time.Second)
		}},
		"no lease is renewed by it at a new leader": {run: func(b *testbed, h *host) {
			b.submit(long)
			b.run(time.Second)
			late := captured(b, h)
			b.elect()
			b.restart(h)
			b.run(4 * time.Second)
			send(b, late)
			b.run(5 * time.Second)
			b.submit(once)
			b.run(2 * time.Second)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(1)
			b.run(time.Second)
			test.run(b, b.hosts[0])
			requireInvariants(t, b)
			is.Equal(b.status("z.once").Reason, "")
			is.Equal(b.status("z.once").State, pj.JobFinished)
		})
	}
}

// TestStartForFormerIncarnation guards against sending a start that was decided for one incarnation of a worker to the next.
// The former one may have run the task.
func TestStartForFormerIncarnation(t *testing.T) {
	// restart replaces the host's agent, and lets the lease of the former one expire while nothing is committed.
	restart := func(b *testbed, h *host) {
		b.restart(h)
		for range 2 * maxLease / time.Second {
			b.now += time.Second
			b.leader.Tick()
			b.report(h)
			if last := len(h.replies) - 1; last >= 0 {
				b.deliver(h, last)
			}
		}
	}
	tests := map[string]func(b *testbed, h *host){
		"its commit takes longer than the lease": func(b *testbed, h *host) {
			restart(b, h)
			b.commit()
		},
		"the commit of its end fails": func(b *testbed, h *host) {
			b.commit() // the reply with the start is lost
			restart(b, h)
			b.group.serving = false
			b.commit()
			b.group.serving = true
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(1)
			b.run(time.Second)
			b.leader.Submit(pj.Job{
				ID: "z.one", Workspace: "a", Kind: pj.KindBatch, Tasks: 1, MaxAttempts: 3, Repeatable: true,
				Task: pj.NewResources(2, 2, 0, 0), RunTime: pj.Duration(time.Second),
			}, func(pj.JobStatus, error) {})
			submission := b.group.queue[0]
			b.group.queue = b.group.queue[1:]
			submission()
			is.Equal(len(b.group.queue), 1) // the start
			h := b.hosts[0]
			test(b, h)
			for range 60 {
				b.run(100 * time.Millisecond)
				requireInvariants(t, b)
			}
			is.Equal(b.status("z.one").State, pj.JobFinished)
			is.Equal(b.status("z.one").Tasks[0].Attempts, 2)
		})
	}
}

// TestAnnouncementNamesTerm checks that an endpoint is told the leader's term only once grants of the former leader have
// expired, and gets requests only after it has announced itself with that term.
func TestAnnouncementNamesTerm(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.config.Queues["q"] = pj.Queue{Name: "q", Workspace: "a", Kind: pj.KindRequest, MaxWaiting: 10}
	var sequence uint64
	announce := func(term uint64) (reply pj.EndpointAnnouncementReply, held bool) {
		sequence++
		held = true
		b.leader.Announce(pj.EndpointAnnouncement{
			Endpoint: "e", Address: "127.0.0.1:1", Zone: "z", Queues: []string{"*"}, Slots: 8, TTLMS: 3000,
			Incarnation: "i", Sequence: sequence, Term: term,
		}, func(got pj.EndpointAnnouncementReply, err error) {
			is.NoErr(err)
			reply, held = got, false
		})
		return reply, held
	}
	granted := false
	b.leader.Grant(pj.GrantRequest{Request: "r", Queue: "q", WaitMS: 5000}, func(pj.Grant, error) { granted = true })
	reply, held := announce(0)
	is.Equal(reply.Term, uint64(0))
	is.True(!held && reply.RenewWithinMS > 0)
	b.run(time.Second)
	reply, held = announce(0)
	is.Equal(reply.Term, b.term)
	is.True(!held && reply.RenewWithinMS == 0)
	is.True(!granted)
	_, held = announce(b.term)
	is.True(held)
	is.True(granted)
}
