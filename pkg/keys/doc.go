// Package keys makes and checks the keys of a site: the certificate authority,
// the host certificates of the mutual TLS between our processes, and the API
// keys of callers and administrators.
package keys
