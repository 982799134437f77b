package runs_test

import (
	"testing"
	"time"

	pj "papayajunction"
)

// TestBlockedReasons checks what the leader reports about waiting steps by what blocks them.
func TestBlockedReasons(t *testing.T) {
	labelled := cores(1, 1)
	labelled.Label = "nobody"
	tests := map[string]struct {
		reason string
		run    func(s *simulation)
	}{
		"a limit that is used up": {reason: "limit", run: func(s *simulation) {
			s.publishTwo(8, 50)
			s.start("service", "team", 0, 0, cores(1, 8))
			s.start("waits", "team", 0, time.Second, cores(1, 1))
		}},
		"a limit that a gang holds": {reason: "limit", run: func(s *simulation) {
			s.publishTwo(16, 50)
			s.start("batch", "team", 0, 6*time.Second, cores(1, 8))
			s.start("gang", "team", 0, time.Second, gangOf(2, 8))
			s.start("waits", "team", 0, time.Second, cores(1, 4))
		}},
		"a label that nobody has": {reason: "label", run: func(s *simulation) {
			s.start("waits", "team", 0, time.Second, labelled)
		}},
		"no worker has enough free": {reason: "capacity", run: func(s *simulation) {
			s.start("service", "team", 0, 0, cores(4, 5))
			s.start("waits", "team", 0, time.Second, cores(1, 4))
		}},
		"a gang that doesn't fit at once": {reason: "none", run: func(s *simulation) {
			s.start("service", "team", 0, 0, cores(4, 5))
			s.start("waits", "team", 0, time.Second, gangOf(5, 2.2))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(newCell(t, 4))
			test.run(s)
			s.run(1500 * time.Millisecond) // a report is made each second
			for _, b := range s.c.Load().Blocked {
				if b.Reason == test.reason {
					s.is.True(b.Steps >= 1)
					s.is.True(b.Oldest > 500*time.Millisecond)
				} else {
					s.is.Equal(b.Steps, 0)
				}
			}
		})
	}
}

// TestBlockedByTicket: a step waits for its ticket while the policy hasn't answered.
func TestBlockedByTicket(t *testing.T) {
	x := newAdvisedCell(t, 2, 1)
	x.submitWorkflow(pj.Workflow{
		ID: "a", Queue: "q", Workspace: "team", Pool: "pool", MaxAttempts: 1, Advice: &pj.AdvicePolicy{DecisionMS: 300, ValidityMS: 2000},
		Steps: []pj.Step{oneTask()},
	})
	for range 3 {
		x.advance(500 * time.Millisecond)
		x.answerPolls(nil)
	}
	found := false
	for _, b := range x.c.Load().Blocked {
		found = found || (b.Reason == "ticket" && b.Steps == 1)
	}
	x.is.True(found)
}
