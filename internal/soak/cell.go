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

// Size is how large a cell is and how much work it is handed.
type Size struct {
	Replicas      int
	Entries       int
	Workers       int
	JobsPerSecond int
}

// Sizes by name. In a large cell replicas call the workers and answer for the leader, and two of them may be lost.
var Sizes = map[string]Size{
	"small": {Replicas: 3, Entries: 2, Workers: 12, JobsPerSecond: 8},
	"large": {Replicas: 6, Entries: 12, Workers: 350, JobsPerSecond: 60},
}

// The cell of a run, on loopback addresses.
const (
	peerPort    = 7801 // where the forwarders stand
	ownPeerPort = 7802 // where the VMs listen behind them
	controlPort = 7803
	frontPort   = 7804
	readyPort   = 7805
	workerPort  = 8000 // of the first worker
	workerIP    = "127.0.1.1"
	taskTime    = 400 * time.Millisecond
	zoneCount   = 3
	seedCount   = 3 // replicas that form the group
	pool        = "pool"
	replicaRole = settings.RoleReplica
	entryRole   = settings.RoleEntry
	workerCores = 8
	workerGB    = 16
)

// System is how callers, operators and workers speak with the cell; addresses are those of VMs.
type System interface {
	Submit(ctx context.Context, entry string, route *pj.Route, key string, w *pj.Workflow) error
	State(ctx context.Context, entry string, route *pj.Route, key, id string) (pj.WorkflowState, error)
	Cancel(ctx context.Context, entry string, route *pj.Route, key, id string) error
	Publish(ctx context.Context, replica string, rules *pj.Ruleset) error
	ReadVersion(ctx context.Context, replica string) (int64, error)
	Announce(ctx context.Context, replica string, w *pj.CalledWorker) error
}

// NewWorker returns the handler of a worker that carries out what it is told by a link.
type NewWorker func(id string, link pj.WorkerLink) http.Handler

// vm is one process of the cell.
type vm struct {
	name string // instructions name it so
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

func (v vm) at(port int) string {
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

// WriteSettings writes the settings file of each VM into a folder and returns the VMs' names.
func (s Size) WriteSettings(dir string) ([]string, error) {
	var seeds, written []string
	for _, v := range s.vms()[:seedCount] {
		seeds = append(seeds, v.at(controlPort))
	}
	for i, v := range s.vms() {
		data, err := json.MarshalIndent(map[string]any{
			"vm": v.name, "role": v.role, "zone": zone(i), "region": "region", "ip": v.ip, "peer_port": peerPort,
			"listen_peer": v.at(ownPeerPort), "listen_control": v.at(controlPort), "listen_front": v.at(frontPort), "listen_ready": v.at(readyPort),
			"seeds": seeds, "bootstrap": true, "data_dir": filepath.Join(dir, v.name), "grace": "3s",
		}, "", "  ")
		if err != nil {
			return nil, fmt.Errorf("write settings of %s: %w", v.name, err)
		}
		if err := os.WriteFile(filepath.Join(dir, v.name+".json"), data, 0o600); err != nil {
			return nil, fmt.Errorf("write settings of %s: %w", v.name, err)
		}
		written = append(written, v.name)
	}
	return written, nil
}

func zone(i int) string {
	return fmt.Sprintf("zone-%d", i%zoneCount+1)
}

// workers describes the stand-ins for workers.
func (s Size) workers() []pj.CalledWorker {
	var infos []pj.CalledWorker
	for i := range s.Workers {
		infos = append(infos, pj.CalledWorker{
			ID: fmt.Sprintf("worker-%d", i+1), Born: time.Now().UnixMilli(), Address: net.JoinHostPort(workerIP, strconv.Itoa(workerPort+i)),
			Pool: pool, Zone: zone(i), Rack: "r1", Labels: []string{"a", "r1"}, Capacity: pj.NewResources(workerCores, workerGB, 0, 0),
		})
	}
	return infos
}

// serveWorkers serves the stand-ins until ctx ends.
func serveWorkers(ctx context.Context, infos []pj.CalledWorker, link pj.WorkerLink, newWorker NewWorker) error {
	for _, info := range infos {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", info.Address)
		if err != nil {
			return fmt.Errorf("listen for worker %s: %w", info.ID, err)
		}
		server := &http.Server{Handler: newWorker(info.ID, link), ReadHeaderTimeout: time.Minute}
		context.AfterFunc(ctx, func() { _ = server.Close() })
		go func() { _ = server.Serve(listener) }()
	}
	return nil
}
