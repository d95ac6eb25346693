package keys

import (
	"crypto/tls"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

// CallersConfig returns the TLS configuration of the listeners for callers and
// administrators. The files are reloaded when they change.
func CallersConfig(files settings.CallersTLS) (*tls.Config, error) {
	paths := []string{files.CertFile, files.KeyFile}
	source, err := openSource(paths, func() (*keyMaterial, error) {
		return readCertificate(files.CertFile, files.KeyFile)
	})
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &source.current().certificate, nil
		},
	}, nil
}
