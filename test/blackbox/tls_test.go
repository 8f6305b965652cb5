package blackbox

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
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// certificates writes the certificate of a certificate authority, and one certificate and
// key that it issued for all proxies, into the directory. It returns a pool with the
// authority.
func certificates(t *testing.T, dir string) *x509.CertPool {
	t.Helper()
	caKey, ca := selfSigned(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "chicoryline"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{"chicoryline"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, &key.PublicKey, caKey)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, filepath.Join(dir, "ca.pem"), "CERTIFICATE", ca.Raw)
	writePEM(t, filepath.Join(dir, "cert.pem"), "CERTIFICATE", der)
	writePEM(t, filepath.Join(dir, "key.pem"), "EC PRIVATE KEY", keyDER)
	pool := x509.NewCertPool()
	pool.AddCert(ca)
	return pool
}

// selfSigned creates a certificate authority with a self-signed certificate.
func selfSigned(t *testing.T) (*ecdsa.PrivateKey, *x509.Certificate) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	ca, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return key, ca
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestTLS runs proxies with TLS for callers and between processes: a write through one
// proxy is read through the others, a caller that does not trust the authority does not
// connect, and a peer without a certificate of the authority is rejected.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	roots := certificates(t, dir)
	file := func(name string) string { return filepath.Join(dir, name) }
	section := fmt.Sprintf("[tls]\ncaller_certificate = %s\ncaller_key = %s\npeer_certificate = %s\npeer_key = %s\npeer_ca = %s\n",
		file("cert.pem"), file("key.pem"), file("cert.pem"), file("key.pem"), file("ca.pem"))
	in := newInstallation(t, spec{
		proxies: 3, groups: 1, instances: 3, domains: 3, customers: []string{"kremstal"}, rate: 5000, burst: 5000,
		settings: section, tls: &tls.Config{RootCAs: roots, ServerName: "chicoryline"},
	})
	ctx := context.Background()
	a := in.connect("vm1", "kremstal", "group1", "")
	mustExec(t, a, "CREATE TABLE orders (id bigint PRIMARY KEY, what text)")
	mustExec(t, a, "INSERT INTO orders (id, what) VALUES (1, 'x')")
	for _, vm := range []string{"vm2", "vm3"} {
		var n int64
		if err := in.connect(vm, "kremstal", "group1", "").QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&n); err != nil || n != 1 {
			t.Errorf("%s: %d %v", vm, n, err)
		}
	}
	if _, err := pgx.Connect(ctx, fmt.Sprintf("postgres://kremstal:%s@%s/group1?sslmode=verify-full", in.keys["kremstal"], in.callerAddresses["vm1"])); err == nil {
		t.Error("a caller that does not trust the authority connected")
	}
	plain, err := net.Dial("tcp", in.peerAddresses["vm1"])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = plain.Close() }()
	uncertified := tls.Client(plain, &tls.Config{RootCAs: roots, ServerName: "chicoryline"})
	_ = uncertified.SetDeadline(time.Now().Add(settleTimeout))
	if err := uncertified.Handshake(); err == nil {
		if _, err := uncertified.Read(make([]byte, 1)); err == nil {
			t.Error("a peer without a certificate got an answer")
		}
	}
}
