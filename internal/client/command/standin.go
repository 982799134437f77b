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
	o := fleet.Options{Slots: 8}
	var file string
	var cores, memory float64
	var span time.Duration
	return a.command("stand-in", "", "Run stand-in workers and endpoints for every zone in this process, and count what they do",
		"papaya stand-in --settings examples/diallo_freres/vms/thies-atelier-1.json --workers 16 --runners 16",
		func(ctx context.Context, _ []string) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			s, err := settings.Parse([]string{"-settings", file})
			if err != nil {
				return err
			}
			o.VMs = s.VMs
			o.TLS = a.tlsConfig()
			o.Capacity = pj.NewResources(cores, memory, 0, 0)
			f, closeFleet, err := fleet.New(o)
			if err != nil {
				return err
			}
			if span > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, span)
				defer cancel()
			}
			<-ctx.Done()
			closeFleet()
			t := f.Tally()
			return a.print(t, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%+v\n", t) })
		},
		func(fs *flag.FlagSet) {
			fs.StringVar(&file, "settings", "", "settings file of one of the VMs, for their addresses")
			fs.IntVar(&o.Workers, "workers", 16, "workers in each zone")
			fs.IntVar(&o.WorkersARack, "workers_a_rack", 8, "workers in each rack")
			fs.IntVar(&o.Runners, "runners", 16, "endpoints in each zone")
			fs.Float64Var(&cores, "cores", 64, "cores of a worker")
			fs.Float64Var(&memory, "memory_gb", 128, "memory of a worker in GiB")
			fs.IntVar(&o.Accelerated, "accelerated", 0, "workers in each zone that have accelerators")
			fs.Int64Var(&o.Accelerators, "accelerators", 4, "accelerators of such a worker")
			fs.IntVar(&o.Slots, "slots", 8, "request slots of an endpoint")
			fs.DurationVar(&o.Service, "service", 20*time.Millisecond, "time to answer a request")
			fs.DurationVar(&o.Run, "run", 500*time.Millisecond, "run time of tasks that declare none")
			fs.Float64Var(&o.FailRate, "fail", 0, "part of tasks and requests that fail, from 0 to 1")
			fs.Float64Var(&o.WrongRate, "wrong", 0, "part of the answers that belong to another request")
			fs.Float64Var(&o.LostRate, "lost", 0, "part of the answers that break off")
			fs.BoolVar(&o.Silent, "silent", false, "take requests and never answer")
			fs.Uint64Var(&o.Seed, "seed", 1, "seed of the random choices")
			fs.DurationVar(&span, "for", 0, "stop after this time; 0 means on SIGTERM or SIGINT")
		})
}
