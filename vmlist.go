package ryeford

import "context"

// A VMList is the platform's list of VMs. It lags behind the truth. A failure is an
// *UnavailableError.
type VMList interface {
	// VMs returns the VMs that the platform knows.
	VMs(ctx context.Context) ([]VM, error)
	// PutVM adds a VM, or changes its entry.
	PutVM(ctx context.Context, vm VM) error
}
