package platformprocess

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/adminapi"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/logtrace"
	"teaselgauge.example/teaselgauge/pkg/telemetry"
	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// The keys of the test's organisations.
const (
	inkKey, paintKey, laterKey = "ink-asnmgk42", "paint-k7b2wq", "later-q9x4zd"
	unknownKey                 = "unknown-p3r7"
)

// withKeys returns a change of the configuration to two organisations with keys. The
// idempotent route is public.
func withKeys(ink, paint []string) func(*platformsite.Configuration) {
	return func(c *platformsite.Configuration) {
		urgent := 0
		c.Tenants = []platformsite.Tenant{{Name: "ink", APIKeys: ink, Priority: &urgent}, {Name: "paint", APIKeys: paint}}
		for i := range c.Routes {
			c.Routes[i].Public = c.Routes[i].PathPrefix == platformsite.StockPath
		}
	}
}

// keyed returns a request with keys, that states an organisation of its own.
func keyed(s *platformsite.Site, path, model string, keysInClear ...string) platformsite.Request {
	request := s.NewRequest(path, model)
	request.Header = http.Header{backendserver.HeaderOrganisation: {"forged"}}
	for _, key := range keysInClear {
		request.Header.Add(backendserver.HeaderKey, key)
	}
	return request
}

// awaitStatus sends requests with a key until the entry responds with a status.
func awaitStatus(t *testing.T, s *platformsite.Site, entry *platformsite.Entry, key string, status int) {
	t.Helper()
	eventually(t, func() error {
		if got := entry.Send(testContext(t), keyed(s, platformsite.BookingPath, "", key)); got.Status != status {
			return errNotYet(got)
		}
		return nil
	})
}

// TestKeysOfOrganisations sends requests with and without keys to entries that read the
// configuration themselves, while keys are added and removed.
func TestKeysOfOrganisations(t *testing.T) {
	s := start(t, nil)
	s.Configure(withKeys([]string{inkKey}, []string{paintKey}))
	for _, entry := range s.Entries {
		awaitStatus(t, s, entry, unknownKey, http.StatusUnauthorized)
		for _, test := range []struct {
			path, model  string
			keys         []string
			status       int
			organisation string
			priority     string
		}{
			{platformsite.BookingPath, "", []string{inkKey}, http.StatusOK, "ink", ""},
			{platformsite.BookingPath, "", []string{paintKey}, http.StatusOK, "paint", ""},
			{platformsite.AdvicePath, "m1", []string{inkKey}, http.StatusOK, "ink", "0"},
			{platformsite.BatchPath, "m1", []string{paintKey}, http.StatusOK, "paint", "1"},
			{platformsite.StockPath, "", nil, http.StatusOK, "", ""},
			{platformsite.StockPath, "", []string{unknownKey}, http.StatusOK, "", ""},
			{platformsite.BookingPath, "", nil, http.StatusUnauthorized, "", ""},
			{platformsite.BookingPath, "", []string{unknownKey}, http.StatusUnauthorized, "", ""},
			{platformsite.BookingPath, "", []string{inkKey, paintKey}, http.StatusUnauthorized, "", ""},
			{platformsite.AdvicePath, "m1", []string{""}, http.StatusUnauthorized, "", ""},
		} {
			name := fmt.Sprintf("%s with keys %q at %s", test.path, test.keys, entry.ID)
			eventually(t, func() error {
				request := keyed(s, test.path, test.model, test.keys...)
				result := entry.Send(testContext(t), request)
				if result.Status == http.StatusServiceUnavailable {
					return errNotYet(result)
				}
				checkKeyedRuns(t, name, s.Runs(request.ID), result, test.status, test.organisation, test.priority)
				return nil
			})
		}
	}
	s.Configure(withKeys([]string{inkKey, laterKey}, []string{}))
	for _, entry := range s.Entries {
		awaitStatus(t, s, entry, laterKey, http.StatusOK)
		awaitStatus(t, s, entry, paintKey, http.StatusUnauthorized)
	}
	checkNoKeyIsKept(t, s)
	checkRefusalIsTraced(t, s)
}

// checkRefusalIsTraced checks that the trace of a request has why it was refused, and by
// which version of the configuration.
func checkRefusalIsTraced(t *testing.T, s *platformsite.Site) {
	t.Helper()
	entry := s.Entries[0]
	request := keyed(s, platformsite.BookingPath, "", unknownKey)
	entry.Send(testContext(t), request)
	eventually(t, func() error {
		lines, err := logtrace.Read(strings.NewReader(entry.Log()))
		if err != nil {
			return err
		}
		trace := logtrace.Find([][]logtrace.Line{lines}, request.ID)
		if len(trace.Lines) != 1 || trace.Lines[0].Get("status") != "401" || trace.Lines[0].Get("cause") != "unknown key" {
			return errNotYet(trace.Lines)
		}
		isActive := func(view logtrace.Line) bool {
			return view.Message == "configuration activated" && view.Get("version") == trace.Lines[0].Get("configuration") && view.Get("organisations") == "2"
		}
		if !slices.ContainsFunc(trace.Views, isActive) {
			return errNotYet(trace.Views)
		}
		return nil
	})
}

// checkKeyedRuns checks a response and what the backend servers received.
func checkKeyedRuns(t *testing.T, name string, runs []backendserver.Run, result platformsite.Result, status int, organisation, priority string) {
	t.Helper()
	if result.Status != status {
		t.Errorf("%s: %s, want status %d", name, result, status)
	}
	if status != http.StatusOK && len(runs) > 0 {
		t.Errorf("%s ran: %+v", name, runs)
	}
	for _, run := range runs {
		if len(run.Keys) > 0 || run.Organisation != organisation || run.Priority != priority {
			t.Errorf("%s: server received keys %q, organisation %q, priority %q, want none, %q, %q", name, run.Keys, run.Organisation, run.Priority, organisation, priority)
		}
	}
}

// checkNoKeyIsKept looks for keys and their digests in logs, state dumps and metrics.
func checkNoKeyIsKept(t *testing.T, s *platformsite.Site) {
	t.Helper()
	texts := make(map[string]string)
	for _, process := range s.Processes() {
		texts["log of "+process.Name] = process.Log()
	}
	for _, entry := range s.Entries {
		for _, path := range []string{telemetry.MetricsPath, adminapi.DumpPath} {
			response, err := http.Get("http://" + entry.Metrics + path)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != http.StatusOK || len(body) == 0 {
				t.Errorf("%s of %s: status %d, %d bytes, %v", path, entry.ID, response.StatusCode, len(body), err)
			}
			response.Body.Close()
			texts[path+" of "+entry.ID] = string(body)
		}
	}
	for name, text := range texts {
		for _, key := range []string{inkKey, paintKey, laterKey, unknownKey} {
			if strings.Contains(text, key) || strings.Contains(text, keys.HashAPIKey(key)) {
				t.Errorf("%s has the key %s", name, key)
			}
		}
	}
	for _, entry := range s.Entries {
		if log := texts["log of "+entry.ID]; !strings.Contains(log, `cause="unknown key"`) || !strings.Contains(log, "organisation=ink") {
			t.Errorf("the log of %s has no refusal for an unknown key, or no organisation", entry.ID)
		}
		if dump := texts[adminapi.DumpPath+" of "+entry.ID]; !strings.Contains(dump, `"ink"`) {
			t.Errorf("the dump of %s has no organisation", entry.ID)
		}
		if !strings.Contains(texts[telemetry.MetricsPath+" of "+entry.ID], `organisation="ink"`) {
			t.Errorf("the metrics of %s count no request of the organisation", entry.ID)
		}
	}
}

// TestInvalidOrganisationsAreKeptOut writes a version in which two organisations hold a key.
func TestInvalidOrganisationsAreKeptOut(t *testing.T) {
	s := start(t, func(o *platformsite.Options) { o.Entries = 1 })
	entry := s.Entries[0]
	s.Configure(withKeys([]string{inkKey}, []string{paintKey}))
	awaitStatus(t, s, entry, unknownKey, http.StatusUnauthorized)
	s.Configure(withKeys([]string{laterKey}, []string{laterKey}))
	eventually(t, func() error {
		if !strings.Contains(entry.Log(), `level=ERROR msg="configuration unreadable, keeping the active one"`) {
			return errNotYet("no line on the configuration")
		}
		return nil
	})
	awaitStatus(t, s, entry, inkKey, http.StatusOK)
	awaitStatus(t, s, entry, laterKey, http.StatusUnauthorized)
	s.Configure(withKeys([]string{laterKey}, []string{paintKey}))
	awaitStatus(t, s, entry, laterKey, http.StatusOK)
	if strings.Contains(entry.Log(), laterKey) {
		t.Error("the log has a key")
	}
}

// TestOpenStreamOutlivesItsKey removes the key of a caller whose stream is open.
func TestOpenStreamOutlivesItsKey(t *testing.T) {
	s := start(t, func(o *platformsite.Options) {
		o.Entries, o.Work, o.Events = 1, 100*time.Millisecond, 30
	})
	entry := s.Entries[0]
	s.Configure(withKeys([]string{inkKey}, []string{paintKey}))
	awaitStatus(t, s, entry, unknownKey, http.StatusUnauthorized)
	eventually(t, func() error {
		if got := entry.Send(testContext(t), keyed(s, platformsite.AdvicePath, "m1", inkKey)); got.Status != http.StatusOK {
			return errNotYet(got)
		}
		return nil
	})
	request := keyed(s, platformsite.AdvicePath, "m1", paintKey)
	ended := make(chan platformsite.Result, 1)
	go func() { ended <- entry.Send(testContext(t), request) }()
	eventually(t, func() error {
		if len(s.Runs(request.ID)) == 0 {
			return errNotYet("no run")
		}
		return nil
	})
	s.Configure(withKeys([]string{inkKey}, []string{}))
	awaitStatus(t, s, entry, paintKey, http.StatusUnauthorized)
	select {
	case result := <-ended:
		t.Fatalf("the stream has ended before the key was refused: %s", result)
	default:
	}
	result := <-ended
	if err := s.Check(request, result); err != nil {
		t.Error(err)
	}
	rest := keyed(s, platformsite.AdvicePath, "m1", paintKey)
	rest.Header.Set(backendserver.HeaderLastEvent, "12")
	if got := entry.Send(testContext(t), rest); got.Status != http.StatusUnauthorized {
		t.Errorf("a caller with a removed key comes back for its stream: %s, want status 401", got)
	}
}
