package process

import (
	"fmt"
	"net/http"
	"testing"

	"teaselgauge.example/teaselgauge/testkit/site"
)

// TestRequestsOfEachKind sends one request of each kind through separate processes.
func TestRequestsOfEachKind(t *testing.T) {
	s := start(t, nil)
	for i, entry := range s.Entries {
		mustChat(t, s, entry, fmt.Sprintf("question %d", i), false)
		mustChat(t, s, entry, fmt.Sprintf("question %d", i), true)
	}
	first, err := book(testContext(t), s, s.Entries[0], "key-1")
	if err != nil || first.Status != http.StatusOK {
		t.Fatalf("booking: %s, %v", first, err)
	}
	second, err := book(testContext(t), s, s.Entries[0], "key-1")
	if err != nil || string(second.Body) != string(first.Body) {
		t.Errorf("repeated booking: %s, %v, want the first response %s", second, err, first)
	}
	runs, err := s.Runs(testContext(t))
	if err != nil || runs.ByKey["key-1"] > 1 || runs.Total != 1 {
		t.Errorf("runs %+v, %v, want one", runs, err)
	}
	refused, err := s.Caller(s.Entries[1], site.KeyReports).Chat(testContext(t), colourMatch.Model, "x", false)
	if err != nil || refused.Status/100 != 4 || refused.Outcome != "not-run" {
		t.Errorf("request beyond the plan: %s, %v", refused, err)
	}
}
