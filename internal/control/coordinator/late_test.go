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
