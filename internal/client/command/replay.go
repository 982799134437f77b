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

// replayDrainTime is how long a replay continues after the last event, so that running work can finish.
const replayDrainTime = 2 * time.Minute

// traceReport holds the results of all policies on one trace.
type traceReport struct {
	Trace   string           `json:"trace"`
	Reports []measure.Report `json:"reports"`
}

func (a *App) replay() *ffcli.Command {
	var plotFile, generate string
	var seed uint64
	return a.newCommand("replay", "FILE...", "Replay recorded traces on a virtual clock with this scheduler and with two baseline policies",
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
				r, err := a.replayFile(file, plotFile)
				if err != nil {
					return fmt.Errorf("replay %s: %w", file, err)
				}
				reports = append(reports, r)
			}
			return a.print(reports, func(w io.Writer) { writeReplay(w, reports) })
		},
		func(fs *flag.FlagSet) {
			fs.StringVar(&plotFile, "plot", "", "SVG file for a plot of resources in use against share over time, by workspace")
			fs.StringVar(&generate, "generate", "", fmt.Sprintf("generate a trace and write it to the output instead of replaying one; one of %v", trace.Names()))
			fs.Uint64Var(&seed, "seed", 1, "with --generate, random seed")
		})
}

func (a *App) replayFile(file, plotFile string) (traceReport, error) {
	f, err := os.Open(filepath.Clean(file))
	if err != nil {
		return traceReport{}, err
	}
	defer func() { _ = f.Close() }()
	events, err := trace.Read(f)
	if err != nil {
		return traceReport{}, err
	}
	report := traceReport{Trace: filepath.Base(file)}
	policies := []struct {
		name   string
		policy engine.Policy
	}{
		{"papayajunction", engine.NewDaemonPolicy()},
		{"first come first fit", baseline.NewFirstFit()},
		{"random", baseline.NewRandom(1)},
	}
	for i, p := range policies {
		a.progress("%s: %s", report.Trace, p.name)
		result := engine.Run(p.policy, events, replayDrainTime)
		report.Reports = append(report.Reports, measure.New(p.name, result))
		if i == 0 && plotFile != "" {
			if err := os.WriteFile(filepath.Clean(plotFile), plot.Shares(report.Trace, result), 0o600); err != nil {
				return report, fmt.Errorf("write plot: %w", err)
			}
		}
	}
	a.clearProgress()
	return report, nil
}

func writeReplay(w io.Writer, reports []traceReport) {
	for _, t := range reports {
		_, _ = fmt.Fprintf(w, "\n%s\n", t.Trace)
		table(w, "  POLICY|URGENT P99 MS|PACKING|DEVIATION MEAN|MOST|PREEMPTED|FINISHED|FAILED|LEFT|MICROS A START", func(row func(...any)) {
			for _, r := range t.Reports {
				row("  "+r.Policy, fmt.Sprintf("%.0f", r.UrgentP99), percent(r.Packing), percent(r.MeanDeviation), percent(r.MaxDeviation),
					r.Preemptions, r.Finished, r.Failed, r.Unfinished, fmt.Sprintf("%.1f", r.MicrosPerStart))
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

func percent(fraction float64) string {
	return fmt.Sprintf("%.2f %%", 100*fraction)
}
