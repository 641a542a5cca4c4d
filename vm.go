package ryeford

import (
	"context"
	"net/netip"
)

// A Role is the role of a VM in the fleet.
type Role string

// The roles of VMs.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// A VMState is the state of a VM as listed by the platform.
type VMState string

// The states of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// A VM is one entry of the platform's list of VMs.
type VM struct {
	ID            VMID           `json:"id"`
	Role          Role           `json:"role"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure_domain"`
	Address       netip.AddrPort `json:"address"`
	State         VMState        `json:"state"`
}

// A VMList is the platform's list of VMs. It lags behind their actual state. Package
// agentfleet/tableservice implements it. Its methods fail with an *UnavailableError.
type VMList interface {
	// VMs returns the listed VMs.
	VMs(ctx context.Context) ([]VM, error)
	// PutVM adds a VM, or replaces its entry.
	PutVM(ctx context.Context, vm VM) error
}
