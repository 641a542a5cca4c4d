package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/quarantine"
	"github.com/ryeford/ryeford/gateway/replica"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
)

const (
	// maxInitialReadDelay is within what time a router that starts reads the held requests from the
	// platform, unless a peer has read them: few of a fleet that starts together do.
	maxInitialReadDelay = time.Second
	// heldInterval is how often a router looks whether it has to read or write them.
	heldInterval = 2 * time.Second
	// maxHeldChanges bounds the changes that wait to be written.
	maxHeldChanges = 256
	// causeHeld is for which the store's calls are counted.
	causeHeld = "quarantine"
)

// A heldRequests keeps the held requests on the platform, so that they outlast the fleet's
// processes: writes what this router has held or released, and reads what there is at the
// start, and while the router has no peers. It is safe for concurrent use.
type heldRequests struct {
	source   ryeford.QuarantineStore // nil: nothing is kept
	table    *quarantine.Table
	peers    *peers.Table
	hasPeers bool // there may be peers
	log      log.Logger
	metrics  *telemetry.Set

	loaded  atomic.Bool // by this router, or by a peer which passes them on
	mu      sync.Mutex
	changes map[quarantine.Fingerprint]*quarantine.Record // to be written; nil: to be removed
	written map[quarantine.Fingerprint]writtenChange      // by this router, lately
}

// A writtenChange is a change that the platform has accepted.
type writtenChange struct {
	at     time.Time
	record *quarantine.Record // nil: removed
}

// newHeldRequests returns heldRequests that are kept nowhere yet.
func newHeldRequests(table *quarantine.Table, logger log.Logger, metrics *telemetry.Set) *heldRequests {
	return &heldRequests{
		table: table, log: logger, metrics: metrics,
		changes: make(map[quarantine.Fingerprint]*quarantine.Record),
		written: make(map[quarantine.Fingerprint]writtenChange),
	}
}

// enqueueWrite has a held request written.
func (h *heldRequests) enqueueWrite(record *quarantine.Record) { h.enqueue(record.Fingerprint, record) }

// enqueueRemoval has a request that is held no more removed.
func (h *heldRequests) enqueueRemoval(fingerprint quarantine.Fingerprint) {
	h.enqueue(fingerprint, nil)
}

func (h *heldRequests) enqueue(fingerprint quarantine.Fingerprint, record *quarantine.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.source == nil || len(h.changes) >= maxHeldChanges {
		return // the other routers know it all the same
	}
	h.changes[fingerprint] = record
}

// run reads and writes until ctx ends.
func (h *heldRequests) run(ctx context.Context) error {
	if h.source == nil {
		return nil
	}
	clock.Sleep(ctx, replica.StartDelay(maxInitialReadDelay, rand.Float64()))
	ticker := time.NewTicker(heldInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if !h.loaded.Load() || h.isolated(clock.Now()) {
			h.readAll(ctx)
		}
		h.writeAll(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return nil
}

// isolated reports whether no peer would tell of what it holds.
func (h *heldRequests) isolated(now time.Time) bool { return h.hasPeers && h.peers.Alive(now) == 0 }

// readAll reads the held requests.
func (h *heldRequests) readAll(ctx context.Context) {
	h.metrics.Count("ryeford_store_calls_total", causeHeld)
	held, err := h.source.HeldRequests(ctx)
	if err != nil {
		_ = h.log.Log("decision", "quarantine_read", "err", err)
		return
	}
	now := clock.Now()
	var records []quarantine.Record
	for i := range held {
		records = append(records, recordOf(now, &held[i]))
	}
	for _, record := range h.table.Merge(now, records) {
		_ = h.log.Log("decision", "quarantine", "fingerprint", record.Fingerprint, "crashes", len(record.Crashes), "from", "store")
	}
	h.loaded.Store(true)
}

// writeAll writes the changes that wait. Those that fail wait on.
func (h *heldRequests) writeAll(ctx context.Context) {
	h.mu.Lock()
	changes := h.changes
	h.changes = make(map[quarantine.Fingerprint]*quarantine.Record)
	h.mu.Unlock()
	for fingerprint, record := range changes {
		h.metrics.Count("ryeford_store_calls_total", causeHeld)
		err := h.write(ctx, fingerprint, record)
		_ = h.log.Log("decision", "quarantine_written", "fingerprint", fingerprint, "held", record != nil, "err", err)
		if err != nil {
			h.retry(fingerprint, record)
			continue
		}
		h.recordWritten(fingerprint, record)
	}
}

// recordWritten remembers a change that was written, and forgets those that any copy of the store has.
func (h *heldRequests) recordWritten(fingerprint quarantine.Fingerprint, record *quarantine.Record) {
	now := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for f, change := range h.written {
		if now.Sub(change.at) > maxBackupAge {
			delete(h.written, f)
		}
	}
	if len(h.written) < maxHeldChanges {
		h.written[fingerprint] = writtenChange{at: now, record: record}
	}
}

// rewriteRecent has written again what this router wrote lately, unless a later change waits, and returns
// how many changes that is.
func (h *heldRequests) rewriteRecent() int {
	now := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for fingerprint, change := range h.written {
		if _, pending := h.changes[fingerprint]; pending || now.Sub(change.at) > maxBackupAge {
			continue
		}
		h.changes[fingerprint] = change.record
		count++
	}
	return count
}

// write writes one change.
func (h *heldRequests) write(ctx context.Context, fingerprint quarantine.Fingerprint, record *quarantine.Record) error {
	if record == nil {
		return h.source.ReleaseRequest(ctx, fingerprint)
	}
	return h.source.HoldRequest(ctx, heldRequestOf(clock.Now(), record))
}

// retry has a change written again, unless there is a later one.
func (h *heldRequests) retry(fingerprint quarantine.Fingerprint, record *quarantine.Record) {
	h.mu.Lock()
	_, pending := h.changes[fingerprint]
	h.mu.Unlock()
	if !pending {
		h.enqueue(fingerprint, record)
	}
}

// heldRequestOf returns what the platform keeps of a record.
func heldRequestOf(now time.Time, record *quarantine.Record) ryeford.HeldRequest {
	request := ryeford.HeldRequest{Fingerprint: record.Fingerprint, Account: record.Account, Held: now.Sub(record.Held), Trials: record.Trials}
	if record.Trials > 0 {
		request.Tried = now.Sub(record.Tried)
	}
	return request
}

// recordOf returns the record of what the platform keeps.
func recordOf(now time.Time, request *ryeford.HeldRequest) quarantine.Record {
	record := quarantine.Record{Fingerprint: request.Fingerprint, Account: request.Account, Held: now.Add(-request.Held), Trials: request.Trials}
	if request.Trials > 0 {
		record.Tried = now.Add(-request.Tried)
	}
	return record
}
