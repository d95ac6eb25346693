// Package hostlist reads the platform's list of hosts.
package hostlist

import "context"

// State is the state of a host in the platform's list.
type State string

// The host states. A host that was listed and no longer is, is gone.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role tells which of our processes a host runs.
type Role string

// The host roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Host is one row of the platform's list.
type Host struct {
	ID            string `json:"id"`
	Role          Role   `json:"role"`
	State         State  `json:"state"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Address is the UDP address of our process, IP and port.
	Address string `json:"address"`
	// Services names the plain services behind an agent; empty for a runner.
	Services []string `json:"services,omitempty"`
}

// Listing is one reading of the platform's list of hosts. It is immutable.
type Listing struct {
	Hosts []Host
}

// Lister reads the platform's list of hosts, which may lag.
type Lister interface {
	// Hosts returns the same Listing as before while the list is unchanged.
	Hosts(ctx context.Context) (*Listing, error)
}
