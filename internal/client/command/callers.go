package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
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

// NewJobID returns a random id for a job whose home zone is zone.
func NewJobID(zone string) string {
	b := make([]byte, randomIDBytes)
	_, _ = rand.Read(b)
	return zone + "." + hex.EncodeToString(b)
}

func (a *App) request() *ffcli.Command {
	var body, file string
	load := loadTest{app: a}
	return a.newCommand("request", "QUEUE", "Send a request and show the response, or send many and count the outcomes",
		`papaya request --key KEY --body '{"valve": "v5-2", "count": 12}' price-quote`+
			"\npapaya request --key KEY --count 1000 --parallel 20 price-quote",
		func(ctx context.Context, args []string) error {
			queue, err := singleArg(args, "queue")
			if err != nil {
				return err
			}
			data := []byte(body)
			if file != "" {
				if data, err = os.ReadFile(filepath.Clean(file)); err != nil {
					return fmt.Errorf("read body: %w", err)
				}
			}
			if load.count > 1 {
				load.send = func(ctx context.Context, client *entry.Client, n int) error {
					return sendRequest(ctx, client, queue, string(data), n)
				}
				return load.run(ctx)
			}
			return a.withClient(func(client *entry.Client) error {
				response, err := client.Request(ctx, queue, data)
				if err != nil {
					return err
				}
				_, _ = fmt.Fprintf(a.out, "%s\n", response.Body)
				if response.Status >= http.StatusBadRequest {
					return fmt.Errorf("%w: %d", errErrorStatus, response.Status)
				}
				return nil
			})
		},
		func(fs *flag.FlagSet) {
			fs.StringVar(&body, "body", "", "body of the request")
			fs.StringVar(&file, "file", "", "file with the body of the request")
			load.addFlags(fs)
		})
}

func (a *App) submit() *ffcli.Command {
	var id, zone, payload string
	var tasks int
	var cores, memory float64
	var accelerators int64
	var runTime time.Duration
	var wait bool
	load := loadTest{app: a}
	return a.newCommand("submit", "QUEUE", "Submit a job; a repeated submission with the same --id refers to the same job",
		"papaya submit --key KEY --zone thies-atelier --payload manifold-7 --wait manifold-simulation",
		func(ctx context.Context, args []string) error {
			queue, err := singleArg(args, "queue")
			if err != nil {
				return err
			}
			submission := pj.Submission{
				Queue: queue, Tasks: tasks, Task: pj.NewResources(cores, memory, accelerators, 0),
				RunTime: pj.Duration(runTime), Payload: payload,
			}
			if load.count > 1 {
				zones := strings.Split(zone, ",")
				load.send = func(ctx context.Context, client *entry.Client, n int) error {
					return runJob(ctx, client, NewJobID(zones[n%len(zones)]), submission)
				}
				return load.run(ctx)
			}
			return a.withClient(func(client *entry.Client) error {
				if id == "" {
					if id, err = a.newJobID(ctx, client, zone); err != nil {
						return err
					}
				}
				st, err := client.Submit(ctx, id, submission)
				if err != nil {
					return addJobID(id, err)
				}
				if wait {
					// The job is accepted, so an error that says "not run" speaks of the query only.
					return addJobID(id, pj.ClearNotRun(a.waitForJob(ctx, client, id)))
				}
				return a.print(st, func(w io.Writer) { writeJob(w, st) })
			})
		},
		func(fs *flag.FlagSet) {
			fs.StringVar(&id, "id", "", "job id, as ZONE.RANDOM; by default a new one")
			fs.StringVar(&zone, "zone", "", "home zone of the job; by default that of the entry VM; with --count, several zones separated by commas")
			fs.StringVar(&payload, "payload", "", "payload passed to the tasks")
			fs.IntVar(&tasks, "tasks", 0, "number of tasks; by default as the queue is configured")
			fs.Float64Var(&cores, "cores", 0, "cores of a task; with --memory_gb, overrides the queue's configuration")
			fs.Float64Var(&memory, "memory_gb", 0, "memory of a task in GiB")
			fs.Int64Var(&accelerators, "accelerators", 0, "accelerators of a task")
			fs.DurationVar(&runTime, "run_time", 0, "expected run time")
			fs.BoolVar(&wait, "wait", false, "wait until the job has ended")
			load.addFlags(fs)
		})
}

// addJobID adds the id of a job, which the user needs to query the job or to submit it again, to the message of an error.
func addJobID(id string, err error) error {
	if err == nil {
		return nil
	}
	var e *pj.Error
	if !errors.As(err, &e) {
		return fmt.Errorf("job %s: %w", id, err)
	}
	withID := *e
	withID.Message = "job " + id + ": " + e.Message
	return &withID
}

// newJobID returns a new job id; without a zone, it requests the status of the entry VM and uses its zone.
func (a *App) newJobID(ctx context.Context, client *entry.Client, zone string) (string, error) {
	if zone != "" {
		return NewJobID(zone), nil
	}
	st, err := client.WithKey("").Status(ctx)
	if err != nil {
		return "", fmt.Errorf("%w: give --zone or --id (the zone of the entry VM could not be determined: %w)", errUsage, err)
	}
	return NewJobID(st.Zone), nil
}

var errJobFailed = errors.New("the job did not finish")

// waitForJob polls a job until it has ended and shows it; any other final state than finished is an error.
func (a *App) waitForJob(ctx context.Context, client *entry.Client, id string) error {
	started := time.Now()
	for {
		st, err := client.Job(ctx, id, pollWait)
		if err != nil {
			a.clearProgress()
			return err
		}
		if !st.State.Final() {
			a.progress("%s: %s %s (%v)", id, st.State, st.Reason, time.Since(started).Round(time.Second))
			continue
		}
		a.clearProgress()
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
	return a.newCommand("job", "ID", "Show a job, or wait until it has ended",
		"papaya job --key KEY --wait thies-atelier.5a1f0c77d2e94b16",
		func(ctx context.Context, args []string) error {
			id, err := singleArg(args, "job id")
			if err != nil {
				return err
			}
			return a.withClient(func(client *entry.Client) error {
				if wait {
					return a.waitForJob(ctx, client, id)
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
	return a.newCommand("cancel", "ID", "Cancel a job; its running tasks are stopped",
		"papaya cancel --key KEY thies-atelier.5a1f0c77d2e94b16",
		func(ctx context.Context, args []string) error {
			id, err := singleArg(args, "job id")
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
