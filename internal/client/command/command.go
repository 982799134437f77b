// Package command holds the commands of the papaya client.
package command

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	pj "papayajunction"
	"papayajunction/internal/client/entry"
	"papayajunction/internal/config/settings"
	"papayajunction/internal/server/peer"
)

// Exit codes of the client.
const (
	ExitOK       = 0 // done
	ExitFailed   = 1 // the system refused, or the outcome is unknown
	ExitUsage    = 2 // the command line is wrong
	ExitFaults   = 3 // operator files have faults
	ExitConflict = 4 // another publication came first
	ExitNotRun   = 5 // refused, and certainly not run
)

const (
	envPrefix    = "PAPAYA"
	defaultEntry = "127.0.0.1:7100"
)

// App is the client's surroundings.
type App struct {
	out      io.Writer
	err      io.Writer
	terminal bool // whether err is a terminal, for progress

	entries string
	key     string
	output  string
	tls     settings.Settings // only its TLS files are used
}

// New returns an app that writes to out and err.
func New(out, err io.Writer) *App {
	return &App{out: out, err: err, terminal: isTerminal(err)}
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Run runs one command and returns its exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	root := a.root()
	err := root.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK // the help was asked for
	case err != nil:
		a.printError(err)
		return ExitUsage
	}
	err = root.Run(ctx)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	}
	a.printError(err)
	return exitCode(err)
}

// errUsage marks errors of the command line.
var errUsage = errors.New("usage")

// errFaults marks operator files with faults, which were printed already.
var errFaults = errors.New("the operator files have faults")

func exitCode(err error) int {
	var e *pj.Error
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errFaults):
		return ExitFaults
	case !errors.As(err, &e):
		return ExitFailed
	case e.Code == pj.CodeConflict:
		return ExitConflict
	case len(e.Details) > 0:
		return ExitFaults
	case e.NotRun:
		return ExitNotRun
	}
	return ExitFailed
}

func (a *App) printError(err error) {
	var e *pj.Error
	if a.output == "json" && errors.As(err, &e) {
		data, marshalErr := json.Marshal(e)
		if marshalErr == nil {
			_, _ = fmt.Fprintln(a.err, string(data))
			return
		}
	}
	_, _ = fmt.Fprintln(a.err, "papaya:", err)
	if !errors.As(err, &e) {
		return
	}
	for _, d := range e.Details {
		_, _ = fmt.Fprintln(a.err, " ", d)
	}
	if e.NotRun {
		_, _ = fmt.Fprintln(a.err, "  Nothing was run or changed.")
	}
}

func (a *App) root() *ffcli.Command {
	fs := flag.NewFlagSet("papaya", flag.ContinueOnError)
	return &ffcli.Command{
		Name:       "papaya",
		ShortUsage: "papaya COMMAND [flags] [arguments]",
		LongHelp: "The client of papayajunction, for operators and callers.\n" +
			"Start with 'papaya demo'. 'papaya COMMAND --help' shows an example of each command.",
		FlagSet: fs,
		Subcommands: []*ffcli.Command{
			a.check(), a.publish(), a.request(), a.submit(), a.job(), a.cancel(), a.status(),
			a.workspace(), a.keys(), a.drain(), a.standIn(), a.replay(), a.explain(), a.demo(), a.version(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// command returns a subcommand with the flags that all have in common.
func (a *App) command(name, usage, short, example string, exec func(context.Context, []string) error, more ...func(*flag.FlagSet)) *ffcli.Command {
	fs := flag.NewFlagSet("papaya "+name, flag.ContinueOnError)
	fs.SetOutput(a.err)
	fs.StringVar(&a.entries, "entry", defaultEntry, "addresses of entry VMs or of their balancer, separated by commas")
	fs.StringVar(&a.key, "key", "", "key of the workspace, or operator key for operators' commands")
	fs.StringVar(&a.output, "output", "text", "text or json")
	fs.StringVar(&a.tls.TLSCA, "tls_ca", "", "PEM file with the authority of the VMs' certificates; without it plain HTTP is used")
	fs.StringVar(&a.tls.TLSCert, "tls_cert", "", "PEM file with a certificate of that authority")
	fs.StringVar(&a.tls.TLSKey, "tls_key", "", "PEM file with its private key")
	for _, add := range more {
		add(fs)
	}
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "papaya " + name + " " + usage,
		ShortHelp:  short,
		LongHelp:   short + ".\n\nExample:\n  " + strings.ReplaceAll(example, "\n", "\n  "),
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       exec,
	}
}

func (a *App) client() (*entry.Client, func()) {
	return entry.New(strings.Split(a.entries, ","), a.key, entry.WithTLS(a.tlsConfig()))
}

// withClient runs a step with a client that is closed afterwards.
func (a *App) withClient(step func(client *entry.Client) error) error {
	client, closeClient := a.client()
	defer closeClient()
	return step(client)
}

// tlsConfig returns nil for plain HTTP. Files that can't be read show when the first call fails.
func (a *App) tlsConfig() *tls.Config {
	config, err := peer.TLS(a.tls)
	if err != nil {
		a.printError(err)
	}
	return config
}

// one returns the only argument of a command.
func one(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", fmt.Errorf("%w: give exactly one %s (flags stand before it)", errUsage, what)
	}
	return args[0], nil
}

// print writes a value as JSON, or by the given function as text.
func (a *App) print(value any, text func(io.Writer)) error {
	if a.output != "json" {
		text(a.out)
		return nil
	}
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

// progress writes a line that the next one replaces, on terminals only.
func (a *App) progress(format string, args ...any) {
	if a.terminal {
		_, _ = fmt.Fprintf(a.err, "\r\x1b[K"+format, args...)
	}
}

func (a *App) endProgress() {
	if a.terminal {
		_, _ = fmt.Fprint(a.err, "\r\x1b[K")
	}
}
