package keys

import (
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"time"
)

// Roles in a host certificate.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

const (
	// serialBits is the size of a certificate's random serial number in bits.
	serialBits = 127
	// clockSkew backdates certificates to tolerate hosts whose clocks are behind.
	clockSkew = time.Hour

	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"
)

// ErrRole indicates that a role is neither entry nor agent.
var ErrRole = errors.New("role must be entry or agent")

// Pair is a certificate and its private key, both PEM-encoded.
type Pair struct {
	CertPEM []byte
	KeyPEM  []byte
}

// NewAuthority creates a site's certificate authority, valid from now for the given
// duration.
func NewAuthority(name string, now time.Time, validity time.Duration) (Pair, error) {
	template, err := newTemplate(name, now, validity)
	if err != nil {
		return Pair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("keys: generate private key: %w", err)
	}
	return sign(template, template, public, private, private)
}

// IssueHost creates a host certificate signed by the authority. The host ID is the
// common name and the role is the organizational unit.
func IssueHost(authority Pair, hostID, role string, now time.Time, validity time.Duration) (Pair, error) {
	if !isRole(role) {
		return Pair{}, fmt.Errorf("keys: role %q: %w", role, ErrRole)
	}
	parent, signer, err := parsePair(authority)
	if err != nil {
		return Pair{}, err
	}
	template, err := hostTemplate(hostID, role, now, validity)
	if err != nil {
		return Pair{}, err
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("keys: generate private key: %w", err)
	}
	return sign(template, parent, public, private, signer)
}

func hostTemplate(hostID, role string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	template, err := newTemplate(hostID, now, validity)
	if err != nil {
		return nil, err
	}
	template.Subject.OrganizationalUnit = []string{role}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return template, nil
}

func isRole(role string) bool {
	return role == RoleEntry || role == RoleAgent
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("keys: serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func sign(template, parent *x509.Certificate, public, private, signer any) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		return Pair{}, fmt.Errorf("keys: sign certificate: %w", err)
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return Pair{}, fmt.Errorf("keys: encode private key: %w", err)
	}
	return Pair{
		CertPEM: pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der}),
		KeyPEM:  pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: pkcs8}),
	}, nil
}

func parsePair(pair Pair) (*x509.Certificate, crypto.Signer, error) {
	certBlock, _ := pem.Decode(pair.CertPEM)
	if certBlock == nil || certBlock.Type != pemCertificate {
		return nil, nil, errors.New("keys: authority: no PEM certificate")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: authority: parse certificate: %w", err)
	}
	keyBlock, _ := pem.Decode(pair.KeyPEM)
	if keyBlock == nil || keyBlock.Type != pemPrivateKey {
		return nil, nil, errors.New("keys: authority: no PEM private key")
	}
	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: authority: parse private key: %w", err)
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, nil, errors.New("keys: authority: the private key does not support signing")
	}
	return cert, signer, nil
}
