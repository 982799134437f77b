package inflight_test

import (
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/inflight"
)

// TestSubmissions: a call that waits for a submission goes on once, in its order, when that one ends, and finds it ended. If the submission
// failed, its outcome is unknown to the call, too.
func TestSubmissions(t *testing.T) {
	tests := map[string]struct {
		err     error
		outcome string
	}{
		"committed": {outcome: "12"},
		"refused":   {err: pj.Refuse(pj.CodeNotLeader, "not proposed"), outcome: "failed failed "},
		"unknown":   {err: pj.Fail(pj.CodeOutcomeUnknown, "leadership was lost"), outcome: "failed failed "},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s inflight.Submissions
			outcome := ""
			proceed := func(name string) func() {
				return func() {
					is.True(!s.Contains("a"))
					outcome += name
				}
			}
			fail := func(err error) {
				is.Equal(pj.AsError(err).Code, pj.AsError(test.err).Code)
				is.True(!pj.AsError(err).NotRun)
				outcome += "failed "
			}
			is.True(!s.Await("a", proceed("0"), fail))
			s.Begin("a")
			is.True(s.Contains("a"))
			is.True(!s.Contains("b"))
			is.True(s.Await("a", proceed("1"), fail))
			is.True(s.Await("a", proceed("2"), fail))
			s.End("a", test.err)
			s.End("a", test.err)
			is.Equal(outcome, test.outcome)
		})
	}
}
