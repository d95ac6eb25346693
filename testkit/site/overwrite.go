package site

import (
	"context"
	"fmt"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

// Overwrite replaces a value in the key-value service regardless of its revision,
// bypassing the administration API. The key is relative to the site's prefix.
func (s *Site) Overwrite(ctx context.Context, key string, value []byte) error {
	client, err := keyvalue.NewEtcd(s.keyValueSettings())
	if err != nil {
		return fmt.Errorf("site: %w", err)
	}
	store := keyvalue.WithPrefix(client, s.keyValueSettings().Prefix)
	if _, err := store.Txn(ctx, nil, []keyvalue.Op{{Key: key, Value: value}}); err != nil {
		return fmt.Errorf("site: overwrite %s: %w", key, err)
	}
	return nil
}
