package cluster

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
)

// TestPlanChange goes through the steps in which VMs join, are replaced and leave.
func TestPlanChange(t *testing.T) {
	tests := map[string]struct {
		voters   []string
		learners []string
		joiners  []string
		silent   []string
		behind   []string
		kind     changeKind
		id       string
	}{
		"nothing to do":                   {voters: []string{"a/1", "b/1", "c/1"}},
		"a new VM learns first":           {voters: []string{"a/1", "b/1", "c/1"}, joiners: []string{"d/1"}, kind: changeLearn, id: "d/1"},
		"a learner that lacks entries":    {voters: []string{"a/1", "b/1", "c/1"}, learners: []string{"d/1"}, joiners: []string{"d/1"}, behind: []string{"d/1"}},
		"a learner becomes a voter":       {voters: []string{"a/1", "b/1", "c/1"}, learners: []string{"d/1"}, joiners: []string{"d/1"}, kind: changePromote, id: "d/1"},
		"an empty disk replaces its VM":   {voters: []string{"a/1", "b/1", "c/1"}, learners: []string{"c/2"}, joiners: []string{"c/2"}, silent: []string{"c/1"}, kind: changeRemove, id: "c/1"},
		"no majority is left":             {voters: []string{"a/1", "b/1", "c/1"}, learners: []string{"c/2"}, joiners: []string{"c/2"}, silent: []string{"b/1", "c/1"}},
		"after the old identity has left": {voters: []string{"a/1", "b/1"}, learners: []string{"c/2"}, joiners: []string{"c/2"}, kind: changePromote, id: "c/2"},
		"another VM takes a silent one's": {voters: []string{"a/1", "b/1", "c/1"}, learners: []string{"d/1"}, joiners: []string{"d/1"}, silent: []string{"c/1"}, kind: changeRemove, id: "c/1"},
		"a silent fourth voter leaves":    {voters: []string{"a/1", "b/1", "c/1", "d/1"}, silent: []string{"d/1"}, kind: changeRemove, id: "d/1"},
		"a silent third voter stays":      {voters: []string{"a/1", "b/1", "c/1"}, silent: []string{"c/1"}},
		"two of five are silent":          {voters: []string{"a/1", "b/1", "c/1", "d/1", "e/1"}, silent: []string{"d/1", "e/1"}, kind: changeRemove, id: "d/1"},
		"three of five are silent":        {voters: []string{"a/1", "b/1", "c/1", "d/1", "e/1"}, silent: []string{"c/1", "d/1", "e/1"}},
		"a sixth VM waits as a learner":   {voters: []string{"a/1", "b/1", "c/1", "d/1", "e/1"}, learners: []string{"f/1"}, joiners: []string{"f/1"}},
		"a sixth VM takes a silent one's": {voters: []string{"a/1", "b/1", "c/1", "d/1", "e/1"}, learners: []string{"f/1"}, joiners: []string{"f/1"}, silent: []string{"b/1"}, kind: changeRemove, id: "b/1"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			alive := func(id string) bool { return !slices.Contains(tc.silent, id) }
			caughtUp := func(id string) bool { return !slices.Contains(tc.behind, id) }
			got := planChange(pj.Membership{Voters: tc.voters, Learners: tc.learners}, tc.joiners, alive, caughtUp)
			is.Equal(got.kind, tc.kind)
			is.Equal(got.id, tc.id)
		})
	}
}
