package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/schema"
)

const hash = "0000000000000000000000000000000000000000000000000000000000000000"

// sharedFields returns the settings fields that entries and agents share. The key
// files only have to exist.
func sharedFields(t testing.TB) string {
	path := filepath.Join(t.TempDir(), "pem")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf(`
		"host": {"id": "h1", "region": "nl-west", "failure_domain": "a"},
		"tls": {"ca_file": %[1]q, "cert_file": %[1]q, "key_file": %[1]q},
		"key_value": {"endpoints": ["http://127.0.0.1:2379"], "prefix": "/site"},
		"host_list": {"url": "http://127.0.0.1:8080/hosts"}`, path)
}

func entryJSON(t testing.TB) string {
	return "{" + sharedFields(t) + `,
		"listen": {"callers": "127.0.0.1:1", "admin": "127.0.0.1:2", "inner": "127.0.0.1:3"},
		"admin": [{"name": "ops", "token_hash": "` + hash + `", "role": "editor"}]}`
}

func agentJSON(t testing.TB) string {
	return "{" + sharedFields(t) + `,
		"listen": {"inner": "192.0.2.1:3", "admin": "127.0.0.1:2", "guard": "127.0.0.1:4"},
		"backend": {"kind": "service", "url": "http://127.0.0.1:9", "services": ["orders"]}}`
}

func TestDefaults(t *testing.T) {
	entry, err := ParseEntry([]byte(entryJSON(t)))
	if err != nil {
		t.Fatal(err)
	}
	wantLimits := EntryLimits{
		MaxBodyBytes: 4 << 20, MaxRequests: 8192, MaxConnections: 16384, DefaultDeadlineMillis: 60_000,
		MaxDeadlineMillis: 3_600_000, DrainMillis: 600_000,
	}
	if entry.Limits != wantLimits {
		t.Errorf("limits %+v, want %+v", entry.Limits, wantLimits)
	}
	if entry.KeyValue.TimeoutMillis != 2000 || entry.HostList.PollMillis != 1000 || entry.Log.Level != "info" {
		t.Errorf("defaults missing in %+v", entry)
	}
	agent, err := ParseAgent([]byte(agentJSON(t)))
	if err != nil {
		t.Fatal(err)
	}
	if agent.Limits != (AgentLimits{MaxQueued: 1024, DrainMillis: 600_000}) || agent.Backend.Slots != 8 {
		t.Errorf("defaults missing in %+v", agent)
	}
}

func TestInvalidSettings(t *testing.T) {
	entry, agent := entryJSON(t), agentJSON(t)
	cases := []struct {
		name, valid, old, new string
		want                  []string
	}{
		{"host name instead of an IP address", entry, "127.0.0.1:1", "localhost:1", []string{"listen.callers"}},
		{"no port", entry, "127.0.0.1:1", "127.0.0.1", []string{"listen.callers"}},
		{"missing key file", entry, `"key_file": "`, `"key_file": "/nowhere`, []string{"tls.key_file"}},
		{"unknown role", entry, `"editor"`, `"root"`, []string{"admin[0].role"}},
		{"plain token", entry, hash, "secret", []string{"admin[0].token_hash"}},
		{"deadline above the maximum", entry, `"admin": [`, `"limits": {"default_deadline_ms": 9, "max_deadline_ms": 8}, "admin": [`, []string{"limits.default_deadline_ms"}},
		{"two credentials of one name", entry, `"admin": [`, `"admin": [{"name": "ops", "token_hash": "` + hash + `", "role": "reader"}, `, []string{"admin[1].name"}},
		{"two problems", entry, `"region": "nl-west", "failure_domain": "a"`, `"region": "nl west"`, []string{"host.region", "host.failure_domain"}},
		{"admin not on loopback", agent, `"admin": "127.0.0.1:2"`, `"admin": "192.0.2.1:2"`, []string{"listen.admin"}},
		{"instance lock not on loopback", agent, "127.0.0.1:4", "192.0.2.1:4", []string{"listen.guard"}},
		{"service without names", agent, `["orders"]`, `[]`, []string{"backend.services"}},
		{"engine with services", agent, `"kind": "service"`, `"kind": "engine"`, []string{"backend.services"}},
		{"address of another scheme", agent, "http://127.0.0.1:2379", "ftp://127.0.0.1:2379", []string{"key_value.endpoints[0]"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			changed := strings.Replace(c.valid, c.old, c.new, 1)
			if changed == c.valid {
				t.Fatal("the replacement changes nothing")
			}
			_, err := ParseEntry([]byte(changed))
			if c.valid == agent {
				_, err = ParseAgent([]byte(changed))
			}
			checkPaths(t, err, c.want)
		})
	}
}

func checkPaths(t *testing.T, err error, want []string) {
	t.Helper()
	var schemaErr *schema.Error
	if !errors.As(err, &schemaErr) {
		t.Fatalf("error %v, want problems at %q", err, want)
	}
	var got []string
	for _, problem := range schemaErr.Problems {
		got = append(got, problem.Path)
	}
	if strings.Join(got, " ") != strings.Join(want, " ") {
		t.Errorf("problems at %q, want %q:\n%v", got, want, err)
	}
}

// FuzzSettings checks that any input is either rejected with typed problems or yields
// settings with all defaults filled in.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(entryJSON(f)))
	f.Add([]byte(agentJSON(f)))
	f.Add([]byte(`{"limits": {"max_requests": -1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, entryErr := ParseEntry(data)
		agent, agentErr := ParseAgent(data)
		for _, err := range []error{entryErr, agentErr} {
			var schemaErr *schema.Error
			if err != nil && !errors.As(err, &schemaErr) {
				t.Errorf("error %v has type %T", err, err)
			}
		}
		if entryErr == nil && (entry.Limits.MaxRequests <= 0 || entry.KeyValue.TimeoutMillis <= 0) {
			t.Errorf("accepted without defaults: %+v", entry)
		}
		if agentErr == nil && agent.Limits.MaxQueued <= 0 {
			t.Errorf("accepted without defaults: %+v", agent)
		}
	})
}
