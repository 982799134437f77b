// Command papaya is the client for operators and callers.
package main

import (
	"context"
	"os"

	"papayajunction/internal/client/command"
)

func main() {
	os.Exit(command.New(os.Stdout, os.Stderr).Run(context.Background(), os.Args[1:]))
}
