package ryeford

import (
	"context"
	"net/netip"
	"time"
)

// A ConfigurationState tells the configurations of a source apart: while it is the same,
// the configuration is. Zero stands for no configuration.
type ConfigurationState Revision

// A KnownConfiguration is what the caller of a ConfigurationSource knows of the
// configuration. Its zero value is that of a caller which knows none.
type KnownConfiguration struct {
	State ConfigurationState
	Size  int // at the source, in bytes
	// OnChange, unless it is nil, is called once the answer shows that the source has
	// another configuration, if it does so before it has come whole.
	OnChange func()
}

// Changed calls OnChange.
func (k *KnownConfiguration) Changed() {
	if k.OnChange != nil {
		k.OnChange()
	}
}

// A ConfigurationUpdate is what a ConfigurationSource returns.
type ConfigurationUpdate struct {
	// Configuration is nil if there is none yet, and if it is Unchanged.
	Configuration *Configuration
	// Unchanged says that the source still holds the state that the caller named.
	Unchanged bool
	// State is that of Configuration, and Size its size at the source in bytes.
	State ConfigurationState
	Size  int
	// Ignored are values of Configuration that can't be used: it is as if they were missing.
	Ignored []IgnoredValue
	// Revision is the newest of the source. It rises with every change there, also of
	// other things than the configuration.
	Revision Revision
	// Evacuations are those in force, whether or not the configuration is Unchanged.
	Evacuations Evacuations
	// Clock is the source's monotonic clock when it answered, which was no later than
	// Begun, when its answer began to come. Its zero means nothing.
	Clock time.Duration
	Begun time.Time
}

// An IgnoredValue is a value that is out of bounds, with the key under which it was written.
type IgnoredValue struct {
	Key, Value string
}

// A ConfigurationSource is where the operators' accepted configuration is kept.
//
// A failure is an *UnavailableError, or the error of a configuration that cannot be
// read.
type ConfigurationSource interface {
	// Configuration returns the configuration, whole. That it is another one than the
	// known one shows early only if it is larger.
	Configuration(ctx context.Context, known KnownConfiguration) (ConfigurationUpdate, error)
	// ConfigurationIfChanged returns the configuration, unless its state is still the
	// known one, which is not zero. It may fail where Configuration does not. That it is
	// another one shows before its transfer.
	ConfigurationIfChanged(ctx context.Context, known KnownConfiguration) (ConfigurationUpdate, error)
}

// An EndpointUpdate is what an EndpointSource returns.
type EndpointUpdate struct {
	// Snapshot says that Present is the whole list. Otherwise Present holds the
	// endpoints that are new or have changed, and Removed the names of those that have left.
	Snapshot bool
	Present  []Endpoint
	Removed  []EndpointID
	// Malformed are entries that name no endpoint to use; what they named before has left.
	Malformed []MalformedEntry
	// Revision is the newest of the source, and what the next call asks from.
	Revision Revision
	// Changed is the revision of the newest change of what Present and Removed name, or zero
	// if the source does not tell.
	Changed Revision
	// Clock is the source's monotonic clock when it answered, which was no later than
	// Begun, when its answer began to come.
	Clock time.Duration
	Begun time.Time
}

// A MalformedEntry is an entry of the list of endpoints that can't be read or used.
type MalformedEntry struct {
	Name EndpointID // without the moment of a start
	Err  error
}

// An EndpointSource is the list of endpoints. It lags behind the truth.
//
// A failure is an *UnavailableError.
type EndpointSource interface {
	// Endpoints returns the whole list.
	Endpoints(ctx context.Context) (EndpointUpdate, error)
	// EndpointsSince returns as soon as something has changed since a revision, or,
	// without a change, once wait is over. If the source no longer keeps the changes
	// since then, or is in another era, the error is a *HistoryLostError.
	EndpointsSince(ctx context.Context, revision Revision, wait time.Duration) (EndpointUpdate, error)
}

// A Downtime is a time in which a source did not answer, and which is over.
type Downtime struct {
	// Began is the earliest time at which the source may have stopped to answer.
	Began time.Time
	// LastFailed is when the last read that failed was sent: the source was back after
	// that.
	LastFailed time.Time
	// Ended is when a read was answered again.
	Ended time.Time
}

// Length returns how long the source may have been away.
func (d *Downtime) Length() time.Duration { return d.Ended.Sub(d.Began) }

// A RouterList is where the routers of a fleet find each other.
type RouterList interface {
	// Register enters a router, or renews its entry, and returns the addresses of
	// the others. Those may be stale or down. If at least enough others are entered, it may
	// leave out the entry: they tell of the router. If the list could be read and only the
	// entry not be written, it returns both the addresses and an error.
	Register(ctx context.Context, vm VMID, address netip.AddrPort, enough int) ([]netip.AddrPort, error)
}

// A HistoryLostError says that a source doesn't have the changes since a revision: the whole is to
// be read again.
type HistoryLostError struct{}

func (e *HistoryLostError) Error() string { return "history lost: read the whole again" }

// A HeldRequest is what the platform keeps of requests that are sent to no endpoint, since those
// that were the same have ended what ran them.
type HeldRequest struct {
	Fingerprint [16]byte // quarantine.Fingerprint
	Account     uint32   // a hash of the client account's ID
	// Held is for how long they have been held.
	Held time.Duration
	// Trials counts the trials since then, and Tried is how long ago the last one began.
	Trials int
	Tried  time.Duration
}

// A QuarantineStore is where the platform keeps the held requests, for routers that start when no
// other one runs. Failures are *UnavailableErrors.
type QuarantineStore interface {
	// HeldRequests returns all held requests.
	HeldRequests(ctx context.Context) ([]HeldRequest, error)
	// HoldRequest keeps a held request, unless one of as many trials is kept.
	HoldRequest(ctx context.Context, request HeldRequest) error
	// ReleaseRequest removes a held request, if it is kept.
	ReleaseRequest(ctx context.Context, fingerprint [16]byte) error
}
