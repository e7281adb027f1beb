package htpeer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// TLSFiles names the PEM files for mutual TLS between entry hosts. The certificate
// must be valid for the host's IP address.
type TLSFiles struct {
	CA   string
	Cert string
	Key  string
}

// Load returns a configuration that presents a certificate and requires one from the peer.
func (f TLSFiles) Load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("peer certificate: %w", err)
	}
	caPEM, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("peer certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, errors.New("peer certificate authority: no certificate in " + f.CA)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
