// Package claim keeps, in the platform's table, which attempt a caller's
// idempotency key belongs to. Of any number of routers that are given the same
// key, one gets to run it.
//
// It owns the rows under claim/, which are never removed but by Release. It relies on
// the table's conditional writes; writes that are made at about the same time go in one
// transaction (see batcher).
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/row"
)

const prefix = "claim/" // of the rows' keys

// maxWrites is how often a claim is written until it is known who holds the key: a
// second write is needed only if a lost one did not take effect, or the row
// was removed in between.
const maxWrites = 4

// A Key names a caller's idempotency key within its client account.
type Key struct {
	Account ryeford.AccountID
	Key     string
}

// String returns the key's row.
func (k Key) String() string { return prefix + string(k.Account) + "/" + k.Key }

// A Candidate is an engine that an attempt may be dispatched to.
type Candidate struct {
	Engine      ryeford.EngineID    `json:"engine"`
	VM          ryeford.VMID        `json:"vm"`
	Incarnation ryeford.Incarnation `json:"incarnation"`
}

// An Attempt is what an agent admits at most once. One with a claim may be dispatched to
// several agents, one after the other.
type Attempt struct {
	ID          ryeford.AttemptID `json:"attempt"`
	Expires     time.Time         `json:"expires"` // until when it may be admitted
	RetainUntil time.Time         `json:"forget"`  // until when the agent that admitted it remembers it
}

// A Record says which attempt a key belongs to.
type Record struct {
	Attempt
	Request ryeford.RequestID `json:"request"`
	Digest  string            `json:"digest"` // of the request's content, see Digest
	// Candidates are the only engines that the attempt is dispatched to.
	Candidates []Candidate `json:"candidates"`
}

// A Claim is a key's record as the table holds it.
type Claim struct {
	Key    Key
	Record Record
	// Acquired is true if the record is the one that was asked for.
	Acquired bool

	version int64
}

// Store claims keys.
type Store struct {
	table   ryeford.Table
	batcher *batcher
}

// New returns Claims in a table.
func New(table ryeford.Table) *Store {
	return &Store{table: table, batcher: &batcher{table: table, queue: make(chan *pendingWrite, batchQueueSize)}}
}

// Run writes claims in batches until ctx ends.
func (s *Store) Run(ctx context.Context) error { return s.batcher.run(ctx) }

// Claim claims a key for a record. If the key is claimed already, it returns the record
// that holds it. After an error, an *Error, the key may be claimed for the record, which
// must not be dispatched.
func (s *Store) Claim(ctx context.Context, key Key, record Record) (*Claim, error) {
	return s.write(ctx, key, record, 0)
}

// Replace claims a key anew, in place of a claim whose attempt did not run.
func (s *Store) Replace(ctx context.Context, old *Claim, record Record) (*Claim, error) {
	return s.write(ctx, old.Key, record, old.version)
}

// Release gives up a claim of ours whose attempt did not run. It only spares the
// caller's next request with the key to find that out.
func (s *Store) Release(ctx context.Context, held *Claim) error {
	_, err := s.batcher.write(ctx, ryeford.Write{Key: held.Key.String(), IfVersion: held.version, Delete: true})
	return err
}

// write writes a record if the row still has a version, zero for no row. If the answer
// is lost, or another write came first, it reads the row back.
func (s *Store) write(ctx context.Context, key Key, record Record, version int64) (*Claim, error) {
	w, err := row.Write(key.String(), &record, version)
	if err != nil {
		return nil, &Error{Key: key, Err: err}
	}
	for range maxWrites {
		written, err := s.batcher.write(ctx, w)
		if err == nil {
			return &Claim{Key: key, Record: record, Acquired: true, version: written}, nil
		}
		if !ryeford.NeedsReadBack(err) {
			return nil, &Error{Key: key, Err: err}
		}
		held := &Claim{Key: key}
		held.version, err = row.Get(ctx, s.table, key.String(), &held.Record)
		if err != nil {
			return nil, &Error{Key: key, Err: err}
		}
		if ownerKnown(held.version, version) {
			held.Acquired = held.Record.ID == record.ID
			return held, nil
		}
	}
	return nil, &Error{Key: key, Err: &ryeford.UnavailableError{Service: "claims", Err: context.DeadlineExceeded}}
}

// ownerKnown reports whether the row that was read after a write of ours, by its version,
// shows who holds the key: there is one, and not the one that the write was to replace, so
// the write took effect or another came first. Otherwise the write may be made again.
func ownerKnown(current, replaced int64) bool {
	return current != 0 && current != replaced
}

// Digest returns the digest of a request's parts: the SHA-256 of each with its length
// before it, in hexadecimal digits. Two requests with one key are the same if theirs are.
func Digest(parts ...[]byte) string {
	d := sha256.New()
	for _, part := range parts { // a hash.Hash never fails to write
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = d.Write(part)
	}
	return hex.EncodeToString(d.Sum(nil))
}

// An Error is a failure to claim a key.
type Error struct {
	Key Key
	Err error
}

func (e *Error) Error() string { return "claim of " + e.Key.String() + ": " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }
