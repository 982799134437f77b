package leaderclient_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/server/leaderclient"
)

// clock advances by step at each reading.
type clock struct{ now, step time.Duration }

func (c *clock) Now() time.Duration {
	c.now += c.step
	return c.now
}

// TestOutcome covers what the error of a call says about its effect. After a lost response the call may have run, so the
// error must not say that it has not, whatever later attempts answer.
func TestOutcome(t *testing.T) {
	lost := errors.New("connection reset")
	tests := map[string]struct {
		errs       []error // of the attempts; the last one repeats
		staleAfter time.Duration
		notRun     bool
	}{
		"refused":                             {errs: []error{pj.Refuse(pj.CodeOverloaded, "full")}, notRun: true},
		"lost and out of date":                {errs: []error{lost}, staleAfter: time.Millisecond},
		"lost, then refused":                  {errs: []error{lost, pj.Refuse(pj.CodeOverloaded, "full")}},
		"lost, then out of date":              {errs: []error{lost, pj.Refuse(pj.CodeNoQuorum, "none")}},
		"outcome unknown, then not leader":    {errs: []error{pj.Fail(pj.CodeOutcomeUnknown, "lost"), pj.Refuse(pj.CodeNotLeader, "other")}},
		"no quorum, may have run, refused":    {errs: []error{pj.Fail(pj.CodeNoQuorum, "lost"), pj.Refuse(pj.CodeOverloaded, "full")}},
		"not leader, may have run, time over": {errs: []error{pj.Fail(pj.CodeNotLeader, "lost"), pj.Refuse(pj.CodeNotLeader, "other")}},
		"no leader until the time is over":    {errs: []error{pj.Refuse(pj.CodeNotLeader, "other")}, notRun: true},
		"no response until the time is over":  {errs: []error{lost}},
		"not leader, out of date at once":     {errs: []error{pj.Refuse(pj.CodeNotLeader, "other")}, staleAfter: time.Millisecond, notRun: true},
		"internal error of the leader's code": {errs: []error{pj.Fail(pj.CodeInternal, "failed")}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			attempt := 0
			var client leaderclient.Client
			_, err := client.Do(ctx, leaderclient.Call{
				Group: "g", Members: []string{"a", "b"}, StaleAfter: tc.staleAfter, Clock: &clock{step: time.Second},
				Run: func(context.Context, string) error {
					attempt++
					if attempt > 10 {
						cancel()
					}
					return tc.errs[min(attempt, len(tc.errs))-1]
				},
			})
			is.True(err != nil)
			is.Equal(pj.AsError(err).NotRun, tc.notRun)
		})
	}
}

// TestLostLeader: after the leader was lost, one call waits for it in vain. The calls after it try the other members first, until
// the leader responds again or nobody else does.
func TestLostLeader(t *testing.T) {
	is := is.New(t)
	lost := errors.New("no response")
	clock := &clock{}
	var client leaderclient.Client
	client.SetLeader("g", "a")
	leader, alive := "a", map[string]bool{"b": true, "c": true}
	call := func() (tried []string) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, _ = client.Do(ctx, leaderclient.Call{
			Group: "g", Members: []string{"a", "b", "c"}, Clock: clock,
			Run: func(_ context.Context, vm string) error {
				tried = append(tried, vm)
				if len(tried) == 4 {
					cancel()
				}
				switch {
				case !alive[vm]:
					return lost
				case vm == leader:
					return nil
				}
				e := pj.Refuse(pj.CodeNotLeader, "VM %s does not lead", vm)
				if alive[leader] {
					e.Leader = leader
				}
				return e
			},
		})
		return tried
	}
	is.Equal(call(), []string{"a", "b", "c", "b"}) // no other leader is elected yet
	leader = "c"
	is.Equal(call(), []string{"b", "c"}) // the lost leader isn't tried again
	is.Equal(call(), []string{"c"})
	leader, alive["a"], alive["b"], alive["c"] = "a", true, false, false
	is.Equal(call(), []string{"c", "b", "a"}) // the others don't respond, so the suspect is tried
	is.Equal(call(), []string{"a"})
	clock.now += time.Minute
	leader, alive["b"], alive["c"] = "b", true, true
	is.Equal(call(), []string{"a", "b"})
}
