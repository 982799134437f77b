package command_test

import (
	"bytes"
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
