package proxy

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"

	"chicoryline/internal/settings"
)

// callerTLS returns the TLS configuration for callers, or nil if no certificate is set.
func callerTLS(s settings.Settings) (*tls.Config, error) {
	if s.CallerCertificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.CallerCertificate, s.CallerKey)
	if err != nil {
		return nil, errors.Annotate(err, "caller_certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// peerName is the server name in the certificates of all processes of the fleet. Peers are
// addressed by IP addresses, which change, so certificates cannot name them individually.
const peerName = "chicoryline"

// peerTLS returns the server and client TLS configurations for connections between processes,
// or nil for both if no certificate is set. Both sides present a certificate issued by the
// fleet's own certificate authority.
func peerTLS(s settings.Settings) (server, client *tls.Config, err error) {
	if s.PeerCertificate == "" {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.PeerCertificate, s.PeerKey)
	if err != nil {
		return nil, nil, errors.Annotate(err, "peer_certificate")
	}
	pem, err := os.ReadFile(s.PeerCA)
	if err != nil {
		return nil, nil, errors.Annotate(err, "peer_ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Errorf("peer_ca: no certificate in the file")
	}
	server = &tls.Config{
		Certificates: []tls.Certificate{certificate}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
	client = &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: pool,
		ServerName: peerName, MinVersion: tls.VersionTLS13,
	}
	return server, client, nil
}

// ClientTLS returns the TLS configuration for an operator's client of the processes, or nil if
// no certificate is set.
func ClientTLS(s settings.Settings) (*tls.Config, error) {
	_, client, err := peerTLS(s)
	return client, err
}
