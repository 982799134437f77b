package papayajunction_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
)

// TestFingerprintIsStable guards against a repetition that is refused as another workflow because the program was updated between the two
// submissions: fingerprints are stored, so later versions must compute the same ones.
func TestFingerprintIsStable(t *testing.T) {
	step := pj.Step{
		Tasks: 2, Task: pj.NewResources(4.5, 8.25, 1, 0), EstimateMS: 1000, DependsOn: []int{0}, Checkpointing: true, Gang: true, TightlyCoupled: true,
		Label: "l", DataRack: "r", MaxTasksPerWorker: 3, Speculative: true, LongRunning: true, Image: "i", TargetMS: 5, BestEffort: true, MaxUnavailable: 1,
	}
	tests := map[string]struct {
		workflow    pj.Workflow
		fingerprint string
	}{
		"few fields": {workflow: pj.Workflow{Spec: "s", Steps: []pj.Step{{Tasks: 1}}}, fingerprint: "85816d64ecc6f58771fbdd063b3c2b9f"},
		"all fields": {
			workflow:    pj.Workflow{Spec: "s", Steps: []pj.Step{{Tasks: 1}, step}, ScheduledOccurrences: 2, StartAtMS: 7, IntervalMS: 9},
			fingerprint: "b5dde08da7b5fa80044b9599f72f78e8",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fingerprint, err := test.workflow.Fingerprint()
			is.NoErr(err)
			is.Equal(fingerprint, test.fingerprint)

			// What isn't the submitter's, and what an encoding changes, makes no difference.
			w := test.workflow
			w.ID, w.Queue, w.Workspace, w.Pool, w.Priority, w.MaxAttempts, w.RulesVersion = "a", "q", "team", "pool", 2, 3, 4
			w.Stretch, w.ObjectiveMS, w.Advice, w.AcceptedAt = 1.5, 5, &pj.AdvicePolicy{}, 6
			data, err := json.Marshal(w)
			is.NoErr(err)
			var decoded pj.Workflow
			is.NoErr(json.Unmarshal(data, &decoded))
			fingerprint, err = decoded.Fingerprint()
			is.NoErr(err)
			is.Equal(fingerprint, test.fingerprint)
		})
	}
}

// BenchmarkFingerprint measures what a submission costs the leader beside its commit.
func BenchmarkFingerprint(b *testing.B) {
	w := pj.Workflow{Spec: "text", Steps: make([]pj.Step, 2)}
	for i := range w.Steps {
		w.Steps[i] = pj.Step{Tasks: 8, Task: pj.NewResources(18, 24, 0, 0), EstimateMS: 4000, Checkpointing: true}
	}
	for b.Loop() {
		if _, err := w.Fingerprint(); err != nil {
			b.Fatal(err)
		}
	}
}
