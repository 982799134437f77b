package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	pj "papayajunction"
	"papayajunction/internal/client/entry"
)

func (a *App) status() *ffcli.Command {
	return a.newCommand("status", "", "Show VMs, zones, endpoints, workers, workspaces and queues, with the waiting work and the reason for waiting",
		"papaya status --entry 127.0.0.1:7100",
		func(ctx context.Context, _ []string) error {
			return a.withClient(func(client *entry.Client) error {
				st, err := client.Status(ctx)
				if err != nil {
					return err
				}
				return a.print(st, func(w io.Writer) { writeStatus(w, st) })
			})
		})
}

func (a *App) workspace() *ffcli.Command {
	return a.newCommand("workspace", "[NAME]", "Show the resources that workspaces use against their share and limit",
		"papaya workspace installers",
		func(ctx context.Context, args []string) error {
			return a.withClient(func(client *entry.Client) error {
				st, err := client.Status(ctx)
				if err != nil {
					return err
				}
				if len(args) > 0 {
					st.Workspaces = filterByName(st.Workspaces, args[0])
				}
				return a.print(st.Workspaces, func(w io.Writer) { writeWorkspaces(w, st) })
			})
		})
}

func filterByName(workspaces []pj.WorkspaceStatus, name string) []pj.WorkspaceStatus {
	for _, ws := range workspaces {
		if ws.Name == name {
			return []pj.WorkspaceStatus{ws}
		}
	}
	return nil
}

func (a *App) drain() *ffcli.Command {
	var zone string
	var resume bool
	return a.newCommand("drain", "worker|endpoint NAME", "Drain a worker or endpoint: it receives no new work, and running work is not interrupted. To drain a VM of the system, send SIGTERM to its papayad",
		"papaya drain --zone thies-atelier worker thies-atelier-worker-03\npapaya drain --zone thies-atelier --off worker thies-atelier-worker-03",
		func(ctx context.Context, args []string) error {
			if len(args) != 2 || zone == "" {
				return fmt.Errorf("%w: give --zone, what to drain (worker or endpoint) and its name", errUsage)
			}
			d := pj.Drain{DrainTarget: pj.DrainTarget{Kind: pj.DrainKind(args[0]), Name: args[1]}, Zone: zone, Resume: resume}
			return a.withClient(func(client *entry.Client) error {
				if err := client.Drain(ctx, d); err != nil {
					return err
				}
				return a.print(d, func(w io.Writer) {
					state := "gets no new work"
					if resume {
						state = "is back in service"
					}
					_, _ = fmt.Fprintf(w, "%s %s of zone %s %s\n", d.Kind, d.Name, d.Zone, state)
				})
			})
		},
		func(fs *flag.FlagSet) {
			fs.StringVar(&zone, "zone", "", "zone of the worker or endpoint")
			fs.BoolVar(&resume, "off", false, "cancel the drain")
		})
}

// table writes aligned columns, and nothing if there are no rows.
func table(w io.Writer, header string, writeRows func(row func(cells ...any))) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	empty := true
	writeRows(func(cells ...any) {
		if empty {
			_, _ = fmt.Fprintln(tw, strings.ReplaceAll(header, "|", "\t"))
			empty = false
		}
		columns := make([]string, len(cells))
		for i, c := range cells {
			columns[i] = fmt.Sprint(c)
		}
		_, _ = fmt.Fprintln(tw, strings.Join(columns, "\t"))
	})
	_ = tw.Flush()
}

func writeStatus(w io.Writer, st pj.Status) {
	_, _ = fmt.Fprintf(w, "configuration version %d, confirmed %s; keys %s\n\n", st.Version, confirmedText(st), keysText(st))
	table(w, "VM|ZONE|DISK FOR STATE", func(row func(...any)) {
		for _, vm := range st.VMs {
			row(vm.Name, vm.Zone, vm.Replica)
		}
	})
	for _, c := range st.Cells {
		writeCell(w, c)
	}
	_, _ = fmt.Fprintln(w)
	writeWorkspaces(w, st)
}

func confirmedText(st pj.Status) string {
	if st.ConfirmedSecondsAgo < 0 {
		return "never since this VM started"
	}
	return fmt.Sprintf("%d s ago", st.ConfirmedSecondsAgo)
}

func keysText(st pj.Status) string {
	if st.KeysInForce {
		return "in force"
	}
	return "not accepted now: the fleet quorum can't be reached"
}

func writeCell(w io.Writer, c pj.CellStatus) {
	_, _ = fmt.Fprintf(w, "\nzone %s", c.Zone)
	if c.Problem != "" {
		_, _ = fmt.Fprintf(w, ": %s\n", c.Problem)
		return
	}
	_, _ = fmt.Fprintf(w, ", led by %s: %d workers, %d endpoints; those in use or not in service:\n", c.Leader, len(c.Workers), len(c.Endpoints))
	table(w, "  WORKER|RACK|STATE|TASKS|RESERVED|OF", func(row func(...any)) {
		for _, wk := range c.Workers {
			if wk.Tasks > 0 || wk.State != "working" {
				row("  "+wk.Name, wk.Rack, wk.State, wk.Tasks, wk.Reserved, wk.Capacity)
			}
		}
	})
	table(w, "  ENDPOINT|STATE|SLOTS USED|OF", func(row func(...any)) {
		for _, e := range c.Endpoints {
			if e.Used > 0 || e.State != "serving" {
				row("  "+e.Name, e.State, e.Used, e.Slots)
			}
		}
	})
	table(w, "  QUEUE|RUNNING|WAITING|WHY", func(row func(...any)) {
		for _, q := range c.Queues {
			row("  "+q.Name, q.Running, q.Waiting, q.Reason)
		}
	})
}

func writeWorkspaces(w io.Writer, st pj.Status) {
	table(w, "WORKSPACE|SHARE|RUNNING|UPPER LIMIT|WAITING", func(row func(...any)) {
		for _, ws := range st.Workspaces {
			row(ws.Name, ws.Share, ws.Usage, ws.Limit, ws.Waiting)
		}
	})
}

func writeJob(w io.Writer, st pj.JobStatus) {
	_, _ = fmt.Fprintf(w, "%s  queue %s  %s", st.ID, st.Queue, st.State)
	if st.Reason != "" {
		_, _ = fmt.Fprintf(w, ": %s", st.Reason)
	}
	_, _ = fmt.Fprintln(w)
	table(w, "  TASK|STATE|WORKER|TRIES|WAITED|RESULT", func(row func(...any)) {
		for _, t := range st.Tasks {
			row(fmt.Sprintf("  %d", t.Index), t.State, t.Worker, t.Attempts, fmt.Sprintf("%d ms", t.WaitedMS), t.Result+t.Reason)
		}
	})
}

func writeKeys(w io.Writer, keys []pj.Key) {
	table(w, "KEY|WORKSPACE|STATE", func(row func(...any)) {
		for _, k := range keys {
			state := "in force"
			if k.Withdrawn {
				state = "withdrawn"
			}
			row(k.ID, k.Workspace, state)
		}
	})
}
