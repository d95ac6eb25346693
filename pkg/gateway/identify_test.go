package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/keys"
)

// callerCodec decodes fixed information from every request.
type callerCodec struct {
	recorder
	info forward.RequestInfo
	err  error
}

func (c *callerCodec) DecodeRequest(http.Header) (forward.RequestInfo, error) { return c.info, c.err }

// testOrganisation returns an organisation with keys.
func testOrganisation(name string, keysInClear ...string) fleet.Organisation {
	organisation := fleet.Organisation{Name: name}
	for _, key := range keysInClear {
		organisation.KeyHashes = append(organisation.KeyHashes, keys.HashAPIKey(key))
	}
	return organisation
}

// keyedRoutes are a route that needs a key and a public one.
func keyedRoutes() []fleet.Route {
	destinations := []fleet.Destination{{Service: testService}}
	return []fleet.Route{
		{Name: "closed", Host: "h", PathPrefix: "/closed/", Priority: 3, Destinations: destinations},
		{Name: "open", Host: "h", PathPrefix: "/open/", Priority: 3, Public: true, Destinations: destinations},
	}
}

// newKeyedHandler returns a handler whose callers' requests have the given information.
func newKeyedHandler(t *testing.T, info forward.RequestInfo, configuration *fleet.Configuration) (*handler, *callerCodec) {
	t.Helper()
	c := newControl(discardLogger())
	codec := &callerCodec{info: info}
	h := &handler{control: c, headerCodec: codec, observer: newObserver(discardLogger(), testMetrics(t))}
	h.quarantine = newQuarantineClient(c, &h.node, discardLogger())
	c.applyConfiguration(configuration)
	return h, codec
}

// unreadableBody is a body that must not be read.
type unreadableBody struct{ t testing.TB }

func (b unreadableBody) Read([]byte) (int, error) {
	b.t.Error("the body was read before the caller was identified")
	return 0, http.ErrBodyReadAfterClose
}

func acceptAt(h *handler, path string, body interface{ Read([]byte) (int, error) }) (*exchange, *refusal) {
	request := httptest.NewRequest(http.MethodPost, "http://h"+path, body)
	return h.accept(newCallerResponse(httptest.NewRecorder(), request, discardLogger()), request, time.Now())
}

func TestIdentify(t *testing.T) {
	urgent := 0
	ink := testOrganisation("ink", "k1", "k2")
	ink.Priority = &urgent
	organisations := []fleet.Organisation{ink, testOrganisation("paint", "k3")}
	for _, test := range []struct {
		name          string
		organisations []fleet.Organisation
		path          string
		caller        forward.RequestInfo
		refused       string
		organisation  string
		sent          forward.BackendHeaders
	}{
		{name: "key", caller: forward.RequestInfo{CallerKey: "k2"}, organisation: "ink", sent: forward.BackendHeaders{CallersHaveKeys: true, Organisation: "ink", Priority: 0}},
		{name: "key of an organisation without a priority", caller: forward.RequestInfo{CallerKey: "k3"}, organisation: "paint", sent: forward.BackendHeaders{CallersHaveKeys: true, Organisation: "paint", Priority: 3}},
		{name: "no key", refused: reasonNoKey},
		{name: "unknown key", caller: forward.RequestInfo{CallerKey: "k4"}, refused: reasonUnknownKey},
		{name: "blank key", caller: forward.RequestInfo{CallerKey: " "}, refused: reasonUnknownKey},
		{name: "key with a scheme", caller: forward.RequestInfo{CallerKey: "Bearer k1"}, refused: reasonUnknownKey},
		{name: "key in another case", caller: forward.RequestInfo{CallerKey: "K1"}, refused: reasonUnknownKey},
		{name: "digest of a key", caller: forward.RequestInfo{CallerKey: keys.HashAPIKey("k1")}, refused: reasonUnknownKey},
		{name: "long key", caller: forward.RequestInfo{CallerKey: strings.Repeat("k1", 1<<16)}, refused: reasonUnknownKey},
		{name: "two keys", caller: forward.RequestInfo{CallerKey: "k1", ManyKeys: true}, refused: reasonManyKeys},
		{name: "public route without a key", path: "/open/x", sent: forward.BackendHeaders{CallersHaveKeys: true, Priority: 3}},
		{name: "public route with a key", path: "/open/x", caller: forward.RequestInfo{CallerKey: "k1"}, sent: forward.BackendHeaders{CallersHaveKeys: true, Organisation: "ink", Priority: 3}},
		{name: "public route with an unknown key", path: "/open/x", caller: forward.RequestInfo{CallerKey: "k4"}, sent: forward.BackendHeaders{CallersHaveKeys: true, Priority: 3}},
		{name: "site without organisations", organisations: []fleet.Organisation{}, caller: forward.RequestInfo{CallerKey: "k4"}, sent: forward.BackendHeaders{Priority: 3}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.path == "" {
				test.path = "/closed/x"
			}
			if test.organisations == nil {
				test.organisations = organisations
			}
			h, codec := newKeyedHandler(t, test.caller, &fleet.Configuration{Version: 3, Routes: keyedRoutes(), Organisations: test.organisations})
			if test.refused != "" {
				_, failure := acceptAt(h, test.path, unreadableBody{t})
				if failure == nil || failure.status != http.StatusUnauthorized || failure.reason != test.refused || !failure.isNotRun() {
					t.Errorf("failure %+v, want a 401 for %q", failure, test.refused)
				}
				return
			}
			x, failure := acceptAt(h, test.path, strings.NewReader("b"))
			if failure != nil {
				t.Fatalf("refused: %+v", failure)
			}
			if got := nameOf(x.organisation); got != test.organisation {
				t.Errorf("organisation %q, want %q", got, test.organisation)
			}
			// Each send has the same identity.
			for range 2 {
				x.backendRequest(x.deadline, &server{Backend: &fleet.Backend{}})
				if codec.backendHeaders != test.sent {
					t.Errorf("sent %+v, want %+v", codec.backendHeaders, test.sent)
				}
			}
			if got := x.acquireFrame(time.Now(), &server{Backend: &fleet.Backend{}}).Priority; got != test.sent.Priority {
				t.Errorf("priority %d at agents, want %d", got, test.sent.Priority)
			}
		})
	}
}

// Guards against a final refusal by keys that are known to be out of date, and against a 400
// that tells a caller without a key what is wrong with the rest.
func TestUnknownKeyIsRetriedWhileNewerConfigurationIsKnown(t *testing.T) {
	configuration := &fleet.Configuration{Version: 3, Routes: keyedRoutes(), Organisations: []fleet.Organisation{testOrganisation("ink", "k1")}}
	h, codec := newKeyedHandler(t, forward.RequestInfo{CallerKey: "new"}, configuration)
	codec.err = http.ErrNoLocation
	h.control.reportVersion(4)
	if _, failure := acceptAt(h, "/closed/x", unreadableBody{t}); failure == nil || failure.status != http.StatusServiceUnavailable || failure.retryAfter == 0 {
		t.Errorf("failure %+v while a newer version is known, want a 503 with a delay", failure)
	}
	next := *configuration
	next.Version = 4
	h.control.applyConfiguration(&next)
	if _, failure := acceptAt(h, "/closed/x", unreadableBody{t}); failure == nil || failure.status != http.StatusUnauthorized {
		t.Errorf("failure %+v by the newest version, want a 401", failure)
	}
}

// TestKeysFollowConfiguration applies random versions, also old ones, and compares each
// request with a model that keeps the keys of the newest version in clear.
func TestKeysFollowConfiguration(t *testing.T) {
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		holders := map[string]string{}
		hasOrganisations := false
		active := int64(1)
		h, codec := newKeyedHandler(outer, forward.RequestInfo{}, &fleet.Configuration{Version: active, Routes: keyedRoutes()})
		key := rapid.SampledFrom([]string{"", "k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7"})
		t.Repeat(map[string]func(*rapid.T){
			"configure": func(t *rapid.T) {
				configuration := &fleet.Configuration{Version: rapid.Int64Range(1, active+3).Draw(t, "version"), Routes: keyedRoutes()}
				drawn := map[string]string{}
				for i := range rapid.IntRange(0, 3).Draw(t, "organisations") {
					organisation := fleet.Organisation{Name: fmt.Sprint("o", i)}
					for _, held := range rapid.SliceOfNDistinct(key.Filter(func(k string) bool { return k != "" && drawn[k] == "" }), 1, 2, rapid.ID[string]).Draw(t, "keys") {
						drawn[held] = organisation.Name
						organisation.KeyHashes = append(organisation.KeyHashes, keys.HashAPIKey(held))
					}
					configuration.Organisations = append(configuration.Organisations, organisation)
				}
				h.control.applyConfiguration(configuration)
				if configuration.Version > active {
					active, holders, hasOrganisations = configuration.Version, drawn, len(configuration.Organisations) > 0
				}
			},
			"request": func(t *rapid.T) {
				codec.info = forward.RequestInfo{CallerKey: key.Draw(t, "key"), ManyKeys: rapid.IntRange(0, 9).Draw(t, "many") == 0}
				path := rapid.SampledFrom([]string{"/closed/x", "/open/x"}).Draw(t, "path")
				holder := holders[codec.info.CallerKey]
				if codec.info.ManyKeys {
					holder = ""
				}
				x, failure := acceptAt(h, path, strings.NewReader("b"))
				wantRefused := hasOrganisations && path == "/closed/x" && holder == ""
				if (failure != nil) != wantRefused {
					t.Fatalf("key %q on %s: failure %+v, want refused %t", codec.info.CallerKey, path, failure, wantRefused)
				}
				if failure != nil {
					return
				}
				x.backendRequest(x.deadline, &server{Backend: &fleet.Backend{}})
				if got := codec.backendHeaders; got.Organisation != holder || got.CallersHaveKeys != hasOrganisations {
					t.Fatalf("key %q of %q: sent as %+v", codec.info.CallerKey, holder, got)
				}
			},
		})
	})
}
