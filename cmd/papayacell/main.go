// Command papayacell is the daemon of one VM of a cell on the users' platform.
package main

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitlog "github.com/go-kit/log"

	"papayajunction/internal/config/settings"
	"papayajunction/internal/server/app"
	"papayajunction/internal/server/cluster"
	"papayajunction/internal/server/eventlog"
	"papayajunction/internal/server/peer"
	"papayajunction/platform"
)

// Exit codes.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

// Timing and memory limits of the process.
const (
	gcPercent            = 80
	memoryLimitFraction  = 0.7                     // soft memory limit as a fraction of the VM's memory; near it the garbage collector runs more often
	entryShutdownDelay   = 4500 * time.Millisecond // requests are still served until the load balancer and the clients have noticed the shutdown
	replicaShutdownDelay = 700 * time.Millisecond
	reloadInterval       = 2 * time.Second // the settings file may change without a signal
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout))
}

func run(args []string, out io.Writer) int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // first of all and until the end, because an unhandled SIGHUP ends the process
	s, err := settings.ParseCluster(args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(out, "papayacell:", err)
		return exitInvalidSettings
	}
	set := metrics.NewSet()
	log, closeLog := eventlog.New(out, set, s.Quiet)
	defer closeLog()
	logger := kitlog.With(log, "vm", s.VM)
	if err := serve(args, s, hangups, logger, set); err != nil {
		_ = logger.Log("event", "stopped", "err", err)
		return exitFailed
	}
	_ = logger.Log("event", "stopped")
	return 0
}

func serve(args []string, s settings.Cluster, hangups <-chan os.Signal, logger kitlog.Logger, set *metrics.Set) error {
	debug.SetGCPercent(gcPercent)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB<<20)))
	}
	var current atomic.Pointer[settings.Cluster]
	current.Store(&s)
	client, closeClient := platform.NewWorkerClient(s.AdviceAddress)
	defer closeClient()
	vm, closeVM, err := cluster.New(cluster.Options{
		Address: s.PeerAddress(), Zone: s.Zone, Region: s.Region, Rank: s.LeaderRank(), Replica: s.Role == settings.RoleReplica, DataDir: s.DataDir,
		Bootstrap: s.Bootstrap, Seeds: func() []string { return current.Load().PeerSeeds() },
		ControlPort: s.ControlPort(), StateBudget: s.StateBudget(), WorkspaceStateBudget: s.WorkspaceStateBudget(), Retention: s.Retention, MaxRulesDelay: s.MaxRulesDelay, MaxLease: s.MaxLease, WorkerClient: client, Advisor: client, Logger: logger, Metrics: set,
	})
	if err != nil {
		return fmt.Errorf("start VM: %w", err)
	}
	defer closeVM()
	var a *app.App
	options := app.Options{
		Name: "papayacell", ID: s.VM, Logger: eventlog.NewFrameworkLogger(logger), GracePeriod: s.GracePeriod, OnStop: vm.PrepareStop, ShutdownDelay: replicaShutdownDelay,
		Servers: servers(s, vm, set, func() bool { return a.Stopping() }),
	}
	if s.Role == settings.RoleEntry {
		options.ShutdownDelay = entryShutdownDelay
	}
	if a, err = app.New(options); err != nil {
		return fmt.Errorf("start servers: %w", err)
	}
	go reloadSettings(args, &current, hangups, logger)
	_ = logger.Log("event", "started", "role", s.Role, "zone", s.Zone, "ip", s.IP, "bootstrap", s.Bootstrap, "seeds", len(s.Seeds))
	return a.Run()
}

// servers returns the HTTP servers of the VM's role.
func servers(s settings.Cluster, vm *cluster.VM, set *metrics.Set, stopping func() bool) []app.Server {
	_, peerHandler, closeStreams := peer.NewHandler(s.PeerAddress(), vm, false)
	list := []app.Server{{Address: cmp.Or(s.ListenPeer, s.PeerAddress()), Handler: peerHandler, ServesPeers: true, OnShutdown: closeStreams}}
	if s.MetricsPort > 0 {
		list = append(list, app.Server{
			Address: net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort)),
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				set.WritePrometheus(w)
				metrics.WriteProcessMetrics(w)
			}),
		})
	}
	if s.Role == settings.RoleReplica {
		return append(list, app.Server{Address: s.ListenControl, Handler: platform.NewControlHandler(vm), ServesCallers: true})
	}
	return append(list,
		app.Server{Address: s.ListenFront, Handler: platform.NewCallerHandler(vm), ServesCallers: true},
		app.Server{Address: s.ListenReady, Handler: platform.NewReadinessHandler(vm, stopping)},
	)
}

// reloadSettings reads the settings again on each hangup signal and at every reloadInterval. If they are invalid, the current
// ones stay in force.
func reloadSettings(args []string, current *atomic.Pointer[settings.Cluster], hangups <-chan os.Signal, logger kitlog.Logger) {
	ticker := time.NewTicker(reloadInterval)
	lastErr := ""
	for {
		signalled := false
		select {
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		s, err := settings.ParseCluster(args)
		if err != nil {
			if signalled || err.Error() != lastErr {
				_ = logger.Log("event", "reload_failed", "err", err)
			}
			lastErr = err.Error()
			continue
		}
		lastErr = ""
		previous := current.Swap(&s)
		if signalled || fmt.Sprint(previous.Seeds) != fmt.Sprint(s.Seeds) {
			_ = logger.Log("event", "reloaded", "signal", signalled, "seeds", fmt.Sprint(s.Seeds))
		}
	}
}
