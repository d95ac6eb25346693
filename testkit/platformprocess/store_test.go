package platformprocess

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/metadatastore"
)

// outages are the ways in which the store may be away.
var outages = []struct {
	name   string
	faults metadatastore.Faults
}{
	{"silent", metadatastore.Faults{Silent: true}},
	{"refusing", metadatastore.Faults{RefuseStatus: http.StatusServiceUnavailable}},
	{"limiting", metadatastore.Faults{RefuseStatus: http.StatusTooManyRequests}},
	{"losing answers", metadatastore.Faults{LoseAnswers: true}},
	{"slow", metadatastore.Faults{Delay: 900 * time.Millisecond}},
}

// TestServesWhileTheStoreIsAway sends requests during outages of the store, and
// changes the configuration after each.
func TestServesWhileTheStoreIsAway(t *testing.T) {
	s := start(t, nil)
	warm(t, s)
	for _, outage := range outages {
		t.Run(outage.name, func(t *testing.T) {
			s.Store.SetFaults(outage.faults)
			flow := startTraffic(t, s, s.Entries...)
			time.Sleep(3 * time.Second)
			sent, failed := flow.end()
			s.Store.SetFaults(metadatastore.Faults{})
			if len(failed) > 0 {
				t.Errorf("%d of %d requests weren't served:\n%s", len(failed), sent, strings.Join(failed, "\n"))
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
				t.Errorf("the configuration was in force only %s after the outage", took)
			}
		})
	}
}

// TestLapsedEntriesAreKeptForAWhile removes the entries of servers that live
// during an outage, as leases that expire do.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	s := start(t, nil)
	warm(t, s)
	s.Store.SetFaults(metadatastore.Faults{RefuseStatus: http.StatusServiceUnavailable})
	time.Sleep(time.Second)
	for _, backend := range s.Backends() {
		backend.Deregister()
	}
	s.Store.SetFaults(metadatastore.Faults{})
	flow := startTraffic(t, s, s.Entries...)
	time.Sleep(1500 * time.Millisecond)
	for _, backend := range s.Backends() {
		backend.Register()
	}
	time.Sleep(1500 * time.Millisecond)
	sent, failed := flow.end()
	if len(failed) > 0 {
		t.Errorf("%d of %d requests weren't served:\n%s", len(failed), sent, strings.Join(failed, "\n"))
	}
}

// TestForgottenHistoryIsReadAnew drops the history that watches go on from.
func TestForgottenHistoryIsReadAnew(t *testing.T) {
	s := start(t, nil)
	warm(t, s)
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

// TestConfigurations changes, splits and drops routes, and writes what can't be
// read.
func TestConfigurations(t *testing.T) {
	s := start(t, nil)
	entry := s.Entries[0]
	s.Configure(func(c *platformsite.Configuration) {
		c.Routes = append(c.Routes[:2], c.Routes[3:]...)
	})
	eventually(t, func() error {
		result := entry.Send(within(t), s.NewRequest(platformsite.BookingPath, ""))
		if result.Status != http.StatusNotFound {
			return errNotYet(result)
		}
		return nil
	})
	s.Store.Put("op/config", []byte("{not json"))
	time.Sleep(300 * time.Millisecond)
	mustServe(t, s, entry, s.NewRequest(platformsite.StockPath, ""))
	if !strings.Contains(entry.Log(), "configuration unreadable") {
		t.Error("no line tells of the unreadable configuration")
	}
	s.Configure(nil)
	eventuallyServe(t, s, entry, platformsite.BookingPath, "")
}

// TestForeignEntriesNameNoServer writes entries that can't be read beside sound
// ones.
func TestForeignEntriesNameNoServer(t *testing.T) {
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

// TestEntryStartsBeforeTheStore checks what an entry without a configuration
// answers.
func TestEntryStartsBeforeTheStore(t *testing.T) {
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
	result := entry.Send(within(t), s.NewRequest(platformsite.BookingPath, ""))
	if result.Status != http.StatusServiceUnavailable || result.Header.Get("Retry-After") == "" {
		t.Errorf("%s, want 503 with a time to come back", result)
	}
	s.Store.SetFaults(metadatastore.Faults{})
	eventuallyServe(t, s, entry, platformsite.BookingPath, "")
}
