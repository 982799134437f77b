// Package app runs the HTTP servers of one process as a kratos application and stops them
// without aborting requests in flight.
package app

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2"
	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Limits of connections, and shutdown times.
const (
	headerTimeout      = 3 * time.Second // a connection that does not complete its headers within this time is closed
	idleTimeout        = 15 * time.Second
	maxHeaderBytes     = 16 << 10
	activePollInterval = 20 * time.Millisecond
	closeFraction      = 6 // of the grace period, the last one in so many is reserved for closing; requests that are open then are aborted
)

// Server configures one HTTP server of the process.
type Server struct {
	Address       string // IP and port
	Handler       http.Handler
	ServesPeers   bool   // it serves the other VMs, over HTTP/2 without TLS and with no idle timeout
	ServesCallers bool   // shutdown waits for its requests and makes its clients close their connections, so that they connect elsewhere
	OnShutdown    func() // called when the server begins to close, to end requests that last; may be nil
}

// Options configure an App.
type Options struct {
	Name          string
	ID            string
	Logger        kratoslog.Logger
	Servers       []Server
	GracePeriod   time.Duration         // maximum time from the signal to the end of the process
	ShutdownDelay time.Duration         // how long new requests are still served after the stop hook has returned
	OnStop        func(context.Context) // stop hook: called first when the process stops; may be nil
}

// App is the set of HTTP servers of a process.
type App struct {
	options  Options
	kratos   *kratos.App
	stopping atomic.Bool
	active   atomic.Int64
	aborted  context.Context //nolint:containedctx // ends the requests that are open, or arrive, at the end of the grace period
	abort    context.CancelFunc
}

// New opens the listeners of all servers and returns an App that is ready to run. After an error, none is left open.
func New(options Options) (*App, error) {
	a := &App{options: options}
	a.aborted, a.abort = context.WithCancel(context.Background())
	kratoslog.SetLogger(options.Logger)
	kratosOptions := []kratos.Option{
		kratos.Name(options.Name), kratos.ID(options.ID), kratos.BeforeStop(a.drain), kratos.StopTimeout(a.closeTime() / 2),
	}
	servers := make([]transport.Server, 0, len(options.Servers))
	var listeners []net.Listener
	for _, s := range options.Servers {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.Address)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("listen on %s: %w", s.Address, err), closeAll(listeners))
		}
		listeners = append(listeners, listener)
		servers = append(servers, a.newServer(s, listener))
	}
	a.kratos = kratos.New(append(kratosOptions, kratos.Server(servers...))...)
	return a, nil
}

func closeAll(listeners []net.Listener) error {
	var errs []error
	for _, l := range listeners {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}

func (a *App) newServer(s Server, listener net.Listener) *khttp.Server {
	server := khttp.NewServer(khttp.Listener(listener), khttp.Timeout(0), khttp.Address(s.Address))
	Harden(server.Server)
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(s.ServesPeers)
	if s.OnShutdown != nil {
		server.RegisterOnShutdown(s.OnShutdown)
	}
	if !s.ServesPeers {
		server.IdleTimeout = idleTimeout
	}
	// The handler bypasses the framework's router, which costs CPU time on each request.
	server.Handler = s.Handler
	if s.ServesCallers {
		server.Handler = a.countActive(EndWith(a.aborted, s.Handler))
	}
	return server
}

// Harden limits the time and the memory that a connection may use before its request headers are complete. It
// works for servers on any listener.
func Harden(server *http.Server) {
	server.ReadHeaderTimeout = headerTimeout
	server.MaxHeaderBytes = maxHeaderBytes
}

// countActive counts requests in flight. While the process is stopping, it makes clients close their connection, so that
// they connect to another VM.
func (a *App) countActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.active.Add(1)
		defer a.active.Add(-1)
		if a.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// EndWith returns a handler that ends the contexts of its requests when ctx ends, also of those that arrive later.
func EndWith(ctx context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestCtx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(ctx, cancel)()
		next.ServeHTTP(w, r.WithContext(requestCtx))
	})
}

// Stopping reports whether shutdown has started.
func (a *App) Stopping() bool {
	return a.stopping.Load()
}

// Run serves until SIGTERM or SIGINT. Connections that don't end in time are no error: HTTP/2 connections stay open for a second after their last stream.
func (a *App) Run() error {
	if err := a.kratos.Run(); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// Stop makes Run return, as SIGTERM does.
func (a *App) Stop() error {
	if err := a.kratos.Stop(); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

// closeTime returns the part of the grace period that is reserved for closing: one half for the servers, whose remaining connections end with the
// process, and one for what the process holds besides.
func (a *App) closeTime() time.Duration {
	return a.options.GracePeriod / closeFraction
}

// drain is called before the servers close. It calls the stop hook, then still serves new requests for the configured
// time, then waits until no request is in flight. Shortly before the end of the grace period it aborts those that are, as the process
// would be killed while they wait.
func (a *App) drain(context.Context) error {
	a.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), a.options.GracePeriod-a.closeTime())
	defer cancel()
	if a.options.OnStop != nil {
		a.options.OnStop(ctx)
	}
	select {
	case <-ctx.Done():
	case <-time.After(a.options.ShutdownDelay):
	}
	for ctx.Err() == nil && a.active.Load() > 0 {
		time.Sleep(activePollInterval)
	}
	a.abort()
	return nil
}
