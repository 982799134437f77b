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
	"papayajunction/internal/standin/called"
	"papayajunction/platform"
)

// The cell of a run, on loopback addresses.
const (
	replicaCount = 3
	entryCount   = 2
	workerCount  = 12
	peerPort     = 7801 // where the forwarders stand
	ownPeerPort  = 7802 // where the VMs listen behind them
	controlPort  = 7803
	frontPort    = 7804
	readyPort    = 7805
	workerPort   = 7900 // of the first worker
	workerIP     = "127.0.1.1"
	taskTime     = 400 * time.Millisecond
	zoneCount    = 3
)

// vm is one process of the cell.
type vm struct {
	name string // instructions name it so
	ip   string
	role string
}

func vms() []vm {
	var list []vm
	for i := range replicaCount + entryCount {
		v := vm{name: fmt.Sprintf("replica-%d", i+1), ip: fmt.Sprintf("127.0.1.%d", 11+i), role: "replica"}
		if i >= replicaCount {
			v.name, v.role = fmt.Sprintf("entry-%d", i-replicaCount+1), "entry"
		}
		list = append(list, v)
	}
	return list
}

func (v vm) at(port int) string {
	return net.JoinHostPort(v.ip, strconv.Itoa(port))
}

func names(role string) (list []string) {
	for _, v := range vms() {
		if v.role == role {
			list = append(list, v.name)
		}
	}
	return list
}

// WriteSettings writes the settings file of each VM into a folder and returns the VMs' names.
func WriteSettings(dir string) ([]string, error) {
	var seeds, written []string
	for _, v := range vms()[:replicaCount] {
		seeds = append(seeds, v.at(controlPort))
	}
	for i, v := range vms() {
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

// startWorkers serves the stand-ins for workers until ctx ends.
func startWorkers(ctx context.Context, check func(*called.Fleet) pj.WorkerLink) (*called.Fleet, error) {
	var infos []pj.CalledWorker
	for i := range workerCount {
		infos = append(infos, pj.CalledWorker{
			ID: workerName(i), Born: time.Now().UnixMilli(), Address: net.JoinHostPort(workerIP, strconv.Itoa(workerPort+i)), Zone: zone(i),
		})
	}
	fleet := called.New(infos, taskTime)
	link := check(fleet)
	for _, info := range infos {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", info.Address)
		if err != nil {
			return nil, fmt.Errorf("listen for worker %s: %w", info.ID, err)
		}
		server := &http.Server{Handler: platform.NewWorker(info.ID, link), ReadHeaderTimeout: time.Minute}
		context.AfterFunc(ctx, func() { _ = server.Close() })
		go func() { _ = server.Serve(listener) }()
	}
	return fleet, nil
}

func workerName(i int) string {
	return fmt.Sprintf("worker-%d", i+1)
}
