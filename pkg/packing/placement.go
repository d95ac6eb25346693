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
	// Host is the ID of the host whose agent controls the runner.
	Host string `json:"host"`
	// Keep indicates that the replica stays loaded without requests.
	Keep bool `json:"keep,omitempty"`
	// Copy indicates that the runner should load the model once if it has no local
	// copy of the weights. This avoids a load from the weight store after the loss
	// of another runner, when the model is in demand.
	Copy bool `json:"copy,omitempty"`
}

// ModelPlacement lists a model's permits, the preferred ones first.
type ModelPlacement struct {
	Service string   `json:"service"`
	Model   string   `json:"model"`
	Permits []Permit `json:"permits"`
	// Interactive indicates demand by requests that can't wait for a load.
	Interactive bool `json:"interactive,omitempty"`
	// Rate is in such requests per second at the time of the decision. It is
	// ignored by Equal.
	Rate float64 `json:"rate,omitempty"`
}

// kept returns the number of kept replicas.
func (p *ModelPlacement) kept() int {
	count := 0
	for _, permit := range p.Permits {
		if permit.Keep {
			count++
		}
	}
	return count
}

// Placement is the placement of all models.
type Placement struct {
	// Revision is that of the key in the key-value service; it isn't stored in the
	// value.
	Revision int64            `json:"-"`
	Models   []ModelPlacement `json:"models"`
	// PrefillNanosPerToken is the prefill time per prompt token in nanoseconds,
	// as measured by the agents; zero if it hasn't been measured yet. It is
	// stored for agents that start later, and is ignored by Equal.
	PrefillNanosPerToken int64 `json:"token_ns,omitempty"`
}

// ErrMalformed indicates that a stored placement can't be decoded.
var ErrMalformed = errors.New("malformed placement")

// Encode returns the value to be stored.
func (p *Placement) Encode() ([]byte, error) {
	value, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("packing: encode placement: %w", err)
	}
	return value, nil
}

// Decode decodes a stored placement.
func Decode(stored keyvalue.KeyValue) (*Placement, error) {
	placement := &Placement{Revision: stored.ModRevision}
	if err := json.Unmarshal(stored.Value, placement); err != nil {
		return nil, fmt.Errorf("packing: %w: %w", ErrMalformed, err)
	}
	return placement, nil
}

// Equal reports whether two placements contain the same decisions.
func (p *Placement) Equal(other *Placement) bool {
	return slices.EqualFunc(p.Models, other.Models, func(a, b ModelPlacement) bool {
		return a.Service == b.Service && a.Model == b.Model && a.Interactive == b.Interactive &&
			slices.Equal(a.Permits, b.Permits)
	})
}

// Kept returns the number of runners that keep a model.
func (p *Placement) Kept(service, model string) int {
	if placed := p.find(service, model); placed != nil {
		return placed.kept()
	}
	return 0
}

// byModel indexes the placements of a service's models. It may be called on nil.
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

// find returns a model's placement, or nil.
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
