// Package lease elects one holder among processes by a row of the platform's table.
//
// A lease may lapse while its holder is paused, so holding one proves nothing. What a
// holder writes is made conditional on the lease's row, in the same transaction (see
// Held.Renewal): that is what keeps two holders from writing. The clocks of the
// processes decide only how soon another one takes over.
//
// The package owns the rows under lease/.
package lease

import (
	"context"
	"errors"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/row"
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

// New returns a Lease that this process may hold for ttl after each renewal. The life
// distinguishes this process from an earlier one of the same VM.
func New(table ryeford.Table, name string, holder ryeford.VMID, life string, ttl time.Duration) *Lease {
	return &Lease{table: table, key: "lease/" + name, holder: holder, life: life, ttl: ttl}
}

// A Held is a lease as this process took or renewed it last.
type Held struct {
	Epoch int64

	version int64
	lease   *Lease
}

// A HeldError says that another process holds the lease. Holder is empty if that process
// took it at the same time.
type HeldError struct {
	Holder ryeford.VMID
}

func (e *HeldError) Error() string { return "lease held by " + string(e.Holder) }

// Acquire takes or renews the lease. If another process holds it, or took it at the
// same time, the error is a *HeldError. After any other error it is not known who holds
// the lease; the next call finds out.
func (l *Lease) Acquire(ctx context.Context) (*Held, error) {
	var current record
	version, err := row.Get(ctx, l.table, l.key, &current)
	if err != nil {
		return nil, err
	}
	epoch, err := l.next(current, time.Now())
	if err != nil {
		return nil, err
	}
	held := &Held{Epoch: epoch, version: version, lease: l}
	write, err := held.Renewal()
	if err != nil {
		return nil, err
	}
	held.version, err = l.table.Transact(ctx, write)
	if _, ok := errors.AsType[*ryeford.ConflictError](err); ok {
		return nil, &HeldError{} // by whom is read the next time
	}
	if err != nil {
		return nil, err
	}
	return held, nil
}

// next is the rule of the lease: it returns the epoch with which this process takes or
// renews the lease, given the record in the row, or a *HeldError. A lease is taken once it
// has expired, also from an earlier life of the same VM. The epoch grows whenever the
// holder changes.
func (l *Lease) next(current record, now time.Time) (epoch int64, err error) {
	switch {
	case current.Holder == l.holder && current.Life == l.life:
		return current.Epoch, nil
	case now.Before(current.Expires):
		return 0, &HeldError{Holder: current.Holder}
	}
	return current.Epoch + 1, nil
}

// Renewal returns the write that makes a transaction conditional on the lease
// still being as it was when h was acquired, and renews it.
func (h *Held) Renewal() (ryeford.Write, error) {
	l := h.lease
	next := record{Holder: l.holder, Life: l.life, Epoch: h.Epoch, Expires: time.Now().Add(l.ttl)}
	return row.Write(l.key, &next, h.version)
}
