// Command papayasoak injects faults into a cell of real processes on this machine; scripts/soak runs it.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"

	"papayajunction/internal/soak"
	"papayajunction/platform"
)

const (
	exitViolation   = 1 // a guarantee was violated
	exitFailed      = 2
	defaultDuration = 30 * time.Second
	callTimeout     = 3 * time.Second // of each call by a simulated caller, operator or worker
	settingsVerb    = "settings"      // writes the VMs' settings; the other verb is run
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, instructions, out io.Writer) int {
	flags := flag.NewFlagSet("papayasoak", flag.ContinueOnError)
	flags.SetOutput(out)
	verb := flags.String("verb", "run", "settings: write the settings of all VMs; run: inject faults into them")
	dir := flags.String("dir", ".", "directory of the settings and of the VMs' data")
	seed := flags.Uint64("seed", 1, "seed of the fault plan")
	duration := flags.Duration("span", defaultDuration, "duration of the run")
	sizeName := flags.String("size", "small", "size of the cell: small or large")
	restarts := flags.Bool("restarts", true, "workers also restart under their ids, with other clocks")
	leaves := flags.Bool("leaves", true, "workers also drain, leave and come back under their ids")
	lateStarts := flags.Bool("late_starts", false, "starts that are carried out late may reach a later incarnation of a worker")
	rolls := flags.Bool("rolls", false, "rolling restarts of the leader and the entries, in place of the other faults of VMs")
	varied := flags.Bool("varied", true, "a workspace submits work of unlike shapes, more than the state budget allows")
	outlive := flags.Bool("outlive", true, "connections and calls to workers may outlive restarts of workers")
	completionTimeout := flags.Duration("patience", 0, "maximum wait for accepted jobs to end after the run; 0 for no limit")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("PAPAYASOAK")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		_, _ = fmt.Fprintln(out, "papayasoak:", err)
		return exitFailed
	}
	size, ok := soak.Sizes[*sizeName]
	if !ok {
		return exitCode(out, fmt.Errorf("size %q is not one of small, large", *sizeName))
	}
	if *verb == settingsVerb {
		names, err := size.WriteSettings(*dir, *rolls)
		for _, name := range names {
			_, _ = fmt.Fprintln(instructions, name)
		}
		return exitCode(out, err)
	}
	client, closeClient := platform.NewAPIClient(callTimeout)
	defer closeClient()
	options := soak.Options{Seed: *seed, Size: size, Duration: *duration, CompletionTimeout: *completionTimeout, Client: client, NewWorker: platform.NewWorkerHandler, WorkerRestarts: *restarts, WorkerLeaves: *leaves, OutlivingCalls: *outlive, LateStarts: *lateStarts, Rolls: *rolls, Varied: *varied, NewClient: newClient}
	violations, err := soak.Run(context.Background(), options, instructions, out)
	for _, v := range violations {
		_, _ = fmt.Fprintln(out, "BROKEN", v)
	}
	_, _ = fmt.Fprintf(out, "seed=%d span=%s broken=%d\n", *seed, *duration, len(violations))
	if len(violations) > 0 {
		return exitViolation
	}
	return exitCode(out, err)
}

func newClient(transport http.RoundTripper, timeout time.Duration) soak.Client {
	return platform.NewAPIClientOn(transport, timeout)
}

func exitCode(out io.Writer, err error) int {
	if err != nil {
		_, _ = fmt.Fprintln(out, "papayasoak:", err)
		return exitFailed
	}
	return 0
}
