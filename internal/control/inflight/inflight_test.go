package inflight_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"papayajunction/internal/control/inflight"
)

// TestSubmissions: what waits for a submission runs once, in its order, when that one ends, and finds it ended.
func TestSubmissions(t *testing.T) {
	failed := errors.New("failed")
	tests := map[string]error{"committed": nil, "failed": failed}
	for name, err := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s inflight.Submissions
			is.True(!s.Await("a", func(error) { t.Error("called without a submission") }))
			s.Begin("a")
			is.True(s.Contains("a"))
			is.True(!s.Contains("b"))
			var got []error
			order := ""
			is.True(s.Await("a", func(err error) { got, order = append(got, err), order+"1" }))
			is.True(s.Await("a", func(err error) {
				got, order = append(got, err), order+"2"
				is.True(!s.Contains("a"))
			}))
			s.End("a", err)
			s.End("a", err)
			is.Equal(order, "12")
			is.Equal(got, []error{err, err})
		})
	}
}
