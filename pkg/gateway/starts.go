package gateway

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/packing"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// startLimits are the limits of the weight store. All engines load from the same
// one, so the least of their rates counts.
func (d *decider) startLimits(current *view) packing.LoadLimits {
	limits := packing.LoadLimits{MaxConcurrent: int(d.loadsAtOnce.Load())}
	for _, service := range current.table.Engines() {
		perSecond := service.Engine.LoadsPerSecond
		if perSecond > 0 && (limits.PerSecond == 0 || perSecond < limits.PerSecond) {
			limits.PerSecond = perSecond
		}
	}
	return limits
}

// startLoads gives leave to load from the weight store, to as many runners as it
// serves at full speed.
func (d *decider) startLoads(now time.Time, current *view) {
	demand := demandOf(now, current)
	remote := remoteLoads(current)
	var statuses []packing.LoadStatus
	for host, state := range current.agents {
		if !state.hears(now) || state.Status == nil {
			continue
		}
		for _, model := range state.Status.Models {
			if !model.FromStore && !model.AwaitsLoadGrant {
				continue
			}
			statuses = append(statuses, packing.LoadStatus{
				Load:     packing.Load{Host: host, Model: model.Name},
				Running:  model.FromStore,
				Expected: remote[model.Name],
				Demand:   demand[model.Name],
				Waiting:  model.Waiting,
			})
		}
	}
	for _, load := range d.starts.Next(now, statuses, d.startLimits(current)) {
		running, atOnce := d.starts.LastCounts()
		d.logger.Info("load from the weight store granted", "agent", load.Host, "model", load.Model, "running", running, "at_once", atOnce)
		d.startLoad(load.Host, current.agents[load.Host].Inner, load.Model)
	}
}

// remoteLoads are the durations of loads from the weight store while it isn't busy.
func remoteLoads(current *view) map[string]time.Duration {
	durations := make(map[string]time.Duration)
	for _, service := range current.table.Engines() {
		for i := range service.Engine.Models {
			durations[service.Engine.Models[i].Name] = service.Engine.Models[i].RemoteLoad
		}
	}
	return durations
}

// demandOf adds up what the agents say of each model.
func demandOf(now time.Time, current *view) map[string]packing.Demand {
	demand := make(map[string]packing.Demand)
	for _, state := range current.agents {
		if !state.hears(now) || state.Status == nil {
			continue
		}
		for _, model := range state.Status.Models {
			d := demand[model.Name]
			d.Interactive += model.Interactive
			d.Batch += model.Batch
			if model.State == wire.ModelLoaded {
				d.Loaded++
			}
			demand[model.Name] = d
		}
	}
	return demand
}
