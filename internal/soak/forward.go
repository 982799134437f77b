package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// delayed is how long everything takes that a forwarder delays, each way.
const delayed = 80 * time.Millisecond

// forwarder stands before one VM's interface for the others.
type forwarder struct {
	target string

	mu    sync.Mutex
	kind  Kind // what is done to connections now, empty for nothing
	conns map[net.Conn]struct{}
}

// newForwarder listens at the address and passes connections on to the target until ctx ends.
func newForwarder(ctx context.Context, address, target string) (*forwarder, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the VM at %s: %w", address, err)
	}
	f := &forwarder{target: target, conns: make(map[net.Conn]struct{})}
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

// set begins a fault, or ends it with an empty kind. Connections that were silenced end with their fault.
func (f *forwarder) set(kind Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ended := f.kind
	f.kind = kind
	if kind == Cut || kind == Reset || ended == Silence {
		for conn := range f.conns {
			_ = conn.Close()
		}
	}
	if kind == Reset {
		f.kind = ""
	}
}

func (f *forwarder) now() Kind {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kind
}

func (f *forwarder) keep(conn net.Conn) func() {
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

func (f *forwarder) serve(ctx context.Context, caller net.Conn) {
	defer f.keep(caller)()
	if f.now() == Cut {
		return
	}
	var dialer net.Dialer
	vm, err := dialer.DialContext(ctx, "tcp", f.target)
	if err != nil {
		return // the VM is down, so its caller's connection ends too
	}
	defer f.keep(vm)()
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{caller, vm}, {vm, caller}} {
		go func() {
			f.copy(way[1], way[0])
			done <- struct{}{}
		}()
	}
	<-done
}

// copy passes bytes on one way until either side ends.
func (f *forwarder) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		kind := f.now()
		if kind == Silence {
			n = 0 // what is sent now is lost; the connection ends with the fault
		}
		if kind == Delay {
			time.Sleep(delayed)
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
