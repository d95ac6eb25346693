package entry

import (
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/state"
)

// controlDump is the control state's section of the state dump.
type controlDump struct {
	ListsRevision     int64            `json:"lists_revision"`
	ListsRejected     *lists.Rejection `json:"lists_rejected,omitempty"`
	PlacementRevision int64            `json:"placement_revision"`
	Placements        any              `json:"placements"`
	Agents            any              `json:"agents"`
	Entries           any              `json:"entries"`
	LoadsRunning      int              `json:"loads_running"`
	LoadsWaiting      int              `json:"loads_waiting"`
}

// connectionsDump is the connections' section of the state dump.
type connectionsDump struct {
	Connections int `json:"connections"`
	InFlight    int `json:"in_flight"`
}

func (e *Entry) registerDump(dump *state.Registry) {
	dump.Register("control", func() any { return e.dumpControl() })
	dump.Register("links", func() any {
		return connectionsDump{Connections: e.node.Connections(), InFlight: e.callers.InFlight()}
	})
}

func (e *Entry) dumpControl() controlDump {
	var dump controlDump
	e.control.loop.Do(func() {
		members := e.control.members.Snapshot()
		dump.ListsRevision = e.control.register.Revision()
		dump.ListsRejected = e.control.register.Rejected()
		dump.Agents = members.Agents()
		dump.Entries = members.Entries()
		dump.LoadsRunning = e.control.coordinator.Running()
		dump.LoadsWaiting = e.control.coordinator.Waiting()
	})
	_, dump.PlacementRevision = e.control.syncState.revisions()
	dump.Placements = e.control.syncState.allPlacements()
	return dump
}
