package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"
)

// apiKeyBytes is the entropy of an API key in bytes.
const apiKeyBytes = 32

// apiKeyPrefix lets secret scanners recognise a leaked key.
const apiKeyPrefix = "tg_"

// NewAPIKey returns a random API key.
func NewAPIKey() string {
	random := make([]byte, apiKeyBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(random)
	return apiKeyPrefix + base64.RawURLEncoding.EncodeToString(random)
}

// HashAPIKey returns the SHA-256 digest of an API key in lower-case hexadecimal, as
// stored in lists and settings.
func HashAPIKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// EqualHash compares two hexadecimal digests in constant time.
func EqualHash(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(strings.ToLower(a)), []byte(strings.ToLower(b))) == 1
}
