package leaderclient_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/server/leaderclient"
)

// TestRefusalWithoutNotRun guards against a certain refusal of a call that waited for a failed submission: an attempt whose error lacks NotRun may
// have had an effect, whatever its code.
func TestRefusalWithoutNotRun(t *testing.T) {
	for _, code := range []pj.Code{pj.CodeNotLeader, pj.CodeNoQuorum} {
		t.Run(string(code), func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var client leaderclient.Client
			_, err := client.Do(ctx, leaderclient.Call{
				Group: "g", Members: []string{"a"}, Clock: &clock{},
				Run: func(context.Context, string) error {
					cancel()
					return pj.Fail(code, "of an earlier attempt, nothing is known")
				},
			})
			is.True(!pj.AsError(err).NotRun)
		})
	}
}
