package keyvalue

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

func newClient(t *testing.T, endpoints ...string) *Etcd {
	t.Helper()
	client, err := NewEtcd(settings.KeyValue{Endpoints: endpoints, Prefix: "/", TimeoutMillis: 500})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func TestTxnEncoding(t *testing.T) {
	request := newTxnRequest(
		[]Compare{{Key: "a"}, {Key: "b", ModRevision: 1 << 60}},
		[]Op{{Key: "a", Value: []byte{0, 0xff}, Lease: 9}, {Key: "b", Delete: true}},
	)
	got, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"compare":[` +
		`{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"0"},` +
		`{"key":"Yg==","target":"MOD","result":"EQUAL","mod_revision":"1152921504606846976"}],` +
		`"success":[{"requestPut":{"key":"YQ==","value":"AP8=","lease":"9"}},{"requestDeleteRange":{"key":"Yg=="}}],` +
		`"failure":[{"requestRange":{"key":"YQ=="}},{"requestRange":{"key":"Yg=="}}]}`
	if string(got) != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

func TestTxnDecoding(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"header":{"cluster_id":"1","revision":"7"},"responses":[`+
			`{"response_range":{"header":{"revision":"7"},"kvs":[{"key":"YQ==","create_revision":"3","mod_revision":"5","version":"2","value":"AP8="}],"count":"1"}},`+
			`{"response_range":{"header":{"revision":"7"}}}]}`)
	}))
	defer server.Close()
	got, err := newClient(t, server.URL).Txn(t.Context(), []Compare{{Key: "a"}, {Key: "b"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	current := []KeyValue{{Key: "a", Value: []byte{0, 0xff}, CreateRevision: 3, ModRevision: 5}}
	if want := (TxnResult{Revision: 7, Current: current}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestPrefixRange(t *testing.T) {
	tests := []struct{ prefix, key, end string }{
		{"", "\x00", "\x00"},
		{"/site/", "/site/", "/site0"},
		{"a\xff", "a\xff", "b"},
		{"\xff\xff", "\xff\xff", "\x00"},
	}
	for _, test := range tests {
		key, end := prefixRange(test.prefix)
		if string(key) != test.key || string(end) != test.end {
			t.Errorf("prefixRange(%q) = %q, %q, want %q, %q", test.prefix, key, end, test.key, test.end)
		}
	}
}

// TestTxnOutcome checks which errors of transactions are uncertain, and that no
// failed transaction is resent to the second endpoint.
func TestTxnOutcome(t *testing.T) {
	status := func(code int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(code)
			_, _ = io.WriteString(w, body)
		}
	}
	tests := []struct {
		name      string
		handler   http.HandlerFunc
		uncertain bool
	}{
		{"dropped", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true},
		{"unavailable", status(503, `{"error":"etcdserver: request timed out","code":14}`), true},
		{"gateway timeout", status(504, ""), true},
		{"internal", status(500, ""), true},
		{"redirect", status(307, ""), true},
		{"not JSON", status(200, "<html>"), true},
		{"truncated JSON", status(200, `{"header":`), true},
		{"invalid", status(400, `{"error":"etcdserver: too many operations","code":3}`), false},
		{"too many requests", status(429, ""), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first := httptest.NewServer(test.handler)
			defer first.Close()
			var resent atomic.Int64
			second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				resent.Add(1)
				_, _ = io.WriteString(w, "{}")
			}))
			defer second.Close()
			_, err := newClient(t, first.URL, second.URL).Txn(t.Context(), nil, []Op{{Key: "a"}})
			var failure *StoreError
			if !errors.As(err, &failure) || failure.Uncertain != test.uncertain {
				t.Errorf("error %v, want *StoreError with Uncertain = %v", err, test.uncertain)
			}
			if resent.Load() != 0 {
				t.Error("the transaction was resent")
			}
		})
	}
}

func TestRefusedConnectionIsNotUncertain(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	client := newClient(t, server.URL)
	if _, err := client.Txn(t.Context(), nil, nil); err == nil || IsUncertain(err) {
		t.Errorf("transaction: error %v, want an error that is not uncertain", err)
	}
	if _, err := client.Range(t.Context(), "a", false); err == nil {
		t.Error("range succeeded")
	}
}

// TestNextEndpoint checks that reads try the next endpoint after any failure, and
// writes only after a refused connection.
func TestNextEndpoint(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	stopped := httptest.NewServer(http.NotFoundHandler())
	stopped.Close()
	healthy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"header":{"revision":"4"},"succeeded":true}`)
	}))
	defer healthy.Close()
	if got, err := newClient(t, broken.URL, healthy.URL).Range(t.Context(), "a", true); err != nil || got.Revision != 4 {
		t.Errorf("range: %+v, %v", got, err)
	}
	if got, err := newClient(t, stopped.URL, healthy.URL).Txn(t.Context(), nil, nil); err != nil || !got.Succeeded {
		t.Errorf("transaction: %+v, %v", got, err)
	}
}

// Guards against a response without a revision that counts as an empty store or as a failed condition.
func TestResponseWithoutRevisionIsAnError(t *testing.T) {
	for _, body := range []string{"null", "{}", `{"header":{}}`, `{"header":{"revision":"0"},"succeeded":true}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body)
		}))
		client := newClient(t, server.URL)
		if got, err := client.Range(t.Context(), "a", true); err == nil {
			t.Errorf("%s: range %+v", body, got)
		}
		if got, err := client.Txn(t.Context(), []Compare{{Key: "a"}}, nil); !IsUncertain(err) {
			t.Errorf("%s: transaction %+v, %v, want an uncertain error", body, got, err)
		}
		if got, err := client.Grant(t.Context(), time.Second); !IsUncertain(err) {
			t.Errorf("%s: lease %d, %v, want an uncertain error", body, got, err)
		}
		server.Close()
	}
}
