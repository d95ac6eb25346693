package roster

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
)

func ignore(error) {}

func TestRegistrationsGiveGrowingRevisions(t *testing.T) {
	store := keyvaluetest.NewStore(1)
	host := Host{ID: "side-1", Role: keys.RoleAgent, InternalAddress: "10.0.0.1:7000", FailureDomain: "z", Runner: "10.0.0.1:8000"}
	first, err := Register(t.Context(), store, host, ignore)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Register(t.Context(), store, host, ignore)
	if err != nil || second <= first {
		t.Fatalf("revision %d after %d, %v", second, first, err)
	}
	result, err := store.Range(t.Context(), HostPrefix, true)
	if err != nil || len(result.Values) != 1 {
		t.Fatalf("%+v, %v", result, err)
	}
	read, err := Decode(result.Values[0])
	host.Revision = second
	if err != nil || read != host {
		t.Errorf("read %+v, %v, want %+v", read, err, host)
	}
}

func TestRegistrationOutlastsAnOutage(t *testing.T) {
	store := keyvaluetest.NewStore(1)
	store.SetFaults(keyvaluetest.Faults{Down: true})
	failures := 0
	revision, err := Register(t.Context(), store, Host{ID: "front-1"}, func(error) {
		failures++
		store.SetFaults(keyvaluetest.Faults{})
	})
	if err != nil || revision == 0 || failures != 1 {
		t.Errorf("revision %d after %d failures, %v", revision, failures, err)
	}
	store.SetFaults(keyvaluetest.Faults{Down: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := Register(ctx, store, Host{ID: "front-1"}, ignore); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v", err)
	}
}

func TestAllProcessesGetOneSecret(t *testing.T) {
	store := keyvaluetest.NewStore(1)
	store.SetFaults(keyvaluetest.Faults{LoseResponses: 0.5, MaxDelay: time.Millisecond})
	secrets := make(chan []byte, 8)
	for range cap(secrets) {
		go func() {
			secret, err := Secret(t.Context(), store, store, ignore)
			if err != nil {
				t.Error(err)
			}
			secrets <- secret
		}()
	}
	first := <-secrets
	for range cap(secrets) - 1 {
		if other := <-secrets; !bytes.Equal(first, other) || len(other) < keys.SecretBytes {
			t.Error("two processes got different secrets")
		}
	}
}

func TestMalformedHosts(t *testing.T) {
	for _, stored := range []keyvalue.KeyValue{
		{Key: HostPrefix, Value: []byte("{}")},
		{Key: "other/x", Value: []byte("{}")},
		{Key: HostPrefix + "x", Value: []byte("{")},
	} {
		if _, err := Decode(stored); !errors.Is(err, ErrMalformed) {
			t.Errorf("%+v: error %v", stored, err)
		}
	}
}
