package htlab

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// certLifetime is the validity of the certificates after they are issued: longer
// than a test run, and too short for use outside tests.
const certLifetime = 24 * time.Hour

// Authority signs certificates for test hosts.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	path string
	dir  string
}

// NewAuthority creates a certificate authority and writes its certificate to dir.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "hawthornturn test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(certLifetime),
		IsCA:                  true,
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "ca.pem")
	return &Authority{cert: cert, key: key, path: path, dir: dir}, writePEM(path, "CERTIFICATE", der)
}

// CertFiles are the paths of the certificate files of one host.
type CertFiles struct {
	CA   string
	Cert string
	Key  string
}

// Issue writes a certificate and key for a host on a loopback address and returns
// their paths.
func (a *Authority) Issue(name string) (CertFiles, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return CertFiles{}, err
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return CertFiles{}, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		DNSNames:     []string{name},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return CertFiles{}, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return CertFiles{}, err
	}
	files := CertFiles{CA: a.path, Cert: filepath.Join(a.dir, name+".pem"), Key: filepath.Join(a.dir, name+"-key.pem")}
	if err := writePEM(files.Cert, "CERTIFICATE", der); err != nil {
		return CertFiles{}, err
	}
	return files, writePEM(files.Key, "EC PRIVATE KEY", keyDER)
}

func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}
