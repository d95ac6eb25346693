package command

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/adminapi"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

const adminToken = "tg_secret"

type statusSource struct{}

func (statusSource) Status() adminapi.Status {
	return adminapi.Status{
		Host:          "entry-1",
		ListsRevision: 4,
		ListsRejected: &lists.Rejection{Revision: 5, Reason: "unreadable"},
		Models:        []adminapi.ModelStatus{{Model: "m", Version: "1", Permitted: 2, Loaded: 1}},
		Runners:       []adminapi.RunnerStatus{{Host: "r1", FailureDomain: "a", Reachable: true}, {Host: "r2", Leaving: true}, {Host: "r3"}},
		Plans:         []adminapi.PlanStatus{{Plan: "gold", Answered: 7}},
	}
}

// run runs a command line of teaselgauge-entry and returns its exit code and its
// combined output.
func run(t *testing.T, input string, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	root := &cli.Command{
		Name: "teaselgauge-entry", Commands: EntryCommands(),
		Reader: strings.NewReader(input), Writer: &out, ErrWriter: &out,
	}
	code := Run(t.Context(), root, append([]string{"teaselgauge-entry"}, args...))
	return code, out.String()
}

// expect runs a command line and checks its exit code, that the output contains
// wantOutput and that it does not contain the token.
func expect(t *testing.T, wantCode int, wantOutput string, args ...string) string {
	t.Helper()
	code, output := run(t, "", args...)
	if code != wantCode || !strings.Contains(output, wantOutput) {
		t.Errorf("%q: exit code %d, want %d with %q; output:\n%s", args, code, wantCode, wantOutput, output)
	}
	if strings.Contains(output, adminToken) {
		t.Errorf("%q prints the token", args)
	}
	return output
}

func write(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func startAPI(t *testing.T, kv *keyvaluetest.Store) {
	t.Helper()
	server := httptest.NewServer(adminapi.New(adminapi.Config{
		Credentials: []settings.AdminCredential{{Name: "ann", TokenHash: keys.HashAPIKey(adminToken), Role: settings.AdminEditor}},
		Lists:       lists.NewStore(kv, "/site"),
		Status:      statusSource{},
		Dump:        func() any { return struct{ Revision int }{4} },
		Logger:      slog.New(slog.DiscardHandler),
	}))
	t.Cleanup(server.Close)
	t.Setenv(envAdminURL, server.URL)
	t.Setenv(envAdminToken, adminToken)
}

func TestListsCommands(t *testing.T) {
	kv := keyvaluetest.NewStore(1)
	startAPI(t, kv)
	plans := write(t, "plans.json", fmt.Sprintf(`{"plans":[{"name":"gold","customer":"c","api_key_hashes":["%064x"],"weight":1}]}`, 1))
	allowances := write(t, "allowances.json", `{"allowances":[{"plan":"gold"}]}`)
	invalidAllowances := write(t, "allowances.json", `{"allowances":[{"plan":"zinc"}]}`)
	put := []string{"lists", "put", "--plans", plans, "--allowances", allowances}

	expect(t, ExitOK, "1 plans, 0 models", "lists", "check", "--plans", plans, "--allowances", allowances)
	expect(t, ExitInvalid, `"zinc" is not a listed plan`, "lists", "check", "--plans", plans, "--allowances", invalidAllowances)
	expect(t, ExitFailure, "no such file", "lists", "check", "--plans", plans, "--allowances", plans+"x")
	expect(t, ExitUsage, `"allowances"`, "lists", "check", "--plans", plans)
	expect(t, ExitUsage, "one of --revision and --if-empty", put...)
	expect(t, ExitUsage, "one of --revision and --if-empty", append(put, "--if-empty", "--revision", "1")...)
	expect(t, ExitUsage, "at least 1", append(put, "--revision", "0")...)
	expect(t, ExitOK, "accepted as revision 2", append(put, "--if-empty")...)
	expect(t, ExitConflict, "current is 2", append(put, "--if-empty")...)
	expect(t, ExitOK, `"revision": 3`, append(put, "--revision", "2", "--output", "json")...)
	expect(t, ExitConflict, "expected revision 2, current is 3", append(put, "--revision", "2")...)
	expect(t, ExitOK, "gold  c         1", "lists", "get")
	expect(t, ExitUsage, "must be table or json", "lists", "get", "--output", "xml")

	copied := filepath.Join(t.TempDir(), "plans.json")
	expect(t, ExitOK, "revision 3", "lists", "get", "--plans", copied)
	expect(t, ExitOK, "1 plans", "lists", "check", "--plans", copied, "--allowances", allowances)

	kv.SetFaults(keyvaluetest.Faults{Down: true})
	expect(t, ExitFailure, "unavailable", "lists", "get")
	t.Setenv(envAdminToken, "tg_wrong")
	expect(t, ExitFailure, "unauthorized", "lists", "get")
	expect(t, ExitOK, "", "lists", "get", "--help")
}

func TestStatusAndDump(t *testing.T) {
	startAPI(t, keyvaluetest.NewStore(1))
	output := expect(t, ExitOK, "stored revision 5 is not active", "status")
	for _, want := range []string{"host entry-1, lists revision 4", "r1      a               live", "leaving", "unreachable", "gold"} {
		if !strings.Contains(output, want) {
			t.Errorf("status lacks %q:\n%s", want, output)
		}
	}
	expect(t, ExitOK, `"lists_revision": 4`, "status", "--output", "json")
	expect(t, ExitOK, `"Revision": 4`, "dump")
	t.Setenv(envAdminToken, "")
	expect(t, ExitFailure, "unauthorized", "dump")
	expect(t, ExitOK, `"Revision": 4`, "dump", "--token-file", write(t, "token", adminToken+"\n"))
}

func TestUsage(t *testing.T) {
	expect(t, ExitUsage, "a command is required", "lists")
	expect(t, ExitUsage, `unknown command "gte"`, "lists", "gte")
	expect(t, ExitUsage, `unknown command "start"`, "start")
	expect(t, ExitUsage, `Required flag "url" not set`, "status")
	expect(t, ExitUsage, "not defined", "status", "--nope")
	expect(t, ExitOK, "teaselgauge ", "version")
	expect(t, ExitInvalid, "host.id: is missing", "check-settings", "--settings", write(t, "s.json", "{}"))
	expect(t, ExitFailure, "no such file", "check-settings", "--settings", "/nowhere/s.json")
}

func TestKeysCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	expect(t, ExitOK, "ca.key", "keys", "ca", "--dir", dir)
	expect(t, ExitFailure, "exists", "keys", "ca", "--dir", dir)
	expect(t, ExitOK, "entry-1.crt", "keys", "host", "--dir", dir, "--id", "entry-1", "--role", "entry")
	expect(t, ExitUsage, "role must be", "keys", "host", "--dir", dir, "--id", "entry-2", "--role", "root")
	expect(t, ExitUsage, "identifier", "keys", "host", "--dir", dir, "--id", "../entry", "--role", "entry")
	expect(t, ExitUsage, "at least 1", "keys", "ca", "--dir", dir, "--name", "new", "--days", "0")
	files := settings.InternalTLS{CAFile: keys.CertPath(dir, "ca"), CertFile: keys.CertPath(dir, "entry-1"), KeyFile: keys.KeyPath(dir, "entry-1")}
	if _, err := keys.ServerConfig(files, keys.RoleAgent); err != nil {
		t.Error(err)
	}
	expect(t, ExitOK, "entry-1  entry  teaselgauge ca  ", "keys", "show", "--cert", keys.CertPath(dir, "entry-1"))
	expect(t, ExitOK, "teaselgauge ca  authority  ", "keys", "show", "--cert", keys.CertPath(dir, "ca"))
	expect(t, ExitFailure, "no PEM certificate", "keys", "show", "--cert", keys.KeyPath(dir, "ca"))
	output := expect(t, ExitOK, "hash: ", "keys", "api-key")
	fields := strings.Fields(output)
	code, hash := run(t, fields[1]+"\n", "keys", "hash")
	if code != ExitOK || strings.TrimSpace(hash) != fields[3] {
		t.Errorf("hash of %q is %q, want %q", fields[1], hash, fields[3])
	}
	expect(t, ExitUsage, "no key", "keys", "hash")
}
