package ryeford

import (
	"context"
	"net/netip"
	"time"
)

// A ConfigurationUpdate is an answer of a ConfigurationSource.
type ConfigurationUpdate struct {
	// Configuration is nil where there is none yet.
	Configuration *Configuration
	// Revision is the newest of the source.
	Revision int64
	// Clock is what the source's steady clock showed when it answered.
	Clock time.Duration
}

// A ConfigurationSource is where the operators' accepted configuration lies.
//
// A failure is an *UnavailableError.
type ConfigurationSource interface {
	// Configuration returns the configuration, whole.
	Configuration(ctx context.Context) (ConfigurationUpdate, error)
}

// An EndpointUpdate is an answer of an EndpointSource.
type EndpointUpdate struct {
	// Snapshot says that Present is the whole list, and not what has changed.
	Snapshot bool
	Present  []Endpoint
	Removed  []EndpointID
	Revision int64
}

// An EndpointSource is the list of endpoints. It lags behind the truth.
//
// A failure is an *UnavailableError, or a *HistoryLostError where changes since
// a revision can no longer be told.
type EndpointSource interface {
	// Endpoints returns the list, whole.
	Endpoints(ctx context.Context) (EndpointUpdate, error)
	// EndpointsSince returns as soon as something has changed since a revision,
	// or once wait is over.
	EndpointsSince(ctx context.Context, revision int64, wait time.Duration) (EndpointUpdate, error)
}

// A RouterList is where the routers of a fleet find each other.
type RouterList interface {
	// Register enters a router, or renews its entry, and returns the addresses of
	// the others. They may be stale or down.
	Register(ctx context.Context, vm VMID, address netip.AddrPort) ([]netip.AddrPort, error)
}

// A HistoryLostError says that changes since a revision can no longer be told:
// the whole is to be read again.
type HistoryLostError struct {
	Revision int64
}

// Error returns the text of e.
func (e *HistoryLostError) Error() string { return "history lost: read the whole again" }
