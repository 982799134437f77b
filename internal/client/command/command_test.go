package command_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"papayajunction/internal/client/command"
)

// TestHelp covers the exit codes of help: asked for, it is a success; shown instead of what was meant, it isn't.
func TestHelp(t *testing.T) {
	tests := map[string]struct {
		args []string
		code int
	}{
		"of the client":          {args: []string{"--help"}, code: command.ExitOK},
		"of a command":           {args: []string{"publish", "--help"}, code: command.ExitOK},
		"of a command, short":    {args: []string{"status", "-h"}, code: command.ExitOK},
		"no command":             {code: command.ExitUsage},
		"a command that is none": {args: []string{"publishh"}, code: command.ExitUsage},
		"a flag that is none":    {args: []string{"status", "--nothing"}, code: command.ExitUsage},
		"an argument is missing": {args: []string{"publish"}, code: command.ExitUsage},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out, err bytes.Buffer
			is.New(t).Equal(command.New(&out, &err).Run(t.Context(), test.args), test.code)
		})
	}
}
