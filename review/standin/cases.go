//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The queues and tenants of all cases.
const (
	host         = "jobs.example"
	urgentPrefix = "/urgent/" // priority 0
	laterPrefix  = "/later/"  // priority 2
	keyA, keyB   = "key-of-tenant-a", "key-of-tenant-b"
	finish       = 14 * time.Second // finish_s of the small deployments
	idleTime     = 3 * time.Second  // the rule's time without a run
)

// route is a queue of the configuration, with the fields that the pages show.
func route(name, prefix string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 400, "priority": priority,
		"service": "service-1", "max_attempts": attempts, "stretch": 4.0, "public": false,
	}
}

func tenant(name, key string, weight int, cpu int64) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}, "priority": 1, "weight": weight, "cap": map[string]int64{"cpu": cpu, "mem_mb": 4000000, "gpu": 0}}
}

func configuration(version int, tenants ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": []any{route("urgent", urgentPrefix, 0, 4), route("later", laterPrefix, 2, 4)},
		"services": []any{map[string]any{"name": "service-1", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	}
}

func step(count int, cpu int64, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "mem_mb": 256, "estimate_ms": 900}
	for k, v := range more {
		s[k] = v
	}
	return s
}

// begin starts the cell, its runners and the first configuration.
func (s *scene) begin(ctx context.Context, runners int, cpu int64, kind func(i int) string, tenants ...map[string]any) error {
	if err := s.cell.startAll(ctx); err != nil {
		return err
	}
	if err := s.cell.publish(configuration(1, tenants...), 15*time.Second); err != nil {
		return err
	}
	if err := s.cell.waitReady(15 * time.Second); err != nil {
		return err
	}
	for i := range runners {
		err := s.fleet.add(ctx, fmt.Sprintf("i-%08x", i+1), fmt.Sprintf("127.0.8.%d", 1+i), fmt.Sprintf("zone-%d", i%3+1), []string{kind(i), fmt.Sprintf("r1-%d", i/8)}, cpu, 131072)
		if err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second) // the runners announce themselves and are polled
	return nil
}

// owed is an accepted job that the rule watches.
type owed struct {
	id, prefix, key, tenant string
	cap                     int64
	count                   int
	cpu                     int64
	label                   string
}

// lost checks the rule LOST for accepted jobs that nobody has cancelled, finish after the end of the traffic: a job is lost if for
// idleTime it has nothing running while its turn has come, there is capacity for it twice over, its tenant has under half of its cap,
// and under half of the capacity is in use; or if it isn't known.
func (s *scene) lost(jobs []owed, trafficEnd time.Time) bool {
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	var open []owed
	broken := false
	for _, j := range jobs {
		switch state := s.cell.state(host, j.prefix, j.key, j.id); state {
		case "complete":
		case "410", "failed", "cancelled":
			s.write("job %s is shown as %s", j.id, state)
			broken = true
		default:
			s.write("job %s is not complete: state %q", j.id, state)
			open = append(open, j)
		}
	}
	s.say("%.1f s after the traffic: %d jobs watched, %d not complete", time.Since(trafficEnd).Seconds(), len(jobs), len(open))
	excused := map[string]string{}
	var last look
	for began := time.Now(); time.Since(began) < idleTime+500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		last = s.fleet.look()
		for _, j := range open {
			switch {
			case last.running[j.id] > 0:
				excused[j.id] = "it runs"
			case last.places(j.cpu, j.label) < 2*j.count:
				excused[j.id] = "no capacity"
			case last.tenant[j.tenant]*2 >= j.cap:
				excused[j.id] = "its tenant has half of its cap"
			case last.used*2 >= last.capacity:
				excused[j.id] = "half of the capacity is in use"
			}
		}
	}
	s.write("at the end %d of %d thousandths of a core are in use; by tenant %v", last.used, last.capacity, last.tenant)
	n := 0
	for _, j := range open {
		state := s.cell.state(host, j.prefix, j.key, j.id)
		s.fleet.mu.Lock()
		starts := s.fleet.starts[j.id]
		s.fleet.mu.Unlock()
		s.write("job %s of %s: state %q, %d starts so far, excuse %q", j.id, j.tenant, state, starts, excused[j.id])
		if excused[j.id] == "" && state != "complete" {
			n++
		}
	}
	s.say("%d accepted jobs had nothing running for %s though there was capacity", n, idleTime)
	return broken || n > 0
}

// cappedTenant: a configuration lowers the cap of one tenant far below what it sends. The jobs of another tenant, which is far
// below its own cap, must run.
func cappedTenant(s *scene, ctx context.Context) (bool, error) {
	const (
		traffic   = 62 * time.Second
		perSecond = 11 // jobs of tenant A, less than its weight
		capB      = 100_000
	)
	a := func(cpu int64) map[string]any { return tenant("tenant-a", keyA, 20, cpu) }
	b := tenant("tenant-b", keyB, 10, capB)
	if err := s.begin(ctx, 16, 16000, func(int) string { return "a" }, a(100_000), b); err != nil {
		return false, err
	}
	began := time.Now()
	var watched []owed
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for n := 0; time.Since(began) < traffic; n++ {
		<-ticker.C
		if n == 4*perSecond && s.trouble {
			go func() { _ = s.cell.publish(configuration(2, a(2000), b), 10*time.Second) }()
		}
		id := fmt.Sprintf("a%015x", n)
		s.fleet.setJob(id, jobTimes{tenant: "tenant-a", cpu: 1000, run: time.Second})
		go s.cell.submit(host, urgentPrefix, keyA, id, []map[string]any{step(2, 1000, nil)})
		if n%perSecond != 0 {
			continue
		}
		for i, prefix := range []string{urgentPrefix, laterPrefix} {
			id := fmt.Sprintf("b%d%014x", i, n)
			s.fleet.setJob(id, jobTimes{tenant: "tenant-b", cpu: 1000, run: 500 * time.Millisecond})
			if s.cell.submit(host, prefix, keyB, id, []map[string]any{step(1, 1000, nil)}) {
				watched = append(watched, owed{id: id, prefix: prefix, key: keyB, tenant: "tenant-b", cap: capB, count: 1, cpu: 1000})
			}
		}
	}
	return s.lost(watched, time.Now()), nil
}

// failingRunner: two of 24 runners fail all that they start for 6.5 s. A job that only these two can run, and that fails once on
// each, has attempts left and must run once they are sound again.
func failingRunner(s *scene, ctx context.Context) (bool, error) {
	const capB = 100_000
	kind := func(i int) string {
		if i < 2 {
			return "b"
		}
		return "a"
	}
	if err := s.begin(ctx, 24, 16000, kind, tenant("tenant-b", keyB, 10, capB)); err != nil {
		return false, err
	}
	grey := func(on bool) {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		for _, r := range s.fleet.runners[:2] {
			r.failAll = on
		}
		s.write("runners %s and %s fail all that they start: %t", s.fleet.runners[0].id, s.fleet.runners[1].id, on)
	}
	began := time.Now()
	var watched []owed
	submit := func(n int) {
		id := fmt.Sprintf("b%015x", n)
		s.fleet.setJob(id, jobTimes{tenant: "tenant-b", cpu: 1000, run: 900 * time.Millisecond})
		if s.cell.submit(host, urgentPrefix, keyB, id, []map[string]any{step(1, 1000, map[string]any{"requires": "b"})}) {
			watched = append(watched, owed{id: id, prefix: urgentPrefix, key: keyB, tenant: "tenant-b", cap: capB, count: 1, cpu: 1000, label: "b"})
		}
	}
	for n := range 30 { // one job a second; none but the one at 5 s arrives while the runners fail
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second)))
		if s.trouble && n == 5 {
			grey(true)
		}
		if s.trouble && n == 11 {
			time.Sleep(500 * time.Millisecond)
			grey(false)
		}
		if n <= 5 || n >= 12 {
			submit(n)
		}
	}
	return s.lost(watched, time.Now()), nil
}

// waitingGang: one large job, a gang that fits its tenant's cap but not beside what the tenant's lasting tasks use, waits. The jobs
// of another tenant must run on the free runners.
func waitingGang(s *scene, ctx context.Context) (bool, error) {
	const (
		capA = 240_000
		capB = 100_000
	)
	if err := s.begin(ctx, 16, 16000, func(int) string { return "a" }, tenant("tenant-a", keyA, 20, capA), tenant("tenant-b", keyB, 10, capB)); err != nil {
		return false, err
	}
	const service, gang = "a000000000000001", "a000000000000002"
	s.fleet.setJob(service, jobTimes{tenant: "tenant-a", cpu: 14000, lasts: true})
	if !s.cell.submit(host, urgentPrefix, keyA, service, []map[string]any{step(8, 14000, map[string]any{"long_running": true, "image": "service"})}) {
		return false, fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.fleet.setJob(gang, jobTimes{tenant: "tenant-a", cpu: 16000, run: 2 * time.Second, gang: 9})
		if !s.cell.submit(host, urgentPrefix, keyA, gang, []map[string]any{step(9, 16000, map[string]any{"gang": true})}) {
			return false, fmt.Errorf("the gang was not accepted")
		}
	}
	began := time.Now()
	var watched []owed
	for n := range 20 {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second)))
		id := fmt.Sprintf("b%015x", n)
		s.fleet.setJob(id, jobTimes{tenant: "tenant-b", cpu: 4000, run: 900 * time.Millisecond})
		if s.cell.submit(host, laterPrefix, keyB, id, []map[string]any{step(1, 4000, nil)}) {
			watched = append(watched, owed{id: id, prefix: laterPrefix, key: keyB, tenant: "tenant-b", cap: capB, count: 1, cpu: 4000})
		}
	}
	return s.lost(watched, time.Now()), nil
}

// lastingTasks: the tasks of a job that lasts fail now and then, as tasks may. Each of them must be started again.
func lastingTasks(s *scene, ctx context.Context) (bool, error) {
	const (
		capA     = 200_000
		tasks    = 4
		runners  = 8
		failures = 6
		interval = 6 * time.Second // between two failures; a task fails about every 24 s
		watch    = 12 * time.Second
		restart  = 6 * time.Second // from then after its last run, a task that lasts has to run
	)
	if err := s.begin(ctx, runners, 16000, func(int) string { return "a" }, tenant("tenant-a", keyA, 20, capA)); err != nil {
		return false, err
	}
	const id = "a000000000000001"
	s.fleet.setJob(id, jobTimes{tenant: "tenant-a", cpu: 4000, lasts: true})
	if !s.cell.submit(host, urgentPrefix, keyA, id, []map[string]any{step(tasks, 4000, map[string]any{"long_running": true, "image": "service", "anti_affinity": 1})}) {
		return false, fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(3 * time.Second)
	for n := range failures {
		if s.trouble {
			s.fleet.failOne(id, n)
		}
		time.Sleep(interval)
	}
	s.write("no task fails any more")
	time.Sleep(restart)
	idle := map[string]time.Time{} // since when a task has had nothing running
	longest := map[string]time.Duration{}
	var last look
	for began := time.Now(); time.Since(began) < watch; time.Sleep(50 * time.Millisecond) {
		last = s.fleet.look()
		missing := tasks - last.running[id]
		excused := last.tenant["tenant-a"]*2 >= capA || last.used*2 >= last.capacity || s.fleet.roomWithout(id, 4000) < 2*missing
		for n := range tasks {
			task := fmt.Sprintf("%s.0.0.%d", id, n)
			if excused || last.tasks[task] {
				delete(idle, task)
				continue
			}
			if idle[task].IsZero() {
				idle[task] = time.Now()
			}
			longest[task] = max(longest[task], time.Since(idle[task]))
		}
	}
	broken := 0
	for n := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", id, n)
		s.write("task %s: nothing running for %.1f s on end, though there was room", task, longest[task].Seconds())
		if longest[task] >= idleTime {
			broken++
		}
	}
	state := s.cell.state(host, urgentPrefix, keyA, id)
	s.say("%d of %d tasks that last had nothing running for %s or more on end, from %s after the last failure; the job is shown as %q; %d of %d thousandths of a core in use", broken, tasks, idleTime, restart+interval, state, last.used, last.capacity)
	return broken > 0, nil
}

// behindLeader: a minority of the core, the leader, is cut off and misses changes; then one of the other core machines loses its disk, and
// the last one is dark for a while; when it is back, the cut heals. The two machines that have their disks must go on.
func behindLeader(s *scene, ctx context.Context) (bool, error) {
	const (
		missing   = 4 * time.Second // from the cut to the loss of the disk
		dark      = 4 * time.Second
		down      = time.Second
		patience  = 10 * time.Second        // for the answer about each job
		readBack  = 10 * time.Second        // for the configuration; contact_ms is 4,000
		settled   = 4500 * time.Millisecond // more than catch_up_s
		perSecond = 85
		capA      = 700_000
	)
	if err := s.begin(ctx, 48, 16000, func(int) string { return "a" }, tenant("tenant-a", keyA, 100, capA)); err != nil {
		return false, err
	}
	spec := strings.Repeat("s", 3900) // a spec has up to 4,000 bytes
	stop := make(chan struct{})
	var mu sync.Mutex
	var watched []owed
	var clients sync.WaitGroup
	go func() {
		ticker := time.NewTicker(time.Second / perSecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			id := fmt.Sprintf("a%015x", n)
			s.fleet.setJob(id, jobTimes{tenant: "tenant-a", cpu: 8000, run: time.Duration(350+n%7*50) * time.Millisecond})
			clients.Go(func() {
				if s.cell.submitSpec(host, urgentPrefix, keyA, id, spec, []map[string]any{step(2, 8000, nil)}) {
					mu.Lock()
					defer mu.Unlock()
					watched = append(watched, owed{id: id, prefix: urgentPrefix, key: keyA, tenant: "tenant-a", cap: capA, count: 2, cpu: 8000})
				}
			})
		}
	}()
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		former, far := s.cell.leader(), s.cell.vms[2]
		if former == nil || former == far {
			return false, fmt.Errorf("the leader is not in the region with two zones")
		}
		other := s.cell.vms[0]
		if former == other {
			other = s.cell.vms[1]
		}
		heal := s.cell.cut(former)
		time.Sleep(missing)
		if err := s.cell.wipe(other, down); err != nil {
			return false, err
		}
		if err := s.cell.restart(far, dark); err != nil {
			return false, err
		}
		heal()
	} else {
		time.Sleep(missing + down + dark)
	}
	time.Sleep(settled)
	trafficEnd := time.Now()
	close(stop)
	clients.Wait()
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	mu.Lock()
	defer mu.Unlock()
	last := watched[max(0, len(watched)-40):]
	answers := make([]string, len(last))
	var asked sync.WaitGroup
	for i, j := range last {
		asked.Go(func() { // each job is asked for by itself, again and again
			for began := time.Now(); answers[i] == "" && time.Since(began) < patience; {
				answers[i] = s.cell.state(host, j.prefix, j.key, j.id)
			}
		})
	}
	asked.Wait()
	noAnswer, unknown := 0, 0
	for i, j := range last {
		s.write("job %s: state %q", j.id, answers[i])
		switch answers[i] {
		case "":
			noAnswer++
		case "410":
			unknown++
		}
	}
	reads, configured := 0, 0
	for began := time.Now(); time.Since(began) < readBack && configured == 0; { // any machine may answer
		address := s.cell.controls()[reads%3]
		reads++
		status, _, err := call(s.cell.http, http.MethodGet, address, "/config", "", "", nil)
		s.write("GET /config at %s: status %d, err %v", address, status, err)
		if err == nil && status == http.StatusOK {
			configured++
		}
	}
	s.say("%d jobs were accepted; of the last %d, each asked for during %s, %d got no answer and %d were not known; the configuration was read back: %t, in %d reads; %.0f s after the traffic",
		len(watched), len(last), patience, noAnswer, unknown, configured > 0, reads, time.Since(trafficEnd).Seconds())
	return noAnswer+unknown > 0 || configured == 0, nil
}
