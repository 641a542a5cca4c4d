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

// trialSlot is how long one router is the one that may try held requests again.
const trialSlot = 10 * time.Second

// A quarantineState holds requests that end what runs them, by package quarantine, with what this
// router and its peers have seen. It is safe for concurrent use.
type quarantineState struct {
	// disabled says that nothing is held: the operators' setting.
	disabled     bool
	table        *quarantine.Table
	heldRequests *heldRequests
	crashes      *crashDetector
	balancer     *balancer // for this router's place among its peers
	log          log.Logger
	metrics      *telemetry.Set
}

// newQuarantineState returns a quarantineState that knows nothing yet and keeps nothing on the platform.
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

// setStore has what is held kept on the platform, by a router that may have peers.
func (h *quarantineState) setStore(store ryeford.QuarantineStore, hasPeers bool) {
	h.heldRequests.source, h.heldRequests.peers, h.heldRequests.hasPeers = store, h.balancer.peers, hasPeers
}

// outgoing returns the records that go out with the next message to peers.
func (h *quarantineState) outgoing(now time.Time) []peers.Quarantined {
	if h.disabled {
		return nil
	}
	return peers.QuarantinedOf(now, h.table.Outgoing(now, peers.MaxQuarantined))
}

// merge adds what a peer's message says.
func (h *quarantineState) merge(now time.Time, message *peers.Message) {
	if h.disabled {
		return
	}
	if message.HeldRead {
		h.heldRequests.loaded.Store(true)
	}
	for _, record := range h.table.Merge(now, peers.Records(now, message.Quarantined)) {
		h.logHeld(&record, message.Sender.String())
	}
}

// logHeld logs that requests are held from now on, and who has said so.
func (h *quarantineState) logHeld(record *quarantine.Record, from string) {
	h.metrics.Count("ryeford_quarantined_total", "")
	_ = h.log.Log("decision", "quarantine", "fingerprint", record.Fingerprint, "crashes", len(record.Crashes), "from", from)
}

// mayTry reports whether this router is the one that may try held requests again now: by turns,
// each for trialShift of the store's clock.
func (h *quarantineState) mayTry(now time.Time) bool {
	storeTime, known := h.balancer.clock.Latest(now)
	if !known || h.balancer.start.joining(now) {
		return false
	}
	rank, _ := h.balancer.peers.Rank(now, uint64(storeTime/trialSlot))
	return rank == 0
}

// A lostAttempt is an attempt that an endpoint has broken off.
type lostAttempt struct {
	request     ryeford.RequestID
	fingerprint quarantine.Fingerprint
	account     ryeford.AccountID
	began       time.Time
	ended       time.Time
}

// recordCrash notes an attempt that an endpoint has broken off, if the endpoint has ended.
func (h *quarantineState) recordCrash(to *roster.Entry, lost *lostAttempt) {
	if h.disabled || !h.crashes.crashed(to) {
		return
	}
	now := clock.Now()
	crash := quarantine.Crash{Endpoint: uint32(route.NameHash(string(to.ID))), Began: lost.began, Ended: lost.ended}
	wasHeld := h.table.Check(now, lost.fingerprint, false).Held
	record := h.table.Crashed(now, lost.fingerprint, uint32(route.NameHash(string(lost.account))), crash)
	_ = h.log.Log("decision", "request_crashed", "request", lost.request, "fingerprint", lost.fingerprint, "account", lost.account,
		"endpoint", to.ID, "crashes", len(record.Crashes), "held", !record.Held.IsZero())
	if record.Held.IsZero() {
		return
	}
	h.heldRequests.enqueueWrite(&record)
	if !wasHeld {
		h.logHeld(&record, "self")
	}
}

// fingerprint returns what the request has in common with others that are the same but for their
// IDs. It is worked out when it is first needed: most requests never need it.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.identity == (quarantine.Fingerprint{}) {
		x.identity = quarantine.FingerprintOf(x.request.accountID(), x.incoming.RequestURI, x.request.body)
	}
	return x.identity
}

// suspected reports whether requests like this one may have ended endpoints.
func (x *exchange) suspected() bool {
	if x.forwarder.quarantine.disabled {
		return false
	}
	filter := quarantine.FilterOf(x.request.accountID(), x.incoming.RequestURI, len(x.request.body))
	return x.forwarder.quarantine.table.Suspects(filter)
}

// checkQuarantine returns whether the request is held.
func (x *exchange) checkQuarantine(now time.Time) quarantine.Verdict {
	if !x.suspected() {
		return quarantine.Verdict{}
	}
	h := x.forwarder.quarantine
	verdict := h.table.Check(now, x.fingerprint(), h.mayTry(now))
	if verdict.Trial {
		h.heldRequests.enqueueWrite(&verdict.Record)
		_ = h.log.Log("decision", "quarantine_trial", "request", x.request.meta.ID, "fingerprint", x.fingerprint())
	}
	return verdict
}

// clearQuarantine notes that the request was answered with a success: it doesn't end what runs it.
func (x *exchange) clearQuarantine() {
	if !x.suspected() {
		return
	}
	h := x.forwarder.quarantine
	if h.table.Answered(clock.Now(), x.fingerprint()) {
		h.heldRequests.enqueueRemoval(x.fingerprint())
		_ = h.log.Log("decision", "quarantine_ended", "request", x.request.meta.ID, "fingerprint", x.fingerprint(), "why", "answered")
	}
}

// recordLost notes, beside the request, that its attempt at an endpoint was lost, if the endpoint has
// broken it off. err is how it was lost.
func (x *exchange) recordLost(to *roster.Entry, err error) {
	if !endpoint.BrokeOff(err) {
		return
	}
	lost := &lostAttempt{
		request: x.request.meta.ID, fingerprint: x.fingerprint(), account: x.request.accountID(),
		began: x.began, ended: clock.Now(),
	}
	go x.forwarder.quarantine.recordCrash(to, lost)
}
