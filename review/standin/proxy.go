//go:build review

package main

import (
	"context"
	"net"
	"regexp"
	"sync"
	"time"
)

// link is a proxy in front of the peer port of one VM. It learns who calls from the caller's name, which its first message
// contains, and holds the bytes between two VMs up while these are cut from each other.
type link struct {
	cell   *cell
	target string // address that the other VMs call
	real   string // address at which the VM listens
}

var vmName = regexp.MustCompile(`127\.0\.7\.[0-9]+:[0-9]+`)

// cuts says which VMs are cut from each other.
type cuts struct {
	mu     sync.Mutex
	from   string          // VM that is cut off, "" if none is
	others map[string]bool // VMs that it is cut from
}

func (c *cuts) set(vm string, others ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.from, c.others = vm, map[string]bool{}
	for _, o := range others {
		c.others[o] = true
	}
}

func (c *cuts) between(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.from != "" && ((a == c.from && c.others[b]) || (b == c.from && c.others[a]))
}

func (l *link) listen(ctx context.Context) error {
	listener, err := net.Listen("tcp", l.target)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return nil
}

// chunk is a piece of a stream that is on its way.
type chunk struct {
	data   []byte
	at     time.Time // when it arrives
	caller string
}

// forward passes the chunks on when they arrive, and holds them up while their VMs are cut from each other.
func (l *link) forward(to net.Conn, pipe <-chan chunk, gone chan<- struct{}) {
	defer to.Close()
	defer close(gone)
	for c := range pipe {
		time.Sleep(time.Until(c.at))
		for l.cell.cuts.between(c.caller, l.target) {
			time.Sleep(5 * time.Millisecond)
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

func (l *link) serve(conn net.Conn) {
	defer conn.Close()
	upstream, err := net.DialTimeout("tcp", l.real, time.Second)
	if err != nil {
		return // the VM is down
	}
	defer upstream.Close()
	var mu sync.Mutex
	caller := ""
	copyBytes := func(to, from net.Conn, learn bool) {
		defer from.Close()
		pipe, gone := make(chan chunk, 256), make(chan struct{})
		defer close(pipe)
		go l.forward(to, pipe, gone)
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			mu.Lock()
			if learn && caller == "" {
				for _, name := range vmName.FindAll(buffer[:n], -1) {
					if string(name) != l.target {
						caller = string(name)
						break
					}
				}
			}
			name := caller
			mu.Unlock()
			arrived := time.Now().Add(l.cell.delay(name, l.target))
			if n > 0 {
				select {
				case pipe <- chunk{data: append([]byte(nil), buffer[:n]...), at: arrived, caller: name}:
				case <-gone:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go copyBytes(conn, upstream, false)
	copyBytes(upstream, conn, true)
}
