package httpresponse

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"teaselgauge.example/teaselgauge/pkg/httpresponse/httpresponsetest"
)

// readAll reads a response and its body.
func readAll(source *bufio.Reader, method string) (*Response, string, error) {
	response, err := Read(source, method)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Guards against a response that RFC 9112 doesn't allow and is taken for one.
func TestMalformedResponses(t *testing.T) {
	for _, test := range httpresponsetest.Malformed("X-Id: 1\r\n") {
		t.Run(test.Name, func(t *testing.T) {
			_, body, err := readAll(bufio.NewReader(strings.NewReader(test.Response)), http.MethodGet)
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("%q, %v, want ErrMalformed", body, err)
			}
		})
	}
}

// validTests are responses that must be read. Those that don't end with their connection are
// followed by other bytes.
var validTests = []struct {
	name     string
	method   string
	response string
	status   int
	framing  Framing
	length   int64
	body     string
	reusable bool
}{
	{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", 200, FramingLength, 5, "whole", true},
	{"no length", "GET", "HTTP/1.1 200 OK\r\n\r\nwhole", 200, FramingConnection, -1, "whole", false},
	{"no body", "GET", "HTTP/1.1 500 \r\ncontent-length:0\r\n\r\n", 500, FramingLength, 0, "", true},
	{"no reason", "GET", "HTTP/1.1 200 \r\nContent-Length: 0005 \t\r\n\r\nwhole", 200, FramingLength, 5, "whole", true},
	{"bytes beyond ASCII", "GET", "HTTP/1.1 200 \xc3\xa4\xff\r\nX-Y: \xc3\xa4\xff\r\nContent-Length: 0\r\n\r\n", 200, FramingLength, 0, "", true},
	{"all token bytes", "GET", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0aZ:\r\nContent-Length: 0\r\n\r\n", 200, FramingLength, 0, "", true},
	{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nwh\r\n003\r\nole\r\n0\r\n\r\n", 200, FramingChunks, -1, "whole", true},
	{"extensions and trailers", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5 ; a=b;c = \"d\\\";\" ;e\r\nwhole\r\n00;f\r\nX-Y: z\r\n\r\n", 200, FramingChunks, -1, "whole", true},
	{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 200, FramingNone, 5, "", true},
	{"head in chunks", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200, FramingNone, -1, "", true},
	{"no content", "GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204, FramingNone, 0, "", true},
	{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, FramingNone, 0, "", true},
	{"informational", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", 200, FramingLength, 5, "whole", true},
	{"close", "GET", "HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 5\r\n\r\nwhole", 200, FramingLength, 5, "whole", false},
	{"close beside keep-alive", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nwhole", 200, FramingLength, 5, "whole", false},
	{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", 200, FramingLength, 5, "whole", false},
	{"HTTP/1.0 that is kept", "GET", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nwhole", 200, FramingLength, 5, "whole", true},
	{"highest status", "GET", "HTTP/1.1 599 Unknown\r\nContent-Length: 0\r\n\r\n", 599, FramingLength, 0, "", true},
	{"long line", "GET", "HTTP/1.1 200 OK\r\nX-Y: " + strings.Repeat("z", 100<<10) + "\r\nContent-Length: 0\r\n\r\n", 200, FramingLength, 0, "", true},
}

// Guards against a sound response that is refused or framed wrongly, and against bytes behind it that are lost.
func TestValidResponses(t *testing.T) {
	const next = "HTTP/1.1 next"
	for _, test := range validTests {
		t.Run(test.name, func(t *testing.T) {
			rest := next
			if test.framing == FramingConnection {
				rest = ""
			}
			for name, source := range map[string]io.Reader{
				"at once":   strings.NewReader(test.response + rest),
				"bytewise":  iotest.OneByteReader(strings.NewReader(test.response + rest)),
				"early end": iotest.DataErrReader(strings.NewReader(test.response + rest)),
			} {
				reader := bufio.NewReader(source)
				got, body, err := readAll(reader, test.method)
				if err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				if got.Status != test.status || got.Framing != test.framing || got.ContentLength != test.length || got.Reusable != test.reusable || body != test.body {
					t.Errorf("%s: %+v, body %q", name, got, body)
				}
				if left, err := io.ReadAll(reader); string(left) != rest || err != nil {
					t.Errorf("%s: %q is left, %v, want %q", name, left, err, rest)
				}
			}
		})
	}
}

// Guards against a response that is cut off and looks complete.
func TestTruncatedResponses(t *testing.T) {
	for _, test := range validTests {
		if test.framing == FramingConnection || len(test.response) > 1<<10 {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			for size := range len(test.response) {
				_, body, err := readAll(bufio.NewReader(strings.NewReader(test.response[:size])), test.method)
				if err == nil || errors.Is(err, ErrMalformed) || (size > 0 && err != io.ErrUnexpectedEOF) {
					t.Errorf("%q: body %q, %v, want an unexpected end", test.response[:size], body, err)
				}
			}
		})
	}
}

// Guards against names that aren't canonical and values with blanks around them.
func TestHeaderIsRebuilt(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nx-one: \t a b \r\nX-One:c\r\nX-EMPTY:\r\nContent-Length: 0\r\n\r\n"
	got, err := Read(bufio.NewReader(strings.NewReader(response)), http.MethodGet)
	if err != nil {
		t.Fatal(err)
	}
	if one := got.Header["X-One"]; len(one) != 2 || one[0] != "a b" || one[1] != "c" {
		t.Errorf("X-One is %q", one)
	}
	if empty, ok := got.Header["X-Empty"]; !ok || empty[0] != "" || len(got.Header) != 3 {
		t.Errorf("header %q", got.Header)
	}
}

// Guards against data of a chunk that waits for what follows it.
func TestChunkIsReadWithoutWaiting(t *testing.T) {
	for name, part := range map[string]string{
		"before the end of the chunk": "5\r\nfirst",
		"inside the end of the chunk": "5\r\nfirst\r",
		"inside the next size":        "5\r\nfirst\r\n1",
		"before the trailers":         "5\r\nfirst\r\n0\r\n",
		"inside the trailers":         "5\r\nfirst\r\n0\r\nX-Y: z\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			source, server := io.Pipe()
			go func() {
				_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				_, _ = io.WriteString(server, part)
				// The server writes nothing more; a reader that waits gets this error.
				_ = server.CloseWithError(io.ErrClosedPipe)
			}()
			response, err := Read(bufio.NewReader(source), http.MethodGet)
			if err != nil {
				t.Fatal(err)
			}
			buffer := make([]byte, 64)
			if n, err := response.Body.Read(buffer); string(buffer[:n]) != "first" || err != nil {
				t.Errorf("%q, %v", buffer[:n], err)
			}
			if n, err := response.Body.Read(buffer); n != 0 || err != io.ErrClosedPipe {
				t.Errorf("then %q, %v", buffer[:n], err)
			}
		})
	}
}
