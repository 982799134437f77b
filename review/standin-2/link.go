//go:build review

package main

import (
	"context"
	"net"
	"net/http"
)

// lostAnswers returns a client whose calls arrive and whose answers are lost on their way.
func lostAnswers() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &deafConn{Conn: conn}, nil
	}
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{DialContext: dial}}
}

// deafConn is a connection on which everything that arrives is dropped.
type deafConn struct {
	net.Conn
}

// Read drops what arrives until the connection is closed.
func (d *deafConn) Read(buffer []byte) (int, error) {
	for {
		if _, err := d.Conn.Read(buffer); err != nil {
			return 0, err
		}
	}
}
