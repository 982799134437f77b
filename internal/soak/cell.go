package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	pj "papayajunction"
	"papayajunction/internal/config/settings"
)

// Size is the size of a cell and its load.
type Size struct {
	Replicas      int // replica VMs
	Entries       int // entry VMs
	Workers       int
	JobsPerSecond int
}

// Sizes holds the sizes by name. In a large cell followers call workers and respond to requests in place of the leader, and two
// replicas may be lost.
var Sizes = map[string]Size{
	"small": {Replicas: 3, Entries: 2, Workers: 12, JobsPerSecond: 8},
	"large": {Replicas: 6, Entries: 12, Workers: 350, JobsPerSecond: 60},
}

// The cell of a run, on loopback addresses.
const (
	proxyPort      = 7801 // of the fault proxies in front of the VMs' peer ports
	peerPort       = 7802 // on which the VMs listen for their peers
	controlPort    = 7803
	frontPort      = 7804
	readyPort      = 7805
	workerPort     = 8000 // of the first worker; each further one has the next port
	workerIP       = "127.0.1.1"
	taskRunTime    = 400 * time.Millisecond
	zoneCount      = 3
	seedCount      = 3 // replicas that bootstrap the group
	pool           = "pool"
	replicaRole    = settings.RoleReplica
	entryRole      = settings.RoleEntry
	workerCores    = 8
	workerMemoryGB = 16
)

// Client sends the calls of callers, operators and workers to the cell. The parameters entry and replica are addresses of VMs.
type Client interface {
	Submit(ctx context.Context, entry string, route *pj.Route, key string, w *pj.Workflow) error
	State(ctx context.Context, entry string, route *pj.Route, key, id string) (pj.WorkflowState, error)
	Cancel(ctx context.Context, entry string, route *pj.Route, key, id string) error
	Count(ctx context.Context, entry string, route *pj.Route, key string) (int, error)
	Publish(ctx context.Context, replica string, rules *pj.Ruleset) error
	ReadVersion(ctx context.Context, replica string) (int64, error)
	Announce(ctx context.Context, replica string, w *pj.PolledWorker) error
	Leave(ctx context.Context, replica, worker string) error
}

// NewWorker returns the HTTP handler of a worker; it passes each request to client.
type NewWorker func(id string, client pj.WorkerClient) http.Handler

// vm is one process of the cell.
type vm struct {
	name string // in instructions to the script
	ip   string
	role string
}

func (s Size) vms() []vm {
	var list []vm
	for i := range s.Replicas + s.Entries {
		v := vm{name: fmt.Sprintf("replica-%d", i+1), ip: fmt.Sprintf("127.0.1.%d", 11+i), role: replicaRole}
		if i >= s.Replicas {
			v.name, v.role = fmt.Sprintf("entry-%d", i-s.Replicas+1), entryRole
		}
		list = append(list, v)
	}
	return list
}

func (v vm) address(port int) string {
	return net.JoinHostPort(v.ip, strconv.Itoa(port))
}

func (s Size) vmNames(role string) (list []string) {
	for _, v := range s.vms() {
		if v.role == role {
			list = append(list, v.name)
		}
	}
	return list
}

// WriteSettings writes the settings file of each VM into dir and returns the names of the VMs. For rolling restarts, the zones lie in two regions.
func (s Size) WriteSettings(dir string, rolls bool) ([]string, error) {
	var seeds, names []string
	for _, v := range s.vms()[:seedCount] {
		seeds = append(seeds, v.address(controlPort))
	}
	for i, v := range s.vms() {
		data, err := json.MarshalIndent(map[string]any{
			"vm": v.name, "role": v.role, "zone": zone(i), "region": region(i, rolls), "zones": zones(rolls), "ip": v.ip, "peer_port": proxyPort,
			"listen_peer": v.address(peerPort), "listen_control": v.address(controlPort), "listen_front": v.address(frontPort), "listen_ready": v.address(readyPort),
			"seeds": seeds, "bootstrap": true, "data_dir": filepath.Join(dir, v.name), "grace": grace(rolls).String(), "memory_mb": vmMemoryMB, "metrics_port": metricsPort, "rules_within": rulesWithin.String(),
		}, "", "  ")
		if err != nil {
			return nil, fmt.Errorf("write settings of %s: %w", v.name, err)
		}
		if err := os.WriteFile(filepath.Join(dir, v.name+".json"), data, 0o600); err != nil {
			return nil, fmt.Errorf("write settings of %s: %w", v.name, err)
		}
		names = append(names, v.name)
	}
	return names, nil
}

func zone(i int) string {
	return fmt.Sprintf("zone-%d", i%zoneCount+1)
}

// region returns the region of VM i.
func region(i int, rolls bool) string {
	if rolls && i%zoneCount == 1 {
		return "small-region" // of one zone: its replica gives up the lead when another can take it; not the first one, which is preferred among equals
	}
	return "region"
}

// zones returns the availability zones as settings contain them.
func zones(rolls bool) (list []string) {
	for i := range zoneCount {
		list = append(list, zone(i)+"="+region(i, rolls))
	}
	return list
}

// workers returns the stand-in workers of the cell.
func (s Size) workers() []pj.PolledWorker {
	var list []pj.PolledWorker
	for i := range s.Workers {
		labels := []string{"a", "r1"}
		if i%2 == 0 {
			labels = append(labels, variedLabel)
		}
		list = append(list, pj.PolledWorker{
			ID: fmt.Sprintf("worker-%d", i+1), Incarnation: time.Now().UnixMilli(), Address: net.JoinHostPort(workerIP, strconv.Itoa(workerPort+i)),
			Pool: pool, Zone: zone(i), Rack: "r1", Labels: labels, Capacity: pj.NewResources(workerCores, workerMemoryGB, 0, 0),
		})
	}
	return list
}
