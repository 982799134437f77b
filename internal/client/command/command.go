// Package command implements the commands of the papaya command-line client.
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
	ExitOK           = 0 // success
	ExitFailed       = 1 // any other error, such as a refused call or an unknown outcome
	ExitUsage        = 2 // invalid command line
	ExitInvalidFiles = 3 // operator files are invalid
	ExitConflict     = 4 // another version of the configuration was published in between, or the job id is that of another job
	ExitNotRun       = 5 // refused; this call has certainly run nothing
)

const (
	envPrefix    = "PAPAYA"
	defaultEntry = "127.0.0.1:7100"
)

// App runs the commands of the client. Its fields below terminal are set by flags.
type App struct {
	out      io.Writer
	errOut   io.Writer
	terminal bool // whether errOut is a terminal, so that progress is shown

	entryAddresses string // separated by commas
	key            string
	output         string
	tls            settings.Settings // only its TLS files are used
}

// New returns an app that writes results to out, and errors and progress to errOut.
func New(out, errOut io.Writer) *App {
	return &App{out: out, errOut: errOut, terminal: isTerminal(errOut)}
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
		return ExitOK // help was requested
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

// errInvalidFiles is returned for invalid operator files once their issues have been printed.
var errInvalidFiles = errors.New("the operator files are invalid")

func exitCode(err error) int {
	var e *pj.Error
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errInvalidFiles):
		return ExitInvalidFiles
	case !errors.As(err, &e):
		return ExitFailed
	case e.Code == pj.CodeConflict && e.NotRun:
		return ExitConflict
	case len(e.Details) > 0:
		return ExitInvalidFiles
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
			_, _ = fmt.Fprintln(a.errOut, string(data))
			return
		}
	}
	_, _ = fmt.Fprintln(a.errOut, "papaya:", err)
	if !errors.As(err, &e) {
		return
	}
	for _, d := range e.Details {
		_, _ = fmt.Fprintln(a.errOut, " ", d)
	}
	if e.NotRun {
		_, _ = fmt.Fprintln(a.errOut, "  Nothing was run or changed by this call.")
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

// newCommand returns a subcommand with the flags that all subcommands share.
func (a *App) newCommand(name, usage, short, example string, exec func(context.Context, []string) error, addFlags ...func(*flag.FlagSet)) *ffcli.Command {
	fs := flag.NewFlagSet("papaya "+name, flag.ContinueOnError)
	fs.SetOutput(a.errOut)
	fs.StringVar(&a.entryAddresses, "entry", defaultEntry, "addresses of entry VMs or of their load balancer, separated by commas")
	fs.StringVar(&a.key, "key", "", "key of the workspace, or the operator key for the commands of operators")
	fs.StringVar(&a.output, "output", "text", "output format: text or json")
	fs.StringVar(&a.tls.TLSCA, "tls_ca", "", "PEM file with the certificate authority (CA) of the VMs' certificates; without it plain HTTP is used")
	fs.StringVar(&a.tls.TLSCert, "tls_cert", "", "PEM file with a client certificate issued by that CA")
	fs.StringVar(&a.tls.TLSKey, "tls_key", "", "PEM file with the private key of the client certificate")
	for _, add := range addFlags {
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

// withClient calls run with a client that is closed afterwards.
func (a *App) withClient(run func(client *entry.Client) error) error {
	tlsConfig, err := a.tlsConfig()
	if err != nil {
		return err
	}
	client, closeClient := entry.New(strings.Split(a.entryAddresses, ","), a.key, entry.WithTLS(tlsConfig))
	defer closeClient()
	return run(client)
}

// tlsConfig returns nil for plain HTTP. If the TLS files can't be read it returns an error, because the key must not be sent
// without encryption then.
func (a *App) tlsConfig() (*tls.Config, error) {
	config, err := peer.TLS(a.tls)
	if err != nil {
		return nil, fmt.Errorf("prepare TLS: %w", err)
	}
	return config, nil
}

// singleArg returns the argument of a command that takes exactly one; name is for the error text.
func singleArg(args []string, name string) (string, error) {
	if len(args) != 1 {
		return "", fmt.Errorf("%w: give exactly one %s (flags go before it)", errUsage, name)
	}
	return args[0], nil
}

// print writes value as JSON or, for text output, calls writeText.
func (a *App) print(value any, writeText func(io.Writer)) error {
	if a.output != "json" {
		writeText(a.out)
		return nil
	}
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	return nil
}

// progress shows a status line, which the next one overwrites. It writes to terminals only.
func (a *App) progress(format string, args ...any) {
	if a.terminal {
		_, _ = fmt.Fprintf(a.errOut, "\r\x1b[K"+format, args...)
	}
}

func (a *App) clearProgress() {
	if a.terminal {
		_, _ = fmt.Fprint(a.errOut, "\r\x1b[K")
	}
}
