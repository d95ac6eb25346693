package platformprocess

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/metadatastore"
)

// outages are the failures of the store that the tests cover.
var outages = []struct {
	name   string
	faults metadatastore.Faults
}{
	{"silent", metadatastore.Faults{Silent: true}},
	{"refusing", metadatastore.Faults{RefuseStatus: http.StatusServiceUnavailable}},
	{"limiting", metadatastore.Faults{RefuseStatus: http.StatusTooManyRequests}},
	{"losing responses", metadatastore.Faults{LoseAnswers: true}},
	{"slow", metadatastore.Faults{Delay: 900 * time.Millisecond}},
}

// TestServesDuringStoreOutage sends requests during outages of the store, and changes
// the configuration after each.
func TestServesDuringStoreOutage(t *testing.T) {
	s := start(t, nil)
	warmUp(t, s)
	for _, outage := range outages {
		t.Run(outage.name, func(t *testing.T) {
			s.Store.SetFaults(outage.faults)
			generator := startTraffic(t, s, s.Entries...)
			time.Sleep(3 * time.Second)
			sent, failed := generator.finish()
			s.Store.SetFaults(metadatastore.Faults{})
			if len(failed) > 0 {
				t.Errorf("%d of %d requests failed:\n%s", len(failed), sent, strings.Join(failed, "\n"))
			}
			path := "/added-" + strings.ReplaceAll(outage.name, " ", "-") + "/"
			s.Configure(func(c *platformsite.Configuration) {
				c.Routes = append(c.Routes, platformsite.Route{
					Name: outage.name, PathPrefix: path, RouteType: "idempotent", TimeoutMs: 1000, MaxAttempts: 2,
					Service: platformsite.PlainService,
				})
			})
			acknowledged := time.Now()
			for _, entry := range s.Entries {
				eventuallyServe(t, s, entry, path, "")
			}
			if took := time.Since(acknowledged); took > 4*time.Second {
				t.Errorf("the configuration was active %s after the outage, want at most 4s", took)
			}
		})
	}
}

// TestExpiredRegistrationsAreKeptTemporarily removes the registrations of running
// servers during an outage, as expired leases in the store do.
func TestExpiredRegistrationsAreKeptTemporarily(t *testing.T) {
	s := start(t, nil)
	warmUp(t, s)
	s.Store.SetFaults(metadatastore.Faults{RefuseStatus: http.StatusServiceUnavailable})
	time.Sleep(time.Second)
	for _, backend := range s.Backends() {
		backend.Deregister()
	}
	s.Store.SetFaults(metadatastore.Faults{})
	generator := startTraffic(t, s, s.Entries...)
	time.Sleep(1500 * time.Millisecond)
	for _, backend := range s.Backends() {
		backend.Register()
	}
	time.Sleep(1500 * time.Millisecond)
	sent, failed := generator.finish()
	if len(failed) > 0 {
		t.Errorf("%d of %d requests failed:\n%s", len(failed), sent, strings.Join(failed, "\n"))
	}
}

// TestCompactedHistoryIsReread removes the history from which watches resume.
func TestCompactedHistoryIsReread(t *testing.T) {
	s := start(t, nil)
	warmUp(t, s)
	for range 3 {
		s.Store.Forget()
		s.Configure(func(c *platformsite.Configuration) {
			c.Routes = append(c.Routes, platformsite.Route{
				Name: "new", PathPrefix: "/new/", RouteType: "idempotent", TimeoutMs: 1000, MaxAttempts: 2,
				Service: platformsite.PlainService,
			})
		})
		s.Store.Forget()
		for _, entry := range s.Entries {
			eventuallyServe(t, s, entry, "/new/", "")
		}
	}
}

// TestConfigurationChanges removes and restores a route, and writes a configuration
// that can't be decoded.
func TestConfigurationChanges(t *testing.T) {
	s := start(t, nil)
	entry := s.Entries[0]
	s.Configure(func(c *platformsite.Configuration) {
		c.Routes = append(c.Routes[:2], c.Routes[3:]...)
	})
	eventually(t, func() error {
		result := entry.Send(testContext(t), s.NewRequest(platformsite.BookingPath, ""))
		if result.Status != http.StatusNotFound {
			return errNotYet(result)
		}
		return nil
	})
	s.Store.Put("op/config", []byte("{not json"))
	time.Sleep(300 * time.Millisecond)
	mustServe(t, s, entry, s.NewRequest(platformsite.StockPath, ""))
	if !strings.Contains(entry.Log(), "configuration unreadable") {
		t.Error("no log line about the invalid configuration")
	}
	s.Configure(nil)
	eventuallyServe(t, s, entry, platformsite.BookingPath, "")
}

// TestInvalidRegistrationsAreIgnored writes registrations that can't be decoded beside
// valid ones.
func TestInvalidRegistrationsAreIgnored(t *testing.T) {
	s := start(t, nil)
	for key, value := range map[string]string{
		"servers/x-1": "{", "servers/x-2": `{"service":"desk"}`, "servers/x-3": `[]`,
		"servers/x-4": `{"service":"desk","address":"127.0.0.1:1","zone":"zone-1","version":"v1","slots":"8","state":"ready","coldRemainingMs":0,"sequence":1}`,
		"servers/x-5": `{"service":"desk","address":"127.0.0.1:1","zone":"zone-1","version":"v1","slots":8,"state":"unheard-of","coldRemainingMs":0,"sequence":1}`,
	} {
		s.Store.Put(key, []byte(value))
	}
	time.Sleep(300 * time.Millisecond)
	for range 20 {
		mustServe(t, s, s.Entries[0], s.NewRequest(platformsite.BookingPath, ""))
	}
}

// TestEntryStartsDuringStoreOutage checks that an entry without a configuration isn't
// ready and refuses requests.
func TestEntryStartsDuringStoreOutage(t *testing.T) {
	s := start(t, nil)
	s.Store.SetFaults(metadatastore.Faults{RefuseStatus: http.StatusServiceUnavailable})
	entry := s.Entries[0]
	if err := entry.Restart(); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() error {
		ready, err := entry.IsReady(t.Context())
		if err == nil && ready {
			t.Error("ready without a configuration")
		}
		return err
	})
	result := entry.Send(testContext(t), s.NewRequest(platformsite.BookingPath, ""))
	if result.Status != http.StatusServiceUnavailable || result.Header.Get("Retry-After") == "" {
		t.Errorf("%s, want 503 with Retry-After", result)
	}
	s.Store.SetFaults(metadatastore.Faults{})
	eventuallyServe(t, s, entry, platformsite.BookingPath, "")
}
