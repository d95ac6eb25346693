package callerlimits

import "bytes"

// headScanner finds the end of a request's head in the bytes of a connection.
type headScanner struct {
	// size and lines are those of the head so far.
	size, lines int
	// lineBytes are those of the current line, without line ends. hasLine is set once a
	// line wasn't empty.
	lineBytes int
	hasLine   bool
}

// cost returns the memory that the head so far needs, in bytes.
func (s *headScanner) cost() int64 {
	return requestCost + int64(s.size)*headByteCost + int64(s.lines)*lineCost
}

// scan scans the next bytes. It returns those after the end of the head, and whether it has
// ended.
func (s *headScanner) scan(data []byte) (rest []byte, ended bool) {
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			s.size += len(data)
			s.lineBytes += contentBytes(data)
			return nil, false
		}
		s.size += end + 1
		s.lines++
		s.lineBytes += contentBytes(data[:end])
		if s.lineBytes == 0 && s.hasLine {
			return data[end+1:], true
		}
		s.hasLine = s.hasLine || s.lineBytes > 0
		s.lineBytes = 0
		data = data[end+1:]
	}
	return nil, false
}

// contentBytes returns the number of bytes of a part of a line, without a carriage return
// at its end.
func contentBytes(part []byte) int {
	if len(part) > 0 && part[len(part)-1] == '\r' {
		return len(part) - 1
	}
	return len(part)
}
