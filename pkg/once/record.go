package once

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
)

// KeyPrefix is the prefix of the keys of all records in the key-value service.
const KeyPrefix = "once/"

// ErrRecord reports a malformed record in the key-value service.
var ErrRecord = errors.New("once: malformed record")

// Key is the hash of a plan, a service and an idempotency key.
type Key [sha256.Size]byte

// Fingerprint is the hash of a request.
type Fingerprint [sha256.Size]byte

// NewKey hashes plan, service and the caller's idempotency key.
func NewKey(plan, service, idempotencyKey string) Key {
	return sum([]byte(plan), []byte(service), []byte(idempotencyKey))
}

// NewFingerprint hashes a request.
func NewFingerprint(method, path, contentType string, body []byte) Fingerprint {
	return sum([]byte(method), []byte(path), []byte(contentType), body)
}

// sum hashes the parts, each prefixed with its length.
func sum(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range parts {
		writePart(h, part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	h.Write(length[:])
	h.Write(part)
}

// StoreKey returns the record's key in the key-value service.
func (k Key) StoreKey() string {
	return KeyPrefix + hex.EncodeToString(k[:])
}

// Record binds a key to one incarnation of an agent.
type Record struct {
	Agent       string
	Incarnation string
	// Sequence increases with each record of an incarnation.
	Sequence    uint64
	Fingerprint Fingerprint
}

// recordJSON is the stored form of a Record.
type recordJSON struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Fingerprint string `json:"fingerprint"`
}

// Encode returns the value stored in the key-value service.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(recordJSON{
		Agent:       r.Agent,
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Fingerprint: hex.EncodeToString(r.Fingerprint[:]),
	})
	if err != nil {
		return nil, fmt.Errorf("once: encode record: %w", err)
	}
	return value, nil
}

// DecodeRecord reads a stored value. Its errors wrap ErrRecord.
func DecodeRecord(value []byte) (Record, error) {
	var stored recordJSON
	if err := json.Unmarshal(value, &stored); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	fingerprint, err := hex.DecodeString(stored.Fingerprint)
	if err != nil {
		return Record{}, fmt.Errorf("%w: fingerprint: %w", ErrRecord, err)
	}
	if len(fingerprint) != len(Fingerprint{}) {
		return Record{}, fmt.Errorf("%w: fingerprint of %d bytes", ErrRecord, len(fingerprint))
	}
	if stored.Agent == "" || stored.Incarnation == "" {
		return Record{}, fmt.Errorf("%w: no owner", ErrRecord)
	}
	return Record{
		Agent:       stored.Agent,
		Incarnation: stored.Incarnation,
		Sequence:    stored.Sequence,
		Fingerprint: Fingerprint(fingerprint),
	}, nil
}
