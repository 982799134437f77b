package command_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/client/command"
)

// TestHelp checks the exit codes when help is printed: requested help is a success, help printed
// because the command line is invalid is a usage error.
func TestHelp(t *testing.T) {
	tests := map[string]struct {
		args []string
		code int
	}{
		"client help":              {args: []string{"--help"}, code: command.ExitOK},
		"command help":             {args: []string{"publish", "--help"}, code: command.ExitOK},
		"command help, short flag": {args: []string{"status", "-h"}, code: command.ExitOK},
		"no command":               {code: command.ExitUsage},
		"unknown command":          {args: []string{"publishh"}, code: command.ExitUsage},
		"unknown flag":             {args: []string{"status", "--nothing"}, code: command.ExitUsage},
		"missing argument":         {args: []string{"publish"}, code: command.ExitUsage},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			is.New(t).Equal(command.New(&out, &errOut).Run(t.Context(), test.args), test.code)
		})
	}
}

// TestUnreadableTLSFiles: if the TLS files can't be read, the command fails before it sends anything. It must not send the
// key over plain HTTP.
func TestUnreadableTLSFiles(t *testing.T) {
	tests := map[string][]string{
		"status":          {"status"},
		"a job":           {"job"},
		"a request":       {"request", "--body", "hi"},
		"many requests":   {"request", "--count", "3", "--body", "hi"},
		"a submitted job": {"submit", "--tasks", "1"},
	}
	for name, args := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
			defer server.Close()
			flags := []string{"--entry", strings.TrimPrefix(server.URL, "http://"), "--key", "secret", "--tls_ca", filepath.Join(t.TempDir(), "missing.pem")}
			args := append(slices.Concat(args[:1], flags, args[1:]), "q")
			if args[0] == "status" {
				args = args[:len(args)-1]
			}
			var out, errOut bytes.Buffer
			is.Equal(command.New(&out, &errOut).Run(t.Context(), args), command.ExitFailed)
			is.Equal(calls.Load(), int64(0))
			is.True(strings.Contains(errOut.String(), "missing.pem"))
		})
	}
}

// TestSubmitOutcome guards against telling the user that nothing was run of a job that was accepted, or may have been.
func TestSubmitOutcome(t *testing.T) {
	const id = "z.abcd"
	accept := func(w http.ResponseWriter) {
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write([]byte(`{"id": "z.abcd", "state": "queued"}`))
	}
	drop := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	respond := func(e *pj.Error) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			w.WriteHeader(e.HTTPStatus())
			_ = json.NewEncoder(w).Encode(e)
		}
	}
	refuse := func(code pj.Code) func(http.ResponseWriter) { return respond(pj.Refuse(code, "refused")) }
	tests := map[string]struct {
		args      []string
		responses []func(http.ResponseWriter) // to the calls in order; the last one also to later calls
		code      int
		notRun    bool // the output says that nothing was run
	}{
		"refused":                              {responses: []func(http.ResponseWriter){refuse(pj.CodeNeverRuns)}, code: command.ExitNotRun, notRun: true},
		"refused after a lost response":        {responses: []func(http.ResponseWriter){drop, refuse(pj.CodeNeverRuns)}, code: command.ExitFailed},
		"outcome unknown":                      {responses: []func(http.ResponseWriter){respond(pj.Fail(pj.CodeOutcomeUnknown, "lost"))}, code: command.ExitFailed},
		"other content":                        {responses: []func(http.ResponseWriter){refuse(pj.CodeConflict)}, code: command.ExitConflict, notRun: true},
		"perhaps the caller's own job":         {responses: []func(http.ResponseWriter){respond(pj.Fail(pj.CodeConflict, "exists"))}, code: command.ExitFailed},
		"conflict after a lost response":       {responses: []func(http.ResponseWriter){drop, refuse(pj.CodeConflict)}, code: command.ExitFailed},
		"accepted, then its status is refused": {args: []string{"--wait"}, responses: []func(http.ResponseWriter){accept, refuse(pj.CodeKeysUnknown)}, code: command.ExitFailed},
		"accepted, then unknown":               {args: []string{"--wait"}, responses: []func(http.ResponseWriter){accept, refuse(pj.CodeUnknownJob)}, code: command.ExitFailed},
		"outcome unknown, in JSON":             {args: []string{"--output", "json"}, responses: []func(http.ResponseWriter){respond(pj.Fail(pj.CodeOutcomeUnknown, "lost"))}, code: command.ExitFailed},
		"many, refused":                        {args: []string{"--count", "2", "--zone", "z"}, responses: []func(http.ResponseWriter){refuse(pj.CodeNeverRuns)}, code: command.ExitFailed, notRun: true},
		"many, accepted, then unknown":         {args: []string{"--count", "2", "--zone", "z", "--parallel", "1"}, responses: []func(http.ResponseWriter){accept, refuse(pj.CodeUnknownJob), accept, refuse(pj.CodeUnknownJob)}, code: command.ExitFailed},
		"many, first unknown, refused when retried": {args: []string{"--count", "2", "--zone", "z", "--parallel", "1"}, responses: []func(http.ResponseWriter){
			respond(pj.Fail(pj.CodeOutcomeUnknown, "lost")), refuse(pj.CodeNeverRuns), respond(pj.Fail(pj.CodeOutcomeUnknown, "lost")), refuse(pj.CodeNeverRuns),
		}, code: command.ExitFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				n := int(calls.Add(1))
				test.responses[min(n, len(test.responses))-1](w)
			}))
			defer server.Close()
			args := slices.Concat([]string{"submit", "--entry", strings.TrimPrefix(server.URL, "http://"), "--id", id}, test.args, []string{"q"})
			var out, errOut bytes.Buffer
			code := command.New(&out, &errOut).Run(t.Context(), args)
			t.Log(code, out.String(), errOut.String())
			is.Equal(code, test.code)
			all := out.String() + errOut.String()
			is.Equal(strings.Contains(all, "changed") || strings.Contains(all, "(not run)") || strings.Contains(all, `"not_run":true`), test.notRun)
			is.True(strings.Contains(all, "z.")) // the job's id, which is needed to ask for it or to submit it again
		})
	}
}

// TestRequestCount guards against counting a response with an error status, of an endpoint or of a proxy, as a success.
func TestRequestCount(t *testing.T) {
	tests := map[string]struct {
		status int
		code   int
	}{
		"success":        {status: http.StatusOK, code: command.ExitOK},
		"error status":   {status: http.StatusServiceUnavailable, code: command.ExitFailed},
		"client's error": {status: http.StatusNotFound, code: command.ExitFailed},
	}
	for name, test := range tests {
		for _, count := range []string{"1", "3"} {
			t.Run(name+" "+count, func(t *testing.T) {
				is := is.New(t)
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(test.status) }))
				defer server.Close()
				var out, errOut bytes.Buffer
				args := []string{"request", "--entry", strings.TrimPrefix(server.URL, "http://"), "--count", count, "q"}
				is.Equal(command.New(&out, &errOut).Run(t.Context(), args), test.code)
			})
		}
	}
}
