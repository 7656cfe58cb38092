package proxy

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-sql-driver/mysql"
)

// tlsConfigs returns TLS configurations of a server and a client for loopback addresses.
func tlsConfigs(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ledger"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(parsed)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}, &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}
}

var tlsConfigMu sync.Mutex

// registerTLSConfig registers c with the go-sql-driver client as tls=test. The name is global, so
// tests that use it run one after the other.
func registerTLSConfig(t *testing.T, c *tls.Config) {
	t.Helper()
	tlsConfigMu.Lock()
	t.Cleanup(tlsConfigMu.Unlock)
	if err := mysql.RegisterTLSConfig("test", c); err != nil {
		t.Fatal(err)
	}
}
