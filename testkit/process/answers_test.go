package process

import (
	"testing"

	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/modelengine"
)

// TestCompleteResponsesDespiteEngineFaults makes the engines truncate, mix up, fail
// and delay responses. The caller still gets the complete response to its own
// request.
func TestCompleteResponsesDespiteEngineFaults(t *testing.T) {
	s := start(t, nil)
	mustChat(t, s, s.Entries[0], "warm up", false)
	cases := []struct {
		name   string
		faults modelengine.Faults
	}{
		{"truncated after the header", modelengine.Faults{CutNextAfterBytes: 1}},
		{"truncated in the middle", modelengine.Faults{CutNextAfterBytes: 120}},
		{"crossed", modelengine.Faults{CrossNext: 1}},
		{"failed", modelengine.Faults{FailNextCalls: 1}},
		{"late", modelengine.Faults{DelayResponsesMillis: 300}},
	}
	for _, c := range cases {
		for _, stream := range []bool{false, true} {
			for _, runner := range s.Runners {
				if err := s.SetEngineFaults(testContext(t), runner, c.faults); err != nil {
					t.Fatal(err)
				}
			}
			question := c.name + " question"
			result, err := s.Caller(s.Entries[1], site.KeyPrepress).Chat(testContext(t), colourMatch.Model, question, stream)
			if err != nil {
				t.Errorf("%s, stream %v: %v", c.name, stream, err)
				continue
			}
			if err := site.CheckChat(result, colourMatch, question, stream); err != nil {
				t.Errorf("%s, stream %v: %v", c.name, stream, err)
			}
		}
	}
}
