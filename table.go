package ryeford

import (
	"context"
	"errors"
)

// A Row is one row of the platform's table. Version is zero if the row does not exist. A row
// that is deleted and written again gets a version that it never had before.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
}

// AnyVersion as a Write's IfVersion makes the write unconditional.
const AnyVersion int64 = -1

// A Write writes or deletes one row if its version is IfVersion. Zero requires that the row
// does not exist.
type Write struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	IfVersion int64  `json:"if_version"`
	Delete    bool   `json:"delete,omitempty"`
}

// A Table is the platform's transactional table service. Package agentfleet/tableservice
// implements it as a client, and package internal/memtable in memory.
//
// Its methods fail with a *ConflictError, after which nothing was written, or an
// *UnavailableError, which reports whether the write may have taken effect.
type Table interface {
	// Get returns a consistent snapshot of the rows with the keys, in the order of the arguments.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List returns the rows whose keys begin with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Transact applies all writes or none. It returns the new version of the rows.
	Transact(ctx context.Context, writes ...Write) (int64, error)
}

// NeedsReadBack reports whether the rows of a write that failed with err must be read to find
// out their current values: the write was preceded by another one, or it may have taken effect.
// After any other error nothing was written.
func NeedsReadBack(err error) bool {
	var conflict *ConflictError
	var unavailable *UnavailableError
	return errors.As(err, &conflict) || errors.As(err, &unavailable) && unavailable.MayHaveApplied
}

// An ObjectStore is the platform's object store. Package agentfleet/tableservice implements it.
// Its methods fail with an *UnavailableError.
type ObjectStore interface {
	// GetObject returns an object's content, or a *NotFoundError.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject creates or replaces an object.
	PutObject(ctx context.Context, name string, content []byte) error
}
