// Package keys creates and verifies the keys of a site: the certificate authority,
// the host certificates for mutual TLS between teaselgauge's processes, and the API
// keys of callers and administrators.
package keys
