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

// Now is part of pj.Clock.
func (c *clock) Now() time.Duration { return c.now }

const (
	secretA = "pj_secret_of_workspace_a"
	secretB = "pj_secret_of_workspace_b"
)

func newDirectory(c *clock) *directory.Directory {
	d := directory.New(c)
	public := directory.Public{Index: 1, Keys: make(map[string]pj.Key), Config: pj.Configuration{
		Version: 1, Queues: map[string]pj.Queue{
			"closed": {Name: "closed", Workspace: "a", Kind: pj.KindRequest, Timeout: pj.Duration(time.Hour)},
			"open":   {Name: "open", Workspace: "a", Kind: pj.KindRequest, Open: true, Timeout: pj.Duration(time.Hour)},
			"jobs":   {Name: "jobs", Workspace: "a", Kind: pj.KindBatch},
		},
	}}
	for secret, workspace := range map[string]string{secretA: "a", secretB: "b"} {
		h := directory.HashSecret(secret)
		public.Keys[h] = pj.Key{ID: workspace, Workspace: workspace, Hash: h}
	}
	d.Set(public)
	return d
}

// TestInvariantWorkOnlyForKeysWorkspace sends requests with every kind of key to every kind of
// queue; the last handler must see work of workspace a only.
func TestInvariantWorkOnlyForKeysWorkspace(t *testing.T) {
	tests := map[string]struct {
		queue, secret string
		never, lapsed bool // contact with the fleet quorum was never made, or too long ago
		draining      bool
		want          pj.Code // "" if the work is taken
	}{
		"its own key":                           {queue: "closed", secret: secretA},
		"no key":                                {queue: "closed", want: pj.CodeNoKey},
		"another workspace's key":               {queue: "closed", secret: secretB, want: pj.CodeForbidden},
		"an unknown key":                        {queue: "closed", secret: "pj_guess", want: pj.CodeWrongKey},
		"its own key on a VM that is cut off":   {queue: "closed", secret: secretA, lapsed: true, want: pj.CodeKeysUnknown},
		"an open queue without a key":           {queue: "open"},
		"an open queue with another's key":      {queue: "open", secret: secretB},
		"an open queue on a VM that is cut off": {queue: "open", lapsed: true},
		"a VM that has just started":            {queue: "open", never: true, want: pj.CodeNoQuorum},
		"an unknown queue":                      {queue: "none", secret: secretA, want: pj.CodeUnknownQueue},
		"a queue for jobs":                      {queue: "jobs", secret: secretA, want: pj.CodeBadRequest},
		"a VM that stops":                       {queue: "open", draining: true, want: pj.CodeDraining},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &clock{now: time.Hour}
			d := newDirectory(c)
			if !test.never {
				d.Confirm(c.now, 1)
			}
			if test.lapsed {
				c.now += directory.KeyLease
			}
			served := false
			last := pj.HandlerFunc(func(_ context.Context, x *pj.Exchange) error {
				served = true
				is.Equal(x.Identity.Workspace, "a")
				return nil
			})
			chain := filter.Chain(last,
				filter.Admission(d, func() bool { return test.draining }), filter.Deadline(), filter.Identity(d), filter.Limit(filter.NewLimiter(4)))
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

// TestLimiter checks that one workspace can't take all of a VM.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	l := filter.NewLimiter(4)
	refused := 0
	var nested func(depth int) pj.Handler
	nested = func(depth int) pj.Handler {
		return pj.HandlerFunc(func(ctx context.Context, x *pj.Exchange) error {
			if depth == 0 {
				return nil
			}
			if filter.Limit(l).Wrap(nested(depth-1)).Serve(ctx, x) != nil {
				refused++
			}
			return nil
		})
	}
	_ = nested(5).Serve(context.Background(), &pj.Exchange{Queue: pj.Queue{Workspace: "large"}})
	is.Equal(refused, 1)
	is.Equal(l.InFlight(), 0)
}
