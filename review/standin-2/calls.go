//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	serviceName = "svc"
	routeHost   = "jobs.example"
	routePrefix = "/q/"
	key         = "key-of-tenant-1"
)

// caller sends the calls of clients and of the operator.
type caller struct {
	http   *http.Client
	record *record
}

func newCaller(rec *record) *caller {
	return &caller{http: &http.Client{Timeout: 3 * time.Second}, record: rec}
}

// call sends one call and returns the status of the answer.
func (c *caller) call(ctx context.Context, method, address, path string, body any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, fmt.Errorf("encode body: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("X-Papayajunction-Deadline-Ms", "3000")
	if path != "/config" {
		request.Host = routeHost
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.record.add("%s %s at %s: %v", method, path, address, err)
		return 0, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, fmt.Errorf("read response: %w", err)
	}
	c.record.add("%s %s at %s: %d %.80s", method, path, address, response.StatusCode, bytes.TrimSpace(content))
	return response.StatusCode, nil
}

// configure sends the configuration until it is acknowledged: one queue, one service, one tenant.
func (c *cell) configure(ctx context.Context) error {
	config := map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r1", "host": routeHost, "path_prefix": routePrefix, "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": 1, "service": serviceName, "max_attempts": 3, "stretch": 2.0, "public": false,
		}},
		"services": []any{map[string]any{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "t1", "api_keys": []string{key}, "priority": 1, "weight": 1, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0},
		}},
	}
	return await(ctx, "the configuration is acknowledged", 15*time.Second, func() bool {
		for _, address := range c.controls() {
			if status, err := c.calls.call(ctx, http.MethodPut, address, "/config", config); err == nil && status == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// submit hands in a job of one step, with at most perRunner tasks on a runner unless that is 0, until it is accepted.
func (c *cell) submit(ctx context.Context, id string, tasks, perRunner int, spec string) error {
	job := map[string]any{"spec": spec, "steps": []any{map[string]any{"count": tasks, "cpu": 1000, "mem_mb": 512, "estimate_ms": 10000, "anti_affinity": perRunner}}}
	return await(ctx, "job "+id+" is accepted", 10*time.Second, func() bool {
		status, err := c.calls.call(ctx, http.MethodPost, c.front(0), routePrefix+id, job)
		return err == nil && status == http.StatusOK
	})
}
