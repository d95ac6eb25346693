package placement

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// KeyPrefix is the prefix of all placements in the key-value service.
const KeyPrefix = "teaselgauge/placements/"

// ErrMalformed indicates that a stored placement can't be decoded.
var ErrMalformed = errors.New("malformed placement")

// ModelVersion identifies a version of a model.
type ModelVersion struct {
	Model   string
	Version string
}

// String returns "model@version".
func (m ModelVersion) String() string {
	return m.Model + "@" + m.Version
}

// ModelVersionOf returns the model version of a placement.
func ModelVersionOf(placement *wire.Placement) ModelVersion {
	return ModelVersion{Model: placement.Model, Version: placement.Version}
}

// Key returns the key of a placement in the key-value service.
func Key(id ModelVersion) string {
	return KeyPrefix + url.PathEscape(id.Model) + "/" + url.PathEscape(id.Version)
}

// Encode returns the stored value of a placement.
func Encode(placement *wire.Placement) ([]byte, error) {
	value, err := json.Marshal(placement)
	if err != nil {
		return nil, fmt.Errorf("encode placement %s: %w", ModelVersionOf(placement), err)
	}
	return value, nil
}

// Decode decodes a stored placement and sets its revision. It returns an error that
// wraps ErrMalformed if the value is invalid or belongs to another key.
func Decode(stored keyvalue.KeyValue) (wire.Placement, error) {
	var placement wire.Placement
	if !strings.HasPrefix(stored.Key, KeyPrefix) {
		return placement, fmt.Errorf("key %q: %w", stored.Key, ErrMalformed)
	}
	if err := json.Unmarshal(stored.Value, &placement); err != nil {
		return placement, fmt.Errorf("key %q: %w: %w", stored.Key, ErrMalformed, err)
	}
	if Key(ModelVersionOf(&placement)) != stored.Key {
		return placement, fmt.Errorf("key %q holds %s: %w", stored.Key, ModelVersionOf(&placement), ErrMalformed)
	}
	placement.Revision = stored.ModRevision
	return placement, nil
}

// Change is a new value of a placement, to be written if the key's revision is
// still ExpectRevision; zero requires that the key is absent.
type Change struct {
	Placement      wire.Placement
	ExpectRevision int64
	// Granted, Revoked and Removed count the permits that the change affects.
	Granted int
	Revoked int
	Removed int
	// MetadataChanges counts changes of the metadata that runners get for a
	// replica.
	MetadataChanges int
}

// Transaction returns the condition and the operation of the change.
func (c *Change) Transaction() (keyvalue.Compare, keyvalue.Op, error) {
	key := Key(ModelVersionOf(&c.Placement))
	value, err := Encode(&c.Placement)
	if err != nil {
		return keyvalue.Compare{}, keyvalue.Op{}, err
	}
	condition := keyvalue.Compare{Key: key, ModRevision: c.ExpectRevision}
	return condition, keyvalue.Op{Key: key, Value: value}, nil
}

// permitOf returns the index of a runner's permit, or -1.
func permitOf(permits []wire.Permit, runner string) int {
	for i := range permits {
		if permits[i].Runner == runner {
			return i
		}
	}
	return -1
}

func compareModels(a, b ModelVersion) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}
