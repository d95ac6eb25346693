package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

const (
	editorToken = "tg_editor-secret"
	readerToken = "tg_reader-secret"
	plansJSON   = `{"plans":[{"name":"p","customer":"c","api_key_hashes":["%064x"],"weight":%d}]}`
	bodyFormat  = `{"plans":` + plansJSON + `,"allowances":{"allowances":[{"plan":"p"}]}}`
)

type fixture struct {
	server *httptest.Server
	kv     *keyvaluetest.Store
	log    *bytes.Buffer
}

type staticStatus struct{}

func (staticStatus) Status() Status { return Status{Host: "entry-1"} }

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{kv: keyvaluetest.NewStore(1), log: &bytes.Buffer{}}
	f.server = httptest.NewServer(New(Config{
		Credentials: []settings.AdminCredential{
			{Name: "ann", TokenHash: keys.HashAPIKey(editorToken), Role: settings.AdminEditor},
			{Name: "rob", TokenHash: strings.ToUpper(keys.HashAPIKey(readerToken)), Role: settings.AdminReader},
		},
		Lists:  lists.NewStore(f.kv, "/site"),
		Status: staticStatus{},
		Dump:   func() any { return map[string]int{"calls": f.kv.Calls()} },
		Logger: slog.New(slog.NewTextHandler(f.log, nil)),
	}))
	t.Cleanup(f.server.Close)
	return f
}

// call sends a request and returns the status and the error detail, if any.
func (f *fixture) call(t *testing.T, method, path, token, condition, body string) (int, ErrorDetail) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	if name, value, ok := strings.Cut(condition, ": "); ok {
		request.Header.Set(name, value)
	}
	response, err := f.server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var decoded ErrorBody
	_ = json.Unmarshal(data, &decoded)
	return response.StatusCode, decoded.Error
}

func body(weight int) string { return fmt.Sprintf(bodyFormat, 1, weight) }

// TestRequestsAndAuditLog checks the status and code of requests with different
// credentials, conditions and bodies, and the audit log of the accepted changes.
func TestRequestsAndAuditLog(t *testing.T) {
	f := newFixture(t)
	none := "If-None-Match: *"
	cases := []struct {
		name, method, path, token, condition, body string
		status                                     int
		code                                       ErrorCode
	}{
		{"no token", "GET", ListsPath, "", "", "", 401, CodeUnauthorized},
		{"wrong token", "GET", ListsPath, "tg_wrong", "", "", 401, CodeUnauthorized},
		{"hash instead of the token", "GET", ListsPath, keys.HashAPIKey(readerToken), "", "", 401, CodeUnauthorized},
		{"status without token", "GET", StatusPath, "", "", "", 401, CodeUnauthorized},
		{"dump without token", "GET", DumpPath, "", "", "", 401, CodeUnauthorized},
		{"reader reads", "GET", ListsPath, readerToken, "", "", 200, ""},
		{"reader changes", "PUT", ListsPath, readerToken, none, body(1), 403, CodeForbidden},
		{"no condition", "PUT", ListsPath, editorToken, "", body(1), 428, CodeNoCondition},
		{"condition on nothing", "PUT", ListsPath, editorToken, "If-Match: 0", body(1), 428, CodeNoCondition},
		{"broken body", "PUT", ListsPath, editorToken, none, "{", 400, CodeInvalid},
		{"unknown field", "PUT", ListsPath, editorToken, none, `{"plan": 1}`, 400, CodeInvalid},
		{"body over the limit", "PUT", ListsPath, editorToken, none, strings.Repeat(" ", maxBodyBytes+1), 413, CodeTooLarge},
		{"problems", "PUT", ListsPath, editorToken, none, body(0), 422, CodeRefused},
		{"first lists", "PUT", ListsPath, editorToken, none, body(1), 200, ""},
		{"first lists again", "PUT", ListsPath, editorToken, none, body(1), 409, CodeConflict},
		{"wrong revision", "PUT", ListsPath, editorToken, `If-Match: "1"`, body(1), 409, CodeConflict},
		{"revision of the body differs", "PUT", ListsPath, editorToken, `If-Match: "2"`, `{"revision": 1}`, 400, CodeInvalid},
		{"right revision", "PUT", ListsPath, editorToken, `If-Match: "2"`, body(2), 200, ""},
		{"status", "GET", StatusPath, readerToken, "", "", 200, ""},
		{"dump", "GET", DumpPath, readerToken, "", "", 200, ""},
		{"method", "DELETE", ListsPath, editorToken, "", "", 405, ""},
	}
	for _, c := range cases {
		status, detail := f.call(t, c.method, c.path, c.token, c.condition, c.body)
		if status != c.status || detail.Code != c.code {
			t.Errorf("%s: HTTP %d, code %q; want %d, %q", c.name, status, detail.Code, c.status, c.code)
		}
		if c.code == CodeConflict && (detail.CurrentRevision == nil || *detail.CurrentRevision != 2) {
			t.Errorf("%s: current revision %v, want 2", c.name, detail.CurrentRevision)
		}
	}
	checkAuditLog(t, f.log.String())
}

// checkAuditLog checks that the log has a line for each accepted change and contains
// no secrets.
func checkAuditLog(t *testing.T, log string) {
	t.Helper()
	if got := strings.Count(log, `msg="lists changed" administrator=ann`); got != 2 {
		t.Errorf("%d changes in the audit log, want 2:\n%s", got, log)
	}
	for _, secret := range []string{editorToken, readerToken, keys.HashAPIKey(editorToken), "tg_wrong", fmt.Sprintf("%064x", 1)} {
		if strings.Contains(log, secret) {
			t.Errorf("the log contains the secret %q", secret)
		}
	}
}

// failingLists is a ListsService whose calls all fail.
type failingLists struct{ err error }

func (l failingLists) Get(context.Context) (lists.Snapshot, error) { return lists.Snapshot{}, l.err }

func (l failingLists) Put(context.Context, int64, lists.Plans, lists.Allowances, string) (int64, error) {
	return 0, l.err
}

// TestErrorMapping guards against errors of the lists that reach the client with
// a wrong status, code or error type.
func TestErrorMapping(t *testing.T) {
	cause := &keyvalue.StoreError{Op: "txn", Err: keyvaluetest.ErrDown}
	cases := []struct {
		name   string
		err    error
		status int
		code   ErrorCode
		typed  error
	}{
		{"not made", fmt.Errorf("lists: %w", cause), 503, CodeUnavailable, &ResponseError{}},
		{"uncertain", &lists.UncertainError{ChangeID: "id", Err: cause}, 503, CodeUncertain, &lists.UncertainError{}},
		{"unreadable", &lists.UnreadableError{Revision: 1, Err: cause}, 500, CodeUnreadable, &ResponseError{}},
		{"too large", fmt.Errorf("lists: %w", lists.ErrTooLarge), 413, CodeTooLarge, &ResponseError{}},
		{"conflict", &lists.ConflictError{Current: 9}, 409, CodeConflict, &lists.ConflictError{}},
		{"refused", &lists.CheckError{}, 422, CodeRefused, &lists.CheckError{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			credential := settings.AdminCredential{Name: "ann", TokenHash: keys.HashAPIKey(editorToken), Role: settings.AdminEditor}
			server := httptest.NewServer(New(Config{
				Credentials: []settings.AdminCredential{credential},
				Lists:       failingLists{c.err},
				Logger:      slog.New(slog.DiscardHandler),
			}))
			defer server.Close()
			status, detail := (&fixture{server: server}).call(t, "PUT", ListsPath, editorToken, "If-None-Match: *", body(1))
			if status != c.status || detail.Code != c.code {
				t.Errorf("HTTP %d, code %q; want %d, %q", status, detail.Code, c.status, c.code)
			}
			client := NewClient(server.URL, editorToken, server.Client())
			_, err := client.PutLists(t.Context(), 8, lists.Plans{}, lists.Allowances{})
			if reflect.TypeOf(err) != reflect.TypeOf(c.typed) {
				t.Errorf("client got %T: %v, want %T", err, err, c.typed)
			}
		})
	}
}

// TestTruncatedResponseIsUncertain guards against a change whose response is lost
// being reported as not made, and against a change that was never sent being
// reported as uncertain.
func TestTruncatedResponseIsUncertain(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	client := NewClient(server.URL, editorToken, server.Client())
	var uncertain *lists.UncertainError
	if _, err := client.PutLists(t.Context(), 1, lists.Plans{}, lists.Allowances{}); !errors.As(err, &uncertain) {
		t.Errorf("truncated response: %v", err)
	}
	server.Close()
	if _, err := client.PutLists(t.Context(), 1, lists.Plans{}, lists.Allowances{}); err == nil || errors.As(err, &uncertain) {
		t.Errorf("request not sent: %v", err)
	}
}
