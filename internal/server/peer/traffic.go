package peer

import (
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Traffic counts the bytes sent to and received from each other VM on the connections that this VM opens.
type Traffic struct {
	set *metrics.Set
}

// NewTraffic returns a Traffic whose counters are registered in set.
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

// countedConn counts the bytes that it reads and writes.
type countedConn struct {
	net.Conn
	sent     *metrics.Counter
	received *metrics.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(n)
	return n, err
}
