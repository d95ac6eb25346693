package keys

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"time"
)

const (
	// SecretBytes is the length of a site secret.
	SecretBytes = 32

	authorityLabel = "teaselgauge authority"
	// ephemeralValidity is the validity of the certificate of one process.
	ephemeralValidity = 10 * 365 * 24 * time.Hour
	// ephemeralSkew is the maximum difference between the clocks of two hosts.
	ephemeralSkew = 48 * time.Hour
)

// The validity of an authority derived from a secret. It is constant because all
// processes must derive the same authority.
var (
	derivedFrom  = time.Date(2020, time.January, 1, 0, 0, 0, 0, time.UTC)
	derivedUntil = time.Date(2120, time.January, 1, 0, 0, 0, 0, time.UTC)
)

// ErrSecret indicates that a secret is too short.
var ErrSecret = errors.New("secret is too short")

// NewSecret returns a random site secret.
func NewSecret() ([]byte, error) {
	secret := make([]byte, SecretBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("keys: generate site secret: %w", err)
	}
	return secret, nil
}

// EphemeralCredentials holds the keys of one process on a host without key files. All
// processes that know the site secret derive the same authority from it, and each
// one issues a certificate to itself.
type EphemeralCredentials struct {
	keyMaterial keyMaterial
	resetKey    [32]byte
}

// NewEphemeralCredentials issues a certificate for a host and a role, signed by the
// authority derived from the secret.
func NewEphemeralCredentials(secret []byte, hostID, role string, now time.Time) (*EphemeralCredentials, error) {
	if len(secret) < SecretBytes {
		return nil, fmt.Errorf("keys: %w: %d bytes", ErrSecret, len(secret))
	}
	if !isRole(role) {
		return nil, fmt.Errorf("keys: role %q: %w", role, ErrRole)
	}
	authority, signer, err := deriveAuthority(secret)
	if err != nil {
		return nil, err
	}
	certificate, err := issueCertificate(authority, signer, hostID, role, now)
	if err != nil {
		return nil, err
	}
	reset, err := hkdf.Key(sha256.New, secret, nil, resetLabel+" "+hostID, sha256.Size)
	if err != nil {
		return nil, fmt.Errorf("keys: reset key: %w", err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(authority)
	return &EphemeralCredentials{
		keyMaterial: keyMaterial{certificate: certificate, roots: roots},
		resetKey:    [32]byte(reset),
	}, nil
}

func deriveAuthority(secret []byte) (*x509.Certificate, ed25519.PrivateKey, error) {
	seed, err := hkdf.Key(sha256.New, secret, nil, authorityLabel, ed25519.SeedSize)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: derive authority: %w", err)
	}
	private := ed25519.NewKeyFromSeed(seed)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: authorityLabel},
		NotBefore:             derivedFrom,
		NotAfter:              derivedUntil,
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: derive authority: %w", err)
	}
	authority, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: derive authority: %w", err)
	}
	return authority, private, nil
}

func issueCertificate(authority *x509.Certificate, signer ed25519.PrivateKey, hostID, role string, now time.Time) (tls.Certificate, error) {
	template, err := hostTemplate(hostID, role, now, ephemeralValidity)
	if err != nil {
		return tls.Certificate{}, err
	}
	template.NotBefore = now.Add(-ephemeralSkew)
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("keys: generate private key: %w", err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, public, signer)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("keys: sign certificate: %w", err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// ServerConfig returns the TLS configuration of a listener that accepts only peers
// with one of the allowed roles.
func (e *EphemeralCredentials) ServerConfig(allowedRoles ...string) *tls.Config {
	return withX25519Only(serverConfig(e.current, allowedRoles))
}

// ClientConfig returns the TLS configuration of a dialer that connects only to peers
// with one of the allowed roles.
func (e *EphemeralCredentials) ClientConfig(allowedRoles ...string) *tls.Config {
	return withX25519Only(clientConfig(e.current, allowedRoles))
}

// ResetKey returns the key for stateless resets. It is the same for all incarnations
// on the host.
func (e *EphemeralCredentials) ResetKey() *[32]byte { return &e.resetKey }

func (e *EphemeralCredentials) current() *keyMaterial { return &e.keyMaterial }

// withX25519Only restricts the key exchange to X25519. Other key exchanges cost
// milliseconds for each connection on hosts with a fraction of a core.
func withX25519Only(config *tls.Config) *tls.Config {
	config.CurvePreferences = []tls.CurveID{tls.X25519}
	return config
}
