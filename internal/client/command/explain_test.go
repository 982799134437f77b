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

// TestExplain checks that the lines of one id are merged from several logs, with the changes of leadership between them.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	entry, core := filepath.Join(dir, "entry.log"), filepath.Join(dir, "core.log")
	setup := is.New(t)
	setup.NoErr(os.WriteFile(entry, []byte(entryLog), 0o600))
	setup.NoErr(os.WriteFile(core, []byte(coreLog), 0o600))
	tests := map[string]struct {
		args   []string
		code   int
		events []string
	}{
		"known id":     {args: []string{"aa", core, entry}, events: []string{"submit", "run_started", "lead_gained", "run_ended"}},
		"unknown id":   {args: []string{"cc", core, entry}},
		"missing file": {args: []string{"aa", filepath.Join(dir, "none")}, code: ExitFailed},
		"no file":      {args: []string{"aa"}, code: ExitUsage},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errOut bytes.Buffer
			is.Equal(New(&out, &errOut).Run(t.Context(), append([]string{"explain"}, test.args...)), test.code)
			var events []string
			for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
				if _, fromEvent, found := strings.Cut(line, "event="); found {
					event, _, _ := strings.Cut(fromEvent, " ")
					events = append(events, event)
				}
			}
			is.Equal(events, test.events)
		})
	}
}
