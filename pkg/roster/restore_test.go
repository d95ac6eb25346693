package roster

import (
	"bytes"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
)

// Guards against a process that nobody finds any more after the store has lost its registration.
func TestLostHostAndSecretAreRestored(t *testing.T) {
	store := keyvaluetest.NewStore(1)
	secret := bytes.Repeat([]byte{7}, 32)
	host := Host{ID: "side-1", Role: keys.RoleAgent, InternalAddress: "10.0.0.1:7000", FailureDomain: "z", Runner: "10.0.0.1:8000"}
	revision, restored, err := Restore(t.Context(), store, secret, host)
	if err != nil || !restored || revision == 0 {
		t.Fatalf("revision %d, restored %t, %v", revision, restored, err)
	}
	if got, err := Secret(t.Context(), store, store, ignore); err != nil || !bytes.Equal(got, secret) {
		t.Errorf("secret %x, %v, want the one that the process has", got, err)
	}
	if _, restored, err := Restore(t.Context(), store, secret, host); err != nil || restored {
		t.Errorf("restored %t, %v, want nothing written while the host is registered", restored, err)
	}
}

// Guards against a secret of another process that is replaced.
func TestSecretOfAnotherProcessIsKept(t *testing.T) {
	store := keyvaluetest.NewStore(1)
	first, err := Secret(t.Context(), store, store, ignore)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Restore(t.Context(), store, bytes.Repeat([]byte{7}, 32), Host{ID: "side-1"}); err != nil {
		t.Fatal(err)
	}
	if got, err := Secret(t.Context(), store, store, ignore); err != nil || !bytes.Equal(got, first) {
		t.Errorf("secret %x, %v, want the one in the store", got, err)
	}
}
