package callerlimits

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// allocated returns the bytes that a repeatable function allocates, whether they are freed or
// not: the least of some calls, as others allocate at the same time.
func allocated(f func()) int64 {
	const calls = 4
	least := int64(math.MaxInt64)
	for range calls {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		f()
		runtime.ReadMemStats(&after)
		least = min(least, int64(after.TotalAlloc-before.TotalAlloc))
	}
	return least
}

// FuzzHeadsAndBodies reads requests as the server does: the scanner must find the end of each
// head that net/http accepts, and what net/http allocates for the head must be within what is
// reserved for it. A body in chunks must draw no more than its bytes need.
func FuzzHeadsAndBodies(f *testing.F) {
	const start = "POST /a HTTP/1.1\r\nHost: h\r\n"
	var short strings.Builder
	for i := range 400 {
		fmt.Fprintf(&short, "%x:\r\n", i)
	}
	f.Add([]byte(start + "\r\n"))
	f.Add([]byte(start + "Content-Length: 4\r\n\r\nbody"))
	f.Add([]byte(start + short.String() + "\r\n"))
	f.Add([]byte(start + strings.Repeat("a:\r\n", 400) + "\r\n"))
	f.Add([]byte(start + strings.Repeat("a:\n b\n", 200) + "\n"))
	f.Add([]byte(start + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;x=y\r\nb\r\n", 300) + "0\r\nt: u\r\n\r\n"))
	f.Add([]byte(start + "Transfer-Encoding: chunked\r\n\r\n400\r\n" + strings.Repeat("b", 1024) + "\r\n0\r\n" + short.String()[:1000] + "\r\n"))
	f.Add([]byte("\r\n\r\n\r\n" + start + "\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 64<<10 {
			return
		}
		scanner := headScanner{}
		rest, ended := scanner.scan(data)
		read := func() (*http.Request, error) {
			return http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(data), bufferBytes))
		}
		drawn := allocated(func() { _, _ = read() })
		if reserved := scanner.cost(); drawn > reserved {
			t.Errorf("head of %d bytes and %d lines draws %d bytes, %d are reserved", scanner.size, scanner.lines, drawn, reserved)
		}
		if _, err := read(); err != nil {
			return
		}
		if !ended || scanner.size+len(rest) != len(data) {
			t.Fatalf("end of the head not found: %d bytes, rest %d of %d", scanner.size, len(rest), len(data))
		}
		var body int64
		drawn = allocated(func() {
			request, _ := read()
			body, _ = io.Copy(io.Discard, request.Body)
		})
		if allowed := scanner.cost() + headByteCost*body + int64(bytes.Count(rest, lineEnd))*lineCost; drawn > allowed {
			t.Errorf("body of %d bytes draws %d, %d allowed", body, drawn, allowed)
		}
	})
}

// Guards against ends of heads that depend on how a head arrives.
func TestHeadScannerIgnoresPartition(t *testing.T) {
	for _, test := range []struct {
		text string
		size int
	}{
		{"GET / HTTP/1.1\r\nHost: h\r\n\r\nbody", 27},
		{"GET / HTTP/1.1\nHost: h\n\nbody\n\n", 24},
		{"\r\n\r\nGET / HTTP/1.1\r\n\r\n", 22},
		{"GET / HTTP/1.1\r\na: \r\r\n\r\n", 24},
	} {
		for part := 1; part <= len(test.text); part++ {
			scanner, ended := headScanner{}, false
			for at := 0; at < len(test.text) && !ended; at += part {
				_, ended = scanner.scan([]byte(test.text[at:min(at+part, len(test.text))]))
			}
			if !ended || scanner.size != test.size {
				t.Errorf("%q in parts of %d: ended %t after %d bytes, want %d", test.text, part, ended, scanner.size, test.size)
			}
		}
	}
}
