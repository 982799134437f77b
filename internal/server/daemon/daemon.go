// Package daemon assembles the components of one VM into a kratos application.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitlog "github.com/go-kit/log"
	"github.com/go-kratos/kratos/v2"
	kratoslog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"papayajunction/internal/config/settings"
	"papayajunction/internal/server/api"
	"papayajunction/internal/server/app"
	"papayajunction/internal/server/node"
	"papayajunction/internal/server/peer"
)

// Shutdown times, and the target percentage of the garbage collector.
const (
	notReadyDelay             = 2 * time.Second // new requests are still served for this time after /readyz starts to fail
	leadershipTransferTimeout = 3 * time.Second
	activePollInterval        = 20 * time.Millisecond
	closeTimeout              = 5 * time.Second // after the drain, for closing the server
	gcPercent                 = 60
)

// frameworkLoggerOnce guards the framework's logger, which is global to the process and must be set before it is used.
var frameworkLoggerOnce sync.Once

// Daemon is one VM of the system.
type Daemon struct {
	settings settings.Settings
	logger   kitlog.Logger
	node     *node.Node
	api      *api.API
	app      *kratos.App

	closeStreams func()
}

// NewLogger returns a logger that writes one key=value line for each event, or nothing if s.Quiet is set.
func NewLogger(w io.Writer, s settings.Settings) kitlog.Logger {
	if s.Quiet {
		return kitlog.NewNopLogger()
	}
	logger := kitlog.NewLogfmtLogger(kitlog.NewSyncWriter(w))
	return kitlog.With(logger, "ts", kitlog.DefaultTimestampUTC, "vm", s.VM)
}

// New returns a daemon that is ready to run and a function that releases its resources.
func New(s settings.Settings, logger kitlog.Logger) (*Daemon, func(), error) {
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(s.MemoryLimit)
	}
	tlsConfig, err := peer.TLS(s)
	if err != nil {
		return nil, nil, fmt.Errorf("prepare TLS: %w", err)
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("listen on %s: %w", s.Listen, err)
	}
	set := metrics.NewSet()
	n, closeNode, err := node.New(s, logger, set)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("start control plane: %w", err), listener.Close())
	}
	a, closeAPI := api.New(s, n, logger, set)
	d := &Daemon{settings: s, logger: logger, node: n, api: a}
	options := []khttp.ServerOption{khttp.Listener(listener), khttp.Timeout(0), khttp.Address(s.Listen)}
	if tlsConfig != nil {
		options = append(options, khttp.TLSConfig(tlsConfig))
	}
	server := khttp.NewServer(options...)
	app.Harden(server.Server)
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetHTTP2(true)
	server.Protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	path, handler, closeStreams := peer.NewHandler(s.VM, n, tlsConfig != nil)
	d.closeStreams = closeStreams
	server.HandlePrefix(path, handler)
	server.HandlePrefix("/", a.Handler())
	frameworkLoggerOnce.Do(func() { kratoslog.SetLogger(frameworkLogger{logger: logger}) })
	d.app = kratos.New(
		kratos.Name("papayad"), kratos.ID(s.VM), kratos.Server(server),
		kratos.BeforeStop(d.drain), kratos.StopTimeout(closeTimeout),
	)
	cleanup := func() {
		closeAPI()
		closeNode()
	}
	return d, cleanup, nil
}

// Run serves until SIGTERM, SIGINT or Stop, and then waits for the requests in flight.
func (d *Daemon) Run() error {
	_ = d.logger.Log("event", "vm_started", "zone", d.settings.Zone, "listen", d.settings.Listen)
	if err := d.app.Run(); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	_ = d.logger.Log("event", "vm_stopped")
	return nil
}

// Stop makes Run return.
func (d *Daemon) Stop() error {
	return d.app.Stop()
}

// CallersInFlight returns the number of admitted requests in flight plus the number of callers that are waiting for a
// job.
func (d *Daemon) CallersInFlight() int64 {
	return d.api.CallersInFlight()
}

// drain is called before the server closes. It makes /readyz fail; if there are other VMs, it transfers leaderships and
// waits for notReadyDelay; then it rejects new work and waits for the requests in flight, which it aborts at the end of the drain timeout.
func (d *Daemon) drain(context.Context) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout)
	defer cancel()
	d.api.BeginShutdown()
	if len(d.settings.VMs) > 1 {
		transferCtx, cancelTransfer := context.WithTimeout(ctx, leadershipTransferTimeout)
		d.node.TransferLeaderships(transferCtx)
		cancelTransfer()
		sleep(ctx, notReadyDelay)
	}
	d.api.RejectNewWork()
	for ctx.Err() == nil && d.api.ActiveRequests() > 0 {
		sleep(ctx, activePollInterval)
	}
	_ = d.logger.Log("event", "drained", "in_flight", d.api.ActiveRequests())
	d.api.AbortRequests()
	d.closeStreams()
	return nil
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// frameworkLogger writes the framework's warnings and errors to the daemon's log.
type frameworkLogger struct {
	logger kitlog.Logger
}

// Log implements kratoslog.Logger.
func (l frameworkLogger) Log(level kratoslog.Level, keyvals ...any) error {
	if level < kratoslog.LevelWarn {
		return nil
	}
	return l.logger.Log(append([]any{"event", "framework", "level", level.String()}, keyvals...)...)
}
