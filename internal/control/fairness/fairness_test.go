package fairness_test

import (
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/fairness"
)

// TestDeletedWorkspace: the weight of a deleted workspace no longer lowers the fair share of the others.
func TestDeletedWorkspace(t *testing.T) {
	is := is.New(t)
	l := fairness.New()
	l.SetCapacity(pj.Resources{pj.Cores: 100})
	for _, name := range []string{"a", "b"} {
		l.SetWeight(name, 1)
	}
	l.Charge("a", pj.Resources{pj.Cores: 60})
	is.True(!l.WithinFairShare("a")) // entitled to half
	l.SetWeight("b", 0)
	is.True(l.WithinFairShare("a")) // entitled to all
	l.SetWeight("b", 1)
	is.True(!l.WithinFairShare("a"))
	is.Equal(l.Weight("b"), 1.0)
}
