package soak

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/standin/polledworker"
)

// lateClient accepts a job late, and then keeps it queued for ever.
type lateClient struct {
	Client
	accept chan struct{}
}

func (c lateClient) Submit(context.Context, string, *pj.Route, string, *pj.Workflow) error {
	<-c.accept
	return nil
}

func (c lateClient) State(context.Context, string, *pj.Route, string, string) (pj.WorkflowState, error) {
	return pj.WorkflowQueued, nil
}

// TestJobAcceptedLate: a job that is accepted only after the faults are over must end like the others.
func TestJobAcceptedLate(t *testing.T) {
	is := is.New(t)
	client := lateClient{accept: make(chan struct{})}
	l := newLoad(1, Sizes["small"], client, polledworker.New(nil, time.Hour))
	id := jobID(1)
	l.jobs[id] = &job{}
	l.submitters.Go(func() { l.submit(t.Context(), id, false) })
	time.AfterFunc(50*time.Millisecond, func() { close(client.accept) })
	l.awaitJobs(t.Context(), time.Nanosecond, io.Discard)
	is.Equal(len(l.violations), 1)
}
