// Package lease elects one holder among processes by a row of the platform's
// table. Holding a lease is only a hint: a holder may be paused while its lease
// lapses. What a holder writes is therefore made conditional on the lease's
// row, in the same transaction (see Held.Renewal).
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
)

// A record is the lease's row.
type record struct {
	Holder  ryeford.VMID `json:"holder"`
	Life    string       `json:"life"` // of the holder's process
	Epoch   int64        `json:"epoch"`
	Expires time.Time    `json:"expires"`
}

// A Lease is one named lease.
type Lease struct {
	table  ryeford.Table
	key    string
	holder ryeford.VMID
	life   string
	ttl    time.Duration
}

// New returns a Lease that this process may hold. The life tells this process
// from an earlier one of the same VM.
func New(table ryeford.Table, name string, holder ryeford.VMID, life string, ttl time.Duration) *Lease {
	return &Lease{table: table, key: "lease/" + name, holder: holder, life: life, ttl: ttl}
}

// A Held is a lease that is held, as of its last renewal.
type Held struct {
	Epoch   int64
	Expires time.Time

	version int64
	lease   *Lease
}

// A HeldError says that another process holds the lease.
type HeldError struct {
	Holder  ryeford.VMID
	Expires time.Time
}

// Error returns the text of e.
func (e *HeldError) Error() string { return "lease held by " + string(e.Holder) }

// Acquire takes or renews the lease. The epoch grows whenever the holder
// changes. A lease that another one holds gives a *HeldError.
func (l *Lease) Acquire(ctx context.Context) (*Held, error) {
	rows, err := l.table.Get(ctx, l.key)
	if err != nil {
		return nil, err
	}
	var current record
	if rows[0].Version != 0 {
		if err := json.Unmarshal(rows[0].Value, &current); err != nil {
			return nil, &RecordError{Err: err}
		}
	}
	mine := current.Holder == l.holder && current.Life == l.life
	if !mine && time.Now().Before(current.Expires) {
		return nil, &HeldError{Holder: current.Holder, Expires: current.Expires}
	}
	next := record{Holder: l.holder, Life: l.life, Epoch: current.Epoch, Expires: time.Now().Add(l.ttl)}
	if !mine {
		next.Epoch++
	}
	return l.write(ctx, next, rows[0].Version)
}

// write writes the lease's row if it has a version.
func (l *Lease) write(ctx context.Context, next record, version int64) (*Held, error) {
	value, err := json.Marshal(&next)
	if err != nil {
		return nil, &RecordError{Err: err}
	}
	written, err := l.table.Transact(ctx, ryeford.Write{Key: l.key, Value: value, IfVersion: version})
	var conflict *ryeford.ConflictError
	switch {
	case errors.As(err, &conflict):
		return nil, &HeldError{}
	case tableservice.MayHaveApplied(err):
		return nil, err // the next call finds out
	case err != nil:
		return nil, err
	}
	return &Held{Epoch: next.Epoch, Expires: next.Expires, version: written, lease: l}, nil
}

// Renewal returns the write that makes a transaction conditional on the lease
// still being as it was when h was acquired, and renews it.
func (h *Held) Renewal() (ryeford.Write, error) {
	next := record{Holder: h.lease.holder, Life: h.lease.life, Epoch: h.Epoch, Expires: time.Now().Add(h.lease.ttl)}
	value, err := json.Marshal(&next)
	if err != nil {
		return ryeford.Write{}, &RecordError{Err: err}
	}
	return ryeford.Write{Key: h.lease.key, Value: value, IfVersion: h.version}, nil
}

// A RecordError says that the lease's row can't be read or written.
type RecordError struct {
	Err error
}

// Error returns the text of e.
func (e *RecordError) Error() string { return "lease record: " + e.Err.Error() }

// Unwrap returns the cause of e.
func (e *RecordError) Unwrap() error { return e.Err }
