package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/client/entry"
	"papayajunction/internal/config/settings"
	"papayajunction/internal/config/topology"
	"papayajunction/internal/server/daemon"
	"papayajunction/internal/server/peer"
)

// writeCertificates creates a certificate authority and a certificate for 127.0.0.1, writes them to files and returns
// settings that use them.
func writeCertificates(t *testing.T) settings.Settings {
	t.Helper()
	is := is.New(t)
	folder := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	signed, err := x509.CreateCertificate(rand.Reader, authority, authority, &key.PublicKey, key)
	is.NoErr(err)
	vm := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "vm"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, vm, authority, &key.PublicKey, key)
	is.NoErr(err)
	private, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(folder, name)
		is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return path
	}
	s := settings.Default()
	s.TLSCA = write("ca.pem", "CERTIFICATE", signed)
	s.TLSCert = write("vm.pem", "CERTIFICATE", certificate)
	s.TLSKey = write("vm.key", "EC PRIVATE KEY", private)
	return s
}

// startPair starts two VMs of one zone that use TLS with client certificates between each other.
func startPair(t *testing.T, base settings.Settings) []topology.VM {
	t.Helper()
	is := is.New(t)
	var vms []topology.VM
	for i := range 2 {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
		is.NoErr(err)
		vms = append(vms, topology.VM{Name: fmt.Sprint("vm-", i), Zone: "zone-1", Address: l.Addr().String(), Replica: true})
		is.NoErr(l.Close())
	}
	for _, vm := range vms {
		s := base
		s.VM, s.Listen, s.DataDir, s.VMs, s.Quiet = vm.Name, vm.Address, t.TempDir(), vms, true
		is.NoErr(s.Check())
		d, cleanup, err := daemon.New(s, daemon.NewLogger(t.Output(), s))
		is.NoErr(err)
		go func() { _ = d.Run() }()
		t.Cleanup(func() {
			_ = d.Stop()
			cleanup()
		})
	}
	return vms
}

// TestClientCertificates checks that VMs with certificates form a group, and that calls between VMs and the routes for
// workers and endpoints reject clients without a certificate.
func TestClientCertificates(t *testing.T) {
	is := is.New(t)
	base := writeCertificates(t)
	vms := startPair(t, base)
	withCertificate, err := peer.TLS(base)
	is.NoErr(err)
	s := &system{}
	client, closeClient := entry.New([]string{vms[0].Address, vms[1].Address}, "", entry.WithTLS(withCertificate))
	defer closeClient()
	s.eventually(t, func() error {
		_, err := client.Publish(context.Background(), pj.Publication{Files: operatorFiles})
		return err
	})
	withoutCertificate := withCertificate.Clone()
	withoutCertificate.Certificates = nil
	tests := map[string]struct {
		config *tls.Config
		path   string
		body   string
		status int
	}{
		"a call between VMs without a certificate":   {withoutCertificate, "/papayajunction.peer.v1.PeerService/Call", `{"operation": "hello"}`, http.StatusForbidden},
		"a worker's report without a certificate":    {withoutCertificate, "/v1/workers/w/report", `{"worker": "w"}`, http.StatusForbidden},
		"an announcement without a certificate":      {withoutCertificate, "/v1/endpoints", `{}`, http.StatusForbidden},
		"a report with a certificate is processed":   {withCertificate, "/v1/workers/w/report", `{"worker": "w", "zone": "zone-1"}`, http.StatusBadRequest},
		"a request needs no certificate":             {withoutCertificate, "/v1/queues/none/requests", ``, http.StatusNotFound},
		"a call between VMs with a certificate runs": {withCertificate, "/papayajunction.peer.v1.PeerService/Call", `{"operation": "none"}`, http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, closeC := entry.New([]string{vms[0].Address}, "", entry.WithTLS(test.config))
			defer closeC()
			status, _ := c.Raw(context.Background(), http.MethodPost, test.path, []byte(test.body))
			is.Equal(status, test.status)
		})
	}
}
