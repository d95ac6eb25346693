package httpresponse

import (
	"regexp"
	"strconv"
	"strings"
)

const (
	lowestStatus  = 100
	highestStatus = 599
	statusDigits  = 3
	versionPrefix = "HTTP/1."
	// lengthBits is the size of a length without its sign bit.
	lengthBits = 63
)

// isToken reports whether text is a token of RFC 9110, section 5.6.2.
func isToken(text string) bool {
	for i := range len(text) {
		if !isTokenByte(text[i]) {
			return false
		}
	}
	return text != ""
}

func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', isDigit(b):
		return true
	default:
		return b != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isText reports whether text has no control bytes but tabs. Values of fields and the reason
// of a status consist of such bytes.
func isText(text string) bool {
	for i := range len(text) {
		if b := text[i]; (b < ' ' && b != '\t') || b == 0x7f {
			return false
		}
	}
	return true
}

// innerStatusLine matches the first line of a response.
var innerStatusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}( |$)`)

// HasStatusLine reports whether a value of a field, or a reason, contains the first line of a
// response. If a response breaks off inside its head, the next one on the connection continues
// its last line.
func HasStatusLine(text string) bool { return innerStatusLine.MatchString(text) }

// trimBlanks removes the optional whitespace around a value.
func trimBlanks(text string) string { return strings.Trim(text, " \t") }

// statusLine is the first line of a response.
type statusLine struct {
	// minorVersion is 0 for HTTP/1.0 and 1 for HTTP/1.1.
	minorVersion int
	status       int
}

// parseStatusLine parses a line without its end.
func parseStatusLine(line string) (statusLine, error) {
	var parsed statusLine
	version, rest, ok := strings.Cut(line, " ")
	if !ok {
		return parsed, malformed("no status line")
	}
	switch version {
	case "HTTP/1.1":
		parsed.minorVersion = 1
	case "HTTP/1.0":
	default:
		return parsed, malformedName("unsupported version", version)
	}
	code, reason, ok := strings.Cut(rest, " ")
	if !ok {
		return parsed, malformed("no blank after the status")
	}
	if parsed.status, ok = parseStatus(code); !ok {
		return parsed, malformedName("invalid status", code)
	}
	if !isText(reason) {
		return parsed, malformed("control byte in the reason")
	}
	// A response that broke off in its reason is continued by the next one's status line.
	if strings.Contains(reason, versionPrefix) {
		return parsed, malformed("status line in the reason")
	}
	return parsed, nil
}

func parseStatus(code string) (status int, ok bool) {
	if len(code) != statusDigits || !isNumber(code) {
		return 0, false
	}
	status, err := strconv.Atoi(code)
	return status, err == nil && status >= lowestStatus && status <= highestStatus
}

func isNumber(text string) bool {
	for i := range len(text) {
		if !isDigit(text[i]) {
			return false
		}
	}
	return text != ""
}

// parseField parses a line of a header or of trailers, without its end.
func parseField(line string) (name, value string, err error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return "", "", malformedName("no colon in the line", line)
	}
	if !isToken(name) {
		return "", "", malformedName("invalid field name", name)
	}
	if !isText(value) {
		return "", "", malformedName("control byte in the value of", name)
	}
	value = trimBlanks(value)
	if HasStatusLine(value) {
		return "", "", malformedName("status line in the value of", name)
	}
	return name, value, nil
}

// parseLength parses the value of a Content-Length.
func parseLength(value string) (int64, error) {
	if !isNumber(value) {
		return 0, malformed("length is not a number")
	}
	length, err := strconv.ParseUint(value, 10, lengthBits)
	if err != nil {
		return 0, malformed("length out of range")
	}
	return int64(length), nil
}

// parseChunkSize parses the first line of a chunk, without its end.
func parseChunkSize(line string) (int64, error) {
	digits := strings.TrimLeft(line, "0123456789abcdefABCDEF")
	size := line[:len(line)-len(digits)]
	if size == "" {
		return 0, malformed("chunk size is not a number")
	}
	if !areChunkExtensions(digits) {
		return 0, malformed("invalid text after the chunk size")
	}
	parsed, err := strconv.ParseUint(size, 16, lengthBits)
	if err != nil {
		return 0, malformed("chunk size out of range")
	}
	return int64(parsed), nil
}

// areChunkExtensions reports whether text consists of chunk extensions, of which each begins
// with a semicolon. There may be none.
func areChunkExtensions(text string) bool {
	for text != "" {
		rest, ok := strings.CutPrefix(trimLeftBlanks(text), ";")
		if !ok {
			return false
		}
		name, rest := cutToken(trimLeftBlanks(rest))
		if name == "" {
			return false
		}
		text = rest
		value, ok := strings.CutPrefix(trimLeftBlanks(rest), "=")
		if !ok {
			continue
		}
		if text, ok = cutExtensionValue(trimLeftBlanks(value)); !ok {
			return false
		}
	}
	return true
}

func trimLeftBlanks(text string) string { return strings.TrimLeft(text, " \t") }

// cutToken splits the token at the start of text off; the token is empty if there is none.
func cutToken(text string) (token, rest string) {
	size := 0
	for size < len(text) && isTokenByte(text[size]) {
		size++
	}
	return text[:size], text[size:]
}

// cutExtensionValue returns what follows a token or a quoted string at the start of text.
func cutExtensionValue(text string) (rest string, ok bool) {
	if !strings.HasPrefix(text, `"`) {
		token, rest := cutToken(text)
		return rest, token != ""
	}
	for at := 1; at < len(text); at++ {
		switch text[at] {
		case '"':
			return text[at+1:], isText(text[:at])
		case '\\':
			at++
		}
	}
	return "", false
}
