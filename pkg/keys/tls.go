package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"slices"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

// ALPN is the protocol name of the internal protocol.
const ALPN = "teaselgauge/1"

// ErrNoPeerCertificate indicates that the peer presented no certificate.
var ErrNoPeerCertificate = errors.New("peer sent no certificate")

// PeerRoleError indicates that the peer's role is not allowed.
type PeerRoleError struct {
	ID, Role string
	Allowed  []string
}

// Error implements error.
func (e *PeerRoleError) Error() string {
	return fmt.Sprintf("peer %q has role %q, must be one of %q", e.ID, e.Role, e.Allowed)
}

// ServerConfig returns the TLS configuration of a listener that accepts only
// peers with one of the allowed roles. The files are reloaded when they change,
// so that keys can be replaced without a restart.
func ServerConfig(files settings.InternalTLS, allowedRoles ...string) (*tls.Config, error) {
	source, err := newSource(files)
	if err != nil {
		return nil, err
	}
	return serverConfig(source.current, allowedRoles), nil
}

func serverConfig(current func() *keyMaterial, allowedRoles []string) *tls.Config {
	config := baseConfig()
	config.ClientAuth = tls.RequireAnyClientCert
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &current().certificate, nil
	}
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyPeer(state, current().roots, x509.ExtKeyUsageClientAuth, allowedRoles)
	}
	return config
}

// ClientConfig returns the TLS configuration of a dialer that connects only to peers
// with one of the allowed roles. The peer's name is not verified: its address comes
// from the host list, and PeerIdentity returns who responded.
func ClientConfig(files settings.InternalTLS, allowedRoles ...string) (*tls.Config, error) {
	source, err := newSource(files)
	if err != nil {
		return nil, err
	}
	return clientConfig(source.current, allowedRoles), nil
}

func clientConfig(current func() *keyMaterial, allowedRoles []string) *tls.Config {
	config := baseConfig()
	// VerifyConnection verifies the certificate chain. The default verification
	// would also require the peer's address in its certificate.
	config.InsecureSkipVerify = true
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &current().certificate, nil
	}
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyPeer(state, current().roots, x509.ExtKeyUsageServerAuth, allowedRoles)
	}
	return config
}

func baseConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{ALPN},
	}
}

func verifyPeer(state tls.ConnectionState, roots *x509.CertPool, usage x509.ExtKeyUsage, allowedRoles []string) error {
	id, role, err := PeerIdentity(state)
	if err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return fmt.Errorf("keys: peer %q: %w", id, err)
	}
	if !slices.Contains(allowedRoles, role) {
		return fmt.Errorf("keys: %w", &PeerRoleError{ID: id, Role: role, Allowed: allowedRoles})
	}
	return nil
}

// PeerIdentity returns the peer's host ID and role from its certificate. They are
// verified on connections made with ServerConfig or ClientConfig.
func PeerIdentity(state tls.ConnectionState) (id, role string, err error) {
	if len(state.PeerCertificates) == 0 {
		return "", "", fmt.Errorf("keys: %w", ErrNoPeerCertificate)
	}
	subject := state.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) != 1 {
		return "", "", fmt.Errorf("keys: peer %q: certificate has %d organizational units, must have 1",
			subject.CommonName, len(subject.OrganizationalUnit))
	}
	return subject.CommonName, subject.OrganizationalUnit[0], nil
}
