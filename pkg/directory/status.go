package directory

import (
	"slices"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Difference returns what has changed from one status to another as a partial
// status, or nil if nothing has. Both have their models ordered by name. Without a
// status before, it is the whole one.
func Difference(before, after *wire.RunnerStatus) *wire.RunnerStatus {
	if before == nil {
		return after
	}
	change := *after
	change.Partial = true
	change.Models = nil
	change.Dropped = nil
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
	if len(change.Models) == 0 && len(change.Dropped) == 0 && sameHead(before, after) {
		return nil
	}
	return &change
}

// sameHead tells whether two statuses are the same but for their models.
func sameHead(a, b *wire.RunnerStatus) bool {
	return a.Instance == b.Instance && a.StartedAtMillis == b.StartedAtMillis && a.PlacementRevision == b.PlacementRevision &&
		a.Leaving == b.Leaving && a.Down == b.Down && a.Slots == b.Slots && a.Running == b.Running &&
		a.Waiting == b.Waiting && a.Failing == b.Failing && a.LoadPercent == b.LoadPercent
}

// Merge returns the status that a change makes of the one before it. Neither is
// changed. A whole status takes the place of the one before, and so does a partial
// one if there is none.
func Merge(before, change *wire.RunnerStatus) *wire.RunnerStatus {
	merged := *change
	merged.Partial = false
	merged.Dropped = nil
	if !change.Partial || before == nil {
		return &merged
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

// loadStep is the resolution, in percent, of the load that entries get to know.
const loadStep = 10

func inSteps(percent int) int { return (percent + loadStep/2) / loadStep * loadStep }

// LoadDiffers tells whether the load of a runner has changed by a step.
func LoadDiffers(a, b *wire.RunnerStatus) bool {
	return inSteps(a.LoadPercent) != inSteps(b.LoadPercent)
}

// Summarize returns what an entry that decides no placement needs of a status: the
// models that the runner holds, loads or may load, and its load in steps.
func Summarize(status *wire.RunnerStatus) *wire.RunnerStatus {
	summary := *status
	summary.Running = 0
	summary.Waiting = 0
	summary.LoadPercent = inSteps(status.LoadPercent)
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
