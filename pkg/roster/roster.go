// Package roster keeps the list of teaselgauge's own processes in the platform's
// key-value service, where hosts that keep nothing find each other, and the
// secret that their keys derive from.
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
	// retryPause is the pause after a failed call of the store.
	retryPause = 200 * time.Millisecond
	// makeJitter spreads the tries to make the secret.
	makeJitter = 400 * time.Millisecond
)

// Host is one of teaselgauge's processes.
type Host struct {
	// ID is the host's ID; it is not part of the stored value but of the key.
	ID   string `json:"-"`
	Role string `json:"role"`
	// InternalAddress is the UDP address of the inner protocol.
	InternalAddress string `json:"inner"`
	FailureDomain   string `json:"failure_domain"`
	// Runner is the address of the model runner beside an agent.
	Runner string `json:"runner,omitempty"`
	// CPUShare is an entry's share of a processor core; zero if it isn't known.
	CPUShare float64 `json:"processor,omitempty"`
	// Revision is that of the registration; it is not part of the value.
	Revision int64 `json:"-"`
}

// ErrMalformed tells that a stored host can't be read.
var ErrMalformed = errors.New("roster: malformed host")

// Decode reads a stored host.
func Decode(stored keyvalue.KeyValue) (Host, error) {
	var host Host
	id, ok := strings.CutPrefix(stored.Key, HostPrefix)
	if !ok || id == "" {
		return Host{}, fmt.Errorf("%w: key %q", ErrMalformed, stored.Key)
	}
	if err := json.Unmarshal(stored.Value, &host); err != nil {
		return Host{}, fmt.Errorf("%w: key %q: %w", ErrMalformed, stored.Key, err)
	}
	host.ID = id
	host.Revision = stored.ModRevision
	return host, nil
}

// Register writes a host until it has succeeded or ctx ends. The returned
// revision is higher than that of all earlier registrations, so it serves as a
// fencing token.
func Register(ctx context.Context, store keyvalue.Store, host Host, failed func(error)) (int64, error) {
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
		failed(err)
		backoff.Sleep(ctx, retryPause)
		if ctx.Err() != nil {
			return 0, fmt.Errorf("roster: register: %w", ctx.Err())
		}
	}
}

// Secret returns the site's secret and makes it if there is none. Reads of stale
// may be seconds old, as the secret never changes. It tries until it has succeeded
// or ctx ends.
func Secret(ctx context.Context, stale, store keyvalue.Store, failed func(error)) ([]byte, error) {
	for {
		secret, err := readOrMakeSecret(ctx, stale, store)
		if err == nil {
			return secret, nil
		}
		failed(err)
		backoff.Sleep(ctx, retryPause)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("roster: secret: %w", ctx.Err())
		}
	}
}

func readOrMakeSecret(ctx context.Context, stale, store keyvalue.Store) ([]byte, error) {
	if secret, err := readSecret(ctx, stale); err != nil || secret != nil {
		return secret, err
	}
	// The processes of a new site start together; few of them have to try.
	backoff.Sleep(ctx, rand.N(makeJitter))
	if secret, err := readSecret(ctx, stale); err != nil || secret != nil {
		return secret, err
	}
	return makeSecret(ctx, store)
}

// readSecret returns the secret, or nil if there is none.
func readSecret(ctx context.Context, store keyvalue.Store) ([]byte, error) {
	result, err := store.Range(ctx, secretKey, false)
	if err != nil || len(result.Values) == 0 {
		return nil, err
	}
	return result.Values[0].Value, nil
}

// makeSecret makes the secret, or returns the one that another process has just
// made.
func makeSecret(ctx context.Context, store keyvalue.Store) ([]byte, error) {
	secret, err := keys.NewSecret()
	if err != nil {
		return nil, err
	}
	const absent = 0
	made, err := store.Txn(ctx, []keyvalue.Compare{{Key: secretKey, ModRevision: absent}},
		[]keyvalue.Op{{Key: secretKey, Value: secret}})
	if err != nil {
		return nil, err
	}
	if made.Succeeded {
		return secret, nil
	}
	for _, current := range made.Current {
		if current.Key == secretKey && len(current.Value) > 0 {
			return current.Value, nil
		}
	}
	return nil, errors.New("roster: another process made the secret, which can't be read yet")
}
