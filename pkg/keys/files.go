package keys

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const (
	privateFileMode = 0o600
	publicFileMode  = 0o644
)

// CertPath returns the path of a pair's certificate in a directory.
func CertPath(dir, name string) string { return filepath.Join(dir, name+".crt") }

// KeyPath returns the path of a pair's private key in a directory.
func KeyPath(dir, name string) string { return filepath.Join(dir, name+".key") }

// Write stores a pair as name.crt and name.key. The key file has mode 0600. Existing
// files are never overwritten.
func (p Pair) Write(dir, name string) error {
	if err := writeNew(KeyPath(dir, name), p.KeyPEM, privateFileMode); err != nil {
		return err
	}
	return writeNew(CertPath(dir, name), p.CertPEM, publicFileMode)
}

// ReadPair reads a pair stored by Write.
func ReadPair(dir, name string) (Pair, error) {
	cert, err := os.ReadFile(CertPath(dir, name))
	if err != nil {
		return Pair{}, fmt.Errorf("keys: %w", err)
	}
	key, err := os.ReadFile(KeyPath(dir, name))
	if err != nil {
		return Pair{}, fmt.Errorf("keys: %w", err)
	}
	return Pair{CertPEM: cert, KeyPEM: key}, nil
}

func writeNew(path string, data []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	_, writeErr := file.Write(data)
	if err := errors.Join(writeErr, file.Close()); err != nil {
		return fmt.Errorf("keys: write %s: %w", path, err)
	}
	return nil
}
