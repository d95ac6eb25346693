// Package hostlist reads the platform's host list.
package hostlist

import "context"

// State is the state of a host in the host list.
type State string

// States of a host. A host that is no longer listed is treated as removed.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role is the teaselgauge process that a host runs.
type Role string

// Roles of a host.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Host is one entry of the host list.
type Host struct {
	ID            string `json:"id"`
	Role          Role   `json:"role"`
	State         State  `json:"state"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Address is the UDP address of the process, IP address and port.
	Address string `json:"address"`
	// Services names the services behind an agent; it is empty for a runner.
	Services []string `json:"services,omitempty"`
}

// Listing is one version of the host list. It is immutable.
type Listing struct {
	Hosts []Host
}

// Lister reads the host list, which may be out of date.
type Lister interface {
	// Hosts returns the same Listing as the last call if the list is unchanged.
	Hosts(ctx context.Context) (*Listing, error)
}
