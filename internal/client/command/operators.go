package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"runtime/debug"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	pj "papayajunction"
	"papayajunction/internal/client/entry"
	"papayajunction/internal/config/operator"
)

// loadOperatorFiles reads and validates the operator files below a directory and prints all issues.
func (a *App) loadOperatorFiles(dir string) ([]pj.OperatorFile, pj.Configuration, error) {
	files, err := operator.Collect(dir)
	if err != nil {
		return nil, pj.Configuration{}, err
	}
	if len(files) == 0 {
		return nil, pj.Configuration{}, fmt.Errorf("%w: no %s and no *%s below %s", errUsage,
			operator.FleetFileName, operator.QueueFileSuffix, dir)
	}
	config, issues := operator.Parse(files)
	if len(issues) == 0 {
		return files, config, nil
	}
	err = a.print(issues, func(w io.Writer) {
		for _, i := range issues {
			_, _ = fmt.Fprintln(w, i)
		}
	})
	if err != nil {
		return nil, config, err
	}
	return nil, config, fmt.Errorf("%w: %d issue(s)", errInvalidFiles, len(issues))
}

func (a *App) check() *ffcli.Command {
	return a.newCommand("check", "DIR", "Validate the operator files below a directory and show all issues",
		"papaya check examples/diallo_freres",
		func(_ context.Context, args []string) error {
			dir, err := singleArg(args, "directory")
			if err != nil {
				return err
			}
			files, config, err := a.loadOperatorFiles(dir)
			if err != nil {
				return err
			}
			return a.print(config, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "%d files are correct: %d workspaces, %d queues\n", len(files), len(config.Workspaces), len(config.Queues))
			})
		})
}

func (a *App) publish() *ffcli.Command {
	var dryRun bool
	var replaces int64
	return a.newCommand("publish", "DIR", "Publish the operator files below a directory as one version; shows the difference first",
		"papaya publish examples/diallo_freres\npapaya publish --replaces 41 examples/diallo_freres   # send version 42 again",
		func(ctx context.Context, args []string) error {
			dir, err := singleArg(args, "directory")
			if err != nil {
				return err
			}
			files, config, err := a.loadOperatorFiles(dir)
			if err != nil {
				return err
			}
			return a.withClient(func(client *entry.Client) error {
				return a.publishFiles(ctx, client, files, config, replaces, dryRun)
			})
		},
		func(fs *flag.FlagSet) {
			fs.BoolVar(&dryRun, "dry", false, "show the difference and publish nothing")
			fs.Int64Var(&replaces, "replaces", -1, "version to replace; by default the one in force")
		})
}

func (a *App) publishFiles(ctx context.Context, client *entry.Client, files []pj.OperatorFile, config pj.Configuration, replaces int64, dryRun bool) error {
	a.progress("reading the configuration in force")
	current, err := client.Configuration(ctx, 0)
	a.clearProgress()
	if err != nil {
		return err
	}
	if a.output != "json" {
		writeDiff(a.out, current, config)
	}
	if dryRun {
		return nil
	}
	p := pj.Publication{ReplacedVersion: current.Version, Files: files}
	if replaces >= 0 {
		p.ReplacedVersion = uint64(replaces)
	}
	a.progress("publishing %d files as version %d", len(files), p.ReplacedVersion+1)
	published, err := client.Publish(ctx, p)
	if err == nil {
		a.progress("waiting until version %d is in force", published.Version)
		_, err = client.Configuration(ctx, published.Version)
	}
	a.clearProgress()
	if err != nil {
		return err
	}
	return a.print(published, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "version %d is in force (hash %.12s)\n", published.Version, published.Hash)
	})
}

// writeDiff writes what publishing would add, change and remove.
func writeDiff(w io.Writer, before, after pj.Configuration) {
	lines := diffLines("workspace", before.Workspaces, after.Workspaces)
	lines = append(lines, diffLines("queue", before.Queues, after.Queues)...)
	if len(lines) == 0 {
		lines = []string{"  no difference"}
	}
	_, _ = fmt.Fprintf(w, "difference to version %d:\n", before.Version)
	for _, l := range lines {
		_, _ = fmt.Fprintln(w, l)
	}
}

func diffLines[T comparable](kind string, before, after map[string]T) []string {
	names := make(map[string]struct{})
	for name := range before {
		names[name] = struct{}{}
	}
	for name := range after {
		names[name] = struct{}{}
	}
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		oldValue, inBefore := before[name]
		newValue, inAfter := after[name]
		switch {
		case !inBefore:
			lines = append(lines, fmt.Sprintf("  + %s %s", kind, name))
		case !inAfter:
			lines = append(lines, fmt.Sprintf("  - %s %s", kind, name))
		case oldValue != newValue:
			lines = append(lines, fmt.Sprintf("  ~ %s %s: %+v -> %+v", kind, name, oldValue, newValue))
		}
	}
	return lines
}

func (a *App) keys() *ffcli.Command {
	grant := a.newCommand("key grant", "WORKSPACE", "Create a key for a workspace; the secret is shown only once",
		"papaya key grant installers",
		func(ctx context.Context, args []string) error {
			workspace, err := singleArg(args, "workspace")
			if err != nil {
				return err
			}
			return a.withClient(func(client *entry.Client) error {
				k, err := client.GrantKey(ctx, pj.IssuedKey{Workspace: workspace})
				if err != nil {
					return err
				}
				return a.print(k, func(w io.Writer) { _, _ = fmt.Fprintf(w, "key %s for %s\n%s\n", k.ID, k.Workspace, k.Secret) })
			})
		})
	grant.Name = "grant"
	withdraw := a.newCommand("key withdraw", "WORKSPACE KEY_ID", "Withdraw a key; all VMs stop accepting it within seconds",
		"papaya key withdraw installers k-2f6b01c4d9aa",
		func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return fmt.Errorf("%w: give a workspace and a key id", errUsage)
			}
			return a.withClient(func(client *entry.Client) error {
				if err := client.WithdrawKey(ctx, args[0], args[1]); err != nil {
					return err
				}
				return a.print(pj.Key{ID: args[1], Workspace: args[0], Withdrawn: true}, func(w io.Writer) {
					_, _ = fmt.Fprintf(w, "key %s of %s is withdrawn\n", args[1], args[0])
				})
			})
		})
	withdraw.Name = "withdraw"
	list := a.newCommand("key list", "[WORKSPACE]", "List keys, of one workspace or of all", "papaya key list installers",
		func(ctx context.Context, args []string) error {
			workspace := ""
			if len(args) > 0 {
				workspace = args[0]
			}
			return a.withClient(func(client *entry.Client) error {
				keys, err := client.Keys(ctx, workspace)
				if err != nil {
					return err
				}
				return a.print(keys, func(w io.Writer) { writeKeys(w, keys) })
			})
		})
	list.Name = "list"
	return &ffcli.Command{
		Name: "key", ShortUsage: "papaya key grant|withdraw|list", ShortHelp: "Grant, withdraw and list the keys of workspaces",
		FlagSet:     flag.NewFlagSet("papaya key", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{grant, withdraw, list},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func (a *App) version() *ffcli.Command {
	return a.newCommand("version", "", "Show the version of this client", "papaya version",
		func(context.Context, []string) error {
			version := "development"
			if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
				version = info.Main.Version
			}
			return a.print(version, func(w io.Writer) { _, _ = fmt.Fprintln(w, "papaya", version) })
		})
}
