package papayajunction_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
)

// TestFingerprint guards against a repetition that isn't recognised because it was written in another form or is read
// by another version of the program, and against two submissions with the same fingerprint.
func TestFingerprint(t *testing.T) {
	const minimal, full = "0abed59b47440d9bdf0e2fc004cbe0af", "4a054b6bc3fac5739d995a9f4344bff1"
	tests := map[string]struct {
		body string
		want string // empty if it differs from those of the others
	}{
		"queue only":             {body: `{"queue": "q"}`, want: minimal},
		"defaults written out":   {body: `{"task": {}, "payload": "", "tasks": 0, "run_time": "0s", "queue": "q"}`, want: minimal},
		"all fields":             {body: `{"queue": "q", "tasks": 2, "task": {"cores": 0.5, "memory_gb": 1}, "run_time": "1m", "payload": "p"}`, want: full},
		"all fields, other form": {body: `{"payload": "\u0070", "run_time": "60s", "task": {"memory_gb": 1.0, "cores": 5e-1}, "tasks": 2, "queue": "q"}`, want: full},
		"other queue":            {body: `{"queue": "q2"}`},
		"tasks":                  {body: `{"queue": "q", "tasks": 1}`},
		"cores":                  {body: `{"queue": "q", "task": {"cores": 0.001}}`},
		"memory":                 {body: `{"queue": "q", "task": {"memory_gb": 1}}`},
		"accelerators":           {body: `{"queue": "q", "task": {"accelerators": 1}}`},
		"run time":               {body: `{"queue": "q", "run_time": "1ms"}`},
		"payload":                {body: `{"queue": "q", "payload": "p"}`},
	}
	seen := make(map[string]string) // name of the test by fingerprint
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s pj.Submission
			is.NoErr(json.Unmarshal([]byte(test.body), &s))
			got, err := s.Fingerprint()
			is.NoErr(err)
			if test.want != "" {
				is.Equal(got, test.want) // of records that were written before
				return
			}
			is.True(got != minimal && got != full)
			is.Equal(seen[got], "")
			seen[got] = name
		})
	}
}
