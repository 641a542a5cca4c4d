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
	// maxInitialReadDelay is the maximum random delay before a new router reads the held requests from
	// the platform. It gives peers time to send them, so that few routers of a fleet that starts at
	// once read.
	maxInitialReadDelay = time.Second
	// heldInterval is the interval between checks for pending reads and writes.
	heldInterval = 2 * time.Second
	// maxHeldChanges limits the number of pending changes.
	maxHeldChanges = 256
	// causeHeld is the cause by which these calls of the store are counted.
	causeHeld = "quarantine"
)

// A heldRequests stores held requests on the platform, so that they survive a restart of the whole
// fleet. It writes the requests that this router has held or released, and reads the stored ones at
// startup and while the router is isolated. It is safe for concurrent use.
type heldRequests struct {
	source   ryeford.QuarantineStore // nil: nothing is stored
	table    *quarantine.Table
	peers    *peers.Table
	hasPeers bool // the router may have peers
	log      log.Logger
	metrics  *telemetry.Set

	loaded  atomic.Bool // read by this router, or by a peer that passes them on
	mu      sync.Mutex
	changes map[quarantine.Fingerprint]*quarantine.Record // pending writes; nil: to be removed
	written map[quarantine.Fingerprint]writtenChange      // recent writes by this router
}

// A writtenChange is a change that the platform has accepted.
type writtenChange struct {
	at     time.Time
	record *quarantine.Record // nil: removed
}

// newHeldRequests returns a heldRequests without a store.
func newHeldRequests(table *quarantine.Table, logger log.Logger, metrics *telemetry.Set) *heldRequests {
	return &heldRequests{
		table: table, log: logger, metrics: metrics,
		changes: make(map[quarantine.Fingerprint]*quarantine.Record),
		written: make(map[quarantine.Fingerprint]writtenChange),
	}
}

// enqueueWrite enqueues a held request for writing.
func (h *heldRequests) enqueueWrite(record *quarantine.Record) { h.enqueue(record.Fingerprint, record) }

// enqueueRemoval enqueues the removal of a request that is no longer held.
func (h *heldRequests) enqueueRemoval(fingerprint quarantine.Fingerprint) {
	h.enqueue(fingerprint, nil)
}

func (h *heldRequests) enqueue(fingerprint quarantine.Fingerprint, record *quarantine.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.source == nil || len(h.changes) >= maxHeldChanges {
		return // other routers still receive it by gossip
	}
	h.changes[fingerprint] = record
}

// run reads and writes held requests until ctx is done.
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

// isolated reports whether the router exchanges gossip but has no live peer that sends it held
// requests.
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

// writeAll writes the pending changes. Failed writes stay pending.
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

// recordWritten records a written change, and drops those that are old enough to be in any backup.
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

// rewriteRecent enqueues this router's recent writes again, unless a later change is pending, and
// returns their number.
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

func (h *heldRequests) write(ctx context.Context, fingerprint quarantine.Fingerprint, record *quarantine.Record) error {
	if record == nil {
		return h.source.ReleaseRequest(ctx, fingerprint)
	}
	return h.source.HoldRequest(ctx, heldRequestOf(clock.Now(), record))
}

// retry enqueues a change again, unless a later one is pending.
func (h *heldRequests) retry(fingerprint quarantine.Fingerprint, record *quarantine.Record) {
	h.mu.Lock()
	_, pending := h.changes[fingerprint]
	h.mu.Unlock()
	if !pending {
		h.enqueue(fingerprint, record)
	}
}

// heldRequestOf returns the stored form of a record.
func heldRequestOf(now time.Time, record *quarantine.Record) ryeford.HeldRequest {
	request := ryeford.HeldRequest{Fingerprint: record.Fingerprint, Account: record.Account, HeldFor: now.Sub(record.HeldSince), Trials: record.Trials}
	if record.Trials > 0 {
		request.SinceLastTrial = now.Sub(record.LastTrial)
	}
	return request
}

// recordOf returns the record of a stored request.
func recordOf(now time.Time, request *ryeford.HeldRequest) quarantine.Record {
	record := quarantine.Record{Fingerprint: request.Fingerprint, Account: request.Account, HeldSince: now.Add(-request.HeldFor), Trials: request.Trials}
	if request.Trials > 0 {
		record.LastTrial = now.Add(-request.SinceLastTrial)
	}
	return record
}
