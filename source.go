package ryeford

import (
	"context"
	"net/netip"
	"time"
)

// A ConfigurationState identifies one configuration of a source. The configuration is unchanged
// as long as its ConfigurationState is. Zero means no configuration.
type ConfigurationState Revision

// A KnownConfiguration is the configuration that the caller of a ConfigurationSource already
// has. The zero value means that the caller has none.
type KnownConfiguration struct {
	State ConfigurationState
	Size  int // at the source, in bytes
	// Evacuations are the newest known ones, and FailureDomains all domains that have or had endpoints.
	// With these, a source may return the evacuations of these domains only.
	Evacuations    Evacuations
	FailureDomains []string
	// OnChange, if it is not nil, is called as soon as the response shows that the source has a
	// different configuration, if that is before the response has been received completely.
	OnChange func()
}

// NotifyChange calls OnChange, if it is set.
func (k *KnownConfiguration) NotifyChange() {
	if k.OnChange != nil {
		k.OnChange()
	}
}

// A ConfigurationUpdate is the result of reading a ConfigurationSource.
type ConfigurationUpdate struct {
	// Configuration is nil if the source has none yet, or if Unchanged is set.
	Configuration *Configuration
	// Unchanged means that the source still has the configuration that the caller has.
	Unchanged bool
	// State identifies Configuration. Size is its size at the source in bytes.
	State ConfigurationState
	Size  int
	// Ignored lists invalid values of Configuration. They are treated as missing.
	Ignored []IgnoredValue
	// Revision is the newest revision of the source. It also increases with changes to other
	// data than the configuration.
	Revision Revision
	// Evacuations are the evacuations in force. They are set even if the configuration is
	// Unchanged.
	Evacuations Evacuations
	// Clock is a reading of the source's monotonic clock, taken when the source answered. Its
	// origin is arbitrary. ResponseStarted is when the response started to arrive, which is no
	// earlier.
	Clock           time.Duration
	ResponseStarted time.Time
}

// An IgnoredValue is a value that is out of range, with the key under which it was written.
type IgnoredValue struct {
	Key, Value string
}

// A ConfigurationSource is the store of the operators' accepted configuration. Package platform
// implements it.
//
// A method fails with an *UnavailableError, or with another error if the configuration can't be
// decoded.
type ConfigurationSource interface {
	// Configuration returns the complete configuration. It calls known.OnChange before the
	// transfer is complete only if the new configuration is larger than the known one.
	Configuration(ctx context.Context, known KnownConfiguration) (ConfigurationUpdate, error)
	// ConfigurationIfChanged returns the configuration, or Unchanged if its state is still
	// known.State, which must not be zero. It calls known.OnChange before the transfer. It may
	// fail where Configuration succeeds.
	ConfigurationIfChanged(ctx context.Context, known KnownConfiguration) (ConfigurationUpdate, error)
}

// An EndpointUpdate is the result of reading an EndpointSource.
type EndpointUpdate struct {
	// Snapshot means that Present is the complete list. Otherwise Present holds the new and
	// changed endpoints, and Removed the names of the removed ones.
	Snapshot bool
	Present  []Endpoint
	Removed  []EndpointID
	// Malformed lists entries that can't be used. An endpoint that was listed under the name of
	// such an entry counts as removed.
	Malformed []MalformedEntry
	// Revision is the newest revision of the source, and the argument for the next call of
	// EndpointsSince.
	Revision Revision
	// NewestChange is the revision of the newest change to Present and Removed, or zero if the
	// source doesn't report it.
	NewestChange Revision
	// Clock is a reading of the source's monotonic clock, taken when the source answered.
	// ResponseStarted is when the response started to arrive, which is no earlier.
	Clock           time.Duration
	ResponseStarted time.Time
}

// A MalformedEntry is an entry of the list of endpoints that can't be decoded or used.
type MalformedEntry struct {
	Name EndpointID // without a start time
	Err  error
}

// An EndpointSource is the list of endpoints. It lags behind the actual state of the endpoints.
// Package platform implements it.
//
// Its methods fail with an *UnavailableError.
type EndpointSource interface {
	// Endpoints returns the complete list.
	Endpoints(ctx context.Context) (EndpointUpdate, error)
	// EndpointsSince returns the changes since a revision. It waits up to wait for the first
	// one. The error is a *HistoryLostError if the source no longer has the changes since the
	// revision, or if it is in another era.
	EndpointsSince(ctx context.Context, revision Revision, wait time.Duration) (EndpointUpdate, error)
}

// A Downtime is a past period in which a source did not answer.
type Downtime struct {
	// Began is the earliest time at which the source may have stopped answering.
	Began time.Time
	// LastFailed is when the last failed read was sent. The source was available again after
	// that.
	LastFailed time.Time
	// Ended is when a read succeeded again.
	Ended time.Time
}

// Duration returns the maximum duration of the downtime.
func (d *Downtime) Duration() time.Duration { return d.Ended.Sub(d.Began) }

// A RouterList is the list by which the routers of a fleet discover each other. Package platform
// implements it.
type RouterList interface {
	// Register adds a router, or renews its entry, and returns the addresses of the other
	// routers, which may be stale or down. If at least minOthers other routers are listed, it may
	// skip writing the entry, as those routers announce this one to their peers. If only the write
	// of the entry fails, Register returns both the addresses and an error.
	Register(ctx context.Context, vm VMID, address netip.AddrPort, minOthers int) ([]netip.AddrPort, error)
}

// A HistoryLostError reports that a source doesn't have the changes since a revision. The
// complete list must be read again.
type HistoryLostError struct{}

func (e *HistoryLostError) Error() string { return "history lost: read the complete list again" }

// A HeldRequest is the stored record of a poison request that is quarantined: identical requests
// crashed the endpoints that ran them, so it is sent to no endpoint.
type HeldRequest struct {
	Fingerprint [16]byte // quarantine.Fingerprint
	Account     uint32   // a hash of the client account's ID
	// HeldFor is the time since the quarantine began.
	HeldFor time.Duration
	// Trials is the number of trials since then. SinceLastTrial is the time since the last one
	// began.
	Trials         int
	SinceLastTrial time.Duration
}

// A QuarantineStore keeps the held requests on the platform, for routers that start while no other
// router is running. Package platform implements it. Its methods fail with an *UnavailableError.
type QuarantineStore interface {
	// HeldRequests returns all held requests.
	HeldRequests(ctx context.Context) ([]HeldRequest, error)
	// HoldRequest stores a held request, unless the stored record has as many trials or more.
	HoldRequest(ctx context.Context, request HeldRequest) error
	// ReleaseRequest removes a held request, if it is stored.
	ReleaseRequest(ctx context.Context, fingerprint [16]byte) error
}
