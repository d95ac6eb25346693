package keys

import (
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"strings"
	"time"
)

// roleAuthority is the Role of a certificate authority.
const roleAuthority = "authority"

// Description describes the owner and validity of a certificate.
type Description struct {
	Name string
	// Role is entry, agent or authority.
	Role    string
	Issuer  string
	Expires time.Time
}

// Describe describes the certificates in a PEM file.
func Describe(path string) ([]Description, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var descriptions []Description
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != pemCertificate {
			continue
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("keys: %s: %w", path, err)
		}
		descriptions = append(descriptions, describe(cert))
	}
	if len(descriptions) == 0 {
		return nil, fmt.Errorf("keys: %s contains no PEM certificate", path)
	}
	return descriptions, nil
}

func describe(cert *x509.Certificate) Description {
	role := strings.Join(cert.Subject.OrganizationalUnit, ",")
	if cert.IsCA {
		role = roleAuthority
	}
	return Description{
		Name:    cert.Subject.CommonName,
		Role:    role,
		Issuer:  cert.Issuer.CommonName,
		Expires: cert.NotAfter,
	}
}
