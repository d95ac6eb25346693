package state

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"
)

func TestDump(t *testing.T) {
	clock := time.Unix(1000, 0)
	registry := NewRegistry(Identity{Program: "p", Version: "v", HostID: "h"}, func() time.Time { return clock })
	registry.Register("queue", func() any { return []int{1, 2} })
	clock = clock.Add(3 * time.Second)
	recorder := httptest.NewRecorder()
	registry.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", Path, nil))
	var dump struct {
		Process    Process
		Components struct{ Queue []int }
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &dump); err != nil {
		t.Fatal(err)
	}
	if dump.Process.UptimeSeconds != 3 || dump.Process.HostID != "h" || dump.Process.Goroutines == 0 {
		t.Errorf("process %+v", dump.Process)
	}
	if len(dump.Components.Queue) != 2 {
		t.Errorf("components %+v", dump.Components)
	}
	recorder = httptest.NewRecorder()
	registry.Handler().ServeHTTP(recorder, httptest.NewRequest("POST", Path, nil))
	if recorder.Code != 405 {
		t.Errorf("POST got %d", recorder.Code)
	}
}
