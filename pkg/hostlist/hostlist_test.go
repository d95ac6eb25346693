package hostlist

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

func TestHostsAcceptsOnlyValidLists(t *testing.T) {
	tests := []struct {
		name, body string
		hosts      int
		ok         bool
	}{
		{"hosts", `[{"id":"a","role":"agent","state":"leaving","address":"127.0.0.1:1"},{"id":"b"}]`, 2, true},
		{"empty", `[]`, 0, true},
		{"null", `null`, 0, false},
		{"cut", `[{"id":"a"}`, 0, false},
		{"no id", `[{}]`, 0, false},
		{"twice", `[{"id":"a"},{"id":"a"}]`, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.Copy(w, strings.NewReader(test.body))
			}))
			defer server.Close()
			list := New(settings.HostList{URL: server.URL})
			defer list.Close()
			listing, err := list.Hosts(t.Context())
			var hosts []Host
			if listing != nil {
				hosts = listing.Hosts
			}
			var failure *Error
			if (err == nil) != test.ok || len(hosts) != test.hosts || (err != nil && !errors.As(err, &failure)) {
				t.Errorf("got %v, %v", hosts, err)
			}
		})
	}
}

// TestHostListUnchanged checks that an unchanged list is not transferred again,
// and that a changed one is.
func TestHostListUnchanged(t *testing.T) {
	tag, bodies := `"1"`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		bodies++
		_, _ = io.WriteString(w, `[{"id":"a"}]`)
	}))
	defer server.Close()
	list := New(settings.HostList{URL: server.URL})
	defer list.Close()
	var listings [3]*Listing
	for i := range listings {
		if i == 2 {
			tag = `"2"`
		}
		listing, err := list.Hosts(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		listings[i] = listing
	}
	if listings[0] != listings[1] || listings[1] == listings[2] || bodies != 2 {
		t.Errorf("listings %p, %d bodies, want the first two equal and two bodies", listings, bodies)
	}
}
