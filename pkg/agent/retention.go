package agent

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/placement"
)

// fixedKeepAlive is how long an idle model stays loaded.
const fixedKeepAlive = 5 * time.Minute

// retention decides how long idle models stay loaded and which go first.
type retention struct{}

func newRetention() *retention { return &retention{} }

func (r *retention) arrived(time.Time, placement.ModelVersion) {}

func (r *retention) keepUntil(_ time.Time, m *model, _ time.Duration, _ float64) time.Time {
	return m.lastUsed.Add(fixedKeepAlive)
}

// victims returns the idle models to unload so that needed MiB become free.
func (r *retention) victims(_ time.Time, idle []*model, needed int64, held func(*model) int64) []*model {
	slices.SortFunc(idle, func(a, b *model) int {
		return cmp.Or(a.lastUsed.Compare(b.lastUsed), cmp.Compare(a.id.String(), b.id.String()))
	})
	var chosen []*model
	for _, m := range idle {
		if needed <= 0 {
			break
		}
		chosen = append(chosen, m)
		needed -= held(m)
	}
	return chosen
}
