// Package roster keeps the list of teaselgauge's own processes and their shared
// secret in the platform's key-value service. Hosts have no storage of their own,
// so this is how their processes find each other; their keys are derived from the
// secret.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

const (
	// Prefix is the prefix of all of teaselgauge's keys.
	Prefix = "teaselgauge/"
	// HostPrefix is the prefix of the keys of the hosts.
	HostPrefix = Prefix + "hosts/"

	secretKey = Prefix + "secret"

	// retryDelay is the delay after a failed call to the store.
	retryDelay = 200 * time.Millisecond
	// createJitter spreads the attempts to create the secret.
	createJitter = 400 * time.Millisecond
)

// Host is one of teaselgauge's processes.
type Host struct {
	// ID is the host's ID. It is part of the key, not of the stored value.
	ID   string `json:"-"`
	Role string `json:"role"`
	// InternalAddress is the UDP address of the internal protocol.
	InternalAddress string `json:"inner"`
	FailureDomain   string `json:"failure_domain"`
	// Runner is the address of an agent's model runner.
	Runner string `json:"runner,omitempty"`
	// CPUShare is an entry's share of a processor core; zero if unknown.
	CPUShare float64 `json:"processor,omitempty"`
	// Revision is the revision of the registration; it is not part of the value.
	Revision int64 `json:"-"`
}

// ErrMalformed means that a stored host can't be decoded.
var ErrMalformed = errors.New("roster: malformed host")

// Decode decodes a stored host.
func Decode(stored keyvalue.KeyValue) (Host, error) {
	var host Host
	id, ok := strings.CutPrefix(stored.Key, HostPrefix)
	if !ok || id == "" {
		return Host{}, fmt.Errorf("%w: key %q is not that of a host", ErrMalformed, stored.Key)
	}
	if err := json.Unmarshal(stored.Value, &host); err != nil {
		return Host{}, fmt.Errorf("%w: key %q: %w", ErrMalformed, stored.Key, err)
	}
	host.ID = id
	host.Revision = stored.ModRevision
	return host, nil
}

// Register writes a host, retrying until it succeeds or ctx ends. The returned
// revision is higher than those of all earlier registrations, so it serves as a
// fencing token.
func Register(ctx context.Context, store keyvalue.Store, host Host, onError func(error)) (int64, error) {
	value, err := json.Marshal(host)
	if err != nil {
		return 0, fmt.Errorf("roster: encode host: %w", err)
	}
	op := keyvalue.Op{Key: HostPrefix + host.ID, Value: value}
	for {
		result, err := store.Txn(ctx, nil, []keyvalue.Op{op})
		if err == nil {
			return result.Revision, nil
		}
		onError(err)
		backoff.Sleep(ctx, retryDelay)
		if ctx.Err() != nil {
			return 0, fmt.Errorf("roster: register host: %w", ctx.Err())
		}
	}
}

// Secret returns the site's secret and creates it if there is none. stale may return
// data that is seconds out of date, as the secret never changes. It retries until it
// succeeds or ctx ends.
func Secret(ctx context.Context, stale, store keyvalue.Store, onError func(error)) ([]byte, error) {
	for {
		secret, err := readOrCreateSecret(ctx, stale, store)
		if err == nil {
			return secret, nil
		}
		onError(err)
		backoff.Sleep(ctx, retryDelay)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("roster: read or create the site's secret: %w", ctx.Err())
		}
	}
}

func readOrCreateSecret(ctx context.Context, stale, store keyvalue.Store) ([]byte, error) {
	if secret, err := readSecret(ctx, stale); err != nil || secret != nil {
		return secret, err
	}
	// All processes of a new site start together. Because of the jitter, most of them
	// find the secret that another one has created.
	backoff.Sleep(ctx, rand.N(createJitter))
	if secret, err := readSecret(ctx, stale); err != nil || secret != nil {
		return secret, err
	}
	return createSecret(ctx, store)
}

// readSecret returns the secret, or nil if there is none.
func readSecret(ctx context.Context, store keyvalue.Store) ([]byte, error) {
	result, err := store.Range(ctx, secretKey, false)
	if err != nil || len(result.Values) == 0 {
		return nil, err
	}
	return result.Values[0].Value, nil
}

// createSecret creates the secret, or returns the one that another process has just
// created.
func createSecret(ctx context.Context, store keyvalue.Store) ([]byte, error) {
	secret, err := keys.NewSecret()
	if err != nil {
		return nil, err
	}
	const absent = 0
	result, err := store.Txn(ctx, []keyvalue.Compare{{Key: secretKey, ModRevision: absent}},
		[]keyvalue.Op{{Key: secretKey, Value: secret}})
	if err != nil {
		return nil, err
	}
	if result.Succeeded {
		return secret, nil
	}
	for _, current := range result.Current {
		if current.Key == secretKey && len(current.Value) > 0 {
			return current.Value, nil
		}
	}
	return nil, errors.New("roster: another process created the secret, which can't be read yet")
}
