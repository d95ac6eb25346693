package directory

import (
	"slices"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Difference returns the change from one status to another as a partial status, or
// nil if they are equal. Both must have their models ordered by name. If before is
// nil, the change is the complete status.
func Difference(before, after *wire.RunnerStatus) *wire.RunnerStatus {
	if before == nil {
		return after
	}
	change := *after
	change.Partial = true
	change.Models = nil
	change.Dropped = nil
	if before.Quarantine.Equal(after.Quarantine) {
		change.Quarantine = nil
	}
	i := 0
	for _, model := range after.Models {
		for i < len(before.Models) && before.Models[i].Name < model.Name {
			change.Dropped = append(change.Dropped, before.Models[i].Name)
			i++
		}
		if i < len(before.Models) && before.Models[i].Name == model.Name {
			if before.Models[i] != model {
				change.Models = append(change.Models, model)
			}
			i++
			continue
		}
		change.Models = append(change.Models, model)
	}
	for ; i < len(before.Models); i++ {
		change.Dropped = append(change.Dropped, before.Models[i].Name)
	}
	if len(change.Models) == 0 && len(change.Dropped) == 0 && equalExceptModels(before, after) {
		return nil
	}
	return &change
}

// equalExceptModels reports whether two statuses are equal except for their models.
func equalExceptModels(a, b *wire.RunnerStatus) bool {
	return a.Instance == b.Instance && a.StartedAtMillis == b.StartedAtMillis && a.PlacementRevision == b.PlacementRevision &&
		a.Leaving == b.Leaving && a.Down == b.Down && a.Slots == b.Slots && a.Running == b.Running &&
		a.Waiting == b.Waiting && a.Failing == b.Failing && a.LoadPercent == b.LoadPercent &&
		a.Limited == b.Limited && a.LimitPerSecond == b.LimitPerSecond && a.NotRunning == b.NotRunning &&
		a.Quarantine.Equal(b.Quarantine)
}

// Merge applies a change to a status and returns the result, without modifying
// either. A complete status replaces the one before; a partial one does so as well
// if there is none before.
func Merge(before, change *wire.RunnerStatus) *wire.RunnerStatus {
	merged := *change
	merged.Partial = false
	merged.Dropped = nil
	if !change.Partial || before == nil {
		return &merged
	}
	if merged.Quarantine == nil {
		merged.Quarantine = before.Quarantine
	}
	merged.Models = make([]wire.RunnerModel, 0, len(before.Models)+len(change.Models))
	for _, model := range before.Models {
		if !slices.Contains(change.Dropped, model.Name) {
			merged.Models = append(merged.Models, model)
		}
	}
	for _, model := range change.Models {
		at, known := wire.FindModel(merged.Models, model.Name)
		if known {
			merged.Models[at] = model
			continue
		}
		merged.Models = slices.Insert(merged.Models, at, model)
	}
	return &merged
}

// loadStep is the resolution, in percent, of the load that is sent to entries.
const loadStep = 10

func roundLoad(percent int) int { return (percent + loadStep/2) / loadStep * loadStep }

// LoadDiffers reports whether the rounded load of a runner has changed.
func LoadDiffers(a, b *wire.RunnerStatus) bool {
	return roundLoad(a.LoadPercent) != roundLoad(b.LoadPercent)
}

// Summarize returns the part of a status for entries that follow a relay, which
// decide no placement: the models that the runner has loaded, is loading or has a
// permit for, and its rounded load.
func Summarize(status *wire.RunnerStatus) *wire.RunnerStatus {
	summary := *status
	summary.Running = 0
	summary.Waiting = 0
	summary.LoadPercent = roundLoad(status.LoadPercent)
	summary.PlacementRevision = 0
	summary.PrefillNanosPerToken = 0
	summary.Models = make([]wire.RunnerModel, 0, len(status.Models))
	for _, model := range status.Models {
		if model.State == wire.ModelAbsent && model.PermitRank == 0 {
			continue
		}
		summary.Models = append(summary.Models, wire.RunnerModel{
			Name:       model.Name,
			State:      model.State,
			Tier:       model.Tier,
			Wanted:     model.Wanted,
			WaitMillis: model.WaitMillis,
			PermitRank: model.PermitRank,
		})
	}
	return &summary
}
