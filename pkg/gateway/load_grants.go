package gateway

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/packing"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// loadLimits are the limits of the weight store. All engines share it, so the
// minimum of their rates applies.
func (d *decider) loadLimits(current *view) packing.LoadLimits {
	limits := packing.LoadLimits{MaxConcurrent: int(d.maxConcurrentLoads.Load())}
	for _, service := range current.table.Engines() {
		perSecond := service.Engine.LoadsPerSecond
		if perSecond > 0 && (limits.PerSecond == 0 || perSecond < limits.PerSecond) {
			limits.PerSecond = perSecond
		}
	}
	return limits
}

// grantLoads grants loads from the weight store to as many runners as it serves at
// full speed.
func (d *decider) grantLoads(now time.Time, current *view) {
	demand := demandOf(now, current)
	remote := remoteLoadTimes(current)
	var statuses []packing.LoadStatus
	for host, state := range current.agents {
		if !state.isFresh(now) || state.Status == nil {
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
	for _, load := range d.loadScheduler.Next(now, statuses, d.loadLimits(current)) {
		running, maxConcurrent := d.loadScheduler.LastCounts()
		d.logger.Info("load from the weight store granted", "agent", load.Host, "model", load.Model, "running", running, "at_once", maxConcurrent)
		d.grantLoad(load.Host, current.agents[load.Host].InternalAddress, load.Model)
	}
}

// remoteLoadTimes returns the load times from an idle weight store by model.
func remoteLoadTimes(current *view) map[string]time.Duration {
	durations := make(map[string]time.Duration)
	for _, service := range current.table.Engines() {
		for i := range service.Engine.Models {
			durations[service.Engine.Models[i].Name] = service.Engine.Models[i].RemoteLoad
		}
	}
	return durations
}

// demandOf sums the demand that the agents report for each model.
func demandOf(now time.Time, current *view) map[string]packing.Demand {
	demand := make(map[string]packing.Demand)
	for _, state := range current.agents {
		if !state.isFresh(now) || state.Status == nil {
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
