// Command papayasoak disturbs a cell of real processes on this machine; scripts/soak runs it.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"

	"papayajunction/internal/soak"
	"papayajunction/platform"
)

const (
	exitBroken   = 1 // a promise was broken
	exitFailed   = 2
	defaultSpan  = 30 * time.Second
	callTimeout  = 3 * time.Second // of one call of callers, operators and workers
	settingsVerb = "settings"      // writes the VMs' settings; the other verb is run
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, orders, out io.Writer) int {
	flags := flag.NewFlagSet("papayasoak", flag.ContinueOnError)
	flags.SetOutput(out)
	verb := flags.String("verb", "run", "settings: write the settings of all VMs; run: disturb them")
	dir := flags.String("dir", ".", "folder of the settings and of the VMs' data")
	seed := flags.Uint64("seed", 1, "of the plan")
	span := flags.Duration("span", defaultSpan, "length of the run")
	sizeName := flags.String("size", "small", "of the cell: small or large")
	patience := flags.Duration("patience", 0, "how long work may take to end after the run; 0 waits without end")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("PAPAYASOAK")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		_, _ = fmt.Fprintln(out, "papayasoak:", err)
		return exitFailed
	}
	size, ok := soak.Sizes[*sizeName]
	if !ok {
		return failed(out, fmt.Errorf("size %q is not one of small, large", *sizeName))
	}
	if *verb == settingsVerb {
		names, err := size.WriteSettings(*dir)
		for _, name := range names {
			_, _ = fmt.Fprintln(orders, name)
		}
		return failed(out, err)
	}
	caller, closeCaller := platform.NewAPIClient(callTimeout)
	defer closeCaller()
	options := soak.Options{Seed: *seed, Size: size, Duration: *span, CompletionTimeout: *patience, Client: caller, NewWorker: platform.NewWorkerHandler}
	breaches, err := soak.Run(context.Background(), options, orders, out)
	for _, b := range breaches {
		_, _ = fmt.Fprintln(out, "BROKEN", b)
	}
	_, _ = fmt.Fprintf(out, "seed=%d span=%s broken=%d\n", *seed, *span, len(breaches))
	if len(breaches) > 0 {
		return exitBroken
	}
	return failed(out, err)
}

func failed(out io.Writer, err error) int {
	if err != nil {
		_, _ = fmt.Fprintln(out, "papayasoak:", err)
		return exitFailed
	}
	return 0
}
