// Package lease elects one holder among several processes, with a row of the
// platform's table.
//
// A lease may expire while its holder is suspended, so a holder must not rely on the
// lease alone. Each write of a holder is conditional on the lease's row, in the same
// transaction (Grant.Renewal): this prevents two holders from writing. The clocks of
// the processes only determine how soon another process takes over.
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

// A record is the content of a lease's row.
type record struct {
	Holder      ryeford.VMID `json:"holder"`
	Incarnation string       `json:"life"` // of the holder's process
	Epoch       int64        `json:"epoch"`
	Expires     time.Time    `json:"expires"`
}

// A Lease is one named lease.
type Lease struct {
	table       ryeford.Table
	key         string
	holder      ryeford.VMID
	incarnation string
	ttl         time.Duration
}

// New returns a Lease that expires ttl after each renewal. The incarnation
// distinguishes this process from earlier ones of the same VM.
func New(table ryeford.Table, name string, holder ryeford.VMID, incarnation string, ttl time.Duration) *Lease {
	return &Lease{table: table, key: "lease/" + name, holder: holder, incarnation: incarnation, ttl: ttl}
}

// A Grant is the state of a lease after this process acquired or renewed it.
type Grant struct {
	Epoch int64

	version int64
	lease   *Lease
}

// A HeldError reports that another process holds the lease. Holder is empty if that
// process acquired it concurrently.
type HeldError struct {
	Holder ryeford.VMID
}

func (e *HeldError) Error() string { return "lease held by " + string(e.Holder) }

// Acquire acquires or renews the lease. The error is a *HeldError if another process
// holds the lease or acquired it concurrently. After any other error the holder is
// unknown until the next call.
func (l *Lease) Acquire(ctx context.Context) (*Grant, error) {
	var current record
	version, err := row.Get(ctx, l.table, l.key, &current)
	if err != nil {
		return nil, err
	}
	epoch, err := l.nextEpoch(current, time.Now())
	if err != nil {
		return nil, err
	}
	grant := &Grant{Epoch: epoch, version: version, lease: l}
	write, err := grant.Renewal()
	if err != nil {
		return nil, err
	}
	grant.version, err = l.table.Transact(ctx, write)
	if _, ok := errors.AsType[*ryeford.ConflictError](err); ok {
		return nil, &HeldError{} // the next call reads the holder
	}
	if err != nil {
		return nil, err
	}
	return grant, nil
}

// nextEpoch returns the epoch with which this process acquires or renews the lease,
// given the row's record, or a *HeldError. A lease can be acquired once it has
// expired; this includes a lease of an earlier incarnation on the same VM. The epoch
// increases with each change of the holder.
func (l *Lease) nextEpoch(current record, now time.Time) (epoch int64, err error) {
	switch {
	case current.Holder == l.holder && current.Incarnation == l.incarnation:
		return current.Epoch, nil
	case now.Before(current.Expires):
		return 0, &HeldError{Holder: current.Holder}
	}
	return current.Epoch + 1, nil
}

// Renewal returns a write that renews the lease. A transaction with this write fails
// with a conflict if the lease's row has changed since g was acquired.
func (g *Grant) Renewal() (ryeford.Write, error) {
	l := g.lease
	next := record{Holder: l.holder, Incarnation: l.incarnation, Epoch: g.Epoch, Expires: time.Now().Add(l.ttl)}
	return row.NewWrite(l.key, &next, g.version)
}
