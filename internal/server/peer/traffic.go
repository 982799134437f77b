package peer

import (
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Traffic counts the bytes to and from each other VM, whichever side opened the connection's use.
type Traffic struct {
	set *metrics.Set
}

// NewTraffic returns counters in the set of metrics.
func NewTraffic(set *metrics.Set) *Traffic {
	return &Traffic{set: set}
}

func (t *Traffic) count(vm string, conn net.Conn) net.Conn {
	return &countedConn{
		Conn:     conn,
		sent:     t.set.GetOrCreateCounter(fmt.Sprintf(`papaya_peer_bytes_total{vm=%q,direction="sent"}`, vm)),
		received: t.set.GetOrCreateCounter(fmt.Sprintf(`papaya_peer_bytes_total{vm=%q,direction="received"}`, vm)),
	}
}

// countedConn counts what it reads and writes.
type countedConn struct {
	net.Conn
	sent     *metrics.Counter
	received *metrics.Counter
}

// Read is part of net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(n)
	return n, err
}

// Write is part of net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(n)
	return n, err
}
