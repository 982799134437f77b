//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	callTimeout       = time.Second // without a response for this long, a runner calls the next node
	maxHold           = 10 * time.Second
	maxListedEnds     = 500
	failAfter         = 50 * time.Millisecond
)

// taskRun is a run of a task on a runner.
type taskRun struct {
	task  string
	run   int
	began time.Time
	lasts time.Duration
}

// runner is a stand-in for one life of a runner.
type runner struct {
	ctx         context.Context //nolint:containedctx // ends the runner
	id, address string
	born        int64
	record      *record
	controls    []string
	client      *http.Client
	server      *http.Server
	started     time.Time
	onStart     func(r *runner, t *taskRun) // called when a run begins

	mu         sync.Mutex
	fence      uint64
	leaseUntil int64
	runs       map[string]*taskRun
	lastEnded  map[string]int
	ends       [][5]any // number, task, run, how, checkpoint
	lastEnd    int
	seq        int64
	draining   bool
	up         bool
	cut        bool                         // nothing gets to the runner or from it
	fails      func(*taskRun) bool          // reports whether a run fails by the fault of its task
	holdStart  func(*taskRun) time.Duration // how long a start is held up before it is carried out, without an answer; nil for not at all
	next       int                          // control address for the next call
	changed    chan struct{}
}

func newRunner(ctx context.Context, c *cell, number int, onStart func(*runner, *taskRun)) (*runner, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(c.runnerIP, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen for runner: %w", err)
	}
	r := &runner{
		ctx: ctx, id: fmt.Sprintf("i-%d", number), address: listener.Addr().String(), born: time.Now().UnixMilli(), record: c.record, controls: c.controls(),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}, started: time.Now().Add(-time.Minute), onStart: onStart,
		runs: make(map[string]*taskRun), lastEnded: make(map[string]int), up: true, changed: make(chan struct{}),
	}
	r.serve(listener)
	go r.advance(ctx)
	go r.beat(ctx)
	return r, nil
}

// serve answers calls until the process of the runner ends.
func (r *runner) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handle(r.runStart))
	mux.HandleFunc("POST /run-stop", r.handle(r.runStop))
	mux.HandleFunc("POST /hold", r.handle(r.hold))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// setCut cuts the runner off, or ends that.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.record.add("%s: cut off: %v", r.id, cut)
}

// restart ends the process of the runner and starts the next one under its id and at its address. It knows nothing of before.
func (r *runner) restart() error {
	r.mu.Lock()
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	listener, err := (&net.ListenConfig{}).Listen(r.ctx, "tcp", r.address)
	if err != nil {
		return fmt.Errorf("listen again: %w", err)
	}
	r.mu.Lock()
	r.born, r.started = time.Now().UnixMilli(), time.Now()
	r.fence, r.leaseUntil, r.lastEnd, r.seq = 0, 0, 0, 0
	r.runs, r.lastEnded, r.ends = make(map[string]*taskRun), make(map[string]int), nil
	r.record.add("%s has crashed and is back under its id, born %d", r.id, r.born)
	r.mu.Unlock()
	r.serve(listener)
	return nil
}

// clock returns the runner's steady clock in milliseconds.
func (r *runner) clock() int64 {
	return time.Since(r.started).Milliseconds()
}

// end ends the life of the runner; all that runs on it ends, and its connections close.
func (r *runner) end() {
	r.mu.Lock()
	r.up = false
	for task, t := range r.runs {
		r.record.add("%s ends, and with it run %d of %s", r.id, t.run, task)
	}
	r.runs = make(map[string]*taskRun)
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
}

// running reports whether a run of the task is at work here.
func (r *runner) running(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up && r.runs[task] != nil
}

func (r *runner) isUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up
}

type request struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"until_ms"`
	Fence    uint64 `json:"fencing_token"`
	AckSeq   int    `json:"ack_seq"`
	MaxWait  int64  `json:"wait_ms"`
	received time.Time
}

// handle decodes a call, checks whom it is meant for and its fencing token, and writes the answer.
func (r *runner) handle(execute func(q *request) (reason string, wait bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, h *http.Request) {
		q := request{received: time.Now()}
		if err := json.NewDecoder(h.Body).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if h.Header.Get("X-Papayajunction-Expect-Instance") != r.id {
			http.Error(w, "another runner", http.StatusMisdirectedRequest)
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.cut || r.heldUp(h.URL.Path, &q) {
			r.mu.Unlock()
			<-h.Context().Done()
			r.mu.Lock()
			return
		}
		reason, wait := r.carryOut(&q, execute)
		if reason != "" {
			r.answer(w, http.StatusConflict, reason, false)
			return
		}
		for end := q.received.Add(time.Duration(q.MaxWait) * time.Millisecond); wait && len(r.ends) == 0 && time.Now().Before(end) && h.Context().Err() == nil; {
			changed := r.changed
			r.mu.Unlock()
			select {
			case <-changed:
			case <-h.Context().Done():
			case <-time.After(time.Until(end)):
			}
			r.mu.Lock()
		}
		r.answer(w, http.StatusOK, "", h.URL.Path == "/hold")
	}
}

// carryOut carries out a call unless its fencing token is older than one seen before.
func (r *runner) carryOut(q *request, execute func(q *request) (string, bool)) (reason string, wait bool) {
	if q.Fence < r.fence {
		return "fence", false
	}
	r.fence = q.Fence
	r.expire()
	return execute(q)
}

// heldUp reports whether a call is a start that gets no answer. It is carried out later, by the process that is there then.
func (r *runner) heldUp(path string, q *request) bool {
	if path != "/run-start" || r.holdStart == nil {
		return false
	}
	late := r.holdStart(&taskRun{task: q.Task, run: q.Run})
	if late == 0 {
		return false
	}
	r.record.add("%s: the start of run %d of %s gets no answer", r.id, q.Run, q.Task)
	time.AfterFunc(late, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		reason, _ := r.carryOut(q, r.runStart)
		r.record.add("%s: the start of run %d of %s is carried out %v late: %q", r.id, q.Run, q.Task, late, reason)
	})
	return true
}

func (r *runner) answer(w http.ResponseWriter, status int, reason string, lists bool) {
	body := map[string]any{"clock_ms": r.clock(), "born": r.born}
	if reason != "" {
		body["reason"] = reason
	}
	if lists {
		running := [][]any{}
		for task, t := range r.runs {
			running = append(running, []any{task, t.run, "", int(100 * time.Since(t.began) / t.lasts), 1000})
		}
		body["running"], body["finished"] = running, r.ends[:min(len(r.ends), maxListedEnds)]
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// extend extends the lease; it never shortens it.
func (r *runner) extend(untilMS int64) {
	r.leaseUntil = max(r.leaseUntil, min(untilMS, r.clock()+maxHold.Milliseconds()))
}

func (r *runner) runStart(q *request) (string, bool) {
	if t := r.runs[q.Task]; t != nil && t.run == q.Run {
		return "", false
	}
	if q.Run <= r.lastEnded[q.Task] {
		r.extend(q.UntilMS)
		return "old", false
	}
	if q.UntilMS <= r.clock() {
		return "late", false
	}
	r.extend(q.UntilMS)
	t := &taskRun{task: q.Task, run: q.Run, began: time.Now(), lasts: durationOf(q.Spec)}
	r.runs[q.Task] = t
	r.record.add("%s begins run %d of %s", r.id, q.Run, q.Task)
	if r.onStart != nil {
		go r.onStart(r, t) // it looks at other runners, which may look at this one
	}
	return "", false
}

// durationOf reads how long a task takes, in milliseconds, from the spec.
func durationOf(spec string) time.Duration {
	ms, err := strconv.Atoi(strings.TrimPrefix(spec, "ms="))
	if err != nil {
		ms = 1000
	}
	return time.Duration(ms) * time.Millisecond
}

func (r *runner) runStop(q *request) (string, bool) {
	if t := r.runs[q.Task]; t != nil && t.run == q.Run {
		r.endRun(t, "stopped")
	}
	r.lastEnded[q.Task] = max(r.lastEnded[q.Task], q.Run)
	return "", false
}

func (r *runner) hold(q *request) (string, bool) {
	if q.UntilMS > 0 {
		r.extend(q.UntilMS)
	}
	kept := r.ends[:0]
	for _, e := range r.ends {
		if n, ok := e[0].(int); ok && n > q.AckSeq {
			kept = append(kept, e)
		}
	}
	r.ends = kept
	return "", true
}

func (r *runner) endRun(t *taskRun, how string) {
	delete(r.runs, t.task)
	r.lastEnded[t.task] = max(r.lastEnded[t.task], t.run)
	r.lastEnd++
	r.ends = append(r.ends, [5]any{r.lastEnd, t.task, t.run, how, ""})
	r.record.add("%s: run %d of %s ends as %s", r.id, t.run, t.task, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// expire ends the runs that are done, or whose lease is over.
func (r *runner) expire() {
	for _, t := range r.runs {
		switch {
		case r.clock() > r.leaseUntil:
			r.endRun(t, "lapsed")
		case r.fails != nil && r.fails(t) && time.Since(t.began) >= failAfter:
			r.endRun(t, "failed")
		case time.Since(t.began) >= t.lasts:
			r.endRun(t, "done")
		}
	}
}

func (r *runner) advance(ctx context.Context) {
	for r.isUp() && sleep(ctx, 10*time.Millisecond) == nil {
		r.mu.Lock()
		if r.up {
			r.expire()
		}
		r.mu.Unlock()
	}
}

// beat sends a heartbeat at each interval, until the runner ends.
func (r *runner) beat(ctx context.Context) {
	for r.isUp() {
		r.heartbeat(ctx)
		if sleep(ctx, heartbeatInterval) != nil {
			return
		}
	}
}

// heartbeatBody returns the body of the next heartbeat.
func (r *runner) heartbeatBody() ([]byte, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": serviceName, "address": r.address, "zone": "west-a", "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": 64000, "mem_mb": 262144, "gpu": 0}, "labels": []string{"a", "r1-1"}, "clock_ms": r.clock(), "seq": r.seq, "born": r.born,
	}
	if r.draining {
		body["remaining_ms"] = 2500
	}
	data, _ := json.Marshal(body)
	return data, fmt.Sprintf("seq %d %s", r.seq, state)
}

// heartbeat sends a heartbeat to one node after the other until one acknowledges it.
func (r *runner) heartbeat(ctx context.Context) bool {
	for range 2 * len(r.controls) {
		if !r.isUp() || ctx.Err() != nil {
			return false
		}
		body, what := r.heartbeatBody()
		if r.send(ctx, r.client, http.MethodPut, r.node(), body, what) {
			return true
		}
		r.moveOn()
	}
	return false
}

// node returns the node that the runner calls at present.
func (r *runner) node() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controls[r.next%len(r.controls)]
}

func (r *runner) moveOn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
}

// send sends one call about the runner to a node and reports whether it was acknowledged.
func (r *runner) send(ctx context.Context, client *http.Client, method, node string, body []byte, what string) bool {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+node+"/instances/"+r.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	q.Header.Set("Content-Type", "application/json")
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	if cut {
		_ = sleep(ctx, callTimeout)
		return false
	}
	sent := time.Now()
	response, err := client.Do(q)
	if err != nil {
		r.record.add("%s: %s %s to %s: no answer after %v", r.id, method, what, node, time.Since(sent).Round(time.Millisecond))
		return false
	}
	_ = response.Body.Close()
	r.record.add("%s: %s %s to %s: %d after %v", r.id, method, what, node, response.StatusCode, time.Since(sent).Round(time.Millisecond))
	return response.StatusCode/100 == 2
}

// drain makes the runner report that it drains, and returns once that is acknowledged.
func (r *runner) drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	if !r.heartbeat(ctx) {
		return fmt.Errorf("%s: draining was not acknowledged", r.id)
	}
	return nil
}
