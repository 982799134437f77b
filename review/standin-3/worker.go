//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployments.
const (
	maxHold   = 10 * time.Second
	heartbeat = 1500 * time.Millisecond
	maxEnds   = 500 // in one answer
)

// Ways in which a run ends by itself.
const (
	howDone   = "done"
	howFailed = "failed"
)

// behaviour says how long a run of a task takes and how it ends. A duration of 0 is without end.
type behaviour func(task string, run int) (time.Duration, string)

// attempt is one run on a worker.
type attempt struct {
	task    string
	run     int
	started time.Time
	ends    time.Time // zero: it lasts
	how     string
	length  time.Duration
}

// end is a row of the list of ends.
type end struct {
	number int64
	task   string
	run    int
	how    string
}

// worker is a stand-in for a runner, as the pages describe it.
type worker struct {
	fleet   *fleet
	id      string
	address string
	zone    string
	labels  []string
	born    int64
	clock0  int64
	server  *http.Server

	mu         sync.Mutex
	seq        int64
	fence      uint64
	leaseUntil int64
	running    map[string]*attempt // by task
	last       map[string]int      // highest run that was stopped or has ended, by task
	ends       []end
	number     int64
	gone       bool
}

// crash ends a worker for good: it says nothing, and all that ran there has ended.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.gone = true
	_ = w.server.Close() // the listener may be closed already
	w.fleet.record.add("crash %s is lost for good", w.id)
	for _, a := range w.running {
		w.fleet.ended(w.id, a, "crashed", time.Now())
	}
	clear(w.running)
}

// span is the time in which a run of a task was at work.
type span struct {
	worker   string
	run      int
	from, to time.Time // to is zero while it runs
	how      string
}

// fleet is all workers of a service.
type fleet struct {
	record  *recorder
	started time.Time
	behave  behaviour
	workers []*worker
	advice  *adviceService // nil if the queues have no policy

	mu    sync.Mutex
	spans map[string][]*span // by task
}

// workerCPU and workerMemoryMB are the capacity of a worker of the small deployments.
const (
	workerCPU      = 64000
	workerMemoryMB = 262144
)

func newFleet(ctx context.Context, r *recorder, n int, behave behaviour) (*fleet, error) {
	f := &fleet{record: r, started: time.Now(), behave: behave, spans: make(map[string][]*span)}
	for i := range n {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback(1)+":0")
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		w := &worker{
			fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), address: listener.Addr().String(), zone: fmt.Sprintf("zone-%d", i%3+1),
			labels: []string{string(rune('a' + i%2)), fmt.Sprintf("r1-%d", i/8)}, born: time.Now().UnixMilli(), clock0: 1000 + int64(i),
			running: make(map[string]*attempt), last: make(map[string]int),
		}
		mux := http.NewServeMux()
		for path, handle := range map[string]func(*call) (int, map[string]any){"/run-start": w.start, "/run-stop": w.stop, "/pace": w.pace, "/hold": w.hold} {
			mux.HandleFunc("POST "+path, w.serve(handle))
		}
		server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
		w.server = server
		context.AfterFunc(ctx, func() { _ = server.Close() })
		go func() { _ = server.Serve(listener) }()
		f.workers = append(f.workers, w)
	}
	return f, nil
}

// call is the body of a call to a worker.
type call struct {
	Task    string          `json:"task"`
	Run     int             `json:"run"`
	Spec    string          `json:"spec"`
	UntilMS int64           `json:"until_ms"`
	Fence   uint64          `json:"fencing_token"`
	Ack     int64           `json:"ack_seq"`
	WaitMS  int64           `json:"wait_ms"`
	Percent int             `json:"percent"`
	Ticket  string          `json:"ticket"`
	ctx     context.Context //nolint:containedctx // of the HTTP request
}

func (w *worker) serve(handle func(*call) (int, map[string]any)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var c call
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if instance := r.Header.Get("X-Papayajunction-Expect-Instance"); instance != "" && instance != w.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		c.ctx = r.Context()
		status, answer := handle(&c)
		answer["clock_ms"], answer["born"] = w.clock(), w.born
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_ = json.NewEncoder(out).Encode(answer) // the caller may have gone
	}
}

func (w *worker) clock() int64 {
	return w.clock0 + time.Since(w.fleet.started).Milliseconds()
}

// advance ends what is over by now.
func (w *worker) advance() {
	now := time.Now()
	lapsed := w.leaseUntil != 0 && w.clock() > w.leaseUntil
	for _, a := range w.running {
		switch {
		case !a.ends.IsZero() && !now.Before(a.ends):
			w.finish(a, a.how, a.ends)
		case lapsed:
			w.finish(a, "lapsed", now)
		}
	}
}

func (w *worker) finish(a *attempt, how string, at time.Time) {
	delete(w.running, a.task)
	w.last[a.task] = max(w.last[a.task], a.run)
	w.number++
	w.ends = append(w.ends, end{number: w.number, task: a.task, run: a.run, how: how})
	w.fleet.ended(w.id, a, how, at)
}

// fenced raises the highest token that the worker has seen, and reports whether a call comes too late.
func (w *worker) fenced(c *call) bool {
	if c.Fence < w.fence {
		return true
	}
	w.fence = c.Fence
	return false
}

func (w *worker) renew(untilMS int64) {
	w.leaseUntil = max(w.leaseUntil, min(untilMS, w.clock()+maxHold.Milliseconds()))
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) start(c *call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.fenced(c) {
		return refused("fence")
	}
	if a := w.running[c.Task]; a != nil && a.run == c.Run {
		return http.StatusOK, map[string]any{}
	}
	if c.UntilMS <= w.clock() {
		return refused("late")
	}
	w.renew(c.UntilMS)
	if c.Run <= w.last[c.Task] || w.running[c.Task] != nil {
		return refused("old")
	}
	if !w.fleet.advice.valid(c.Ticket, c.Task[:strings.LastIndex(c.Task, ".")], w.id) {
		return refused("ticket")
	}
	length, how := w.fleet.behave(c.Task, c.Run)
	a := &attempt{task: c.Task, run: c.Run, started: time.Now(), how: how, length: length}
	if length > 0 {
		a.ends = a.started.Add(length)
	}
	w.running[c.Task] = a
	w.fleet.began(w.id, a)
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(c *call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.fenced(c) {
		return refused("fence")
	}
	if a := w.running[c.Task]; a != nil && a.run == c.Run {
		w.finish(a, "stopped", time.Now())
	}
	w.last[c.Task] = max(w.last[c.Task], c.Run)
	return http.StatusOK, map[string]any{}
}

func (w *worker) pace(c *call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(c) {
		return refused("fence")
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(c *call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.fenced(c) {
		return refused("fence")
	}
	w.renew(c.UntilMS)
	w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.number <= c.Ack })
	until := time.Now().Add(time.Duration(c.WaitMS) * time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(until) && c.ctx.Err() == nil {
		w.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		w.advance()
	}
	running, finished := [][]any{}, [][]any{}
	for _, a := range w.running {
		percent := 100
		if !a.ends.IsZero() && a.how == howDone {
			percent = min(99, int(100*time.Since(a.started)/a.length))
		}
		running = append(running, []any{a.task, a.run, "", percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

func (f *fleet) began(worker string, a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spans[a.task] = append(f.spans[a.task], &span{worker: worker, run: a.run, from: a.started})
	f.record.add("run   %s run %d begins on %s", a.task, a.run, worker)
}

func (f *fleet) ended(worker string, a *attempt, how string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.spans[a.task] {
		if s.worker == worker && s.run == a.run && s.to.IsZero() {
			s.to, s.how = at, how
		}
	}
	f.record.add("run   %s run %d ends on %s: %s", a.task, a.run, worker, how)
}

// runs returns the runs so far of the tasks whose names begin so.
func (f *fleet) runs(prefix string) map[string][]span {
	for _, w := range f.workers {
		w.mu.Lock()
		w.advance() // does nothing on one that is gone
		w.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	result := make(map[string][]span)
	for task, spans := range f.spans {
		if !strings.HasPrefix(task, prefix) {
			continue
		}
		for _, s := range spans {
			result[task] = append(result[task], *s)
		}
	}
	return result
}

// announce sends a worker's heartbeats until ctx ends, each to the next replica if one doesn't answer.
func (w *worker) announce(ctx context.Context, replicas []string, service string) {
	at := int(w.number) + len(w.id)
	for ctx.Err() == nil {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		w.seq++
		body, _ := json.Marshal(map[string]any{ // plain values
			"service": service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemoryMB, "gpu": 0}, "labels": w.labels, "clock_ms": w.clock(), "seq": w.seq, "born": w.born,
		})
		w.mu.Unlock()
		for range replicas {
			status := send(ctx, http.MethodPut, replicas[at%len(replicas)], "/instances/"+w.id, "", "", body, time.Second, nil)
			if status >= 200 && status < 300 {
				break
			}
			at++
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// send sends one request and returns its status, 0 without an answer.
func send(ctx context.Context, method, address, path, host, key string, body []byte, timeout time.Duration, answer any) int {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Close = true
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Papayajunction-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	if host != "" {
		request.Host = host
	}
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if answer != nil {
		if err := json.NewDecoder(response.Body).Decode(answer); err != nil && response.StatusCode == http.StatusOK {
			return 0
		}
	}
	return response.StatusCode
}
