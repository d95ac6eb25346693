package callers

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestParseModelBody(t *testing.T) {
	cases := map[string]string{
		`{"model":"a","Model":"b","stream":true,"n":2,"max_tokens":5}`: "",
		`{"model":"a","max_completion_tokens":7,"max_tokens":5}`:       "",
		`{"model":"a","model":"b"}`:                                    "stands twice",
		`{"model":"a","stream":1}`:                                     "true or false",
		`{"model":"a","max_tokens":-1}`:                                "whole number",
		`{"model":"a","n":1.5}`:                                        "whole number",
		`{"model":null}`:                                               "must be a string",
		`{"Model":"a"}`:                                                "must be a string",
		`[{"model":"a"}]`:                                              "JSON object",
		`{"model":"a"} {}`:                                             "not valid JSON",
		`{"model":"a","x":` + strings.Repeat("[", 64) + strings.Repeat("]", 64) + `}`: "nested deeper",
	}
	for body, want := range cases {
		parsed, err := parseModelBody([]byte(body))
		switch {
		case want == "" && (err != nil || parsed.model != "a"):
			t.Errorf("%s: got %+v, %v", body, parsed, err)
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%s: got %v, want %q", body, err, want)
		}
	}
}

// FuzzChatRequest guards against bodies that the entry and an engine interpret
// differently: a body that the parser accepts must be a valid object, from which
// encoding/json reads the same model and stream flag.
func FuzzChatRequest(f *testing.F) {
	f.Add([]byte(chatBody))
	f.Add([]byte(streamBody))
	f.Add([]byte(`{"model":"a","model":"b","n":3}`))
	f.Add([]byte(`{"a":{"model":"x"},"model":"\u00e9","max_tokens":1e3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, err := parseModelBody(body)
		if err != nil {
			return
		}
		var fields map[string]any
		if err := json.Unmarshal(body, &fields); err != nil {
			t.Fatalf("accepted an invalid body: %v", err)
		}
		if fields["model"] != parsed.model {
			t.Errorf("model %q, encoding/json reads %q", parsed.model, fields["model"])
		}
		if stream, _ := fields["stream"].(bool); stream != parsed.stream {
			t.Errorf("stream %v, encoding/json reads %v", parsed.stream, stream)
		}
		if parsed.outputTokens < 1 || parsed.outputTokens > maxOutputTokens*maxChoices {
			t.Errorf("%d tokens", parsed.outputTokens)
		}
	})
}
