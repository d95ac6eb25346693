package serverfaults

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
)

// The grammar of RFC 9112 for what a caller reads, with the statuses of RFC 9110.
var (
	statusLine = regexp.MustCompile(`^HTTP/1\.[01] ([1-5][0-9]{2}) [\t\x20-\x7e]*$`)
	fieldLine  = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e]*)$")
	chunkLine  = regexp.MustCompile(`^[0-9a-fA-F]{1,15}$`)
	lengthText = regexp.MustCompile(`^[0-9]{1,15}$`)
)

// knownFields are the fields that servers and entries send.
var knownFields = map[string]bool{
	"Connection": true, "Content-Length": true, "Content-Type": true, "Date": true, "Keep-Alive": true,
	"Retry-After": true, "Standin-Server": true, "Teaselgauge-Attempt-Id": true, "Teaselgauge-Response-Seal": true,
	"Transfer-Encoding": true,
}

// errMalformed means that a caller received bytes that aren't a response.
var errMalformed = errors.New("malformed response")

// answer is a response on a connection that its caller may use again.
type answer struct {
	received
	// err says what is malformed, or how the connection ended.
	err error
}

// readAnswer reads a response that isn't to a HEAD request.
func readAnswer(r *bufio.Reader) answer {
	var a answer
	a.err = a.readHeader(r)
	for a.err == nil && a.status < http.StatusOK {
		a.err = a.readHeader(r)
	}
	if a.err == nil {
		a.err = a.readBody(r)
	}
	switch {
	case errors.Is(a.err, errMalformed):
		a.end = endMalformed
	case errors.Is(a.err, io.ErrUnexpectedEOF):
		a.end = endShort
	case a.err != nil:
		a.end = endOf(a.err, endShort)
	}
	return a
}

// readLine reads a line without its end.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	text, ended := strings.CutSuffix(line, "\r\n")
	if !ended {
		return "", fmt.Errorf("%w: line %q", errMalformed, line)
	}
	return text, nil
}

func (a *answer) readHeader(r *bufio.Reader) error {
	line, err := readLine(r)
	if err != nil {
		return err
	}
	parts := statusLine.FindStringSubmatch(line)
	if parts == nil {
		return fmt.Errorf("%w: status line %q", errMalformed, line)
	}
	// The expression lets only digits through.
	status, _ := strconv.Atoi(parts[1])
	header := http.Header{}
	if err := readFields(r, header); err != nil {
		return err
	}
	a.status, a.header = status, header
	return nil
}

// readFields reads fields up to the empty line behind them.
func readFields(r *bufio.Reader, into http.Header) error {
	for {
		line, err := readLine(r)
		if err != nil || line == "" {
			return err
		}
		parts := fieldLine.FindStringSubmatch(line)
		if parts == nil {
			return fmt.Errorf("%w: field %q", errMalformed, line)
		}
		if !knownFields[http.CanonicalHeaderKey(parts[1])] {
			return fmt.Errorf("%w: unknown field %q", errMalformed, line)
		}
		into.Add(parts[1], strings.TrimSpace(parts[2]))
	}
}

func (a *answer) readBody(r *bufio.Reader) error {
	lengths, codings := a.header.Values("Content-Length"), a.header.Values("Transfer-Encoding")
	switch {
	case len(lengths)+len(codings) > 1:
		return fmt.Errorf("%w: several lengths: %v", errMalformed, a.header)
	case len(codings) == 1:
		return a.readChunks(r)
	case len(lengths) == 1:
		return a.readLength(r, lengths[0])
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified:
		a.end = endComplete
		return nil
	}
	var body bytes.Buffer
	_, err := io.Copy(&body, r)
	a.body = body.String()
	if err == nil {
		a.end = endConnection
	}
	return err
}

func (a *answer) readLength(r *bufio.Reader, text string) error {
	if !lengthText.MatchString(text) {
		return fmt.Errorf("%w: length %q", errMalformed, text)
	}
	length, _ := strconv.Atoi(text)
	body := make([]byte, length)
	n, err := io.ReadFull(r, body)
	a.body = string(body[:n])
	if err == nil {
		a.end = endComplete
	}
	return err
}

func (a *answer) readChunks(r *bufio.Reader) error {
	var body bytes.Buffer
	defer func() { a.body = body.String() }()
	for {
		line, err := readLine(r)
		if err != nil {
			return err
		}
		if !chunkLine.MatchString(line) {
			return fmt.Errorf("%w: chunk size %q", errMalformed, line)
		}
		size, _ := strconv.ParseInt(line, 16, 64)
		if size == 0 {
			break
		}
		if _, err := io.CopyN(&body, r, size); err != nil {
			return err
		}
		if rest, err := readLine(r); err != nil {
			return err
		} else if rest != "" {
			return fmt.Errorf("%w: %q after a chunk", errMalformed, rest)
		}
	}
	if err := readFields(r, http.Header{}); err != nil {
		return err
	}
	a.end = endComplete
	return nil
}
