package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// proxyDelay is added in each direction during a Delay fault.
const proxyDelay = 80 * time.Millisecond

// faultProxy is a TCP proxy in front of the peer port of one VM; it injects faults into its connections.
type faultProxy struct {
	target string

	mu    sync.Mutex
	fault Kind // current fault, empty for none
	conns map[net.Conn]struct{}
}

// newFaultProxy listens at address and forwards connections to target until ctx ends.
func newFaultProxy(ctx context.Context, address, target string) (*faultProxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on fault proxy address %s: %w", address, err)
	}
	f := &faultProxy{target: target, conns: make(map[net.Conn]struct{})}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the listener was closed
			}
			go f.serve(ctx, conn)
		}
	}()
	return f, nil
}

// setFault starts a fault; an empty kind ends it. The end of a Blackhole fault closes all connections, as data was dropped on them.
func (f *faultProxy) setFault(kind Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.fault
	f.fault = kind
	if kind == Refuse || kind == Reset || previous == Blackhole {
		for conn := range f.conns {
			_ = conn.Close()
		}
	}
	if kind == Reset {
		f.fault = ""
	}
}

func (f *faultProxy) currentFault() Kind {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// track registers a connection and returns the function that closes it.
func (f *faultProxy) track(conn net.Conn) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[conn] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.conns, conn)
		_ = conn.Close()
	}
}

func (f *faultProxy) serve(ctx context.Context, caller net.Conn) {
	defer f.track(caller)()
	if f.currentFault() == Refuse {
		return
	}
	var dialer net.Dialer
	upstream, err := dialer.DialContext(ctx, "tcp", f.target)
	if err != nil {
		return // the VM is down: close the caller's connection
	}
	defer f.track(upstream)()
	done := make(chan struct{}, 2)
	for _, ends := range [][2]net.Conn{{caller, upstream}, {upstream, caller}} {
		go func() {
			f.relay(ends[1], ends[0])
			done <- struct{}{}
		}()
	}
	<-done
}

// relay copies data in one direction until either connection ends.
func (f *faultProxy) relay(to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		kind := f.currentFault()
		if kind == Blackhole {
			n = 0 // drop the data; the connection is closed when the fault ends
		}
		if kind == Delay {
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
