package roster

import (
	"context"
	"encoding/json"
	"fmt"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

// Restore writes a host, and the site's secret, again if the store has lost them. It reports
// whether it has written the host, and its revision, which serves as a fencing token like that
// of Register.
func Restore(ctx context.Context, store keyvalue.Store, secret []byte, host Host) (revision int64, restored bool, err error) {
	key := HostPrefix + host.ID
	known, err := store.Range(ctx, key, false)
	if err != nil {
		return 0, false, fmt.Errorf("roster: read host: %w", err)
	}
	if len(known.Values) > 0 {
		return 0, false, nil
	}
	// The secret was written before all hosts, so it is there if a host is.
	if err := restoreSecret(ctx, store, secret); err != nil {
		return 0, false, err
	}
	value, err := json.Marshal(host)
	if err != nil {
		return 0, false, fmt.Errorf("roster: encode host: %w", err)
	}
	result, err := store.Txn(ctx, nil, []keyvalue.Op{{Key: key, Value: value}})
	if err != nil {
		return 0, false, fmt.Errorf("roster: restore host: %w", err)
	}
	return result.Revision, true, nil
}

// restoreSecret writes the secret unless there is one.
func restoreSecret(ctx context.Context, store keyvalue.Store, secret []byte) error {
	known, err := readSecret(ctx, store)
	if err != nil {
		return fmt.Errorf("roster: read the site's secret: %w", err)
	}
	if known != nil {
		return nil
	}
	const absent = 0
	_, err = store.Txn(ctx, []keyvalue.Compare{{Key: secretKey, ModRevision: absent}}, []keyvalue.Op{{Key: secretKey, Value: secret}})
	if err != nil {
		return fmt.Errorf("roster: restore the site's secret: %w", err)
	}
	return nil
}
