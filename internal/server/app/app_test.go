package app

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/matryer/is"
)

// TestHarden checks that a request with too many headers is rejected, and that the time for reading headers is limited.
func TestHarden(t *testing.T) {
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	Harden(server)
	is.True(server.ReadHeaderTimeout > 0)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	for headers, status := range map[int]int{10: http.StatusOK, 10000: http.StatusRequestHeaderFieldsTooLarge} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), strings.NewReader(""))
		is.NoErr(err)
		for i := range headers {
			r.Header.Set("X-H-"+strconv.Itoa(i), "v")
		}
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.Equal(response.StatusCode, status)
		is.NoErr(response.Body.Close())
	}
}

// TestStopEndsBesideStuckRequest guards against a process that waits for one connection until it is killed.
func TestStopEndsBesideStuckRequest(t *testing.T) {
	is := is.New(t)
	open := make(chan struct{})
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(open)
		<-t.Context().Done()
	})
	address := freeAddress(t)
	a, err := New(Options{Logger: kratoslog.DefaultLogger, GracePeriod: time.Second, Servers: []Server{{Address: address, Handler: handler, ServesCallers: true}}})
	is.NoErr(err)
	stopped := make(chan error, 1)
	go func() { stopped <- a.Run() }()
	go func() {
		for t.Context().Err() == nil { // until it listens
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
			is.NoErr(err)
			if response, err := http.DefaultClient.Do(r); err == nil {
				_ = response.Body.Close()
			}
		}
	}()
	<-open
	is.NoErr(a.Stop())
	is.NoErr(<-stopped)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return listener.Addr().String()
}

// TestStopAnswersOpenRequests guards against requests that a stopping process has read and never answers: it waited for them until it was killed.
func TestStopAnswersOpenRequests(t *testing.T) {
	is := is.New(t)
	open := make(chan struct{}, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		open <- struct{}{}
		<-r.Context().Done() // as while no leader is reached
		w.WriteHeader(http.StatusGatewayTimeout)
	})
	address := freeAddress(t)
	a, err := New(Options{Logger: kratoslog.DefaultLogger, GracePeriod: time.Second, Servers: []Server{{Address: address, Handler: handler, ServesCallers: true}}})
	is.NoErr(err)
	stopped := make(chan error, 1)
	go func() { stopped <- a.Run() }()
	status := make(chan int, 1)
	go func() {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
		is.NoErr(err)
		response, err := http.DefaultClient.Do(r)
		for err != nil && t.Context().Err() == nil { // it doesn't listen yet
			response, err = http.DefaultClient.Do(r)
		}
		if err == nil {
			_ = response.Body.Close()
			status <- response.StatusCode
		}
	}()
	<-open
	is.NoErr(a.Stop())
	is.Equal(<-status, http.StatusGatewayTimeout)
	is.NoErr(<-stopped)
}

// TestFailedStart: if one of the addresses is in use, the listeners that were opened before it are closed again.
func TestFailedStart(t *testing.T) {
	is := is.New(t)
	listen := func(address string) (net.Listener, error) {
		return (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	}
	taken, err := listen("127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = taken.Close() }()
	free, err := listen("127.0.0.1:0")
	is.NoErr(err)
	address := free.Addr().String()
	is.NoErr(free.Close())
	_, err = New(Options{Logger: kratoslog.DefaultLogger, Servers: []Server{{Address: address}, {Address: taken.Addr().String()}}})
	is.True(err != nil)
	again, err := listen(address)
	is.NoErr(err)
	is.NoErr(again.Close())
}
