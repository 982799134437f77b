package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitlog "github.com/go-kit/log"
	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/config/settings"
	"papayajunction/internal/server/app"
	"papayajunction/internal/server/cluster"
	"papayajunction/internal/server/peer"
)

// TestHangupDuringStart guards against a process that is ended by a SIGHUP because it has not started completely: the signal
// only means that the settings file has changed.
func TestHangupDuringStart(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	is.NoErr(syscall.Mkfifo(path, 0o600))
	code := make(chan int)
	go func() { code <- run([]string{"-settings", path}, io.Discard) }()
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the settings are being read
	is.NoErr(err)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	_, err = io.WriteString(file, "no settings")
	is.NoErr(err)
	is.NoErr(file.Close())
	is.Equal(<-code, exitInvalidSettings)
}

// TestStopEndsPeerStreams guards against a process that waits for the streams of the other VMs until it is killed: it remains a member of the group
// all the while, and nobody can call it.
func TestStopEndsPeerStreams(t *testing.T) {
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	vm, closeVM, err := cluster.New(cluster.Options{Address: address, Seeds: func() []string { return nil }, Logger: kitlog.NewNopLogger(), Metrics: metrics.NewSet()})
	is.NoErr(err)
	defer closeVM()
	s := settings.Cluster{Role: settings.RoleEntry, ListenPeer: address}
	server := servers(s, vm, metrics.NewSet(), func() bool { return false })[0]
	opened := make(chan struct{}, 100)
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		opened <- struct{}{}
		handler.ServeHTTP(w, r)
	})
	a, err := app.New(app.Options{Logger: kratoslog.DefaultLogger, GracePeriod: time.Hour, Servers: []app.Server{server}})
	is.NoErr(err)
	stopped := make(chan error, 1)
	go func() { stopped <- a.Run() }()
	transport, closeTransport := peer.NewTransport("other:1", func(string) (string, bool) { return address, true }, nil, peer.NewTraffic(metrics.NewSet()))
	defer closeTransport()
	transport.Send(s.PeerAddress(), []pj.PeerMessage{{}})
	<-opened
	is.NoErr(a.Stop())
	is.NoErr(<-stopped)
}
