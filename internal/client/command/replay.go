package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"papayajunction/internal/replay/baseline"
	"papayajunction/internal/replay/engine"
	"papayajunction/internal/replay/measure"
	"papayajunction/internal/replay/plot"
	"papayajunction/internal/replay/trace"
)

// replayAfter is how long a replay goes on after the last event, so that work can end.
const replayAfter = 2 * time.Minute

// traceReport holds the figures of all policies on one trace.
type traceReport struct {
	Trace   string           `json:"trace"`
	Reports []measure.Report `json:"reports"`
}

func (a *App) replay() *ffcli.Command {
	var picture, generate string
	var seed uint64
	return a.command("replay", "FILE...", "Run recorded traces through the decisions on a virtual clock, beside two baselines",
		"papaya replay traces/diallo_peak.jsonl --plot shares.svg\npapaya replay --generate diallo_peak --seed 1 >traces/diallo_peak.jsonl",
		func(_ context.Context, args []string) error {
			if generate != "" {
				events, err := trace.Generate(generate, seed)
				if err != nil {
					return fmt.Errorf("%w: %w", errUsage, err)
				}
				return trace.Write(a.out, events)
			}
			if len(args) == 0 {
				return fmt.Errorf("%w: give one or more trace files", errUsage)
			}
			var reports []traceReport
			for _, file := range args {
				r, err := a.replayFile(file, picture)
				if err != nil {
					return fmt.Errorf("replay %s: %w", file, err)
				}
				reports = append(reports, r)
			}
			return a.print(reports, func(w io.Writer) { writeReplay(w, reports) })
		},
		func(fs *flag.FlagSet) {
			fs.StringVar(&picture, "plot", "", "SVG file for running by workspace against share over time")
			fs.StringVar(&generate, "generate", "", fmt.Sprintf("write a new trace instead: one of %v", trace.Names()))
			fs.Uint64Var(&seed, "seed", 1, "with --generate, seed of the random choices")
		})
}

func (a *App) replayFile(file, picture string) (traceReport, error) {
	f, err := os.Open(filepath.Clean(file))
	if err != nil {
		return traceReport{}, err
	}
	defer func() { _ = f.Close() }()
	events, err := trace.Read(f)
	if err != nil {
		return traceReport{}, err
	}
	out := traceReport{Trace: filepath.Base(file)}
	policies := []struct {
		name   string
		policy engine.Policy
	}{
		{"papayajunction", engine.NewSystem()},
		{"first come first fit", baseline.NewFirstFit()},
		{"random", baseline.NewRandom(1)},
	}
	for i, p := range policies {
		a.progress("%s: %s", out.Trace, p.name)
		result := engine.Run(p.policy, events, replayAfter)
		out.Reports = append(out.Reports, measure.New(p.name, result))
		if i == 0 && picture != "" {
			if err := os.WriteFile(filepath.Clean(picture), plot.Shares(out.Trace, result), 0o600); err != nil {
				return out, fmt.Errorf("write plot: %w", err)
			}
		}
	}
	a.endProgress()
	return out, nil
}

func writeReplay(w io.Writer, reports []traceReport) {
	for _, t := range reports {
		_, _ = fmt.Fprintf(w, "\n%s\n", t.Trace)
		table(w, "  POLICY|URGENT P99 MS|PACKING|DEVIATION MEAN|MOST|PREEMPTED|FINISHED|FAILED|LEFT|MICROS A START", func(row func(...any)) {
			for _, r := range t.Reports {
				row("  "+r.Policy, fmt.Sprintf("%.0f", r.UrgentP99), percent(r.Packing), percent(r.DeviationMean), percent(r.DeviationMost),
					r.Preempts, r.Finished, r.Failed, r.Unfinished, fmt.Sprintf("%.1f", r.MicrosPerStart))
			}
		})
		table(w, "  WORKSPACE|URGENCY|TASKS|POLICY|P50 MS|P99 MS|P99.9 MS", func(row func(...any)) {
			for _, r := range t.Reports {
				for _, c := range r.Waits {
					row("  "+c.Workspace, c.Urgency, c.Count, r.Policy, fmt.Sprintf("%.0f", c.P50), fmt.Sprintf("%.0f", c.P99), fmt.Sprintf("%.0f", c.P999))
				}
			}
		})
	}
}

func percent(part float64) string {
	return fmt.Sprintf("%.2f %%", 100*part)
}
