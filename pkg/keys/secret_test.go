package keys

import (
	"errors"
	"testing"
	"time"
)

func ephemeral(t *testing.T, secret []byte, host, role string) *EphemeralCredentials {
	t.Helper()
	keys, err := NewEphemeralCredentials(secret, host, role, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func secret(t *testing.T) []byte {
	t.Helper()
	made, err := NewSecret()
	if err != nil {
		t.Fatal(err)
	}
	return made
}

func TestProcessesOfOneSiteTrustEachOther(t *testing.T) {
	site := secret(t)
	entry := ephemeral(t, site, "front-1", RoleEntry)
	agent := ephemeral(t, site, "side-1", RoleAgent)
	id, role, serverErr, clientErr := handshake(t, agent.ServerConfig(RoleEntry), entry.ClientConfig(RoleAgent))
	if clientErr != nil || serverErr != nil || id != "front-1" || role != RoleEntry {
		t.Errorf("peer %s as %s, client %v, server %v", id, role, clientErr, serverErr)
	}
}

func TestStrangersAreRefused(t *testing.T) {
	site, other := secret(t), secret(t)
	agent := ephemeral(t, site, "side-1", RoleAgent)
	for name, client := range map[string]*EphemeralCredentials{
		"of another site": ephemeral(t, other, "front-1", RoleEntry),
		"of another role": ephemeral(t, site, "side-2", RoleAgent),
	} {
		_, _, serverErr, _ := handshake(t, agent.ServerConfig(RoleEntry), client.ClientConfig(RoleAgent))
		if serverErr == nil {
			t.Errorf("a peer %s was let in", name)
		}
	}
}

// TestClocksMayDiffer issues certificates on hosts whose clocks are hours apart.
func TestClocksMayDiffer(t *testing.T) {
	site := secret(t)
	early, err := NewEphemeralCredentials(site, "front-1", RoleEntry, time.Now().Add(24*time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	agent := ephemeral(t, site, "side-1", RoleAgent)
	_, _, serverErr, clientErr := handshake(t, agent.ServerConfig(RoleEntry), early.ClientConfig(RoleAgent))
	if clientErr != nil || serverErr != nil {
		t.Errorf("client %v, server %v", clientErr, serverErr)
	}
}

func TestResetKeyOutlivesAProcess(t *testing.T) {
	site := secret(t)
	first, second := ephemeral(t, site, "side-1", RoleAgent), ephemeral(t, site, "side-1", RoleAgent)
	if *first.ResetKey() != *second.ResetKey() {
		t.Error("two incarnations of one host have different keys")
	}
	if *first.ResetKey() == *ephemeral(t, site, "side-2", RoleAgent).ResetKey() {
		t.Error("two hosts share a key")
	}
}

func TestUnusableSecretsAndRoles(t *testing.T) {
	if _, err := NewEphemeralCredentials([]byte("short"), "h", RoleAgent, time.Now()); !errors.Is(err, ErrSecret) {
		t.Errorf("short secret: %v", err)
	}
	if _, err := NewEphemeralCredentials(secret(t), "h", "king", time.Now()); !errors.Is(err, ErrRole) {
		t.Errorf("unknown role: %v", err)
	}
}
