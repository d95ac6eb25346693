package packing

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

// Permit allows one runner to hold a replica of a model.
type Permit struct {
	// Host is the ID of the host whose agent orders the runner.
	Host string `json:"host"`
	// Keep tells the runner to hold the replica loaded without requests.
	Keep bool `json:"keep,omitempty"`
	// Copy tells the runner to load the model once if it has no copy of the
	// weights, so that the loss of another runner doesn't mean a load from the
	// weight store just when the model is asked for.
	Copy bool `json:"copy,omitempty"`
}

// ModelPlacement is a model with its permits, the preferred ones first.
type ModelPlacement struct {
	Service string   `json:"service"`
	Model   string   `json:"model"`
	Permits []Permit `json:"permits"`
	// Interactive tells that the model is asked for by requests that can't wait
	// for a load.
	Interactive bool `json:"interactive,omitempty"`
	// Rate is in such requests a second, as it was when the placement was decided. It
	// is no part of what is decided.
	Rate float64 `json:"rate,omitempty"`
}

// Placement is the decided placement of all models.
type Placement struct {
	// Revision is the key-value service's; it is not part of the value.
	Revision int64            `json:"-"`
	Models   []ModelPlacement `json:"models"`
	// TokenNanos is how long a runner takes to read a token of a prompt, in
	// nanoseconds, as the agents have learned it; zero if they haven't. It is kept for
	// agents that start anew, and is no part of what is decided.
	TokenNanos int64 `json:"token_ns,omitempty"`
}

// ErrMalformed tells that a stored placement can't be read.
var ErrMalformed = errors.New("malformed placement")

// Encode returns the stored value.
func (p *Placement) Encode() ([]byte, error) {
	value, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("packing: encode placement: %w", err)
	}
	return value, nil
}

// Decode reads a stored placement.
func Decode(stored keyvalue.KeyValue) (*Placement, error) {
	placement := &Placement{Revision: stored.ModRevision}
	if err := json.Unmarshal(stored.Value, placement); err != nil {
		return nil, fmt.Errorf("packing: %w: %w", ErrMalformed, err)
	}
	return placement, nil
}

// Equal tells whether two placements decide the same.
func (p *Placement) Equal(other *Placement) bool {
	return slices.EqualFunc(p.Models, other.Models, func(a, b ModelPlacement) bool {
		return a.Service == b.Service && a.Model == b.Model && a.Interactive == b.Interactive &&
			slices.Equal(a.Permits, b.Permits)
	})
}

// Kept counts the runners that are to keep a model.
func (p *Placement) Kept(service, model string) int {
	if placed := p.find(service, model); placed != nil {
		return placed.kept()
	}
	return 0
}

// byModel indexes the entries of a service's models. It may be called on nil.
func (p *Placement) byModel(service string) map[string]*ModelPlacement {
	if p == nil {
		return nil
	}
	indexed := make(map[string]*ModelPlacement, len(p.Models))
	for i := range p.Models {
		if p.Models[i].Service == service {
			indexed[p.Models[i].Model] = &p.Models[i]
		}
	}
	return indexed
}

// find returns a model's entry, or nil.
func (p *Placement) find(service, model string) *ModelPlacement {
	if p == nil {
		return nil
	}
	for i := range p.Models {
		if p.Models[i].Service == service && p.Models[i].Model == model {
			return &p.Models[i]
		}
	}
	return nil
}
