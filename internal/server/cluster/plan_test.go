package cluster

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
)

// TestPlanChange covers the membership changes by which VMs join, are replaced and are removed.
func TestPlanChange(t *testing.T) {
	tests := map[string]struct {
		voters       []string
		learners     []string
		joiners      []string
		unresponsive []string
		behind       []string
		kind         changeKind
		id           string
	}{
		"nothing to do":                                             {voters: []string{"a/1", "b/1", "c/1"}},
		"new VM is added as a learner":                              {voters: []string{"a/1", "b/1", "c/1"}, joiners: []string{"d/1"}, kind: changeAddLearner, id: "d/1"},
		"learner that is behind is not promoted":                    {voters: []string{"a/1", "b/1", "c/1"}, learners: []string{"d/1"}, joiners: []string{"d/1"}, behind: []string{"d/1"}},
		"learner that has caught up is promoted":                    {voters: []string{"a/1", "b/1", "c/1"}, learners: []string{"d/1"}, joiners: []string{"d/1"}, kind: changePromote, id: "d/1"},
		"VM with an empty disk replaces its old incarnation":        {voters: []string{"a/1", "b/1", "c/1"}, learners: []string{"c/2"}, joiners: []string{"c/2"}, unresponsive: []string{"c/1"}, kind: changeRemove, id: "c/1"},
		"no removal without a remaining majority":                   {voters: []string{"a/1", "b/1", "c/1"}, learners: []string{"c/2"}, joiners: []string{"c/2"}, unresponsive: []string{"b/1", "c/1"}},
		"learner is promoted after its old incarnation was removed": {voters: []string{"a/1", "b/1"}, learners: []string{"c/2"}, joiners: []string{"c/2"}, kind: changePromote, id: "c/2"},
		"learner replaces an unresponsive third voter":              {voters: []string{"a/1", "b/1", "c/1"}, learners: []string{"d/1"}, joiners: []string{"d/1"}, unresponsive: []string{"c/1"}, kind: changeRemove, id: "c/1"},
		"unresponsive fourth voter is removed":                      {voters: []string{"a/1", "b/1", "c/1", "d/1"}, unresponsive: []string{"d/1"}, kind: changeRemove, id: "d/1"},
		"unresponsive third voter is kept":                          {voters: []string{"a/1", "b/1", "c/1"}, unresponsive: []string{"c/1"}},
		"one of two unresponsive voters of five is removed":         {voters: []string{"a/1", "b/1", "c/1", "d/1", "e/1"}, unresponsive: []string{"d/1", "e/1"}, kind: changeRemove, id: "d/1"},
		"none of three unresponsive voters of five is removed":      {voters: []string{"a/1", "b/1", "c/1", "d/1", "e/1"}, unresponsive: []string{"c/1", "d/1", "e/1"}},
		"sixth VM stays a learner":                                  {voters: []string{"a/1", "b/1", "c/1", "d/1", "e/1"}, learners: []string{"f/1"}, joiners: []string{"f/1"}},
		"sixth VM replaces an unresponsive voter":                   {voters: []string{"a/1", "b/1", "c/1", "d/1", "e/1"}, learners: []string{"f/1"}, joiners: []string{"f/1"}, unresponsive: []string{"b/1"}, kind: changeRemove, id: "b/1"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			alive := func(id string) bool { return !slices.Contains(tc.unresponsive, id) }
			caughtUp := func(id string) bool { return !slices.Contains(tc.behind, id) }
			got := planChange(pj.Membership{Voters: tc.voters, Learners: tc.learners}, tc.joiners, alive, caughtUp)
			is.Equal(got.kind, tc.kind)
			is.Equal(got.id, tc.id)
		})
	}
}
