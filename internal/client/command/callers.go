package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	pj "papayajunction"
	"papayajunction/internal/client/entry"
)

const (
	pollWait      = 10 * time.Second
	randomIDBytes = 8
)

// NewJobID returns an id for a job whose home is the zone.
func NewJobID(zone string) string {
	b := make([]byte, randomIDBytes)
	_, _ = rand.Read(b)
	return zone + "." + hex.EncodeToString(b)
}

func (a *App) request() *ffcli.Command {
	var body, file string
	many := burst{app: a}
	return a.command("request", "QUEUE", "Send a quick request and show the answer, or send many and count the outcomes",
		`papaya request --key KEY --body '{"valve": "v5-2", "count": 12}' price-quote`+
			"\npapaya request --key KEY --count 1000 --parallel 20 price-quote",
		func(ctx context.Context, args []string) error {
			queue, err := one(args, "queue")
			if err != nil {
				return err
			}
			data := []byte(body)
			if file != "" {
				if data, err = os.ReadFile(filepath.Clean(file)); err != nil {
					return fmt.Errorf("read body: %w", err)
				}
			}
			if many.count > 1 {
				many.one = func(ctx context.Context, client *entry.Client, n int) error {
					return requestOnce(ctx, client, queue, string(data), n)
				}
				return many.run(ctx)
			}
			return a.withClient(func(client *entry.Client) error {
				reply, err := client.Request(ctx, queue, data)
				if err != nil {
					return err
				}
				_, _ = fmt.Fprintf(a.out, "%s\n", reply.Body)
				if reply.Status >= 400 {
					return fmt.Errorf("the endpoint answered with status %d", reply.Status)
				}
				return nil
			})
		},
		func(fs *flag.FlagSet) {
			fs.StringVar(&body, "body", "", "what to send")
			fs.StringVar(&file, "file", "", "file with what to send")
			many.flags(fs)
		})
}

func (a *App) submit() *ffcli.Command {
	var id, zone, payload string
	var tasks int
	var cores, memory float64
	var accelerators int64
	var runTime time.Duration
	var wait bool
	many := burst{app: a}
	return a.command("submit", "QUEUE", "Submit a job; sent again with the same --id it is the same job",
		"papaya submit --key KEY --zone thies-atelier --payload manifold-7 --wait manifold-simulation",
		func(ctx context.Context, args []string) error {
			queue, err := one(args, "queue")
			if err != nil {
				return err
			}
			submission := pj.Submission{
				Queue: queue, Tasks: tasks, Task: pj.NewResources(cores, memory, accelerators, 0),
				RunTime: pj.Duration(runTime), Payload: payload,
			}
			if many.count > 1 {
				zones := strings.Split(zone, ",")
				many.one = func(ctx context.Context, client *entry.Client, n int) error {
					return jobOnce(ctx, client, NewJobID(zones[n%len(zones)]), submission)
				}
				return many.run(ctx)
			}
			return a.withClient(func(client *entry.Client) error {
				if id == "" {
					if id, err = a.newID(ctx, client, zone); err != nil {
						return err
					}
				}
				st, err := client.Submit(ctx, id, submission)
				if err != nil {
					return fmt.Errorf("job %s: %w", id, err)
				}
				if wait {
					return a.waitFor(ctx, client, id)
				}
				return a.print(st, func(w io.Writer) { writeJob(w, st) })
			})
		},
		func(fs *flag.FlagSet) {
			fs.StringVar(&id, "id", "", "job id, as ZONE.RANDOM; by default a new one")
			fs.StringVar(&zone, "zone", "", "home zone of the job; by default that of the entry VM; with --count, several with commas")
			fs.StringVar(&payload, "payload", "", "what the tasks get")
			fs.IntVar(&tasks, "tasks", 0, "number of tasks; by default as the queue says")
			fs.Float64Var(&cores, "cores", 0, "cores of a task; with --memory_gb, instead of what the queue says")
			fs.Float64Var(&memory, "memory_gb", 0, "memory of a task in GiB")
			fs.Int64Var(&accelerators, "accelerators", 0, "accelerators of a task")
			fs.DurationVar(&runTime, "run_time", 0, "expected run time")
			fs.BoolVar(&wait, "wait", false, "wait until the job has ended")
			many.flags(fs)
		})
}

// newID makes a job id; without a zone the entry VM is asked for its own.
func (a *App) newID(ctx context.Context, client *entry.Client, zone string) (string, error) {
	if zone != "" {
		return NewJobID(zone), nil
	}
	st, err := client.WithKey("").Status(ctx)
	if err != nil {
		return "", fmt.Errorf("%w: give --zone or --id (the entry VM did not tell its zone: %w)", errUsage, err)
	}
	return NewJobID(st.Zone), nil
}

var errJobFailed = errors.New("the job did not finish")

// waitFor shows a job once it has ended.
func (a *App) waitFor(ctx context.Context, client *entry.Client, id string) error {
	started := time.Now()
	for {
		st, err := client.Job(ctx, id, pollWait)
		if err != nil {
			a.endProgress()
			return err
		}
		if !st.State.Ended() {
			a.progress("%s: %s %s (%v)", id, st.State, st.Reason, time.Since(started).Round(time.Second))
			continue
		}
		a.endProgress()
		if err := a.print(st, func(w io.Writer) { writeJob(w, st) }); err != nil {
			return err
		}
		if st.State != pj.JobFinished {
			return fmt.Errorf("%w: %s", errJobFailed, st.State)
		}
		return nil
	}
}

func (a *App) job() *ffcli.Command {
	var wait bool
	return a.command("job", "ID", "Show a job, or wait until it has ended",
		"papaya job --key KEY --wait thies-atelier.5a1f0c77d2e94b16",
		func(ctx context.Context, args []string) error {
			id, err := one(args, "job id")
			if err != nil {
				return err
			}
			return a.withClient(func(client *entry.Client) error {
				if wait {
					return a.waitFor(ctx, client, id)
				}
				st, err := client.Job(ctx, id, 0)
				if err != nil {
					return err
				}
				return a.print(st, func(w io.Writer) { writeJob(w, st) })
			})
		},
		func(fs *flag.FlagSet) { fs.BoolVar(&wait, "wait", false, "wait until the job has ended") })
}

func (a *App) cancel() *ffcli.Command {
	return a.command("cancel", "ID", "Cancel a job; what runs of it is stopped",
		"papaya cancel --key KEY thies-atelier.5a1f0c77d2e94b16",
		func(ctx context.Context, args []string) error {
			id, err := one(args, "job id")
			if err != nil {
				return err
			}
			return a.withClient(func(client *entry.Client) error {
				st, err := client.Cancel(ctx, id)
				if err != nil {
					return err
				}
				return a.print(st, func(w io.Writer) { writeJob(w, st) })
			})
		})
}
