//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployments, as their pages give them.
const (
	maxHold         = 10 * time.Second
	gangTimeout     = 3 * time.Second
	heartbeatPeriod = 1500 * time.Millisecond
	heartbeatWait   = time.Second
	maxListedEnds   = 500
)

// jobTimes says how the tasks of a job behave on a runner.
type jobTimes struct {
	tenant string
	cpu    int64
	run    time.Duration
	lasts  bool
	gang   int // members, 0 for a task that works alone
}

type runKey struct {
	task string
	run  int
}

type activeRun struct {
	started time.Time
	workAt  time.Time // when it began to work; zero while a gang is not complete
	fails   bool
}

type endRow struct {
	n    int64
	key  runKey
	how  string
	done bool
}

// runner is one stand-in runner. All fields below mu of its fleet belong to that lock.
type runner struct {
	fleet   *fleet
	id      string
	address string
	zone    string
	labels  []string
	cpu     int64
	mem     int64
	born    int64
	began   time.Time
	fence   uint64
	until   int64
	runs    map[runKey]*activeRun
	highest map[string]int // highest run of a task that was stopped or has ended here
	ends    []endRow
	lastEnd int64
	failAll bool
	seq     int64
	server  *http.Server
}

// fleet is the set of stand-in runners of one service.
type fleet struct {
	record  *record
	service string
	control []string
	http    *http.Client

	mu      sync.Mutex
	runners []*runner
	jobs    map[string]jobTimes
	starts  map[string]int // by job
}

func newFleet(r *record, service string, control []string) *fleet {
	return &fleet{record: r, service: service, control: control, http: &http.Client{Timeout: heartbeatWait}, jobs: map[string]jobTimes{}, starts: map[string]int{}}
}

func (f *fleet) setJob(id string, t jobTimes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id] = t
}

func (f *fleet) add(ctx context.Context, id, ip, zone string, labels []string, cpu, mem int64) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	r := &runner{fleet: f, id: id, address: listener.Addr().String(), zone: zone, labels: labels, cpu: cpu, mem: mem, born: time.Now().UnixMilli(), began: time.Now(), runs: map[runKey]*activeRun{}, highest: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.start)
	mux.HandleFunc("POST /run-stop", r.stop)
	mux.HandleFunc("POST /hold", r.hold)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(listener) }()
	f.mu.Lock()
	f.runners = append(f.runners, r)
	f.mu.Unlock()
	go r.heartbeat(ctx)
	return nil
}

func (r *runner) clock() int64 { return time.Since(r.began).Milliseconds() + 1 }

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// advance ends what is over. It is called with the lock held.
func (f *fleet) advance() {
	now := time.Now()
	for _, r := range f.runners {
		for key, a := range r.runs {
			t := f.jobs[jobOf(key.task)]
			switch {
			case r.clock() > r.until:
				r.end(key, "lapsed")
			case a.fails && now.Sub(a.started) >= 200*time.Millisecond:
				r.end(key, "failed")
			case a.workAt.IsZero() && now.Sub(a.started) >= gangTimeout:
				r.end(key, "alone")
			case !a.workAt.IsZero() && !t.lasts && now.Sub(a.workAt) >= t.run:
				r.end(key, "done")
			}
		}
	}
}

// end lists the end of a run; the other members of its gang end too.
func (r *runner) end(key runKey, how string) {
	f := r.fleet
	r.endOne(key, how)
	if f.jobs[jobOf(key.task)].gang == 0 {
		return
	}
	step := key.task[:strings.LastIndex(key.task, ".")+1]
	for _, o := range f.runners {
		for other := range o.runs {
			if other.run == key.run && strings.HasPrefix(other.task, step) {
				if how == "done" {
					o.endOne(other, "done")
				} else {
					o.endOne(other, "broken")
				}
			}
		}
	}
}

func (r *runner) endOne(key runKey, how string) {
	delete(r.runs, key)
	r.highest[key.task] = max(r.highest[key.task], key.run)
	r.lastEnd++
	r.ends = append(r.ends, endRow{n: r.lastEnd, key: key, how: how})
	r.fleet.record.write("runner=%s end task=%s run=%d how=%s", r.id, key.task, key.run, how)
}

// used returns the thousandths of a core in use on the runner.
func (r *runner) used() int64 {
	var sum int64
	for key := range r.runs {
		sum += r.fleet.jobs[jobOf(key.task)].cpu
	}
	return sum
}

type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	UntilMS int64  `json:"until_ms"`
	Fence   uint64 `json:"fencing_token"`
	Ack     int64  `json:"ack_seq"`
	WaitMS  int64  `json:"wait_ms"`
}

// read reads an order and checks its receiver and its fencing token. It returns with the lock held if ok.
func (r *runner) read(w http.ResponseWriter, q *http.Request) (o order, ok bool) {
	body, err := io.ReadAll(q.Body)
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if id := q.Header.Get("X-Papayajunction-Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	r.fleet.mu.Lock()
	r.fleet.advance()
	if o.Fence < r.fence {
		r.fleet.mu.Unlock()
		r.refuse(w, "fence")
		return o, false
	}
	r.fence = o.Fence
	return o, true
}

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_, _ = fmt.Fprintf(w, `{"clock_ms":%d,"reason":%q}`, r.clock(), reason)
}

func (r *runner) accept(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"clock_ms":%d}`, r.clock())
}

func (r *runner) extend(until int64) {
	r.until = max(r.until, min(until, r.clock()+maxHold.Milliseconds()))
}

func (r *runner) start(w http.ResponseWriter, q *http.Request) {
	o, ok := r.read(w, q)
	if !ok {
		return
	}
	f := r.fleet
	defer f.mu.Unlock()
	key := runKey{o.Task, o.Run}
	t, known := f.jobs[jobOf(o.Task)]
	switch {
	case r.runs[key] != nil:
		r.accept(w)
		return
	case o.Run <= r.highest[o.Task]:
		r.extend(o.UntilMS)
		r.refuse(w, "old")
		return
	case o.UntilMS <= r.clock():
		r.refuse(w, "late")
		return
	}
	r.extend(o.UntilMS)
	a := &activeRun{started: time.Now(), fails: r.failAll}
	r.runs[key] = a
	f.starts[jobOf(o.Task)]++
	f.record.write("runner=%s start task=%s run=%d known=%t fails=%t used=%d of %d", r.id, o.Task, o.Run, known, a.fails, r.used(), r.cpu)
	if t.gang == 0 {
		a.workAt = a.started
	} else {
		f.assemble(key, t.gang)
	}
	r.accept(w)
}

// assemble lets the members of a gang work once all of them are present.
func (f *fleet) assemble(key runKey, members int) {
	step := key.task[:strings.LastIndex(key.task, ".")+1]
	var present []*activeRun
	for _, r := range f.runners {
		for other, a := range r.runs {
			if other.run == key.run && strings.HasPrefix(other.task, step) {
				present = append(present, a)
			}
		}
	}
	if len(present) == members {
		for _, a := range present {
			a.workAt = time.Now()
		}
	}
}

func (r *runner) stop(w http.ResponseWriter, q *http.Request) {
	o, ok := r.read(w, q)
	if !ok {
		return
	}
	defer r.fleet.mu.Unlock()
	key := runKey{o.Task, o.Run}
	if r.runs[key] != nil {
		r.end(key, "stopped")
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	r.accept(w)
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	o, ok := r.read(w, q)
	if !ok {
		return
	}
	f := r.fleet
	r.extend(o.UntilMS)
	for len(r.ends) > 0 && r.ends[0].n <= o.Ack {
		r.ends = r.ends[1:]
	}
	deadline := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for len(r.ends) == 0 && time.Now().Before(deadline) && q.Context().Err() == nil {
		f.mu.Unlock()
		time.Sleep(15 * time.Millisecond)
		f.mu.Lock()
		f.advance()
	}
	running, finished := [][]any{}, [][]any{}
	for key, a := range r.runs {
		t, percent := f.jobs[jobOf(key.task)], 0
		switch {
		case a.workAt.IsZero():
		case t.lasts:
			percent = 100
		case t.run > 0:
			percent = min(99, int(100*time.Since(a.workAt)/t.run))
		}
		running = append(running, []any{key.task, key.run, "", percent, t.cpu})
	}
	for _, e := range r.ends[:min(len(r.ends), maxListedEnds)] {
		finished = append(finished, []any{e.n, e.key.task, e.key.run, e.how, ""})
	}
	body, _ := json.Marshal(map[string]any{"clock_ms": r.clock(), "born": r.born, "running": running, "finished": finished})
	f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// heartbeat announces the runner; without an acknowledgement within a second it calls the next node.
func (r *runner) heartbeat(ctx context.Context) {
	target := int(r.born+int64(len(r.id))) % len(r.fleet.control)
	for ctx.Err() == nil {
		r.fleet.mu.Lock()
		r.seq++
		body, _ := json.Marshal(map[string]any{
			"service": r.fleet.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": r.mem, "gpu": 0}, "labels": r.labels, "clock_ms": r.clock(), "seq": r.seq, "born": r.born,
		})
		r.fleet.mu.Unlock()
		status, _, err := call(r.fleet.http, http.MethodPut, r.fleet.control[target], "/instances/"+r.id, "", "", body)
		pause := heartbeatPeriod
		if err != nil || status/100 != 2 {
			target = (target + 1) % len(r.fleet.control)
			pause = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// call sends one HTTP request and reads the whole response.
func call(client *http.Client, method, address, path, host, key string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if host != "" {
		request.Host = host
	}
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Papayajunction-Deadline-Ms", strconv.Itoa(3000))
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// failOne lets one run of a job fail, the one whose task comes next in turn.
func (f *fleet) failOne(job string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	type place struct {
		r   *runner
		key runKey
	}
	var places []place
	for _, r := range f.runners {
		for key := range r.runs {
			if jobOf(key.task) == job {
				places = append(places, place{r, key})
			}
		}
	}
	sort.Slice(places, func(i, j int) bool { return places[i].key.task < places[j].key.task })
	if len(places) > 0 {
		p := places[n%len(places)]
		p.r.end(p.key, "failed")
	}
}

// look is what the runners show at one moment.
type look struct {
	running  map[string]int   // runs by job
	tasks    map[string]bool  // tasks with a run
	tenant   map[string]int64 // thousandths of a core in use by tenant
	used     int64
	capacity int64
	free     []*runner
	freeCPU  []int64
}

func (f *fleet) look() look {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	l := look{running: map[string]int{}, tasks: map[string]bool{}, tenant: map[string]int64{}}
	for _, r := range f.runners {
		l.capacity += r.cpu
		l.used += r.used()
		l.free = append(l.free, r)
		l.freeCPU = append(l.freeCPU, r.cpu-r.used())
		for key := range r.runs {
			l.running[jobOf(key.task)]++
			l.tasks[key.task] = true
			l.tenant[f.jobs[jobOf(key.task)].tenant] += f.jobs[jobOf(key.task)].cpu
		}
	}
	return l
}

// places returns how many tasks of a size have room on the runners with a label.
func (l look) places(cpu int64, label string) int {
	n := 0
	for i, r := range l.free {
		if i := sort.SearchStrings(r.labels, label); label != "" && (i == len(r.labels) || r.labels[i] != label) {
			continue
		}
		n += int(max(l.freeCPU[i], 0) / cpu)
	}
	return n
}

// roomWithout returns on how many runners without a run of the job there is room for a task.
func (f *fleet) roomWithout(job string, cpu int64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.runners {
		holds := false
		for key := range r.runs {
			holds = holds || jobOf(key.task) == job
		}
		if !holds && r.cpu-r.used() >= cpu {
			n++
		}
	}
	return n
}
