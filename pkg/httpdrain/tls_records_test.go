package httpdrain

import (
	"bytes"
	"testing"
)

// record returns a TLS record of a type with content of some length.
func record(recordType byte, length int) []byte {
	header := []byte{recordType, 3, 3, byte(length >> 8), byte(length)}
	return append(header, bytes.Repeat([]byte{recordApplicationData}, length)...)
}

// TestApplicationDataIsToldFromTheHandshake receives the records of a client in parts of any
// size; all but the last one are its handshake.
func TestApplicationDataIsToldFromTheHandshake(t *testing.T) {
	for _, c := range []struct {
		name  string
		types []byte
	}{
		{"TLS 1.2", []byte{recordHandshake, recordHandshake, recordChangeCipherSpec, recordHandshake, recordApplicationData}},
		{"TLS 1.2, session resumed", []byte{recordHandshake, recordChangeCipherSpec, recordHandshake, recordApplicationData}},
		{"TLS 1.3", []byte{recordHandshake, recordChangeCipherSpec, recordApplicationData, recordApplicationData}},
		{"TLS 1.3 without compatibility mode", []byte{recordHandshake, recordApplicationData, recordApplicationData}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for part := 1; part <= 400; part++ {
				var s recordScanner
				for i, recordType := range c.types {
					isLast := i == len(c.types)-1
					left := record(recordType, 300)
					for len(left) > 0 {
						size := min(part, len(left))
						if got := s.receive(left[:size]); got != isLast {
							t.Fatalf("record %d in parts of %d bytes: application data %t, want %t", i, part, got, isLast)
						}
						left = left[size:]
					}
				}
			}
		})
	}
}

// TestApplicationDataBehindTheHandshakeIsFound has both arrive at once.
func TestApplicationDataBehindTheHandshakeIsFound(t *testing.T) {
	var s recordScanner
	s.receive(record(recordHandshake, 200))
	if !s.receive(append(record(recordApplicationData, 40), record(recordApplicationData, 1)[0])) {
		t.Error("the first byte of application data was not found")
	}
}
