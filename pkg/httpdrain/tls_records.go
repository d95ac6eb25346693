package httpdrain

import "encoding/binary"

const (
	// recordHeaderSize is the size of the header of a TLS record in bytes: its type, its
	// version, and the length of what follows in the last two bytes.
	recordHeaderSize = 5
	// recordLengthOffset is the offset of the length in the header.
	recordLengthOffset = 3
)

// The types of TLS records (RFC 8446, section 5.1, and appendix D.4).
const (
	recordChangeCipherSpec = 20
	recordHandshake        = 22
	recordApplicationData  = 23
)

// recordScanner finds application data in the TLS records of a client, which may arrive in
// any parts. What may be either counts as application data. The zero value is at the start
// of a connection.
type recordScanner struct {
	header [recordHeaderSize]byte
	// headerSize is the number of bytes of the current header that were received, left that
	// of the bytes of the current record that are missing.
	headerSize int
	left       int
	// cipherChanged is set after a change of the cipher, handshakeDone after the client's
	// last message of the handshake.
	cipherChanged bool
	handshakeDone bool
	// inData is set in a record of application data.
	inData bool
}

// receive scans received bytes and reports whether some belong to application data.
func (s *recordScanner) receive(data []byte) (hasData bool) {
	for len(data) > 0 {
		size := min(s.left, len(data))
		if size == 0 {
			size = s.receiveHeader(data)
		} else {
			s.left -= size
		}
		hasData = hasData || s.inData
		data = data[size:]
	}
	return hasData
}

// receiveHeader scans a part of a header and returns its size.
func (s *recordScanner) receiveHeader(data []byte) int {
	if s.headerSize == 0 {
		s.beginRecord(data[0])
	}
	size := copy(s.header[s.headerSize:], data)
	s.headerSize += size
	if s.headerSize == recordHeaderSize {
		s.headerSize = 0
		s.left = int(binary.BigEndian.Uint16(s.header[recordLengthOffset:]))
	}
	return size
}

// beginRecord notes the type of the next record. Up to TLS 1.2 the client's last message
// of the handshake is the one after its change of the cipher. In TLS 1.3 it looks like
// application data.
func (s *recordScanner) beginRecord(recordType byte) {
	s.inData = false
	switch recordType {
	case recordChangeCipherSpec:
		s.cipherChanged = true
	case recordHandshake:
		s.handshakeDone = s.handshakeDone || s.cipherChanged
	case recordApplicationData:
		s.inData = s.handshakeDone
		s.handshakeDone = true
	}
}
