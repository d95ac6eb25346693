package engine

import (
	"errors"
	"io"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"
)

func TestEndReader(t *testing.T) {
	tests := []struct {
		name     string
		offset   int64
		stream   string
		complete bool
	}{
		{"ended", 0, "data: {}\n\ndata: [DONE]\n\n", true},
		{"ended without blank line", 0, "data: {}\n\ndata: [DONE]\n", true},
		{"carriage returns", 0, "data: {}\r\n\r\ndata: [DONE]\r\n\r\n", true},
		{"no space", 0, "data:[DONE]\n\n", true},
		{"empty", 0, "", false},
		{"no end marker", 0, "data: {}\n\n", false},
		{"truncated in the end marker", 0, "data: {}\n\ndata: [DO", false},
		{"truncated before the line break", 0, "data: {}\n\ndata: [DONE]", false},
		{"end marker inside a line", 0, "data: {\"x\":\"data: [DONE]\"}\n\n", false},
		{"longer line", 0, "data: [DONE]x\n\n", false},
		{"event after the end marker", 0, "data: [DONE]\n\ndata: {}\n\n", false},
		{"text after the end marker", 0, "data: [DONE]\n\nd", false},
		{"resumed before the end marker", 5, "}\n\ndata: [DONE]\n\n", true},
		{"resumed in a line that looks like the end marker", 5, "data: [DONE]\n\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, source := range []io.Reader{
				strings.NewReader(test.stream),
				iotest.OneByteReader(strings.NewReader(test.stream)),
				iotest.DataErrReader(strings.NewReader(test.stream)),
			} {
				reader := newEndReader(test.offset)
				reader.source = source
				got, err := io.ReadAll(reader)
				if string(got) != test.stream {
					t.Fatalf("read %q, want %q", got, test.stream)
				}
				if complete := err == nil; complete != test.complete {
					t.Errorf("complete = %v (%v), want %v", complete, err, test.complete)
				}
			}
		})
	}
}

// lastLine matches streams whose last line that isn't blank is the end marker.
var lastLine = regexp.MustCompile(`(?s)(\A|[\r\n])data: ?\[DONE\][\r\n]+\z`)

func FuzzEndReader(f *testing.F) {
	f.Add("data: {}\n\ndata: [DONE]\n\n", 3)
	f.Add("data:[DONE]\r\n\r\n", 1)
	f.Add("data: [DONE]", 7)
	f.Add("x: data: [DONE]\n", 12)
	f.Fuzz(func(t *testing.T, stream string, size int) {
		reader := newEndReader(0)
		reader.source = strings.NewReader(stream)
		buffer := make([]byte, min(max(size, 1), 64))
		var got strings.Builder
		_, err := io.CopyBuffer(struct{ io.Writer }{&got}, struct{ io.Reader }{reader}, buffer)
		if got.String() != stream {
			t.Fatalf("read %q, want %q", got.String(), stream)
		}
		if err != nil && !errors.Is(err, errNoEndMarker) {
			t.Fatalf("error %v", err)
		}
		if want := lastLine.MatchString(stream); want != (err == nil) {
			t.Fatalf("stream %q: complete = %v, want %v", stream, err == nil, want)
		}
	})
}
