package command

import (
	"testing"

	"teaselgauge.example/teaselgauge/pkg/logtrace"
)

// TestDescribeLine checks the output for a log line that reports a view.
func TestDescribeLine(t *testing.T) {
	line := logtrace.Line{Host: "front-1", Message: "store values read, watch starts", Attrs: []logtrace.Attr{
		{Name: "level", Value: "INFO"}, {Name: "belief", Value: "store:servers/"}, {Name: "error", Value: ""}, {Name: "cause", Value: "a b"},
	}}
	const want = `0001-01-01T00:00:00Z front-1 store values read, watch starts: belief=store:servers/ cause="a b"`
	if got := describeLine(&line, "level"); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
