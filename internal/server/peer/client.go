// Package peer sends messages and calls between the VMs of the system with Connect RPC.
package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"papayajunction/internal/config/settings"
)

// Timeouts of connections between VMs.
const (
	dialTimeout  = 2 * time.Second
	pingInterval = time.Second             // an idle connection is tested after this time
	pingTimeout  = 1500 * time.Millisecond // and closed if the test gets no reply within this time
	idleTimeout  = time.Minute
)

// TLS returns the TLS configuration for servers and clients, with this VM's certificate, or nil for connections without
// TLS on loopback addresses. The server accepts clients without a certificate; handlers check for one where it is needed.
func TLS(s settings.Settings) (*tls.Config, error) {
	if s.TLSCA == "" {
		return nil, nil //nolint:nilnil // no TLS is a valid setting, not a missing value
	}
	var certs []tls.Certificate
	if s.TLSCert != "" {
		cert, err := tls.LoadX509KeyPair(s.TLSCert, s.TLSKey)
		if err != nil {
			return nil, fmt.Errorf("load certificate: %w", err)
		}
		certs = append(certs, cert)
	}
	pem, err := os.ReadFile(filepath.Clean(s.TLSCA))
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("%s contains no CA certificate", s.TLSCA)
	}
	return &tls.Config{
		Certificates: certs,
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.VerifyClientCertIfGiven,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// newClient returns an HTTP/2 client whose traffic is counted as that of the named VM.
func newClient(vm string, tlsConfig *tls.Config, traffic *Traffic) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	if tlsConfig == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	transport := &http.Transport{
		Protocols:       protocols,
		TLSClientConfig: tlsConfig.Clone(),
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("dial VM %s: %w", vm, err)
			}
			return traffic.count(vm, conn), nil
		},
	}
	return &http.Client{Transport: transport}
}
