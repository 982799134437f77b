package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	pj "papayajunction"
	"papayajunction/internal/standin/called"
)

// Figures of the load.
const (
	jobsPerSecond  = 8
	cancelOneIn    = 12
	configEvery    = 3 * time.Second
	announceEvery  = 700 * time.Millisecond
	callTimeout    = 3 * time.Second
	tryAgainAfter  = 300 * time.Millisecond
	triesMost      = 20
	workerCores    = 8
	firstStepTasks = 3
)

// job is one piece of work as its caller knows it.
type job struct {
	accepted  bool
	rejected  bool // all answers said that it never runs
	cancelled bool
	state     string
}

// load hands in work and remembers what was promised.
type load struct {
	client *http.Client
	fleet  *called.Fleet

	mu       sync.Mutex
	rand     *rand.Rand
	jobs     map[string]*job
	ran      map[string]bool // workflows of which a worker was told to start something
	version  int64           // of the newest configuration that was acknowledged
	breaches []string
}

func newLoad(seed uint64) *load {
	return &load{
		client: &http.Client{Timeout: callTimeout}, rand: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // not for secrets
		jobs: make(map[string]*job), ran: make(map[string]bool),
	}
}

func (l *load) breach(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaches = append(l.breaches, fmt.Sprintf(format, args...))
}

// checkedLink notes what is started and finds starts before their turn.
type checkedLink struct {
	pj.WorkerLink
	load *load
}

// Start is part of pj.WorkerLink.
func (c *checkedLink) Start(ctx context.Context, w *pj.CalledWorker, o pj.StartOrder) (int64, error) {
	clock, err := c.WorkerLink.Start(ctx, w, o)
	if err != nil {
		return clock, err
	}
	c.load.mu.Lock()
	c.load.ran[o.Run.Task.Workflow] = true
	c.load.mu.Unlock()
	if o.Run.Task.Step > 0 {
		for i := range firstStepTasks {
			before := pj.TaskID{StepID: pj.StepID{Workflow: o.Run.Task.Workflow}, Index: i}
			if !c.load.fleet.Finished(before) {
				c.load.breach("task %s was started before task %s had finished", o.Run.Task, before)
			}
		}
	}
	return clock, nil
}

// call sends a request to one VM and returns the status, 0 if there was no answer.
func (l *load) call(ctx context.Context, method, address, path string, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			l.breach("the body of %s can't be written: %v", path, err)
			return 0, nil
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		l.breach("the call of %s can't be made: %v", path, err)
		return 0, nil
	}
	request.Host = "jobs.example"
	request.Header.Set("Authorization", "Token key-1")
	request.Header.Set("Content-Type", "application/json")
	response, err := l.client.Do(request)
	if err != nil {
		return 0, nil // faults are the point of the run
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// pick returns a random VM's address at a port.
func (l *load) pick(role string, port int) string {
	var list []vm
	for _, v := range vms() {
		if v.role == role {
			list = append(list, v)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return list[l.rand.IntN(len(list))].at(port)
}

// submit hands in one job until it is accepted or every answer has refused it.
func (l *load) submit(ctx context.Context, id string, cancel bool) {
	task := map[string]any{"cpu": 2000, "mem_mb": 512, "estimate_ms": taskTime.Milliseconds()}
	step := func(count int, more map[string]any) map[string]any {
		s := map[string]any{"count": count}
		for _, fields := range []map[string]any{task, more} {
			for k, v := range fields {
				s[k] = v
			}
		}
		return s
	}
	body := map[string]any{"spec": id, "steps": []any{step(firstStepTasks, nil), step(2, map[string]any{"gang": true, "depends_on": []int{0}})}}
	j := &job{rejected: true}
	l.mu.Lock()
	l.jobs[id] = j
	l.mu.Unlock()
	for range triesMost {
		status, _ := l.call(ctx, http.MethodPost, l.pick("entry", frontPort), "/work/"+id, body)
		l.mu.Lock()
		j.accepted = status == http.StatusOK
		j.rejected = j.rejected && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		l.mu.Unlock()
		if j.accepted || ctx.Err() != nil {
			break
		}
		time.Sleep(tryAgainAfter)
	}
	if j.accepted && cancel {
		status, _ := l.call(ctx, http.MethodDelete, l.pick("entry", frontPort), "/work/"+id, nil)
		l.mu.Lock()
		j.cancelled = status != http.StatusGone // without an answer it may be
		l.mu.Unlock()
		if status == http.StatusGone {
			l.breach("job %s was accepted, and its cancelling was told that there is none", id)
		}
	}
}

// hand hands in jobs until ctx ends and asks for the state of earlier ones.
func (l *load) hand(ctx context.Context) {
	ticker := time.NewTicker(time.Second / jobsPerSecond)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		cancel := l.rand.IntN(cancelOneIn) == 0
		earlier := fmt.Sprintf("%016x", 1+l.rand.IntN(n))
		l.mu.Unlock()
		go l.submit(context.WithoutCancel(ctx), fmt.Sprintf("%016x", n), cancel)
		go l.ask(context.WithoutCancel(ctx), earlier)
	}
}

// ask asks for the state of a job: one that was accepted before must be known, and a final state never changes.
func (l *load) ask(ctx context.Context, id string) string {
	l.mu.Lock()
	j := l.jobs[id]
	l.mu.Unlock()
	if j == nil {
		return ""
	}
	l.mu.Lock()
	accepted := j.accepted
	l.mu.Unlock()
	status, body := l.call(ctx, http.MethodGet, l.pick("entry", frontPort), "/work/"+id, nil)
	if status == http.StatusGone && accepted {
		l.breach("job %s was accepted and isn't known any more", id)
	}
	var answer struct{ State string }
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	final := j.state == string(pj.WorkflowComplete) || j.state == string(pj.WorkflowCancelled)
	if final && answer.State != j.state {
		l.breaches = append(l.breaches, fmt.Sprintf("job %s was %s and is %s", id, j.state, answer.State))
	}
	j.state = answer.State
	return j.state
}

// configure publishes new versions and reads back what is in force until ctx ends.
func (l *load) configure(ctx context.Context) {
	for version := int64(1); ctx.Err() == nil; version++ {
		config := map[string]any{
			"version":  version,
			"routes":   []any{map[string]any{"name": "work", "host": "jobs.example", "path_prefix": "/work/", "timeout_ms": 3000 + version, "service": "pool", "max_attempts": 3, "stretch": 2}},
			"services": []any{map[string]any{"name": "pool"}},
			"tenants":  []any{map[string]any{"name": "team", "api_keys": []string{"key-1"}, "weight": 1, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
		}
		for ctx.Err() == nil {
			if status, _ := l.call(ctx, http.MethodPut, l.pick("replica", controlPort), "/config", config); status == http.StatusOK {
				l.mu.Lock()
				l.version = version
				l.mu.Unlock()
				break
			}
			time.Sleep(tryAgainAfter)
		}
		select {
		case <-ctx.Done():
		case <-time.After(configEvery):
			l.readBack(ctx)
		}
	}
}

// readBack reads the configuration; an older version than an acknowledged one breaks a promise.
func (l *load) readBack(ctx context.Context) {
	l.mu.Lock()
	acked := l.version
	l.mu.Unlock()
	status, body := l.call(ctx, http.MethodGet, l.pick("replica", controlPort), "/config", nil)
	var read struct{ Version int64 }
	if status == http.StatusOK && (json.Unmarshal(body, &read) != nil || read.Version < acked) {
		l.breach("version %d was acknowledged, and version %d was read", acked, read.Version)
	}
}

// announce sends a worker's heartbeats until ctx ends.
func (l *load) announce(ctx context.Context, i int, born int64) {
	for seq := 1; ctx.Err() == nil; seq++ {
		beat := map[string]any{
			"service": "pool", "address": fmt.Sprintf("%s:%d", workerIP, workerPort+i), "zone": zone(i), "state": "ready", "seq": seq, "born": born,
			"capacity": map[string]any{"cpu": workerCores * 1000, "mem_mb": 16384, "gpu": 0}, "labels": []string{"a", "r1"},
		}
		l.call(ctx, http.MethodPut, l.pick("replica", controlPort), "/instances/"+workerName(i), beat)
		select {
		case <-ctx.Done():
		case <-time.After(announceEvery):
		}
	}
}
