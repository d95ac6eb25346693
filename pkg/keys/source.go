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
	// checkInterval is the least time between two looks at the key files.
	checkInterval = time.Second
	// expiryNotice is how long before its end a certificate is reported.
	expiryNotice = 30 * 24 * time.Hour
	// expiryRepeat is the time between two reports.
	expiryRepeat = 24 * time.Hour
)

// material is what the key files held when they were read.
type material struct {
	certificate tls.Certificate
	// roots is nil for certificates towards callers.
	roots *x509.CertPool
}

// source reads key files and reads them again when they change. Files that
// can't be read or don't fit each other leave the last material in use.
type source struct {
	paths []string
	read  func() (*material, error)

	mu       sync.Mutex
	checked  time.Time
	reported time.Time
	stamps   []fileStamp
	value    *material
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

func newSource(files settings.InternalTLS) (*source, error) {
	paths := []string{files.CAFile, files.CertFile, files.KeyFile}
	return openSource(paths, func() (*material, error) { return readMaterial(files) })
}

func openSource(paths []string, read func() (*material, error)) (*source, error) {
	s := &source{paths: paths, read: read, checked: time.Now()}
	s.stamps = s.readStamps()
	value, err := read()
	if err != nil {
		return nil, err
	}
	s.value = value
	s.reportExpiry(s.checked)
	return s, nil
}

// current returns the newest usable material.
func (s *source) current() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) < checkInterval {
		return s.value
	}
	s.checked = now
	s.refresh()
	s.reportExpiry(now)
	return s.value
}

func (s *source) refresh() {
	stamps := s.readStamps()
	if slices.Equal(stamps, s.stamps) {
		return
	}
	value, err := s.read()
	if err != nil {
		slog.Error("key files unusable, last ones stay in use", "error", err)
		return
	}
	s.stamps = stamps
	s.value = value
	s.reported = time.Time{}
	slog.Info("key files read again", "files", s.paths)
}

// reportExpiry logs a certificate that ends soon, once a day.
func (s *source) reportExpiry(now time.Time) {
	leaf := s.value.certificate.Leaf
	if leaf == nil || now.Add(expiryNotice).Before(leaf.NotAfter) || now.Sub(s.reported) < expiryRepeat {
		return
	}
	s.reported = now
	slog.Warn("certificate expires soon", "subject", leaf.Subject.CommonName, "expires", leaf.NotAfter)
}

func (s *source) readStamps() []fileStamp {
	stamps := make([]fileStamp, len(s.paths))
	for i, path := range s.paths {
		info, err := os.Stat(path)
		if err != nil {
			continue
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps
}

func readMaterial(files settings.InternalTLS) (*material, error) {
	value, err := readCertificate(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, err
	}
	caPEM, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	value.roots = x509.NewCertPool()
	if !value.roots.AppendCertsFromPEM(caPEM) {
		return nil, fmt.Errorf("keys: %s holds no PEM certificate", files.CAFile)
	}
	return value, nil
}

func readCertificate(certFile, keyFile string) (*material, error) {
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("keys: certificate %s: %w", certFile, err)
	}
	return &material{certificate: certificate}, nil
}
