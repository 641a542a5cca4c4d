package streamversion

import (
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// A Key identifies a stream to the routers of a fleet.
type Key struct {
	_ struct{} `cbor:",toarray"`
	// Request is the hash of the ID of the request that brought the stream's first event.
	Request uint64
	// Owner is the low 32 bits of the hash of the stream's service and client account. A caller that names the request
	// of another account names a stream that doesn't exist.
	Owner uint32
	// Service is the low 32 bits of the hash of the service's name.
	Service uint32
}

// NewKey returns the Key of a stream.
func NewKey(request ryeford.RequestID, serviceName string, account ryeford.AccountID) Key {
	return Key{
		Request: route.NameHash(string(request)),
		Owner:   uint32(route.NameHash(serviceName + "\x00" + string(account))),
		Service: uint32(serviceOf(serviceName)),
	}
}

// A Record states which version wrote, or is about to write, the first event of a stream.
type Record struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	// Attempt increases with each attempt of the request to begin the stream. A record of a later attempt replaces
	// those of earlier ones.
	Attempt  uint32
	Software ryeford.SoftwareVersion
}

// A keptRecord is a Record as a router keeps it.
type keptRecord struct {
	Record
	kept time.Time // when it was last written or read
}

// A table keeps a bounded number of records, for a bounded time. It is not safe for concurrent use.
type table struct {
	max     int
	records map[Key]keptRecord
	// written holds the keys in the order in which their records were first written. It may hold keys whose records
	// are gone.
	written []Key
}

func newTable(limit int) *table {
	return &table{max: limit, records: make(map[Key]keptRecord)}
}

// put keeps a record unless there is one of a later attempt. The oldest record makes room for it.
func (t *table) put(now time.Time, record Record) {
	old, known := t.records[record.Key]
	if known && old.Attempt > record.Attempt {
		return
	}
	if !known {
		t.evict(t.max - 1)
		t.written = append(t.written, record.Key)
	}
	t.records[record.Key] = keptRecord{Record: record, kept: now}
}

// get returns a record and keeps it for longer, since its stream goes on.
func (t *table) get(now time.Time, key Key) (keptRecord, bool) {
	record, ok := t.records[key]
	if ok {
		t.records[key] = keptRecord{Record: record.Record, kept: now}
	}
	return record, ok
}

// evict removes the oldest records until at most n are left.
func (t *table) evict(n int) {
	for len(t.records) > n && len(t.written) > 0 {
		delete(t.records, t.written[0])
		t.written = t.written[1:]
	}
}

// expire removes the records that were neither written nor read for longer than ttl.
func (t *table) expire(now time.Time, ttl time.Duration) {
	left := t.written[:0]
	for _, key := range t.written {
		record, ok := t.records[key]
		switch {
		case !ok:
		case now.Sub(record.kept) > ttl:
			delete(t.records, key)
		default:
			left = append(left, key)
		}
	}
	t.written = left
}
