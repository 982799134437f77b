// Command papayad is the daemon of one entry VM.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"papayajunction/internal/config/settings"
	"papayajunction/internal/server/daemon"
)

// Exit codes.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stderr))
}

func run(args []string, out io.Writer) int {
	s, err := settings.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(out, "papayad:", err)
		return exitInvalidSettings
	}
	logger := daemon.NewLogger(out, s)
	d, cleanup, err := daemon.New(s, logger)
	if err != nil {
		_, _ = fmt.Fprintln(out, "papayad:", err)
		return exitFailed
	}
	defer cleanup()
	if err := d.Run(); err != nil {
		_, _ = fmt.Fprintln(out, "papayad:", err)
		return exitFailed
	}
	return 0
}
