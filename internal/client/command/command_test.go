package command_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

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
