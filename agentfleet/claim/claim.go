// Package claim records in the platform's table which attempt a caller's idempotency
// key belongs to. Of several routers that receive the same key, only one may run the
// request.
//
// The package owns the rows under claim/. Only Release removes them. It relies on the
// table's conditional writes. Writes made at about the same time share one transaction
// (see batcher).
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

const prefix = "claim/" // of the row keys

// maxWrites limits how often a claim is written. A second write is needed only if the
// first one failed without taking effect, or the row was removed in the meantime.
const maxWrites = 4

// A Key is a caller's idempotency key within its client account.
type Key struct {
	Account ryeford.AccountID
	Key     string
}

// String returns the key of the table row.
func (k Key) String() string { return prefix + string(k.Account) + "/" + k.Key }

// A Candidate is an engine that an attempt may be dispatched to.
type Candidate struct {
	Engine      ryeford.EngineID    `json:"engine"`
	VM          ryeford.VMID        `json:"vm"`
	Incarnation ryeford.Incarnation `json:"incarnation"`
}

// An Attempt is admitted by an agent at most once. An attempt with a claim may be
// dispatched to several agents, one after the other.
type Attempt struct {
	ID          ryeford.AttemptID `json:"attempt"`
	Expires     time.Time         `json:"expires"` // end of the time in which it may be admitted
	RetainUntil time.Time         `json:"forget"`  // end of the time for which the admitting agent keeps it
}

// A Record states which attempt a key belongs to.
type Record struct {
	Attempt
	Request ryeford.RequestID `json:"request"`
	Digest  string            `json:"digest"` // digest of the request's content, see Digest
	// Candidates are the only engines that the attempt may be dispatched to.
	Candidates []Candidate `json:"candidates"`
}

// A Claim is the record of a key as stored in the table.
type Claim struct {
	Key    Key
	Record Record
	// Acquired reports whether the key is claimed for the record that the caller
	// passed.
	Acquired bool

	version int64
}

// A Store claims keys.
type Store struct {
	table   ryeford.Table
	batcher *batcher
}

// New returns a Store that keeps its claims in table.
func New(table ryeford.Table) *Store {
	return &Store{table: table, batcher: &batcher{table: table, queue: make(chan *pendingWrite, batchQueueSize)}}
}

// Run writes claims in batches until ctx ends.
func (s *Store) Run(ctx context.Context) error { return s.batcher.run(ctx) }

// Claim claims a key for a record. If the key is already claimed, it returns the
// existing claim. After an error, an *Error, it is unknown whether the key is claimed
// for the record, and the record's attempt must not be dispatched.
func (s *Store) Claim(ctx context.Context, key Key, record Record) (*Claim, error) {
	return s.write(ctx, key, record, 0)
}

// Replace replaces a claim whose attempt did not run.
func (s *Store) Replace(ctx context.Context, old *Claim, record Record) (*Claim, error) {
	return s.write(ctx, old.Key, record, old.version)
}

// Release removes a claim that this process acquired and whose attempt did not run. It
// is optional: it saves the next request with the key from asking the candidates.
func (s *Store) Release(ctx context.Context, held *Claim) error {
	_, err := s.batcher.write(ctx, ryeford.Write{Key: held.Key.String(), IfVersion: held.version, Delete: true})
	return err
}

// write writes a record if the row still has the given version, zero for no row. If the
// result is unknown, or another write came first, it reads the row back.
func (s *Store) write(ctx context.Context, key Key, record Record, version int64) (*Claim, error) {
	w, err := row.NewWrite(key.String(), &record, version)
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

// ownerKnown reports whether a row that was read back after a write, by its version,
// shows who owns the key. It does if the row exists and its version is not the one to
// be replaced: either the write took effect or another one came first. Otherwise the
// write may be repeated.
func ownerKnown(current, replaced int64) bool {
	return current != 0 && current != replaced
}

// Digest returns the SHA-256 of the parts of a request, each preceded by its length, in
// hexadecimal digits. Two requests with the same key are equal if their digests are.
func Digest(parts ...[]byte) string {
	d := sha256.New()
	for _, part := range parts { // a hash.Hash never returns an error
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
