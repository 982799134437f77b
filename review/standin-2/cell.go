//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"
)

// Ports of a VM, counted from the first one, which is the same on all VMs.
const (
	offsetPeer = iota
	offsetMetrics
	offsetControl
	offsetFront
	offsetReady
	portCount
)

const grace = 6 * time.Second // between SIGTERM and SIGKILL

// vm is one VM of the cell and its process.
type vm struct {
	name, role, zone, region, ip string
	process                      *exec.Cmd
	done                         chan struct{} // closed when the process has ended
}

// cell is the system under test: three replicas and two entries, as many VMs as the smallest deployment has zones.
type cell struct {
	binary, dir string
	port        int // first port
	runnerIP    string
	vms         []*vm
	record      *record
	calls       *caller
}

func newCell(binary, dir string, rec *record) (*cell, error) {
	c := &cell{binary: binary, dir: dir, record: rec, calls: newCaller(rec)}
	for _, v := range []vm{
		{name: "core-1", role: "replica", zone: "west-a", region: "west"},
		{name: "core-2", role: "replica", zone: "north-a", region: "north"},
		{name: "core-3", role: "replica", zone: "west-b", region: "west"},
		{name: "edge-1", role: "entry", zone: "west-a", region: "west"},
		{name: "edge-2", role: "entry", zone: "west-b", region: "west"},
	} {
		c.vms = append(c.vms, &v)
	}
	if err := c.chooseAddresses(); err != nil {
		return nil, err
	}
	for _, v := range c.vms {
		if err := c.start(v, true); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// chooseAddresses looks for loopback addresses on which all ports of the VMs are free.
func (c *cell) chooseAddresses() error {
	for range 50 {
		net3 := 2 + rand.IntN(250)         //nolint:gosec // not for secrets
		c.port = 21000 + 16*rand.IntN(600) //nolint:gosec // not for secrets
		c.runnerIP = fmt.Sprintf("127.0.%d.100", net3)
		free := true
		for i, v := range c.vms {
			v.ip = fmt.Sprintf("127.0.%d.%d", net3, 11+i)
			for offset := range portCount {
				free = free && isFree(v.address(c.port+offset))
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports")
}

func isFree(address string) bool {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

func (v *vm) address(port int) string {
	return net.JoinHostPort(v.ip, strconv.Itoa(port))
}

// start writes the settings of a VM, with the fields of the project's template, and starts its process.
func (c *cell) start(v *vm, bootstrap bool) error {
	var seeds []string
	for _, other := range c.vms[:3] {
		seeds = append(seeds, other.address(c.port+offsetControl))
	}
	data := filepath.Join(c.dir, v.name)
	settings := map[string]any{
		"vm": v.name, "role": v.role, "zone": v.zone, "region": v.region, "zones": []string{"west-a=west", "north-a=north", "west-b=west"},
		"ip": v.ip, "peer_port": c.port + offsetPeer, "metrics_port": c.port + offsetMetrics, "seeds": seeds, "bootstrap": bootstrap,
		"advice": "", "grace": grace.String(), "rules_within": "2500ms", "keep": "120s", "max_worker_lease": "10000ms", "memory_mb": 284, "insecure_peers": true,
	}
	if v.role == "replica" {
		settings["listen_control"], settings["data_dir"] = v.address(c.port+offsetControl), data
	} else {
		settings["listen_front"], settings["listen_ready"] = v.address(c.port+offsetFront), v.address(c.port+offsetReady)
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	path := data + ".json"
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Clean(data+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	v.process = exec.Command(c.binary, "-settings", path) //nolint:gosec,noctx // the program under test, which signals end
	v.process.Stdout, v.process.Stderr = log, log
	if err := v.process.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	v.done = make(chan struct{})
	process, done := v.process, v.done
	go func() {
		_ = process.Wait()
		close(done)
	}()
	c.record.add("%s is started at %s", v.name, v.ip)
	return nil
}

// close ends all processes.
func (c *cell) close() {
	for _, v := range c.vms {
		if v.process == nil {
			continue
		}
		select {
		case <-v.done:
		default:
			_ = v.process.Process.Kill()
			<-v.done
		}
	}
}

// controls returns the addresses of the replicas for runners and operators.
func (c *cell) controls() []string {
	var list []string
	for _, v := range c.vms[:3] {
		list = append(list, v.address(c.port+offsetControl))
	}
	return list
}

func (c *cell) front(i int) string {
	return c.vms[3+i].address(c.port + offsetFront)
}

// sleep waits for the given time, and returns an error if ctx ends first.
func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

// await waits until a condition holds.
func await(ctx context.Context, what string, within time.Duration, holds func() bool) error {
	for end := time.Now().Add(within); !holds(); {
		if time.Now().After(end) {
			return fmt.Errorf("not seen within %v: %s", within, what)
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}
