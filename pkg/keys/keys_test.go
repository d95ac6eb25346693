package keys

import (
	"bytes"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

func newAuthority(t *testing.T, name string) Pair {
	t.Helper()
	pair, err := NewAuthority(name, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

// writeHost issues a host certificate and returns its files, which trust the
// given authorities.
func writeHost(t *testing.T, issuer Pair, id, role string, trusted ...Pair) settings.InternalTLS {
	t.Helper()
	dir := t.TempDir()
	pair, err := IssueHost(issuer, id, role, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := pair.Write(dir, id); err != nil {
		t.Fatal(err)
	}
	files := settings.InternalTLS{
		CAFile: filepath.Join(dir, "ca.crt"), CertFile: CertPath(dir, id), KeyFile: KeyPath(dir, id),
	}
	writeTrusted(t, files, trusted...)
	return files
}

func writeTrusted(t *testing.T, files settings.InternalTLS, trusted ...Pair) {
	t.Helper()
	var bundle []byte
	for _, authority := range trusted {
		bundle = append(bundle, authority.CertPEM...)
	}
	if err := os.WriteFile(files.CAFile, bundle, 0o644); err != nil {
		t.Fatal(err)
	}
}

// handshake connects a client to a server over loopback and returns both sides'
// errors and the identity that the server saw.
func handshake(t *testing.T, server, client *tls.Config) (id, role string, serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close()
		tlsConn := tls.Server(conn, server)
		err = tlsConn.Handshake()
		if err == nil {
			id, role, err = PeerIdentity(tlsConn.ConnectionState())
		}
		done <- err
	}()
	conn, clientErr := tls.Dial("tcp", listener.Addr().String(), client)
	if clientErr == nil {
		defer conn.Close()
	}
	return id, role, <-done, clientErr
}

func configs(t *testing.T, serverFiles, clientFiles settings.InternalTLS) (server, client *tls.Config) {
	t.Helper()
	server, err := ServerConfig(serverFiles, RoleEntry)
	if err != nil {
		t.Fatal(err)
	}
	client, err = ClientConfig(clientFiles, RoleAgent)
	if err != nil {
		t.Fatal(err)
	}
	return server, client
}

func TestMutualTLS(t *testing.T) {
	site, foreign := newAuthority(t, "site"), newAuthority(t, "foreign")
	agent := writeHost(t, site, "agent-1", RoleAgent, site)
	entry := writeHost(t, site, "entry-1", RoleEntry, site)
	cases := []struct {
		name           string
		server, client settings.InternalTLS
		serverErr      string
		clientErr      string
	}{
		{"both trusted", agent, entry, "", ""},
		{"client of a foreign site", agent, writeHost(t, foreign, "entry-1", RoleEntry, site), "unknown authority", ""},
		{"server of a foreign site", writeHost(t, foreign, "agent-1", RoleAgent, site), entry, "bad certificate", "unknown authority"},
		{"client of a role that isn't allowed", agent, writeHost(t, site, "agent-2", RoleAgent, site), `role "agent"`, ""},
		{"server of a role that isn't allowed", writeHost(t, site, "entry-2", RoleEntry, site), entry, "bad certificate", `role "entry"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, client := configs(t, c.server, c.client)
			id, role, serverErr, clientErr := handshake(t, server, client)
			checkError(t, "server", serverErr, c.serverErr)
			checkError(t, "client", clientErr, c.clientErr)
			if c.serverErr == "" && (id != "entry-1" || role != RoleEntry) {
				t.Errorf("server saw %q with role %q", id, role)
			}
		})
	}
}

func checkError(t *testing.T, side string, err error, want string) {
	t.Helper()
	if want == "" {
		if err != nil {
			t.Errorf("%s: %v", side, err)
		}
		return
	}
	if err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("%s: error %v, want %q", side, err, want)
	}
}

func TestNoClientCertificate(t *testing.T) {
	site := newAuthority(t, "site")
	server, client := configs(t, writeHost(t, site, "agent-1", RoleAgent, site), writeHost(t, site, "entry-1", RoleEntry, site))
	client.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &tls.Certificate{}, nil
	}
	_, _, serverErr, _ := handshake(t, server, client)
	checkError(t, "server", serverErr, "didn't provide a certificate")
}

// TestReplacement replaces a site's authority step by step while one server
// keeps running, as docs/OPERATIONS.md tells operators to.
func TestReplacement(t *testing.T) {
	oldCA, newCA := newAuthority(t, "old"), newAuthority(t, "new")
	agent := writeHost(t, oldCA, "agent-1", RoleAgent, oldCA)
	source, err := newSource(agent)
	if err != nil {
		t.Fatal(err)
	}
	server := serverConfig(source.current, []string{RoleEntry})
	connects := func(issuer Pair, trusted ...Pair) bool {
		source.checked = time.Time{}
		client, err := ClientConfig(writeHost(t, issuer, "entry-1", RoleEntry, trusted...), RoleAgent)
		if err != nil {
			t.Fatal(err)
		}
		_, _, serverErr, clientErr := handshake(t, server, client)
		return serverErr == nil && clientErr == nil
	}
	if connects(newCA, oldCA, newCA) {
		t.Error("new authority trusted before it was added")
	}
	writeTrusted(t, agent, oldCA, newCA)
	if !connects(newCA, oldCA, newCA) || !connects(oldCA, oldCA, newCA) {
		t.Error("one of two trusted authorities refused")
	}
	replaceHost(t, agent, newCA)
	if !connects(oldCA, oldCA, newCA) {
		t.Error("new host certificate not in use")
	}
	writeTrusted(t, agent, newCA)
	if connects(oldCA, oldCA, newCA) {
		t.Error("old authority trusted after it was removed")
	}
	if err := os.WriteFile(agent.CAFile, []byte("broken"), 0o644); err != nil {
		t.Fatal(err)
	}
	if !connects(newCA, newCA) {
		t.Error("unreadable file ended the use of the last good ones")
	}
}

func replaceHost(t *testing.T, files settings.InternalTLS, issuer Pair) {
	t.Helper()
	pair, err := IssueHost(issuer, "agent-1", RoleAgent, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(files.CertFile, pair.CertPEM, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(files.KeyFile, pair.KeyPEM, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestCallersConfig(t *testing.T) {
	site := newAuthority(t, "site")
	files := writeHost(t, site, "entry-1", RoleEntry, site)
	server, err := CallersConfig(settings.CallersTLS{CertFile: files.CertFile, KeyFile: files.KeyFile})
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := server.GetCertificate(nil)
	if err != nil || certificate.Leaf.Subject.CommonName != "entry-1" {
		t.Errorf("certificate %v, %v", certificate, err)
	}
	if _, err := CallersConfig(settings.CallersTLS{CertFile: files.KeyFile, KeyFile: files.KeyFile}); err == nil {
		t.Error("a key taken as a certificate")
	}
}

func TestExpiryIsLogged(t *testing.T) {
	var log bytes.Buffer
	standard := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(standard)
	source, err := newSource(writeHost(t, newAuthority(t, "site"), "agent-1", RoleAgent, newAuthority(t, "site")))
	if err != nil {
		t.Fatal(err)
	}
	source.checked = time.Time{}
	source.current()
	if got := strings.Count(log.String(), `msg="certificate expires soon" subject=agent-1`); got != 1 {
		t.Errorf("reported %d times, want once a day:\n%s", got, log.String())
	}
}

func TestFiles(t *testing.T) {
	dir := t.TempDir()
	pair := newAuthority(t, "site")
	if err := pair.Write(dir, "ca"); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(KeyPath(dir, "ca"))
	if err != nil {
		t.Fatal(err)
	}
	if info.Mode().Perm() != 0o600 {
		t.Errorf("key file has mode %v", info.Mode())
	}
	if err := pair.Write(dir, "ca"); !errors.Is(err, os.ErrExist) {
		t.Errorf("second write: %v, want a refusal", err)
	}
	if _, err := IssueHost(pair, "h", "root", time.Now(), time.Hour); !errors.Is(err, ErrRole) {
		t.Errorf("unknown role: %v", err)
	}
}

func TestAPIKeys(t *testing.T) {
	key := NewAPIKey()
	if key == NewAPIKey() {
		t.Error("two keys are equal")
	}
	if !EqualHash(HashAPIKey(key), strings.ToUpper(HashAPIKey(key))) || EqualHash(HashAPIKey(key), HashAPIKey(key+"x")) {
		t.Error("hashes compared wrongly")
	}
}
