package callers

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
)

const (
	// maxJSONDepth bounds the nesting depth of a request body.
	maxJSONDepth = 64
	// maxModelNameBytes bounds the model name in a request, in bytes.
	maxModelNameBytes = 512
	// defaultOutputTokens is assumed if a request doesn't limit its output tokens.
	defaultOutputTokens = 256
	maxOutputTokens     = 1 << 24
	maxChoices          = 128
	// bytesPerToken is used to estimate the tokens of a prompt from its length.
	bytesPerToken = 4
)

// modelBody holds the fields of a model request's body that the entry reads. The
// body is forwarded to the engine unchanged.
type modelBody struct {
	model        string
	stream       bool
	outputTokens int64
}

// bodyError describes why a body is invalid.
type bodyError struct{ detail string }

// Error implements error.
func (e *bodyError) Error() string { return "request body: " + e.detail }

func bodyErrorf(format string, args ...any) error {
	return &bodyError{detail: fmt.Sprintf(format, args...)}
}

// parseModelBody reads the fields that the entry needs. Names are case-sensitive,
// and a field may occur only once, so that no engine can interpret the body
// differently.
func parseModelBody(body []byte) (modelBody, error) {
	if !json.Valid(body) {
		return modelBody{}, bodyErrorf("not valid JSON")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	fields, err := topLevelFields(decoder)
	if err != nil {
		return modelBody{}, err
	}
	return fields.toModelBody()
}

// fieldNames are the top-level fields that the entry reads.
var fieldNames = map[string]bool{
	"model":                 true,
	"stream":                true,
	"max_tokens":            true,
	"max_completion_tokens": true,
	"n":                     true,
}

// bodyFields maps the names of the read fields to their JSON tokens.
type bodyFields map[string]json.Token

func topLevelFields(decoder *json.Decoder) (bodyFields, error) {
	first, err := decoder.Token()
	if err != nil || first != json.Delim('{') {
		return nil, bodyErrorf("must be a JSON object")
	}
	fields := bodyFields{}
	for decoder.More() {
		if err := fields.readField(decoder); err != nil {
			return nil, err
		}
	}
	return fields, nil
}

func (f bodyFields) readField(decoder *json.Decoder) error {
	name, err := decoder.Token()
	if err != nil {
		return bodyErrorf("not valid JSON")
	}
	value, err := skipValue(decoder)
	if err != nil {
		return err
	}
	key, _ := name.(string)
	if !fieldNames[key] {
		return nil
	}
	if _, duplicate := f[key]; duplicate {
		return bodyErrorf("%q stands twice", key)
	}
	f[key] = value
	return nil
}

// skipValue reads one value and returns its first token.
func skipValue(decoder *json.Decoder) (json.Token, error) {
	var first json.Token
	depth := 1
	for i := 0; ; i++ {
		token, err := decoder.Token()
		if err != nil {
			return nil, bodyErrorf("not valid JSON")
		}
		if i == 0 {
			first = token
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth > maxJSONDepth {
			return nil, bodyErrorf("nested deeper than %d", maxJSONDepth)
		}
		if depth == 1 {
			return first, nil
		}
	}
}

func (f bodyFields) toModelBody() (modelBody, error) {
	model, ok := f["model"].(string)
	if !ok || model == "" || len(model) > maxModelNameBytes {
		return modelBody{}, bodyErrorf("\"model\" must be a string of 1 to %d bytes", maxModelNameBytes)
	}
	stream, err := f.boolean("stream")
	if err != nil {
		return modelBody{}, err
	}
	tokens, err := f.outputTokens()
	if err != nil {
		return modelBody{}, err
	}
	return modelBody{model: model, stream: stream, outputTokens: tokens}, nil
}

func (f bodyFields) boolean(name string) (bool, error) {
	switch value := f[name].(type) {
	case nil:
		return false, nil
	case bool:
		return value, nil
	default:
		return false, bodyErrorf("%q must be true or false", name)
	}
}

func (f bodyFields) outputTokens() (int64, error) {
	legacyTokens, err := f.number("max_tokens", defaultOutputTokens, maxOutputTokens)
	if err != nil {
		return 0, err
	}
	tokens, err := f.number("max_completion_tokens", legacyTokens, maxOutputTokens)
	if err != nil {
		return 0, err
	}
	choices, err := f.number("n", 1, maxChoices)
	if err != nil {
		return 0, err
	}
	return tokens * choices, nil
}

func (f bodyFields) number(name string, absent, most int64) (int64, error) {
	switch value := f[name].(type) {
	case nil:
		return absent, nil
	case json.Number:
		number, err := strconv.ParseInt(value.String(), 10, 64)
		if err == nil && number >= 1 && number <= most {
			return number, nil
		}
	}
	return 0, bodyErrorf("%q must be a whole number from 1 to %d", name, most)
}

// estimateTokens estimates the size of a request: its prompt's tokens and its
// output tokens.
func estimateTokens(body []byte, outputTokens int64) int64 {
	return int64(len(body))/bytesPerToken + outputTokens
}

// readBody reads a complete body of at most limit bytes and reserves its size in
// the budget. The caller releases the returned number of bytes.
func readBody(body io.Reader, length, limit int64, budget *byteBudget) ([]byte, int64, error) {
	if length > limit {
		return nil, 0, errTooLarge
	}
	if length >= 0 {
		return readSizedBody(body, length, budget)
	}
	buffer := boundedBuffer{budget: budget, limit: limit}
	if _, err := io.Copy(&buffer, body); err != nil {
		buffer.release()
		return nil, 0, err
	}
	return buffer.buffer.Bytes(), buffer.reserved, nil
}

func readSizedBody(body io.Reader, length int64, budget *byteBudget) ([]byte, int64, error) {
	if !budget.reserve(length) {
		return nil, 0, errBuffersFull
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		budget.release(length)
		return nil, 0, fmt.Errorf("%w: %w", errBodyTruncated, err)
	}
	return data, length, nil
}
