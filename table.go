package ryeford

import (
	"context"
	"errors"
)

// A Row is one row of the platform's table. Version is zero if the row is absent. A
// row that is removed and written again never has an old version.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
}

// AnyVersion as a Write's IfVersion makes the write unconditional.
const AnyVersion int64 = -1

// A Write changes one row if its version is still IfVersion. Zero asks that the
// row be absent.
type Write struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	IfVersion int64  `json:"if_version"`
	Delete    bool   `json:"delete,omitempty"`
}

// A Table is the platform's transactional table service.
//
// A failure is a *ConflictError (nothing was written), or an
// *UnavailableError, which says whether the write may have taken effect.
type Table interface {
	// Get returns the rows of the keys, in their order, as of one moment.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List returns the rows whose key has the prefix, in the order of keys.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Transact makes all writes or none. It returns the new version of the rows.
	Transact(ctx context.Context, writes ...Write) (int64, error)
}

// NeedsReadBack reports whether the rows of a write that failed with err must be read
// to learn what they hold now: another write came first, or it is not known whether
// this one took effect. After any other error nothing was written.
func NeedsReadBack(err error) bool {
	var conflict *ConflictError
	var unavailable *UnavailableError
	return errors.As(err, &conflict) || errors.As(err, &unavailable) && unavailable.MayHaveApplied
}

// An ObjectStore is the platform's object store. A failure is an *UnavailableError.
type ObjectStore interface {
	// GetObject returns an object's content, or a *NotFoundError.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject writes an object whole.
	PutObject(ctx context.Context, name string, content []byte) error
}
