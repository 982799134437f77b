package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	pj "papayajunction"
	"papayajunction/internal/client/entry"
	"papayajunction/internal/config/settings"
	"papayajunction/internal/config/topology"
	"papayajunction/internal/server/daemon"
	"papayajunction/internal/standin/fleet"
)

// Sizes of the demonstration.
const (
	demoTime     = 25 * time.Second
	demoZone     = "demo"
	demoWorkers  = 6
	demoRunners  = 4
	demoService  = 30 * time.Millisecond
	demoStepWait = 10 * time.Second
	demoPoll     = 50 * time.Millisecond
)

func (a *App) demo() *ffcli.Command {
	var folder string
	return a.command("demo", "", "Run a whole system in this process for some seconds and show what it does",
		"papaya demo",
		func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, demoTime)
			defer cancel()
			return a.runDemo(ctx, folder)
		},
		func(fs *flag.FlagSet) {
			fs.StringVar(&folder, "files", "examples/diallo_freres", "folder with the operator files to publish")
		})
}

func freeAddress() (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// runDemo brings up a VM with stand-ins and goes through the steps.
func (a *App) runDemo(ctx context.Context, folder string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	s := settings.Default()
	s.VM, s.Zone, s.Listen, s.Quiet = "demo-vm", demoZone, address, true
	if err := s.Check(); err != nil {
		return err
	}
	d, cleanup, err := daemon.New(s, daemon.NewLogger(a.err, s))
	if err != nil {
		return err
	}
	ran := make(chan error, 1)
	go func() { ran <- d.Run() }()
	defer func() {
		_ = d.Stop()
		if err := <-ran; err != nil {
			a.printError(err)
		}
		cleanup()
	}()
	stands, stopStands, err := fleet.New(fleet.Options{
		VMs: s.VMs, Workers: demoWorkers, Runners: demoRunners, WorkersARack: 2,
		Capacity: pj.NewResources(64, 128, 0, 0), Slots: 8, Service: demoService, Seed: 1,
	})
	if err != nil {
		return err
	}
	defer stopStands()
	client, closeClient := entry.New([]string{address}, "")
	defer closeClient()
	steps := &demo{app: a, client: client, zone: demoZone, folder: folder, vms: s.VMs}
	if err := steps.run(ctx); err != nil {
		return err
	}
	return steps.count(stands)
}

// demo is one run of the demonstration.
type demo struct {
	app    *App
	client *entry.Client
	zone   string
	folder string
	vms    []topology.VM
	keys   map[string]string // secret by workspace
	config pj.Configuration
	tasks  int
	quotes int
}

var errDemo = errors.New("the demonstration went wrong")

func (d *demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.app.out, format+"\n", args...)
}

func (d *demo) run(ctx context.Context) error {
	if err := d.publish(ctx); err != nil {
		return err
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	if err := d.quote(ctx); err != nil {
		return err
	}
	for _, queue := range []string{"actuator-sizing", "manifold-simulation"} {
		if err := d.job(ctx, queue); err != nil {
			return err
		}
	}
	return d.service(ctx)
}

// publish puts the operator files into force and makes a key for each workspace.
func (d *demo) publish(ctx context.Context) error {
	files, config, err := d.app.checked(d.folder)
	if err != nil {
		return err
	}
	d.config = config
	var published pj.Published
	err = d.until(ctx, func() error {
		published, err = d.client.Publish(ctx, pj.Publication{Files: files})
		return err
	})
	if err != nil {
		return fmt.Errorf("publish %s: %w", d.folder, err)
	}
	d.say("published %d files from %s: version %d is in force", len(files), d.folder, published.Version)
	d.keys = make(map[string]string)
	for name := range config.Workspaces {
		k, err := d.client.GrantKey(ctx, pj.KeyGrant{Workspace: name})
		if err != nil {
			return fmt.Errorf("grant a key to %s: %w", name, err)
		}
		d.keys[name] = k.Secret
	}
	d.say("granted a key to each of %d workspaces", len(d.keys))
	return nil
}

// until repeats a step until it succeeds or takes too long.
func (d *demo) until(ctx context.Context, step func() error) error {
	ctx, cancel := context.WithTimeout(ctx, demoStepWait)
	defer cancel()
	for {
		err := step()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(demoPoll):
		}
	}
}

// waitReady waits until workers, endpoints, allotments and keys are all in place.
func (d *demo) waitReady(ctx context.Context) error {
	return d.until(ctx, func() error {
		st, err := d.client.Status(ctx)
		if err != nil {
			return err
		}
		if len(st.Cells) == 0 || len(st.Cells[0].Workers) < demoWorkers || len(st.Cells[0].Endpoints) < demoRunners {
			return fmt.Errorf("%w: workers or endpoints are missing", errDemo)
		}
		for _, u := range st.Cells[0].Use {
			if u.Allotment.IsZero() {
				return fmt.Errorf("%w: workspace %s has no allotment yet", errDemo, u.Workspace)
			}
		}
		_, err = d.client.WithKey(d.keys[d.config.Queues["price-quote"].Workspace]).Request(ctx, "price-quote", []byte("warm-up"))
		d.quotes++
		return err
	})
}

func (d *demo) quote(ctx context.Context) error {
	q := d.config.Queues["price-quote"]
	d.say("\nprice-quote (%s, workspace %s):", q.Urgency, q.Workspace)
	started := time.Now()
	reply, err := d.client.WithKey(d.keys[q.Workspace]).Request(ctx, q.Name, []byte(`{"valve":"v5-2","count":12}`))
	if err != nil {
		return fmt.Errorf("price quote: %w", err)
	}
	d.quotes++
	d.say("  answered in %v by %s, waited %s", time.Since(started).Round(time.Millisecond), reply.Header.Get("X-Endpoint"), reply.Header.Get("X-Waited"))
	d.say("  %s", reply.Body)
	var answer struct {
		Request string `json:"request"`
		Echo    string `json:"echo"`
	}
	if err := json.Unmarshal(reply.Body, &answer); err != nil || !strings.Contains(answer.Echo, "v5-2") {
		return fmt.Errorf("%w: the quote's answer is not its own: %s", errDemo, reply.Body)
	}
	_, err = d.client.WithKey(d.keys["nobody"]).Request(ctx, q.Name, nil)
	var refused *pj.Error
	if !errors.As(err, &refused) || refused.Code != pj.CodeNoKey || !refused.NotRun {
		return fmt.Errorf("%w: a quote without a key was not refused: %w", errDemo, err)
	}
	d.say("  without a key: refused (%s)", refused.Message)
	return nil
}

func (d *demo) job(ctx context.Context, queue string) error {
	q := d.config.Queues[queue]
	d.say("\n%s (%s, %d task(s), workspace %s):", queue, q.Kind, q.Tasks, q.Workspace)
	client := d.client.WithKey(d.keys[q.Workspace])
	id := NewJobID(d.zone)
	submission := pj.Submission{Queue: queue, Payload: "demo", RunTime: pj.Duration(400 * time.Millisecond)}
	if _, err := client.Submit(ctx, id, submission); err != nil {
		return fmt.Errorf("submit to %s: %w", queue, err)
	}
	if _, err := client.Submit(ctx, id, submission); err != nil {
		return fmt.Errorf("submit to %s again: %w", queue, err)
	}
	st, err := client.Job(ctx, id, demoStepWait)
	if err != nil {
		return fmt.Errorf("wait for %s: %w", id, err)
	}
	writeJob(d.app.out, st)
	if st.State != pj.JobFinished {
		return fmt.Errorf("%w: job %s is %s", errDemo, id, st.State)
	}
	d.tasks += len(st.Tasks)
	return nil
}

// service starts a service, shows the workspaces while it runs, and cancels it.
func (d *demo) service(ctx context.Context) error {
	q := d.config.Queues["configurator"]
	d.say("\nconfigurator (service, %d task(s), workspace %s):", q.Tasks, q.Workspace)
	client := d.client.WithKey(d.keys[q.Workspace])
	id := NewJobID(d.zone)
	if _, err := client.Submit(ctx, id, pj.Submission{Queue: q.Name, Payload: "demo"}); err != nil {
		return fmt.Errorf("submit to %s: %w", q.Name, err)
	}
	var st pj.JobStatus
	err := d.until(ctx, func() (err error) {
		st, err = client.Job(ctx, id, 0)
		if err == nil && !allRun(st) {
			err = fmt.Errorf("%w: the service is %s: %s", errDemo, st.State, st.Reason)
		}
		return err
	})
	if err != nil {
		return err
	}
	writeJob(d.app.out, st)
	time.Sleep(time.Second)
	status, err := d.client.Status(ctx)
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	d.say("\nrunning against share and limit:")
	writeWorkspaces(d.app.out, status)
	if _, err := client.Cancel(ctx, id); err != nil {
		return fmt.Errorf("cancel the service: %w", err)
	}
	st, err = client.Job(ctx, id, demoStepWait)
	if err != nil || st.State != pj.JobCancelled {
		return fmt.Errorf("%w: the service is %s after its cancellation: %w", errDemo, st.State, err)
	}
	d.say("\ncancelled the service: %s", st.State)
	return nil
}

func allRun(st pj.JobStatus) bool {
	for _, t := range st.Tasks {
		if t.State != pj.JobRunning {
			return false
		}
	}
	return true
}

// count compares what the stand-ins did with what was answered.
func (d *demo) count(stands *fleet.Fleet) error {
	t := stands.Tally()
	d.say("\nthe stand-ins counted %d tasks finished, %d requests run, %d doubled", t.TasksFinished, t.RequestsRun,
		len(t.TasksDoubled)+t.RequestsDoubled)
	if t.TasksFinished != d.tasks || len(t.TasksDoubled)+t.RequestsDoubled > 0 {
		return fmt.Errorf("%w: %d tasks were answered; the stand-ins say %+v", errDemo, d.tasks, t)
	}
	d.say("every outcome was right")
	return nil
}
