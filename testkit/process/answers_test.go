package process

import (
	"testing"

	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/modelengine"
)

// TestWholeAnswers makes the engines cut, cross and fail answers. A caller gets
// the whole answer to its own request all the same.
func TestWholeAnswers(t *testing.T) {
	s := start(t, nil)
	mustChat(t, s, s.Entries[0], "warm up", false)
	cases := []struct {
		name   string
		faults modelengine.Faults
	}{
		{"cut after the head", modelengine.Faults{CutNextAfterBytes: 1}},
		{"cut within", modelengine.Faults{CutNextAfterBytes: 120}},
		{"crossed", modelengine.Faults{CrossNext: 1}},
		{"failed", modelengine.Faults{FailNextCalls: 1}},
		{"late", modelengine.Faults{DelayAnswersMillis: 300}},
	}
	for _, c := range cases {
		for _, stream := range []bool{false, true} {
			for _, runner := range s.Runners {
				if err := s.SetEngineFaults(within(t), runner, c.faults); err != nil {
					t.Fatal(err)
				}
			}
			question := c.name + " question"
			result, err := s.Caller(s.Entries[1], site.KeyPrepress).Chat(within(t), colourMatch.Model, question, stream)
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
