//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is the record of a run: one line for each event, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) say(format string, args ...any) {
	r.write(format, args...)
	fmt.Printf(format+"\n", args...)
}

// vm is one process of the system.
type vm struct {
	name, role, ip, zone string
	settings             string
	process              *exec.Cmd
}

// cell is a small deployment of the system: three replicas and two entries on loopback addresses.
type cell struct {
	record  *record
	dir     string
	program string
	ports   map[string]int
	vms     []*vm
	http    *http.Client
	cuts    cuts
}

const deployedCommand = "target/papayacell -settings /etc/papayajunction/node.toml"

func newCell(r *record, root, dir string) (*cell, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil || !strings.Contains(string(deploy), `run = "`+deployedCommand+`"`) {
		return nil, fmt.Errorf("the deploy file does not run %q: %v", deployedCommand, err)
	}
	c := &cell{record: r, dir: dir, program: filepath.Join(root, "target", "papayacell"), ports: map[string]int{}, http: &http.Client{Timeout: 3 * time.Second}}
	zones := []string{"zone-1", "zone-2", "zone-3"} // the third one is in a region of its own, as in the small deployments
	for i := range 5 {
		v := &vm{name: fmt.Sprintf("core-%d", i+1), role: "replica", ip: fmt.Sprintf("127.0.7.%d", 11+i), zone: zones[i%3]}
		if i >= 3 {
			v.name, v.role = fmt.Sprintf("edge-%d", i-2), "entry"
		}
		c.vms = append(c.vms, v)
	}
	for _, name := range []string{"peer", "listen_peer", "metrics", "control", "front", "ready"} {
		if c.ports[name], err = c.freePort(); err != nil {
			return nil, err
		}
	}
	var seeds []string
	for _, v := range c.vms[:3] {
		seeds = append(seeds, v.address(c.ports["control"]))
	}
	for _, v := range c.vms {
		// As deploy/node.json, filled in for a small deployment.
		settings := map[string]any{
			"vm": v.name, "role": v.role, "zone": v.zone, "region": v.region(), "zones": []string{"zone-1=region-1", "zone-2=region-1", "zone-3=region-2"},
			"ip": v.ip, "peer_port": c.ports["peer"], "listen_peer": v.address(c.ports["listen_peer"]), "metrics_port": c.ports["metrics"], "seeds": seeds, "bootstrap": true, "data_dir": "", "advice": "",
			"grace": "6s", "rules_within": "2500ms", "keep": "120s", "memory_mb": 284, "insecure_peers": true,
		}
		if v.role == "replica" {
			settings["listen_control"], settings["data_dir"] = v.address(c.ports["control"]), filepath.Join(dir, v.name)
		} else {
			settings["listen_front"], settings["listen_ready"] = v.address(c.ports["front"]), v.address(c.ports["ready"])
		}
		data, _ := json.MarshalIndent(settings, "", "  ")
		v.settings = filepath.Join(dir, v.name+".json")
		if err := os.WriteFile(v.settings, data, 0o600); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (v *vm) region() string {
	if v.zone == "zone-3" {
		return "region-2"
	}
	return "region-1"
}

// regionDelay is the time one way between two regions.
const regionDelay = 12 * time.Millisecond

// delay returns the time one way between two VMs, 0 while one of them is not known.
func (c *cell) delay(a, b string) time.Duration {
	var regions []string
	for _, v := range c.vms {
		if name := v.address(c.ports["peer"]); name == a || name == b {
			regions = append(regions, v.region())
		}
	}
	if len(regions) == 2 && regions[0] != regions[1] {
		return regionDelay
	}
	return 0
}

func (v *vm) address(port int) string { return net.JoinHostPort(v.ip, strconv.Itoa(port)) }

// freePort returns a port that is free at the addresses of all VMs.
func (c *cell) freePort() (int, error) {
	for range 50 {
		first, err := net.Listen("tcp", c.vms[0].ip+":0")
		if err != nil {
			return 0, err
		}
		port, free := first.Addr().(*net.TCPAddr).Port, true
		listeners := []net.Listener{first}
		for _, v := range c.vms[1:] {
			l, err := net.Listen("tcp", v.address(port))
			if err != nil {
				free = false
				break
			}
			listeners = append(listeners, l)
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		for _, used := range c.ports {
			free = free && used != port
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

func (c *cell) start(v *vm) error {
	log, err := os.OpenFile(filepath.Join(c.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.process = exec.Command(c.program, "-settings", v.settings)
	v.process.Stdout, v.process.Stderr = log, log
	c.record.write("start %s %s at %s", v.role, v.name, v.ip)
	return v.process.Start()
}

func (c *cell) startAll(ctx context.Context) error {
	for _, v := range c.vms {
		l := link{cell: c, target: v.address(c.ports["peer"]), real: v.address(c.ports["listen_peer"])}
		if err := l.listen(ctx); err != nil {
			return err
		}
	}
	for _, v := range c.vms {
		if err := c.start(v); err != nil {
			return err
		}
	}
	return nil
}

func (c *cell) stopAll() {
	for _, v := range c.vms {
		if v.process != nil && v.process.Process != nil {
			_ = v.process.Process.Kill()
			_ = v.process.Wait()
		}
	}
}

// cut cuts a VM from the other replicas until the returned function is called.
func (c *cell) cut(v *vm) func() {
	var others []string
	for _, o := range c.vms[:3] {
		if o != v {
			others = append(others, o.address(c.ports["peer"]))
		}
	}
	c.record.write("cut %s from the other core machines", v.name)
	c.cuts.set(v.address(c.ports["peer"]), others...)
	return func() {
		c.record.write("the cut of %s is over", v.name)
		c.cuts.set("")
	}
}

// wipe ends a VM at once and starts it again later with an empty disk.
func (c *cell) wipe(v *vm, down time.Duration) error {
	c.record.write("kill %s; its disk is lost", v.name)
	_ = v.process.Process.Kill()
	_ = v.process.Wait()
	if err := os.RemoveAll(filepath.Join(c.dir, v.name)); err != nil {
		return err
	}
	time.Sleep(down)
	settings, err := os.ReadFile(v.settings)
	if err != nil {
		return err
	}
	settings = []byte(strings.Replace(string(settings), `"bootstrap": true`, `"bootstrap": false`, 1))
	if err := os.WriteFile(v.settings, settings, 0o600); err != nil {
		return err
	}
	return c.start(v)
}

// restart ends a VM at once and starts it again later with its disk.
func (c *cell) restart(v *vm, down time.Duration) error {
	c.record.write("kill %s", v.name)
	_ = v.process.Process.Kill()
	_ = v.process.Wait()
	time.Sleep(down)
	return c.start(v)
}

// leader returns the replica that wrote last that it leads.
func (c *cell) leader() *vm {
	var leader *vm
	latest := ""
	for _, v := range c.vms[:3] {
		log, _ := os.ReadFile(filepath.Join(c.dir, v.name+".log"))
		for _, line := range strings.Split(string(log), "\n") {
			if at, rest, _ := strings.Cut(line, " "); strings.Contains(rest, "event=lead_gained") && at > latest {
				leader, latest = v, at
			}
		}
	}
	return leader
}

func (c *cell) controls() (list []string) {
	for _, v := range c.vms[:3] {
		list = append(list, v.address(c.ports["control"]))
	}
	return list
}

func (c *cell) fronts() (list []string) {
	for _, v := range c.vms[3:] {
		list = append(list, v.address(c.ports["front"]))
	}
	return list
}

// waitReady waits until all entries are ready.
func (c *cell) waitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, v := range c.vms[3:] {
		for {
			status, _, err := call(c.http, http.MethodGet, v.address(c.ports["ready"]), "/readiness", "", "", nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// publish sends a configuration to one node after the other until it is acknowledged.
func (c *cell) publish(config map[string]any, within time.Duration) error {
	body, _ := json.Marshal(config)
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		status, answer, err := call(c.http, http.MethodPut, c.controls()[i%3], "/config", "", "", body)
		c.record.write("operator config version=%v status=%d err=%v %s", config["version"], status, err, strings.TrimSpace(string(answer)))
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration %v was not acknowledged", config["version"])
}

// submit hands a job in, at one entry after the other until there is a clear answer.
func (c *cell) submit(host, prefix, key, id string, steps []map[string]any) bool {
	return c.submitSpec(host, prefix, key, id, id, steps)
}

func (c *cell) submitSpec(host, prefix, key, id, spec string, steps []map[string]any) bool {
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	for i := range 5 {
		entry := c.fronts()[(int(id[15])+i)%2]
		status, _, err := call(c.http, http.MethodPost, entry, prefix+id, host, key, body)
		c.record.write("client POST %s%s status=%d err=%v", prefix, id, status, err)
		if err == nil && status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job as a caller sees it, "410" if it is not known, "" without a clear answer.
func (c *cell) state(host, prefix, key, id string) string {
	for i := range 4 {
		status, answer, err := call(c.http, http.MethodGet, c.fronts()[i%2], prefix+id, host, key, nil)
		var result struct {
			State string `json:"state"`
		}
		switch {
		case err == nil && status == http.StatusGone:
			return "410"
		case err == nil && status == http.StatusOK && json.Unmarshal(answer, &result) == nil:
			return result.State
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}
