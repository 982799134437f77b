package filter_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/directory"
	"papayajunction/internal/traffic/filter"
)

type clock struct{ now time.Duration }

// Now implements pj.Clock.
func (c *clock) Now() time.Duration { return c.now }

const (
	secretA = "pj_secret_of_workspace_a"
	secretB = "pj_secret_of_workspace_b"
)

func newDirectory(c *clock) *directory.Directory {
	d := directory.New(c)
	content := directory.Content{Index: 1, Keys: make(map[string]pj.Key), Config: pj.Configuration{
		Version: 1, Queues: map[string]pj.Queue{
			"closed": {Name: "closed", Workspace: "a", Kind: pj.KindRequest, Timeout: pj.Duration(time.Hour)},
			"open":   {Name: "open", Workspace: "a", Kind: pj.KindRequest, Open: true, Timeout: pj.Duration(time.Hour)},
			"jobs":   {Name: "jobs", Workspace: "a", Kind: pj.KindBatch},
		},
	}}
	for secret, workspace := range map[string]string{secretA: "a", secretB: "b"} {
		h := directory.HashSecret(secret)
		content.Keys[h] = pj.Key{ID: workspace, Workspace: workspace, Hash: h}
	}
	d.Set(content)
	return d
}

// TestInvariantKeyOnlyForOwnWorkspace sends requests with every kind of key to every kind of queue; only
// requests for workspace a, which owns the queues, may reach the last handler.
func TestInvariantKeyOnlyForOwnWorkspace(t *testing.T) {
	tests := map[string]struct {
		queue, secret                string
		neverConfirmed, leaseExpired bool // the fleet quorum was not contacted since the start, or too long ago
		draining                     bool
		want                         pj.Code // empty if the request is accepted
	}{
		"key of the workspace":                 {queue: "closed", secret: secretA},
		"no key":                               {queue: "closed", want: pj.CodeNoKey},
		"key of another workspace":             {queue: "closed", secret: secretB, want: pj.CodeForbidden},
		"unknown key":                          {queue: "closed", secret: "pj_guess", want: pj.CodeWrongKey},
		"key of the workspace, VM partitioned": {queue: "closed", secret: secretA, leaseExpired: true, want: pj.CodeKeysUnknown},
		"open queue, no key":                   {queue: "open"},
		"open queue, key of another workspace": {queue: "open", secret: secretB},
		"open queue, VM partitioned":           {queue: "open", leaseExpired: true},
		"VM just started":                      {queue: "open", neverConfirmed: true, want: pj.CodeNoQuorum},
		"unknown queue":                        {queue: "none", secret: secretA, want: pj.CodeUnknownQueue},
		"queue for jobs":                       {queue: "jobs", secret: secretA, want: pj.CodeBadRequest},
		"VM draining":                          {queue: "open", draining: true, want: pj.CodeDraining},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &clock{now: time.Hour}
			d := newDirectory(c)
			if !test.neverConfirmed {
				d.Confirm(c.now, 1)
			}
			if test.leaseExpired {
				c.now += directory.KeyLease
			}
			served := false
			last := pj.HandlerFunc(func(_ context.Context, x *pj.Exchange) error {
				served = true
				is.Equal(x.Identity.Workspace, "a")
				return nil
			})
			chain := filter.Chain(last,
				filter.Admission(d, func() bool { return test.draining }), filter.Deadline(), filter.Authorization(d), filter.Limit(filter.NewLimiter(4)))
			err := chain.Serve(context.Background(), &pj.Exchange{QueueName: test.queue, Secret: test.secret, Arrived: time.Now()})
			is.Equal(served, test.want == "")
			if test.want == "" {
				is.NoErr(err)
				return
			}
			is.Equal(pj.AsError(err).Code, test.want)
			is.True(pj.AsError(err).NotRun)
		})
	}
}

// TestLimiter checks that one workspace can't use the whole limit of a VM.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	l := filter.NewLimiter(4)
	rejected := 0
	var nested func(depth int) pj.Handler
	nested = func(depth int) pj.Handler {
		return pj.HandlerFunc(func(ctx context.Context, x *pj.Exchange) error {
			if depth == 0 {
				return nil
			}
			if filter.Limit(l).Wrap(nested(depth-1)).Serve(ctx, x) != nil {
				rejected++
			}
			return nil
		})
	}
	_ = nested(5).Serve(context.Background(), &pj.Exchange{Queue: pj.Queue{Workspace: "large"}})
	is.Equal(rejected, 1)
	is.Equal(l.InFlight(), 0)
}
