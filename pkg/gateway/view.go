package gateway

import (
	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// view is what request traffic reads of the control state. It is immutable.
type view struct {
	// table is nil before the first configuration.
	table *fleet.Table
	// backends holds the usable servers by service.
	backends map[string][]*fleet.Backend
}

func newView(table *fleet.Table, listed []fleet.Backend) *view {
	v := &view{table: table, backends: make(map[string][]*fleet.Backend)}
	for i := range listed {
		backend := &listed[i]
		v.backends[backend.Service] = append(v.backends[backend.Service], backend)
	}
	return v
}
