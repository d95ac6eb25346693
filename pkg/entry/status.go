package entry

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/adminapi"
	"teaselgauge.example/teaselgauge/pkg/callers"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// statusSource reports the site's status as this entry sees it. It implements
// adminapi.StatusSource.
type statusSource struct {
	self    string
	control *controlState
	callers *callers.Handler
}

// Status implements adminapi.StatusSource.
func (s *statusSource) Status() adminapi.Status {
	current := s.control.current()
	var rejected *lists.Rejection
	s.control.loop.Do(func() { rejected = s.control.register.Rejected() })
	status := adminapi.Status{Host: s.self, ListsRejected: rejected}
	now := time.Now()
	for _, agent := range current.members.Agents() {
		status.Runners = append(status.Runners, runnerStatus(now, agent))
	}
	for _, usage := range s.callers.PlanUsages() {
		status.Plans = append(status.Plans, adminapi.PlanStatus(usage))
	}
	if current.index == nil {
		return status
	}
	status.ListsRevision = current.index.Revision()
	placements := s.control.syncState.allPlacements()
	for _, model := range current.index.Models() {
		status.Models = append(status.Models, modelStatus(current.members, placements, model))
	}
	return status
}

func runnerStatus(now time.Time, agent *membership.Agent) adminapi.RunnerStatus {
	return adminapi.RunnerStatus{
		Host:          agent.ID,
		FailureDomain: agent.FailureDomain,
		Leaving:       agent.Leaving(),
		Reachable:     agent.HasStatus && !agent.Unreachable(now),
		Running:       agent.Status.Running,
		Queued:        agent.Status.Queued,
		MemoryMiB:     agent.Status.MemoryMiB,
		FreeMemoryMiB: agent.Status.FreeMemoryMiB,
		Services:      agent.Services(),
	}
}

func modelStatus(members *membership.Snapshot, placements []wire.Placement, model lists.Model) adminapi.ModelStatus {
	status := adminapi.ModelStatus{Model: model.Name, Version: model.Version}
	for _, known := range placements {
		if known.Model == model.Name && known.Version == model.Version {
			status.Permitted = len(known.Permits)
		}
	}
	for _, agent := range members.Agents() {
		reported, ok := agent.Model(model.Name, model.Version)
		if !ok {
			continue
		}
		status.Queued += reported.Queued
		switch reported.State {
		case wire.ModelLoading:
			status.Loading++
		case wire.ModelLoaded:
			status.Loaded++
		}
	}
	return status
}
