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

// Sizes and time limits of the demo.
const (
	demoTimeout      = 25 * time.Second
	demoZone         = "demo"
	demoWorkers      = 6
	demoEndpoints    = 4
	demoServiceTime  = 30 * time.Millisecond // of a request at an endpoint
	demoStepTimeout  = 10 * time.Second
	demoPollInterval = 50 * time.Millisecond
)

func (a *App) demo() *ffcli.Command {
	var dir string
	return a.newCommand("demo", "", "Run a complete system in this process for a few seconds and show how it schedules work",
		"papaya demo",
		func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			return a.runDemo(ctx, dir)
		},
		func(fs *flag.FlagSet) {
			fs.StringVar(&dir, "files", "examples/diallo_freres", "directory with the operator files to publish")
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

// runDemo starts one VM with stand-in workers and endpoints and runs the steps of the demo.
func (a *App) runDemo(ctx context.Context, dir string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	s := settings.Default()
	s.VM, s.Zone, s.Listen, s.Quiet = "demo-vm", demoZone, address, true
	if err := s.Check(); err != nil {
		return err
	}
	vm, cleanup, err := daemon.New(s, daemon.NewLogger(a.errOut, s))
	if err != nil {
		return err
	}
	runErr := make(chan error, 1)
	go func() { runErr <- vm.Run() }()
	defer func() {
		_ = vm.Stop()
		if err := <-runErr; err != nil {
			a.printError(err)
		}
		cleanup()
	}()
	standIns, stopStandIns, err := fleet.New(fleet.Options{
		VMs: s.VMs, Workers: demoWorkers, Endpoints: demoEndpoints, WorkersPerRack: 2,
		Capacity: pj.NewResources(64, 128, 0, 0), Slots: 8, ServiceTime: demoServiceTime, Seed: 1,
	})
	if err != nil {
		return err
	}
	defer stopStandIns()
	client, closeClient := entry.New([]string{address}, "")
	defer closeClient()
	d := &demo{app: a, client: client, zone: demoZone, dir: dir, vms: s.VMs}
	if err := d.run(ctx); err != nil {
		return err
	}
	return d.checkTally(standIns)
}

// demo is one run of the demo.
type demo struct {
	app           *App
	client        *entry.Client
	zone          string
	dir           string
	vms           []topology.VM
	keys          map[string]string // secret by workspace
	config        pj.Configuration
	finishedTasks int
	sentRequests  int
}

var errDemo = errors.New("the demo failed")

func (d *demo) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(d.app.out, format+"\n", args...)
}

func (d *demo) run(ctx context.Context) error {
	if err := d.publish(ctx); err != nil {
		return err
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	if err := d.sendQuote(ctx); err != nil {
		return err
	}
	for _, queue := range []string{"actuator-sizing", "manifold-simulation"} {
		if err := d.runJob(ctx, queue); err != nil {
			return err
		}
	}
	return d.runService(ctx)
}

// publish publishes the operator files and grants a key to each workspace.
func (d *demo) publish(ctx context.Context) error {
	files, config, err := d.app.loadOperatorFiles(d.dir)
	if err != nil {
		return err
	}
	d.config = config
	var published pj.PublicationReply
	err = d.retry(ctx, func() error {
		published, err = d.client.Publish(ctx, pj.Publication{Files: files})
		return err
	})
	if err != nil {
		return fmt.Errorf("publish %s: %w", d.dir, err)
	}
	d.printLine("published %d files from %s: version %d is in force", len(files), d.dir, published.Version)
	d.keys = make(map[string]string)
	for name := range config.Workspaces {
		k, err := d.client.GrantKey(ctx, pj.IssuedKey{Workspace: name})
		if err != nil {
			return fmt.Errorf("grant a key to %s: %w", name, err)
		}
		d.keys[name] = k.Secret
	}
	d.printLine("granted a key to each of %d workspaces", len(d.keys))
	return nil
}

// retry calls try until it succeeds; after demoStepTimeout it returns the last error.
func (d *demo) retry(ctx context.Context, try func() error) error {
	ctx, cancel := context.WithTimeout(ctx, demoStepTimeout)
	defer cancel()
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(demoPollInterval):
		}
	}
}

// waitReady waits until all workers and endpoints are registered, each workspace has an allotment, and a
// request with a granted key succeeds.
func (d *demo) waitReady(ctx context.Context) error {
	return d.retry(ctx, func() error {
		st, err := d.client.Status(ctx)
		if err != nil {
			return err
		}
		if len(st.Cells) == 0 || len(st.Cells[0].Workers) < demoWorkers || len(st.Cells[0].Endpoints) < demoEndpoints {
			return fmt.Errorf("%w: workers or endpoints are missing", errDemo)
		}
		for _, u := range st.Cells[0].Usage {
			if u.Allotment.IsZero() {
				return fmt.Errorf("%w: workspace %s has no allotment yet", errDemo, u.Workspace)
			}
		}
		_, err = d.client.WithKey(d.keys[d.config.Queues["price-quote"].Workspace]).Request(ctx, "price-quote", []byte("warm-up"))
		d.sentRequests++
		return err
	})
}

func (d *demo) sendQuote(ctx context.Context) error {
	q := d.config.Queues["price-quote"]
	d.printLine("\nprice-quote (%s, workspace %s):", q.Urgency, q.Workspace)
	started := time.Now()
	response, err := d.client.WithKey(d.keys[q.Workspace]).Request(ctx, q.Name, []byte(`{"valve":"v5-2","count":12}`))
	if err != nil {
		return fmt.Errorf("price quote: %w", err)
	}
	d.sentRequests++
	d.printLine("  answered in %v by %s, waited %s", time.Since(started).Round(time.Millisecond), response.Header.Get("X-Endpoint"), response.Header.Get("X-Waited"))
	d.printLine("  %s", response.Body)
	var quote struct {
		Request string `json:"request"`
		Echo    string `json:"echo"`
	}
	if err := json.Unmarshal(response.Body, &quote); err != nil || !strings.Contains(quote.Echo, "v5-2") {
		return fmt.Errorf("%w: the response does not belong to the quote request: %s", errDemo, response.Body)
	}
	_, err = d.client.WithKey(d.keys["nobody"]).Request(ctx, q.Name, nil)
	var rejected *pj.Error
	if !errors.As(err, &rejected) || rejected.Code != pj.CodeNoKey || !rejected.NotRun {
		return fmt.Errorf("%w: a quote request without a key was not rejected: %w", errDemo, err)
	}
	d.printLine("  without a key: refused (%s)", rejected.Message)
	return nil
}

func (d *demo) runJob(ctx context.Context, queue string) error {
	q := d.config.Queues[queue]
	d.printLine("\n%s (%s, %d task(s), workspace %s):", queue, q.Kind, q.Tasks, q.Workspace)
	client := d.client.WithKey(d.keys[q.Workspace])
	id := NewJobID(d.zone)
	submission := pj.Submission{Queue: queue, Payload: "demo", RunTime: pj.Duration(400 * time.Millisecond)}
	if _, err := client.Submit(ctx, id, submission); err != nil {
		return fmt.Errorf("submit to %s: %w", queue, err)
	}
	if _, err := client.Submit(ctx, id, submission); err != nil {
		return fmt.Errorf("submit to %s again: %w", queue, err)
	}
	st, err := client.Job(ctx, id, demoStepTimeout)
	if err != nil {
		return fmt.Errorf("wait for %s: %w", id, err)
	}
	writeJob(d.app.out, st)
	if st.State != pj.JobFinished {
		return fmt.Errorf("%w: job %s is %s", errDemo, id, st.State)
	}
	d.finishedTasks += len(st.Tasks)
	return nil
}

// runService starts a service, shows the resource use of the workspaces while it runs, and cancels it.
func (d *demo) runService(ctx context.Context) error {
	q := d.config.Queues["configurator"]
	d.printLine("\nconfigurator (service, %d task(s), workspace %s):", q.Tasks, q.Workspace)
	client := d.client.WithKey(d.keys[q.Workspace])
	id := NewJobID(d.zone)
	if _, err := client.Submit(ctx, id, pj.Submission{Queue: q.Name, Payload: "demo"}); err != nil {
		return fmt.Errorf("submit to %s: %w", q.Name, err)
	}
	var st pj.JobStatus
	err := d.retry(ctx, func() (err error) {
		st, err = client.Job(ctx, id, 0)
		if err == nil && !allRunning(st) {
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
	d.printLine("\nrunning against share and limit:")
	writeWorkspaces(d.app.out, status)
	if _, err := client.Cancel(ctx, id); err != nil {
		return fmt.Errorf("cancel the service: %w", err)
	}
	st, err = client.Job(ctx, id, demoStepTimeout)
	if err != nil || st.State != pj.JobCancelled {
		return fmt.Errorf("%w: the service is %s after its cancellation: %w", errDemo, st.State, err)
	}
	d.printLine("\ncancelled the service: %s", st.State)
	return nil
}

func allRunning(st pj.JobStatus) bool {
	for _, t := range st.Tasks {
		if t.State != pj.JobRunning {
			return false
		}
	}
	return true
}

// checkTally compares what the stand-ins counted with the outcomes that the system reported.
func (d *demo) checkTally(standIns *fleet.Fleet) error {
	tally := standIns.Tally()
	d.printLine("\nthe stand-ins counted %d tasks finished, %d requests run, %d doubled", tally.TasksFinished, tally.RequestsRun,
		len(tally.TasksDoubled)+tally.RequestsDoubled)
	if tally.TasksFinished != d.finishedTasks || len(tally.TasksDoubled)+tally.RequestsDoubled > 0 {
		return fmt.Errorf("%w: the system reported %d finished tasks; the stand-ins counted %+v", errDemo, d.finishedTasks, tally)
	}
	d.printLine("every outcome was right")
	return nil
}
