package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const entryLog = `ts=2026-01-01T00:00:01.000Z vm=entry-1 event=submit workflow=aa took=12ms err=null
ts=2026-01-01T00:00:01.500Z vm=entry-1 event=submit workflow=bb took=9ms err=null
`

const coreLog = `ts=2026-01-01T00:00:00.500Z vm=core-1 event=lead_gained term=1
ts=2026-01-01T00:00:01.010Z vm=core-1 event=run_started workflow=aa task=aa.0.0.0 run=1 worker=w1
not a line of the log
ts=2026-01-01T00:00:02.000Z vm=core-2 event=lead_gained term=2
ts=2026-01-01T00:00:02.500Z vm=core-2 event=run_ended workflow=aa task=aa.0.0.0 run=1 how=lost
ts=2026-01-01T00:00:03.000Z vm=core-2 event=lead_lost term=2
`

// TestExplain: the story of one id over several logs.
func TestExplain(t *testing.T) {
	folder := t.TempDir()
	entry, core := filepath.Join(folder, "entry.log"), filepath.Join(folder, "core.log")
	i := is.New(t)
	i.NoErr(os.WriteFile(entry, []byte(entryLog), 0o600))
	i.NoErr(os.WriteFile(core, []byte(coreLog), 0o600))
	tests := map[string]struct {
		args   []string
		code   int
		events []string
	}{
		"one id":         {args: []string{"aa", core, entry}, events: []string{"submit", "run_started", "lead_gained", "run_ended"}},
		"unknown id":     {args: []string{"cc", core, entry}},
		"a missing file": {args: []string{"aa", filepath.Join(folder, "none")}, code: ExitFailed},
		"no file":        {args: []string{"aa"}, code: ExitUsage},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(New(&out, &errs).Run(t.Context(), append([]string{"explain"}, tc.args...)), tc.code)
			var events []string
			for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
				if _, rest, found := strings.Cut(line, "event="); found {
					event, _, _ := strings.Cut(rest, " ")
					events = append(events, event)
				}
			}
			is.Equal(events, tc.events)
		})
	}
}
