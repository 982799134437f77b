// Package app runs the HTTP servers of one process as a kratos application and ends them without cutting
// requests.
package app

import (
	"context"
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

// Bounds of connections.
const (
	headerTimeout  = 3 * time.Second // a connection that doesn't finish its headers is closed
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
	activePoll     = 20 * time.Millisecond
	closeTime      = 500 * time.Millisecond // left for closing the servers
)

// Server is one HTTP interface of the process.
type Server struct {
	Address string // IP and port
	Handler http.Handler
	Peers   bool // it serves the other VMs, over HTTP/2 without TLS
	Callers bool // stopping waits for its requests, and its clients are told to connect elsewhere
}

// Options configure an App.
type Options struct {
	Name    string
	ID      string
	Logger  kratoslog.Logger
	Servers []Server
	Grace   time.Duration // from the signal to the end
	Linger  time.Duration // how long callers are still served after the signal
	Retire  func(context.Context)
}

// App is a process with its servers.
type App struct {
	options  Options
	kratos   *kratos.App
	stopping atomic.Bool
	active   atomic.Int64
}

// New listens on all addresses.
func New(options Options) (*App, error) {
	a := &App{options: options}
	kratoslog.SetLogger(options.Logger)
	kratosOptions := []kratos.Option{
		kratos.Name(options.Name), kratos.ID(options.ID), kratos.BeforeStop(a.drain), kratos.StopTimeout(options.Grace),
	}
	servers := make([]transport.Server, 0, len(options.Servers))
	for _, s := range options.Servers {
		server, err := a.server(s)
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	a.kratos = kratos.New(append(kratosOptions, kratos.Server(servers...))...)
	return a, nil
}

func (a *App) server(s Server) (*khttp.Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.Address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", s.Address, err)
	}
	server := khttp.NewServer(khttp.Listener(listener), khttp.Timeout(0), khttp.Address(s.Address))
	Harden(server.Server)
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(s.Peers)
	if !s.Peers {
		server.IdleTimeout = idleTimeout
	}
	// The handler is set past the framework's router, which costs processor time on each request.
	server.Handler = s.Handler
	if s.Callers {
		server.Handler = a.counted(s.Handler)
	}
	return server, nil
}

// Harden bounds what a connection may take before its request is known, on any listener.
func Harden(server *http.Server) {
	server.ReadHeaderTimeout = headerTimeout
	server.MaxHeaderBytes = maxHeaderBytes
}

// counted counts requests in flight and tells clients to connect elsewhere while the process stops.
func (a *App) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.active.Add(1)
		defer a.active.Add(-1)
		if a.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Stopping reports whether the process was told to stop.
func (a *App) Stopping() bool {
	return a.stopping.Load()
}

// Run serves until SIGTERM or SIGINT.
func (a *App) Run() error {
	if err := a.kratos.Run(); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// drain is called before the servers close.
func (a *App) drain(context.Context) error {
	a.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), a.options.Grace-closeTime)
	defer cancel()
	if a.options.Retire != nil {
		a.options.Retire(ctx)
	}
	select {
	case <-ctx.Done():
	case <-time.After(a.options.Linger):
	}
	for ctx.Err() == nil && a.active.Load() > 0 {
		time.Sleep(activePoll)
	}
	return nil
}
