package process

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/site"
)

// TestShortDeadlinesStillLoadModel sends only requests whose deadline is shorter than
// a load. Each is refused in time as not run, but the model is loaded all the same,
// so that a retry succeeds.
func TestShortDeadlinesStillLoadModel(t *testing.T) {
	s := start(t, func(o *site.Options) { o.WeightStoreFlags = []string{"--base-load", "2s"} })
	const shorter = 700 * time.Millisecond
	refused := 0
	err := site.Eventually(testContext(t), func() error {
		result, err := s.Caller(s.Entries[0], site.KeyPrepress).Chat(testContext(t), colourMatch.Model, "quick", false, deadline(shorter))
		if err != nil {
			t.Fatal(err)
		}
		if result.Status/100 == 5 || result.Status == 429 {
			refused++
			if result.Outcome != "not-run" {
				t.Errorf("refusal %s, want not-run", result)
			}
		}
		return site.CheckChat(result, colourMatch, "quick", false)
	})
	if err != nil {
		t.Fatal(err)
	}
	if refused == 0 {
		t.Error("the first request succeeded within its deadline although the model was cold")
	}
	if count := countLoads(t, s, colourMatch); count != 1 {
		t.Errorf("%d loads, want 1", count)
	}
}
