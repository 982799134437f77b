package operator_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/config/operator"
)

const fleetFile = `{"workspaces": [
  {"workspace": "a", "share": 2, "limit": {"cores": 64, "memory_gb": 128, "request_slots": 8}}
]}`

func parse(content string) (pj.Configuration, []string) {
	config, issues := operator.Parse([]pj.OperatorFile{
		{Path: "fleet.json", Content: fleetFile}, {Path: "q/x.queue.json", Content: content},
	})
	var lines []string
	for _, i := range issues {
		lines = append(lines, i.String())
	}
	return config, lines
}

// TestIssues checks that all errors in a file are reported at once, with line and field.
func TestIssues(t *testing.T) {
	tests := map[string]struct {
		content string
		want    []string // prefixes of the issues
	}{
		"a valid request queue": {content: `{"queue": "x", "workspace": "a", "kind": "request", "urgency": "urgent", "repeatable": true}`},
		"a valid gang":          {content: `{"queue": "x", "workspace": "a", "kind": "gang", "urgency": "normal", "repeatable": true, "tasks": 4, "task": {"cores": 16, "memory_gb": 8}}`},
		"several errors at once": {
			content: "{\n\"queue\": \"Not A Name\",\n\"workspace\": \"a\",\n\"kind\": \"lottery\",\n\"urgency\": \"soon\",\n\"repeatable\": 3,\n\"task\": {\"cores\": 1, \"memory_gb\": 1}\n}",
			want:    []string{"q/x.queue.json:2: queue:", "q/x.queue.json:4: kind:", "q/x.queue.json:5: urgency:", "q/x.queue.json:6: repeatable:"},
		},
		"an unknown field": {
			content: "{\"queue\": \"x\", \"workspace\": \"a\", \"kind\": \"request\", \"urgency\": \"normal\", \"repeatable\": true,\n \"priority\": 4}",
			want:    []string{"q/x.queue.json:2: priority: unknown field; allowed are"},
		},
		"a duplicate field": {
			content: "{\"queue\": \"x\", \"queue\": \"x\", \"workspace\": \"a\", \"kind\": \"request\", \"urgency\": \"normal\", \"repeatable\": true}",
			want:    []string{"q/x.queue.json:1: queue: duplicate field"},
		},
		"an unknown workspace": {
			content: `{"queue": "x", "workspace": "nobody", "kind": "request", "urgency": "normal", "repeatable": true}`,
			want:    []string{`q/x.queue.json:1: workspace: workspace "nobody" is not defined in any fleet.json`},
		},
		"a gang that could never run": {
			content: `{"queue": "x", "workspace": "a", "kind": "gang", "urgency": "normal", "repeatable": true, "tasks": 5, "task": {"cores": 16, "memory_gb": 8}}`,
			want:    []string{"q/x.queue.json:1: task: needs 80 cores"},
		},
		"a task without resources": {
			content: `{"queue": "x", "workspace": "a", "kind": "batch", "urgency": "normal", "repeatable": true, "task": {}}`,
			want:    []string{"q/x.queue.json:1: task: is 0 cores"},
		},
		"a negative amount": {
			content: `{"queue": "x", "workspace": "a", "kind": "batch", "urgency": "normal", "repeatable": true, "task": {"cores": -2, "memory_gb": 1}}`,
			want:    []string{"q/x.queue.json:1: task.cores: is -2"},
		},
		"missing fields": {content: `{}`, want: []string{
			"q/x.queue.json:1: queue: is missing", "q/x.queue.json:1: workspace: is missing", "q/x.queue.json:1: kind: is missing",
			"q/x.queue.json:1: urgency: is missing", "q/x.queue.json:1: repeatable: is missing", "q/x.queue.json:1: task: is missing",
		}},
		"invalid JSON":                {content: "{\"queue\": \"x\",\n\"workspace\" \"a\"}", want: []string{"q/x.queue.json:2: : invalid JSON near this line"}},
		"a list instead of an object": {content: `[]`, want: []string{"q/x.queue.json:1: : expected a JSON object"}},
		"data after the object": {
			content: `{"queue": "x", "workspace": "a", "kind": "request", "urgency": "normal", "repeatable": true} {}`,
			want:    []string{"q/x.queue.json:1: : unexpected data after the JSON object"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, issues := parse(test.content)
			t.Log(issues)
			is.Equal(len(issues), len(test.want))
			for i, want := range test.want {
				is.True(strings.HasPrefix(issues[i], want))
			}
		})
	}
}

// TestExamples checks the operator files of the examples.
func TestExamples(t *testing.T) {
	for name, queues := range map[string]int{"diallo_freres": 11, "lakeshore": 11} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files, err := operator.Collect("../../../examples/" + name)
			is.NoErr(err)
			config, issues := operator.Parse(files)
			is.Equal(len(issues), 0)
			is.Equal(len(config.Queues), queues)
			is.Equal(len(config.Workspaces), 6)
		})
	}
}

// TestHash checks that the hash depends on paths and contents but not on the order of files.
func TestHash(t *testing.T) {
	is := is.New(t)
	one, two := pj.OperatorFile{Path: "a", Content: "1"}, pj.OperatorFile{Path: "b", Content: "2"}
	is.Equal(operator.Hash([]pj.OperatorFile{one, two}), operator.Hash([]pj.OperatorFile{two, one}))
	is.True(operator.Hash([]pj.OperatorFile{one}) != operator.Hash([]pj.OperatorFile{two}))
	is.True(operator.Hash([]pj.OperatorFile{{Path: "ab", Content: "c"}}) != operator.Hash([]pj.OperatorFile{{Path: "a", Content: "bc"}}))
}

// FuzzParse parses arbitrary files; the parser must not panic, and queues that it accepts must be valid.
func FuzzParse(f *testing.F) {
	f.Add(`{"queue": "x", "workspace": "a", "kind": "batch", "urgency": "normal", "repeatable": true, "task": {"cores": 1, "memory_gb": 1}}`)
	f.Add(`{"queue": null, "task": {"cores": 1e308}}`)
	f.Fuzz(func(t *testing.T, content string) {
		config, issues := parse(content)
		if len(issues) > 0 {
			return
		}
		for _, q := range config.Queues {
			if q.Name == "" || !(pj.Resources{}).Fits(q.Task) || q.Workspace != "a" {
				t.Fatalf("accepted %+v", q)
			}
		}
	})
}
