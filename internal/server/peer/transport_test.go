package peer_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/server/peer"
)

// channelReceiver sends the delivered messages to a channel.
type channelReceiver struct {
	messages chan pj.PeerMessage
}

func (r channelReceiver) Deliver(messages []pj.PeerMessage) {
	for _, m := range messages {
		r.messages <- m
	}
}

func (r channelReceiver) Run(context.Context, string, []byte) (any, error) {
	return nil, pj.Refuse(pj.CodeBadRequest, "there are no operations")
}

// countedListener counts the bytes that its connections read.
type countedListener struct {
	net.Listener

	read chan int
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{Conn: c, read: l.read}, err
}

type countedConn struct {
	net.Conn

	read chan int
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read <- n
	return n, err
}

// TestLargeMessagesAreCompressed guards against saturated links between regions: without compression, one published
// configuration of 1,500 queues used up their bandwidth and delayed all messages behind it. Short messages must not be
// compressed.
func TestLargeMessagesAreCompressed(t *testing.T) {
	tests := map[string]struct {
		bytes    int
		maxBytes int // on the wire, including HTTP/2 overhead
		minBytes int
	}{
		"an entry":        {bytes: 1000, minBytes: 1000, maxBytes: 3000},
		"a configuration": {bytes: 1 << 20, maxBytes: 1 << 18},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			counted := countedListener{Listener: listener, read: make(chan int, 1<<16)}
			address := listener.Addr().String()
			receiver := channelReceiver{messages: make(chan pj.PeerMessage, 1)}
			_, handler, stop := peer.NewHandler(address, receiver, false)
			server := &http.Server{Handler: handler, Protocols: new(http.Protocols), ReadHeaderTimeout: time.Minute}
			server.Protocols.SetUnencryptedHTTP2(true)
			go func() { _ = server.Serve(counted) }()
			transport, closeTransport := peer.NewTransport("other:1", func(vm string) (string, bool) { return vm, true }, nil, peer.NewTraffic(metrics.NewSet()))
			data := bytes.Repeat([]byte(`{"queue":"q","host":"h"}`), test.bytes/24)
			transport.Send(address, []pj.PeerMessage{{Kind: pj.MessageAppend, To: address, Entries: []pj.LogEntry{{Index: 1, Data: data}}}})
			m := <-receiver.messages
			is.Equal(m.Entries[0].Data, data)
			closeTransport()
			stop()
			is.NoErr(server.Close())
			read := 0
			for len(counted.read) > 0 {
				read += <-counted.read
			}
			is.True(read <= test.maxBytes)
			is.True(read >= test.minBytes)
		})
	}
}
