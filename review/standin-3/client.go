//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The configuration of all cases.
const (
	service      = "huvo11a"
	host         = "nony24.example"
	clientTries  = 5 // of one request: four retries
	clientWait   = 3 * time.Second
	retryWait    = 200 * time.Millisecond
	startTimeout = 20 * time.Second
)

// tenant is a tenant with its queue.
type tenant struct {
	name, key, prefix string
	priority          int
}

var (
	tenantA = tenant{name: "kaje80", key: "6x73d3zji9n73hh2b9wu", prefix: "/lohu930/", priority: 0}
	tenantB = tenant{name: "ruse11", key: "3fexd9dnn2ctnfzs989a", prefix: "/pufi791/", priority: 0}
)

// document returns a configuration of the cases' queues and tenants, with further queues that nobody calls.
func document(version, idleRoutes int, advised bool) ([]byte, error) {
	var routes, tenants []map[string]any
	add := func(name, host, prefix string, priority, timeoutMS int) {
		route := map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "type": "unsafe", "timeout_ms": timeoutMS, "target_latency_ms": 1200,
			"priority": priority, "service": service, "max_attempts": 4, "stretch": 2.2, "public": false,
		}
		if advised {
			route["advice"] = map[string]any{"decision_ms": decisionMS, "per_worker_ms": perWorkerMS, "validity_ms": validityMS}
		}
		routes = append(routes, route)
	}
	for _, n := range []tenant{tenantA, tenantB} {
		add("r-"+n.name, host, n.prefix, n.priority, 3000)
		tenants = append(tenants, map[string]any{
			"name": n.name, "api_keys": []string{n.key}, "priority": 1, "weight": 10, "cap": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0},
		})
	}
	for i := range idleRoutes {
		add(fmt.Sprintf("r-idle%04d", i), fmt.Sprintf("idle%04d.example", i), fmt.Sprintf("/idle%04d/", i), 1, 3000+version)
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return data, nil
}

// configure publishes the configuration, and waits until the workers have announced themselves and an entry takes requests.
func (t *trial) configure() error {
	first, err := document(1, 0, t.fleet.advice != nil)
	if err != nil {
		return err
	}
	var replicas []string
	for _, v := range t.cell.replicas() {
		replicas = append(replicas, t.cell.address(v, "control"))
	}
	status := 0
	for at := 0; status != http.StatusOK; at++ {
		if time.Since(t.started) > startTimeout {
			return errors.New("the configuration wasn't accepted")
		}
		status = send(t.ctx, http.MethodPut, replicas[at%3], "/config", "", "", first, time.Second, nil)
		time.Sleep(retryWait / 2)
	}
	t.record.add("configuration 1 acknowledged")
	for _, w := range t.fleet.workers {
		go w.announce(t.ctx, replicas, service)
	}
	for _, v := range t.cell.entries() {
		for send(t.ctx, http.MethodGet, t.cell.address(v, "ready"), "/readiness", "", "", nil, time.Second, nil) != http.StatusOK {
			if time.Since(t.started) > startTimeout {
				return errors.New("an entry isn't ready")
			}
			time.Sleep(retryWait)
		}
	}
	time.Sleep(heartbeat + time.Second) // until the leader has heard the workers
	return nil
}

// job is the body of a submission.
type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Times      int    `json:"times,omitempty"`
	StartAtMS  int64  `json:"start_at_ms,omitempty"`
	IntervalMS int64  `json:"interval_ms,omitempty"`
}

type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"mem_mb"`
	EstimateMS  int    `json:"estimate_ms,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	Requires    string `json:"requires,omitempty"`
}

// request sends one client's request to an entry and records it.
func (t *trial) request(v *vm, method string, n tenant, id string, body any, answer any) int {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // plain values
	}
	t.record.add("sent  %s %s to %s", method, id, v.name)
	status := send(t.ctx, method, t.cell.address(v, "front"), n.prefix+id, host, n.key, data, clientWait, answer)
	t.record.add("answer %d to %s %s from %s", status, method, id, v.name)
	return status
}

// submit hands a job in, with the client's retries at other machines, and reports whether it was accepted.
func (t *trial) submit(n tenant, id string, j job) bool {
	for try := range clientTries {
		entries := t.cell.entries()
		status := t.request(entries[try%len(entries)], http.MethodPost, n, id, j, nil)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(retryWait << try)
	}
	return false
}

// state asks for the state of a job at each entry, and returns "" if none says.
func (t *trial) state(n tenant, id string) (status int, state string) {
	for _, v := range t.cell.entries() {
		var answer struct {
			State string `json:"state"`
		}
		if status = t.request(v, http.MethodGet, n, id, nil, &answer); status == http.StatusOK || status == http.StatusGone {
			return status, answer.State
		}
	}
	return status, ""
}

// unanswered asks for all jobs side by side, each with the client's retries, and returns how many got no answer.
func (t *trial) unanswered(n tenant, ids []string) int {
	var missing atomic.Int64
	var group sync.WaitGroup
	for _, id := range ids {
		group.Go(func() {
			for try := range clientTries {
				if status, _ := t.state(n, id); status == http.StatusOK {
					return
				}
				time.Sleep(retryWait << try)
			}
			missing.Add(1)
		})
	}
	group.Wait()
	return int(missing.Load())
}
