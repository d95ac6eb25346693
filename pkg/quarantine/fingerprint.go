package quarantine

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
)

// Fingerprint identifies a property of requests, such as a part of the prompt,
// without revealing it. Equal properties have equal fingerprints at all processes
// of a site, and different ones at other sites.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string {
	const digits, base = 16, 16
	text := strconv.FormatUint(uint64(f), base)
	for len(text) < digits {
		text = "0" + text
	}
	return text
}

// MarshalText implements encoding.TextMarshaler, for the state dump.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// Fingerprints are those of one request.
type Fingerprints struct {
	// Parts are those of the parts of its prompt that other requests may share.
	Parts []Fingerprint
	// Whole is that of the request itself; zero if it isn't known.
	Whole Fingerprint
}

// All returns all fingerprints of the request.
func (f Fingerprints) All() []Fingerprint {
	if f.Whole == 0 {
		return f.Parts
	}
	return append(slices.Clone(f.Parts), f.Whole)
}

// Labels separate the fingerprint key from other keys derived from the site's
// secret, and the kinds of properties from each other.
const (
	keyLabel        = "teaselgauge request fingerprints"
	promptPartLabel = "prompt part"
	requestLabel    = "request"
)

// Fingerprinter computes fingerprints as a keyed hash. It is safe for concurrent
// use.
type Fingerprinter struct{ key []byte }

// NewFingerprinter returns the fingerprinter of a site with a secret.
func NewFingerprinter(secret []byte) (*Fingerprinter, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, keyLabel, sha256.Size)
	if err != nil {
		return nil, fmt.Errorf("quarantine: fingerprint key: %w", err)
	}
	return &Fingerprinter{key: key}, nil
}

// PromptPart returns the fingerprint of a part of a prompt.
func (f *Fingerprinter) PromptPart(id string) Fingerprint {
	return f.sum(promptPartLabel, []byte(id))
}

// Request returns the fingerprint of a whole request. It is the same when the caller
// sends the request again. callerKey may be empty.
func (f *Fingerprinter) Request(callerKey, method, host, target string, body []byte) Fingerprint {
	return f.sum(requestLabel, []byte(callerKey), []byte(method), []byte(host), []byte(target), body)
}

// sum hashes fields, each preceded by its length.
func (f *Fingerprinter) sum(label string, fields ...[]byte) Fingerprint {
	mac := hmac.New(sha256.New, f.key)
	write := func(field []byte) {
		// Writes to a hash never fail.
		_, _ = mac.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = mac.Write(field)
	}
	write([]byte(label))
	for _, field := range fields {
		write(field)
	}
	return Fingerprint(binary.BigEndian.Uint64(mac.Sum(nil)))
}
