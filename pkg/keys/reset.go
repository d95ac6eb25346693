package keys

import (
	"crypto/hkdf"
	"crypto/sha256"
	"fmt"
	"os"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

// resetLabel separates the reset key from other uses of the host's key.
const resetLabel = "teaselgauge stateless reset"

// ResetKey derives the key of stateless resets from the host's private key, so
// that all incarnations of the host's process have the same.
func ResetKey(files settings.InternalTLS) (*[32]byte, error) {
	secret, err := os.ReadFile(files.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("keys: reset key: %w", err)
	}
	derived, err := hkdf.Key(sha256.New, secret, nil, resetLabel, sha256.Size)
	if err != nil {
		return nil, fmt.Errorf("keys: reset key: %w", err)
	}
	key := [32]byte(derived)
	return &key, nil
}
