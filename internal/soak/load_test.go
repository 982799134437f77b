package soak

import (
	"context"
	"io"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
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
	l.submitters.Go(func() { l.submit(t.Context(), id, caller{}) })
	time.AfterFunc(50*time.Millisecond, func() { close(client.accept) })
	l.awaitJobs(t.Context(), time.Nanosecond, io.Discard)
	is.Equal(len(l.violations), 1)
}

// scriptedClient answers the submissions of a job with the given results, one after the other, and all later ones with the last.
type scriptedClient struct {
	Client
	mu      sync.Mutex
	results []error
	calls   []submission
}

type submission struct {
	entry    string
	workflow *pj.Workflow
	hasEnd   bool // the caller had a deadline
}

func (c *scriptedClient) Submit(ctx context.Context, entry string, _ *pj.Route, _ string, w *pj.Workflow) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, hasEnd := ctx.Deadline()
	c.calls = append(c.calls, submission{entry: entry, workflow: w, hasEnd: hasEnd})
	return c.results[min(len(c.calls), len(c.results))-1]
}

func (c *scriptedClient) State(context.Context, string, *pj.Route, string, string) (pj.WorkflowState, error) {
	return pj.WorkflowComplete, nil
}

func (c *scriptedClient) Cancel(context.Context, string, *pj.Route, string, string) error {
	return nil
}

// TestSubmissionCheck covers which answers to the submissions of one job are violations.
func TestSubmissionCheck(t *testing.T) {
	unknown, overloaded := pj.Fail(pj.CodeOutcomeUnknown, "no response"), pj.Refuse(pj.CodeOverloaded, "status 503")
	conflict := pj.Refuse(pj.CodeConflict, "status 409")
	repeats := caller{repeatAfter: []time.Duration{time.Millisecond}}
	replaces := caller{replaceAfter: []time.Duration{time.Millisecond}}
	tests := map[string]struct {
		caller     caller
		results    []error // of the submissions
		started    bool    // a worker starts a task of the job
		calls      int     // expected submissions
		violations int
	}{
		"accepted":                             {results: []error{nil}, calls: 1},
		"accepted again":                       {caller: repeats, results: []error{nil, nil}, calls: 2},
		"repetition has no answer":             {caller: repeats, results: []error{nil, unknown}, calls: 2},
		"repetition meets an overloaded entry": {caller: repeats, results: []error{nil, overloaded}, calls: 2},
		"repetition is refused: conflict":      {caller: repeats, results: []error{nil, conflict}, calls: 2, violations: 1},
		"repetition is refused: bad request":   {caller: repeats, results: []error{nil, pj.Refuse(pj.CodeBadRequest, "status 400")}, calls: 2, violations: 1},
		"repetition is refused: no queue":      {caller: repeats, results: []error{nil, pj.Refuse(pj.CodeUnknownQueue, "status 404")}, calls: 2, violations: 1},
		"repetition is refused: wrong key":     {caller: repeats, results: []error{nil, pj.Refuse(pj.CodeWrongKey, "status 401")}, calls: 2, violations: 1},
		"repetition is refused: forbidden":     {caller: repeats, results: []error{nil, pj.Refuse(pj.CodeForbidden, "status 403")}, calls: 2, violations: 1},
		"repetition is refused: too large":     {caller: repeats, results: []error{nil, pj.Refuse(pj.CodeTooLarge, "status 413")}, calls: 2, violations: 1},
		"repetition of a cancelled job is refused": {
			caller: caller{cancels: true, repeatAfter: repeats.repeatAfter}, results: []error{nil, conflict}, calls: 2, violations: 1,
		},
		"refused after an answer was lost":    {results: []error{unknown, conflict}, calls: 2, violations: 1},
		"refused at first, and not run":       {results: []error{conflict}, calls: 1, violations: 1},
		"refused at first, and run":           {results: []error{conflict}, started: true, calls: 1, violations: 2},
		"overloaded, then accepted":           {results: []error{overloaded, nil}, started: true, calls: 2},
		"overloaded, and not run":             {caller: caller{heedsRefusal: true}, results: []error{overloaded}, calls: 1},
		"overloaded, and run":                 {caller: caller{heedsRefusal: true}, results: []error{overloaded}, started: true, calls: 1, violations: 1},
		"lost answer, then overloaded":        {caller: caller{heedsRefusal: true}, results: []error{unknown, overloaded}, started: true, calls: 2},
		"gives up, then accepted":             {caller: caller{giveUpAfter: time.Minute}, results: []error{unknown, nil}, started: true, calls: 2},
		"another job is refused":              {caller: replaces, results: []error{nil, conflict}, calls: 2},
		"another job meets an overload":       {caller: replaces, results: []error{nil, overloaded}, calls: 2},
		"answer to another job is lost":       {caller: replaces, results: []error{nil, unknown}, calls: 2},
		"another job is accepted under an id": {caller: replaces, results: []error{nil, nil}, calls: 2, violations: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				client := &scriptedClient{results: tc.results}
				l := newLoad(1, Sizes["small"], client, polledworker.New(nil, time.Hour))
				id := jobID(1)
				l.submit(t.Context(), id, tc.caller)
				l.started[id] = tc.started
				l.awaitJobs(t.Context(), time.Nanosecond, io.Discard)
				is.Equal(len(client.calls), tc.calls)
				is.Equal(len(l.violations), tc.violations)
				is.Equal(client.calls[0].hasEnd, tc.caller.giveUpAfter > 0)
				_, w := newWork(id)
				for i, call := range client.calls {
					is.Equal(reflect.DeepEqual(call.workflow, w), i == 0 || tc.caller.replaceAfter == nil)
					is.Equal(call.workflow.ID, id)
				}
				if tc.caller.repeatAfter != nil {
					is.True(client.calls[0].entry != client.calls[1].entry)
				}
			})
		})
	}
}

// TestUseCheck: a run in which the cell accepted no ruleset or no job is a violation.
func TestUseCheck(t *testing.T) {
	tests := map[string]struct {
		published int64
		jobs      map[string]*job
		violation bool
	}{
		"in use":              {published: 1, jobs: map[string]*job{"1": {}, "2": {accepted: true}}},
		"no ruleset":          {jobs: map[string]*job{"1": {accepted: true}}, violation: true},
		"no job":              {published: 1, violation: true},
		"no job was accepted": {published: 1, jobs: map[string]*job{"1": {rejected: true}}, violation: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLoad(1, Sizes["small"], nil, nil)
			l.published, l.jobs = tc.published, tc.jobs
			l.checkUse()
			is.New(t).Equal(len(l.violations) > 0, tc.violation)
		})
	}
}

// TestCallers: the behaviour of a caller depends on the seed and the number of its job only, and each kind of behaviour occurs.
func TestCallers(t *testing.T) {
	is := is.New(t)
	var givesUp, heeds, repeats, replaces int
	const callers = 200
	for n := range callers {
		c := newCaller(7, n)
		is.Equal(c, newCaller(7, n))
		is.True(c.giveUpAfter < maxGiveUpTime)
		if c.giveUpAfter > 0 {
			givesUp++
		}
		if c.heedsRefusal {
			heeds++
		}
		repeats += len(c.repeatAfter)
		replaces += len(c.replaceAfter)
	}
	for _, n := range []int{givesUp, heeds, repeats, replaces} {
		is.True(n > 0 && n < callers)
	}
}

// startedClient is a worker client that accepts every start.
type startedClient struct {
	pj.WorkerClient
}

func (startedClient) Start(context.Context, *pj.PolledWorker, pj.StartRequest) (int64, error) {
	return 1, nil
}

// TestStartCheck: a worker must only be told to start the tasks of the job that was accepted under an id.
func TestStartCheck(t *testing.T) {
	id := jobID(1)
	tests := map[string]struct {
		workflow  *pj.Workflow // to which the task belongs
		violation bool
	}{
		"accepted job": {workflow: func() *pj.Workflow { _, w := newWork(id); return w }()},
		"other spec":   {workflow: newReplacement(id, false), violation: true},
		"other steps":  {workflow: newReplacement(id, true), violation: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLoad(1, Sizes["small"], nil, polledworker.New(nil, time.Hour))
			c := &checkingClient{WorkerClient: startedClient{}, load: l}
			last := pj.TaskID{StepID: pj.StepID{Workflow: id}, Index: tc.workflow.Steps[0].Tasks - 1}
			_, err := c.Start(t.Context(), &pj.PolledWorker{}, pj.StartRequest{Run: pj.RunID{Task: last, Run: 1}, Spec: tc.workflow.Spec})
			is.NoErr(err)
			is.Equal(len(l.violations) > 0, tc.violation)
		})
	}
}
