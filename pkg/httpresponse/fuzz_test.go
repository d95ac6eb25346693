package httpresponse

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"unicode/utf8"

	"teaselgauge.example/teaselgauge/pkg/httpresponse/httpresponsetest"
)

// The rules of RFC 9112 and RFC 9110. As regular expressions match characters and not bytes,
// otherByte stands for each byte beyond ASCII. Like these it is allowed in text alone.
const (
	otherByte  = '('
	ruleToken  = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+"
	ruleText   = `[\t \x21-\x7e]*`
	ruleQuoted = `"(?:[\t \x21\x23-\x5b\x5d-\x7e]|\\[\t \x21-\x7e])*"`
	ruleField  = ruleToken + `:` + ruleText + `\r\n`
	ruleFields = `((?:` + ruleField + `)*)\r\n`
	ruleChunk  = `([0-9A-Fa-f]+)(?:[ \t]*;[ \t]*` + ruleToken + `(?:[ \t]*=[ \t]*(?:` + ruleToken + `|` + ruleQuoted + `))?)*\r\n`
)

var (
	headRule    = regexp.MustCompile(`^HTTP/1\.([01]) ([1-5][0-9][0-9]) (` + ruleText + `)\r\n` + ruleFields)
	fieldRule   = regexp.MustCompile(`^(` + ruleToken + `):[ \t]*(` + ruleText + `)\r\n`)
	chunkRule   = regexp.MustCompile(`^` + ruleChunk)
	trailerRule = regexp.MustCompile(`^` + ruleFields)
	lineEndRule = regexp.MustCompile(`^\r\n`)
	digitsRule  = regexp.MustCompile(`^[0-9]+$`)
	// tornRule matches the start of another response in a line of a name and a value.
	tornRule = regexp.MustCompile(`:.*HTTP/[0-9][.][0-9] [0-9][0-9][0-9](?: .*)?$`)
)

// text is what is left of a response.
type text struct {
	bytes string
	// ascii has the same bytes, and otherByte for those beyond ASCII.
	ascii string
}

func newText(data string) *text {
	ascii := []byte(data)
	for i, b := range ascii {
		if b >= utf8.RuneSelf {
			ascii[i] = otherByte
		}
	}
	return &text{bytes: data, ascii: string(ascii)}
}

// match takes what a rule matches from the start of the text, and returns it with its groups;
// nil if the rule doesn't match.
func (t *text) match(rule *regexp.Regexp) []string {
	at := rule.FindStringSubmatchIndex(t.ascii)
	var groups []string
	for i := 0; i < len(at); i += 2 {
		groups = append(groups, t.bytes[at[i]:at[i+1]])
	}
	if at != nil {
		t.take(uint64(at[1]))
	}
	return groups
}

// take takes a number of bytes from the start of the text. ok is false if it has fewer.
func (t *text) take(size uint64) (taken string, ok bool) {
	if size > uint64(len(t.bytes)) {
		return "", false
	}
	taken = t.bytes[:size]
	t.bytes, t.ascii = t.bytes[size:], t.ascii[size:]
	return taken, true
}

// expected is what a reader has to make of a response.
type expected struct {
	status int
	// fields has the fields as sorted lines of canonical name and value.
	fields  []string
	framing Framing
	body    string
}

// parseByRules takes a response from a text by the rules. ok is false unless it is valid and
// complete.
func parseByRules(left *text) (result expected, ok bool) {
	for range 17 {
		head := left.match(headRule)
		if head == nil || strings.Contains(head[3], "HTTP/1.") {
			return expected{}, false
		}
		result.status, _ = strconv.Atoi(head[2])
		result.fields = fieldsByRules(head[4])
		if slices.ContainsFunc(result.fields, tornRule.MatchString) {
			return expected{}, false
		}
		lengths, codings := valuesOf(result.fields, "Content-Length"), valuesOf(result.fields, "Transfer-Encoding")
		if result.status >= 200 {
			ok = bodyByRules(&result, head[1], lengths, codings, left)
			return result, ok
		}
		if result.status == 101 || head[1] == "0" || len(lengths)+len(codings) > 0 {
			return expected{}, false
		}
	}
	return expected{}, false
}

func fieldsByRules(lines string) []string {
	var fields []string
	left := newText(lines)
	for field := left.match(fieldRule); field != nil; field = left.match(fieldRule) {
		fields = append(fields, http.CanonicalHeaderKey(field[1])+":"+strings.TrimRight(field[2], " \t"))
	}
	slices.Sort(fields)
	return fields
}

func valuesOf(fields []string, name string) []string {
	var values []string
	for _, field := range fields {
		if value, ok := strings.CutPrefix(field, name+":"); ok {
			values = append(values, value)
		}
	}
	return values
}

// bodyByRules takes the body of a response, and reports whether it is valid and complete.
func bodyByRules(result *expected, minorVersion string, lengths, codings []string, left *text) (ok bool) {
	if len(lengths)+len(codings) > 1 || (len(codings) > 0 && (minorVersion == "0" || strings.ToLower(codings[0]) != "chunked")) {
		return false
	}
	size := uint64(0)
	if len(lengths) > 0 {
		var err error
		size, err = strconv.ParseUint(lengths[0], 10, 63)
		if err != nil || !digitsRule.MatchString(lengths[0]) || (result.status == 204 && size > 0) {
			return false
		}
	}
	switch {
	case result.status == 204 || result.status == 304:
		result.framing = FramingNone
		return true
	case len(codings) > 0:
		result.framing = FramingChunks
		return chunksByRules(result, left)
	case len(lengths) > 0:
		result.framing = FramingLength
	default:
		result.framing = FramingConnection
		size = uint64(len(left.bytes))
	}
	result.body, ok = left.take(size)
	return ok
}

func chunksByRules(result *expected, left *text) bool {
	for {
		line := left.match(chunkRule)
		if line == nil {
			return false
		}
		size, err := strconv.ParseUint(line[1], 16, 63)
		if err != nil {
			return false
		}
		if size == 0 {
			trailers := left.match(trailerRule)
			return trailers != nil && !slices.ContainsFunc(fieldsByRules(trailers[1]), tornRule.MatchString)
		}
		data, ok := left.take(size)
		if !ok || left.match(lineEndRule) == nil {
			return false
		}
		result.body += data
	}
}

// maxFuzzBytes keeps the responses below the limits of the reader.
const maxFuzzBytes = 1000

// FuzzHead compares the reader with the rules.
func FuzzHead(f *testing.F) {
	for _, test := range httpresponsetest.Malformed("X-Id: 1\r\n") {
		f.Add([]byte(test.Response))
	}
	for _, test := range validTests {
		f.Add([]byte(test.response))
		f.Add([]byte(test.response + "HTTP/1.1 200 OK\r\n\r\n"))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > maxFuzzBytes {
			return
		}
		compareWithRules(t, data)
	})
}

func compareWithRules(t *testing.T, data []byte) {
	t.Helper()
	left := newText(string(data))
	want, valid := parseByRules(left)
	reader := bufio.NewReader(bytes.NewReader(data))
	got, body, err := readAll(reader, http.MethodGet)
	if (err == nil) != valid {
		t.Fatalf("%q: error %v, valid by the rules: %v", data, err, valid)
	}
	if err != nil {
		return
	}
	rest, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	if got.Status != want.status || got.Framing != want.framing || body != want.body || string(rest) != left.bytes {
		t.Fatalf("%q: %+v, body %q, rest %q, want %+v", data, got, body, rest, want)
	}
	var fields []string
	for name, values := range got.Header {
		for _, value := range values {
			fields = append(fields, name+":"+value)
		}
	}
	slices.Sort(fields)
	if !slices.Equal(fields, want.fields) {
		t.Fatalf("%q: fields %q, want %q", data, fields, want.fields)
	}
}
