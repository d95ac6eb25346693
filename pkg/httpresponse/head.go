package httpresponse

import (
	"bufio"
	"io"
	"net/http"
	"strings"
)

// maxInformational limits the informational responses before a final one.
const maxInformational = 16

// Framing is what marks the end of a response's body.
type Framing uint8

// The framings.
const (
	// FramingNone: the response has no body, because of its status or the request's
	// method.
	FramingNone Framing = iota
	// FramingLength: the header states the length.
	FramingLength
	// FramingChunks: the last chunk ends the body.
	FramingChunks
	// FramingConnection: neither; an orderly end of the connection ends the body.
	FramingConnection
)

// String returns the framing's name in logs and metrics.
func (f Framing) String() string {
	switch f {
	case FramingNone:
		return "none"
	case FramingLength:
		return "length"
	case FramingChunks:
		return "chunks"
	default:
		return "connection"
	}
}

// Response is a response whose head was checked.
type Response struct {
	// Status is from 100 to 599, but not informational.
	Status int
	// Header has the fields of the response, with canonical names.
	Header  http.Header
	Framing Framing
	// ContentLength is in bytes; -1 if the response states none, and 0 if its status allows
	// no body. In the response to a HEAD it is that of the response to a GET.
	ContentLength int64
	// Body ends with io.EOF only where the framing says so. Its other errors are those of
	// the source, io.ErrUnexpectedEOF or wrap ErrMalformed.
	Body io.Reader
	// Reusable is set if the connection may serve another request after the body.
	Reusable bool
}

// Read reads the head of the next final response to a request with the given method. The
// error is that of the source, io.ErrUnexpectedEOF if it ends inside the head, or wraps
// ErrMalformed.
func Read(source *bufio.Reader, method string) (*Response, error) {
	lines := newHeadReader(source)
	for skipped := range maxInformational + 1 {
		first, header, err := readHead(lines)
		if skipped > 0 {
			err = unexpectedEnd(err)
		}
		if err != nil {
			return nil, err
		}
		if first.status >= http.StatusOK {
			return newResponse(source, method, first, header)
		}
		if err := checkInformational(first, header); err != nil {
			return nil, err
		}
	}
	return nil, malformed("too many informational responses")
}

func readHead(lines *lineReader) (statusLine, http.Header, error) {
	line, err := lines.next()
	if err != nil {
		return statusLine{}, nil, err
	}
	first, err := parseStatusLine(line)
	if err != nil {
		return statusLine{}, nil, err
	}
	header, err := lines.header()
	return first, header, err
}

// checkInformational returns an error unless the response can be skipped.
func checkInformational(first statusLine, header http.Header) error {
	switch {
	case first.status == http.StatusSwitchingProtocols:
		return malformed("switched protocols")
	case first.minorVersion == 0:
		return malformed("informational response of HTTP/1.0")
	case len(header["Content-Length"]) > 0 || len(header["Transfer-Encoding"]) > 0:
		return malformed("informational response with a body")
	default:
		return nil
	}
}

func newResponse(source *bufio.Reader, method string, first statusLine, header http.Header) (*Response, error) {
	length, err := contentLength(header)
	if err != nil {
		return nil, err
	}
	isChunked, err := hasChunks(first, header)
	if err != nil {
		return nil, err
	}
	response := &Response{Status: first.status, Header: header, ContentLength: length}
	switch {
	case isChunked && length >= 0:
		return nil, malformed("length beside chunks")
	case first.status == http.StatusNoContent && length > 0:
		return nil, malformed("length of a response without content")
	case method == http.MethodHead:
		response.Framing, response.Body = FramingNone, http.NoBody
	case isBodiless(first.status):
		response.Framing, response.Body, response.ContentLength = FramingNone, http.NoBody, 0
	case isChunked:
		response.Framing, response.Body = FramingChunks, newChunkedBody(source)
	case length >= 0:
		response.Framing, response.Body = FramingLength, &lengthBody{source: source, left: length}
	default:
		response.Framing, response.Body = FramingConnection, source
	}
	response.Reusable = response.Framing != FramingConnection && isPersistent(first, header)
	return response, nil
}

// isBodiless reports whether responses with a status never have a body.
func isBodiless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// contentLength returns the stated length, or -1.
func contentLength(header http.Header) (int64, error) {
	values := header["Content-Length"]
	switch len(values) {
	case 0:
		return -1, nil
	case 1:
		return parseLength(values[0])
	default:
		return 0, malformed("more than one length")
	}
}

// hasChunks reports whether the body is in chunks. Other codings are not supported.
func hasChunks(first statusLine, header http.Header) (bool, error) {
	values := header["Transfer-Encoding"]
	switch {
	case len(values) == 0:
		return false, nil
	case first.minorVersion == 0:
		return false, malformed("transfer coding in HTTP/1.0")
	case len(values) > 1:
		return false, malformed("more than one transfer coding")
	case !strings.EqualFold(values[0], "chunked"):
		return false, malformedName("unsupported transfer coding", values[0])
	default:
		return true, nil
	}
}

// isPersistent reports whether the server keeps the connection, by RFC 9112, section 9.3.
func isPersistent(first statusLine, header http.Header) bool {
	keeps := first.minorVersion > 0
	for _, value := range header["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			switch strings.ToLower(trimBlanks(option)) {
			case "close":
				return false
			case "keep-alive":
				keeps = true
			}
		}
	}
	return keeps
}
