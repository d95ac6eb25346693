package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

// checkInterval is the least time between two looks at the key files.
const checkInterval = time.Second

// material is what the key files held when they were read.
type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// source reads key files and reads them again when they change. Files that
// can't be read or don't fit each other leave the last material in use.
type source struct {
	files settings.InnerTLS

	mu      sync.Mutex
	checked time.Time
	stamps  [3]fileStamp
	value   *material
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

func newSource(files settings.InnerTLS) (*source, error) {
	s := &source{files: files, checked: time.Now()}
	s.stamps = s.readStamps()
	value, err := readMaterial(files)
	if err != nil {
		return nil, err
	}
	s.value = value
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
	return s.value
}

func (s *source) refresh() {
	stamps := s.readStamps()
	if stamps == s.stamps {
		return
	}
	value, err := readMaterial(s.files)
	if err != nil {
		slog.Error("key files unusable, last ones stay in use", "error", err)
		return
	}
	s.stamps = stamps
	s.value = value
	slog.Info("key files read again", "cert_file", s.files.CertFile, "ca_file", s.files.CAFile)
}

func (s *source) readStamps() [3]fileStamp {
	var stamps [3]fileStamp
	for i, path := range [...]string{s.files.CAFile, s.files.CertFile, s.files.KeyFile} {
		info, err := os.Stat(path)
		if err != nil {
			continue
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps
}

func readMaterial(files settings.InnerTLS) (*material, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("keys: certificate %s: %w", files.CertFile, err)
	}
	caPEM, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(caPEM) {
		return nil, fmt.Errorf("keys: %s holds no PEM certificate", files.CAFile)
	}
	return &material{certificate: certificate, roots: roots}, nil
}
