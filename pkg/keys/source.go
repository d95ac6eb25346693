package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

const (
	// checkInterval is the minimum time between two checks of the key files.
	checkInterval = time.Second
	// expiryNotice is how long before its expiry a certificate is reported.
	expiryNotice = 30 * 24 * time.Hour
	// expiryRepeat is the time between two warnings about the same certificate.
	expiryRepeat = 24 * time.Hour
)

// keyMaterial is the parsed content of the key files.
type keyMaterial struct {
	certificate tls.Certificate
	// roots is nil for the listeners for callers, which verify no peer.
	roots *x509.CertPool
}

// source loads key files and reloads them when they change. If they are invalid or
// do not match each other, the last valid material stays in use.
type source struct {
	paths []string
	read  func() (*keyMaterial, error)

	mu sync.Mutex
	// checked is the time of the last check of the files, and reported the time of
	// the last warning about the expiry of the current certificate.
	checked  time.Time
	reported time.Time
	versions []fileVersion
	material *keyMaterial
}

// fileVersion identifies a version of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

func newSource(files settings.InternalTLS) (*source, error) {
	paths := []string{files.CAFile, files.CertFile, files.KeyFile}
	return openSource(paths, func() (*keyMaterial, error) { return readMaterial(files) })
}

func openSource(paths []string, read func() (*keyMaterial, error)) (*source, error) {
	s := &source{paths: paths, read: read, checked: time.Now()}
	s.versions = s.readVersions()
	material, err := read()
	if err != nil {
		return nil, err
	}
	s.material = material
	s.reportExpiry(s.checked)
	return s, nil
}

// current returns the last valid material, after reloading changed files.
func (s *source) current() *keyMaterial {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) < checkInterval {
		return s.material
	}
	s.checked = now
	s.reload()
	s.reportExpiry(now)
	return s.material
}

func (s *source) reload() {
	versions := s.readVersions()
	if slices.Equal(versions, s.versions) {
		return
	}
	material, err := s.read()
	if err != nil {
		slog.Error("key files invalid, keeping the last valid ones", "error", err)
		return
	}
	s.versions = versions
	s.material = material
	s.reported = time.Time{}
	slog.Info("key files reloaded", "files", s.paths)
}

// reportExpiry logs a warning once a day if the certificate expires soon.
func (s *source) reportExpiry(now time.Time) {
	leaf := s.material.certificate.Leaf
	if leaf == nil || now.Add(expiryNotice).Before(leaf.NotAfter) || now.Sub(s.reported) < expiryRepeat {
		return
	}
	s.reported = now
	slog.Warn("certificate expires soon", "subject", leaf.Subject.CommonName, "expires", leaf.NotAfter)
}

func (s *source) readVersions() []fileVersion {
	versions := make([]fileVersion, len(s.paths))
	for i, path := range s.paths {
		info, err := os.Stat(path)
		if err != nil {
			continue
		}
		versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return versions
}

func readMaterial(files settings.InternalTLS) (*keyMaterial, error) {
	material, err := readCertificate(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, err
	}
	caPEM, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	material.roots = x509.NewCertPool()
	if !material.roots.AppendCertsFromPEM(caPEM) {
		return nil, fmt.Errorf("keys: %s contains no PEM certificate", files.CAFile)
	}
	return material, nil
}

func readCertificate(certFile, keyFile string) (*keyMaterial, error) {
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("keys: certificate %s: %w", certFile, err)
	}
	return &keyMaterial{certificate: certificate}, nil
}
