package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	pj "papayajunction"
	"papayajunction/internal/config/settings"
	"papayajunction/internal/standin/fleet"
)

func (a *App) standIn() *ffcli.Command {
	options := fleet.Options{Slots: 8}
	var settingsFile string
	var cores, memory float64
	var duration time.Duration
	return a.newCommand("stand-in", "", "Run stand-in workers and endpoints for every zone in this process, and count the work that they run",
		"papaya stand-in --settings examples/diallo_freres/vms/thies-atelier-1.json --workers 16 --runners 16",
		func(ctx context.Context, _ []string) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			s, err := settings.Parse([]string{"-settings", settingsFile})
			if err != nil {
				return err
			}
			options.VMs = s.VMs
			if options.TLS, err = a.tlsConfig(); err != nil {
				return err
			}
			options.Capacity = pj.NewResources(cores, memory, 0, 0)
			f, closeFleet, err := fleet.New(options)
			if err != nil {
				return err
			}
			if duration > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, duration)
				defer cancel()
			}
			<-ctx.Done()
			closeFleet()
			tally := f.Tally()
			return a.print(tally, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%+v\n", tally) })
		},
		func(fs *flag.FlagSet) {
			fs.StringVar(&settingsFile, "settings", "", "settings file of any VM, for the addresses of all VMs")
			fs.IntVar(&options.Workers, "workers", 16, "workers in each zone")
			fs.IntVar(&options.WorkersPerRack, "workers_a_rack", 8, "workers in each rack")
			fs.IntVar(&options.Endpoints, "runners", 16, "endpoints in each zone")
			fs.Float64Var(&cores, "cores", 64, "cores of a worker")
			fs.Float64Var(&memory, "memory_gb", 128, "memory of a worker in GiB")
			fs.IntVar(&options.AcceleratedWorkers, "accelerated", 0, "workers in each zone that have accelerators")
			fs.Int64Var(&options.AcceleratorsPerWorker, "accelerators", 4, "accelerators of each worker that has them")
			fs.IntVar(&options.Slots, "slots", 8, "request slots of an endpoint")
			fs.DurationVar(&options.ServiceTime, "service", 20*time.Millisecond, "service time of a request")
			fs.DurationVar(&options.TaskRunTime, "run", 500*time.Millisecond, "run time of tasks without a declared run time")
			fs.Float64Var(&options.FailRate, "fail", 0, "fraction of tasks and requests that fail, from 0 to 1")
			fs.Float64Var(&options.MismatchRate, "wrong", 0, "fraction of responses that belong to another request, from 0 to 1")
			fs.Float64Var(&options.TruncationRate, "lost", 0, "fraction of responses that are truncated, from 0 to 1")
			fs.BoolVar(&options.Unresponsive, "silent", false, "accept requests and never respond")
			fs.Uint64Var(&options.Seed, "seed", 1, "random seed")
			fs.DurationVar(&duration, "for", 0, "stop after this time; 0 for running until SIGTERM or SIGINT")
		})
}
