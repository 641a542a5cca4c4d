package gateway

import (
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/quarantine"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/route"
)

// trialSlot is the length of the time slot in which one router may try held requests.
const trialSlot = 10 * time.Second

// A quarantineState quarantines poison requests (package quarantine), based on the crashes that this
// router and its peers have detected. It is safe for concurrent use.
type quarantineState struct {
	// disabled is set by the operators' settings: no requests are held.
	disabled     bool
	table        *quarantine.Table
	heldRequests *heldRequests
	crashes      *crashDetector
	balancer     *balancer // for this router's rank among its peers
	log          log.Logger
	metrics      *telemetry.Set
}

// newQuarantineState returns an empty quarantineState that stores nothing on the platform.
func newQuarantineState(b *balancer, logger log.Logger, metrics *telemetry.Set) *quarantineState {
	table := quarantine.New()
	return &quarantineState{
		table:        table,
		heldRequests: newHeldRequests(table, logger, metrics),
		crashes:      newCrashDetector(logger, metrics),
		balancer:     b,
		log:          logger,
		metrics:      metrics,
	}
}

// setStore sets the store for held requests. hasPeers is whether the router may have peers.
func (h *quarantineState) setStore(store ryeford.QuarantineStore, hasPeers bool) {
	h.heldRequests.source, h.heldRequests.peers, h.heldRequests.hasPeers = store, h.balancer.peers, hasPeers
}

// outgoing returns the records for the next message to peers.
func (h *quarantineState) outgoing(now time.Time) []peers.Quarantined {
	if h.disabled {
		return nil
	}
	return peers.EncodeRecords(now, h.table.Outgoing(now, peers.MaxQuarantined))
}

// merge merges the records of a peer's message.
func (h *quarantineState) merge(now time.Time, message *peers.Message) {
	if h.disabled {
		return
	}
	if message.HeldRequestsRead {
		h.heldRequests.loaded.Store(true)
	}
	for _, record := range h.table.Merge(now, peers.DecodeRecords(now, message.Quarantined)) {
		h.logHeld(&record, message.Sender.String())
	}
}

// logHeld logs that requests are held from now on, and who reported them.
func (h *quarantineState) logHeld(record *quarantine.Record, from string) {
	h.metrics.Count("ryeford_quarantined_total", "")
	_ = h.log.Log("decision", "quarantine", "fingerprint", record.Fingerprint, "crashes", len(record.Crashes), "from", from)
}

// mayTry reports whether this router may start a trial of a held request now. Routers take time
// slots of length trialSlot by the store's clock.
func (h *quarantineState) mayTry(now time.Time) bool {
	storeTime, known := h.balancer.clock.UpperBound(now)
	if !known || h.balancer.startup.joining(now) {
		return false
	}
	rank, _ := h.balancer.peers.Rank(now, uint64(storeTime/trialSlot))
	return rank == 0
}

// A lostAttempt is an attempt whose connection the endpoint has closed.
type lostAttempt struct {
	request     ryeford.RequestID
	fingerprint quarantine.Fingerprint
	account     ryeford.AccountID
	prompt      []ryeford.PromptPart
	events      int // number of events that the caller has received
	began       time.Time
	ended       time.Time
}

// recordCrash records a lost attempt if the endpoint has crashed.
func (h *quarantineState) recordCrash(to *roster.Entry, lost *lostAttempt) {
	if h.disabled || !h.crashes.crashed(to) {
		return
	}
	now := clock.Now()
	crash := quarantine.Crash{Endpoint: uint32(route.NameHash(string(to.ID))), Began: lost.began, Ended: lost.ended}
	wasHeld := h.table.Check(now, lost.fingerprint, false).Held
	record := h.table.RecordCrash(now, lost.fingerprint, uint32(route.NameHash(string(lost.account))), crash)
	_ = h.log.Log("decision", "request_crashed", "request", lost.request, "fingerprint", lost.fingerprint, "account", lost.account,
		"endpoint", to.ID, "prompt", promptText(lost.prompt), "events", lost.events, "took", roundTime(lost.ended.Sub(lost.began)),
		"crashes", len(record.Crashes), "held", !record.HeldSince.IsZero())
	if record.HeldSince.IsZero() {
		return
	}
	h.heldRequests.enqueueWrite(&record)
	if !wasHeld {
		h.logHeld(&record, "self")
	}
}

// fingerprint returns the fingerprint that requests share if they differ only in their IDs. It is
// computed on first use: most requests never need it.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.cachedFingerprint == (quarantine.Fingerprint{}) {
		x.cachedFingerprint = quarantine.FingerprintOf(x.request.accountID(), x.incoming.RequestURI, x.request.body)
	}
	return x.cachedFingerprint
}

// mayBePoison reports whether requests like this one may have crashed endpoints.
func (x *exchange) mayBePoison() bool {
	if x.forwarder.quarantine.disabled {
		return false
	}
	filter := quarantine.FilterOf(x.request.accountID(), x.incoming.RequestURI, len(x.request.body))
	return x.forwarder.quarantine.table.MayMatch(filter)
}

// checkQuarantine returns whether the request is held, or let through as a trial.
func (x *exchange) checkQuarantine(now time.Time) quarantine.Decision {
	if !x.mayBePoison() {
		return quarantine.Decision{}
	}
	h := x.forwarder.quarantine
	decision := h.table.Check(now, x.fingerprint(), h.mayTry(now))
	if decision.Trial {
		h.heldRequests.enqueueWrite(&decision.Record)
		_ = h.log.Log("decision", "quarantine_trial", "request", x.request.meta.ID, "fingerprint", x.fingerprint())
	}
	return decision
}

// clearQuarantine records that the request was answered successfully and so is not a poison request.
func (x *exchange) clearQuarantine() {
	if !x.mayBePoison() {
		return
	}
	h := x.forwarder.quarantine
	if h.table.RecordSuccess(clock.Now(), x.fingerprint()) {
		h.heldRequests.enqueueRemoval(x.fingerprint())
		_ = h.log.Log("decision", "quarantine_ended", "request", x.request.meta.ID, "fingerprint", x.fingerprint(), "why", "answered")
	}
}

// recordLostAttempt records, in the background, that the request's attempt was lost if err shows
// that the endpoint has closed the connection.
func (x *exchange) recordLostAttempt(to *roster.Entry, err error) {
	if !endpoint.ConnectionBroken(err) {
		return
	}
	lost := &lostAttempt{
		request: x.request.meta.ID, fingerprint: x.fingerprint(), account: x.request.accountID(),
		prompt: x.request.meta.Prefix, events: x.relay.sentEvents, began: x.attemptStarted, ended: clock.Now(),
	}
	go x.forwarder.quarantine.recordCrash(to, lost)
}
