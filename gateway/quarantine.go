package gateway

import (
	"fmt"
	"slices"
	"strings"
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

// trialSlot is the length of the time slot in which one router may try held requests, and partTrialSlot that for held
// prompt parts: many requests may wait for these.
const (
	trialSlot     = 10 * time.Second
	partTrialSlot = 2 * time.Second
)

// A quarantineState quarantines poison requests (package quarantine), based on the crashes that this
// router and its peers have detected. It is safe for concurrent use.
type quarantineState struct {
	// disabled is set by the operators' settings: no requests are held. partsDisabled: none for a part of its prompt.
	disabled, partsDisabled bool

	table        *quarantine.Table
	heldRequests *heldRequests
	crashes      *crashDetector
	pending      quarantine.Pending[*lostAttempt] // lost at endpoints that accept connections
	balancer     *balancer                        // for this router's rank among its peers
	log          log.Logger
	metrics      *telemetry.Set
}

// newQuarantineState returns an empty quarantineState that stores nothing on the platform.
func newQuarantineState(b *balancer, logger log.Logger, metrics *telemetry.Set) *quarantineState {
	table := quarantine.New()
	return &quarantineState{
		table:        table,
		heldRequests: newHeldRequests(table, logger, metrics),
		crashes:      newCrashDetector(logger, metrics, b.recordCrashed),
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

// outgoingEndings returns the crashes of endpoints for the next message to peers.
func (h *quarantineState) outgoingEndings(now time.Time) []peers.Ended {
	if h.disabled {
		return nil
	}
	return peers.EncodeEndings(now, h.table.OutgoingEndings(peers.MaxEnded))
}

// forJoining returns the records for the first message to a peer that has just started.
func (h *quarantineState) forJoining(now time.Time) []peers.Quarantined {
	if h.disabled {
		return nil
	}
	return peers.EncodeRecords(now, h.table.ForJoining(peers.MaxQuarantined))
}

// merge merges the records of a peer's message.
func (h *quarantineState) merge(now time.Time, message *peers.Message) {
	if h.disabled {
		return
	}
	if message.HeldRequestsRead {
		h.heldRequests.loaded.Store(true)
	}
	h.table.MergeEndings(peers.DecodeEndings(now, message.Ended))
	for _, record := range h.table.Merge(now, peers.DecodeRecords(now, message.Quarantined)) {
		h.logHeld(&record, message.Sender.String())
	}
}

// logHeld logs that requests are held from now on, and who reported them.
func (h *quarantineState) logHeld(record *quarantine.Record, from string) {
	h.metrics.Count("ryeford_quarantined_total", "")
	_ = h.log.Log("decision", "quarantine", "fingerprint", record.Fingerprint, "crashes", len(record.Crashes), "from", from)
}

// turn returns which trials of held requests this router may start now. Routers take time slots of length trialSlot and
// partTrialSlot by the store's clock.
func (h *quarantineState) turn(now time.Time) quarantine.Turn {
	storeTime, known := h.balancer.clock.UpperBound(now)
	if !known || h.balancer.startup.joining(now) {
		return quarantine.Turn{}
	}
	first := func(slot time.Duration) bool {
		rank, _ := h.balancer.peers.Rank(now, uint64(storeTime/slot))
		return rank == 0
	}
	return quarantine.Turn{Request: first(trialSlot), Part: first(partTrialSlot)}
}

// A lostAttempt is an attempt whose connection the endpoint has closed.
type lostAttempt struct {
	request ryeford.RequestID
	subject quarantine.Subject
	account ryeford.AccountID
	prompt  []ryeford.PromptPart
	events  int // number of events that the caller has received
	began   time.Time
	ended   time.Time
}

// recordLost records a lost attempt if the endpoint has crashed, or once that is known.
func (h *quarantineState) recordLost(to *roster.Entry, lost *lostAttempt) {
	if h.crashes.crashed(to, lost.ended) || h.pending.Add(clock.Now(), to.ID, lost) {
		h.recordCrash(to, lost)
	}
}

// recordGone records that another process, or none, listens at the address of an endpoint.
func (h *quarantineState) recordGone(to *roster.Entry) {
	for _, lost := range h.pending.Gone(clock.Now(), to.ID) {
		h.recordCrash(to, lost)
	}
}

// recordCrash records an attempt that was lost because its endpoint crashed.
func (h *quarantineState) recordCrash(to *roster.Entry, lost *lostAttempt) {
	crash := quarantine.Crash{Endpoint: uint32(route.NameHash(string(to.ID))), Began: lost.began, Ended: lost.ended}
	charges := h.table.RecordCrash(clock.Now(), &lost.subject, crash)
	_ = h.log.Log("decision", "request_crashed", "request", lost.request, "fingerprint", lost.subject.Fingerprints[0], "account", lost.account,
		"endpoint", to.ID, "prompt", promptText(lost.prompt), "events", lost.events, "took", roundTime(lost.ended.Sub(lost.began)),
		"charged", chargesText(charges), "held", slices.ContainsFunc(charges, blocks))
	for i := range charges {
		charge := &charges[i]
		if charge.Blocks {
			h.heldRequests.enqueueWrite(&charge.Record)
		}
		if charge.NewlyHeld {
			h.logHeld(&charge.Record, "self")
		}
	}
}

func blocks(charge quarantine.Charge) bool { return charge.Blocks }

// chargesText formats charges for the log: the number of crashes of each fingerprint.
func chargesText(charges []quarantine.Charge) string {
	var texts []string
	for i := range charges {
		texts = append(texts, fmt.Sprintf("%s=%d", charges[i].Fingerprint, len(charges[i].Crashes)))
	}
	return strings.Join(texts, ",")
}

// fingerprint returns the fingerprint that requests share if they differ only in their IDs. It is
// computed on first use: most requests never need it.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.cachedFingerprint == (quarantine.Fingerprint{}) {
		x.cachedFingerprint = quarantine.FingerprintOf(x.request.accountID(), x.incoming.RequestURI, x.request.body)
	}
	return x.cachedFingerprint
}

// subject returns the request as a subject of the quarantine, without its own fingerprint if no record can match it.
func (x *exchange) subject() *quarantine.Subject {
	table := x.forwarder.quarantine.table
	if table.Empty() {
		return x.subjectOf(nil)
	}
	filter := quarantine.FilterOf(x.request.accountID(), x.incoming.RequestURI, len(x.request.body))
	if !table.MayMatch(filter) {
		return x.subjectOf(nil)
	}
	return x.subjectOf([]quarantine.Fingerprint{x.fingerprint()})
}

// subjectOf returns a subject with fingerprints and those of the shared parts of the request's prompt.
func (x *exchange) subjectOf(fingerprints []quarantine.Fingerprint) *quarantine.Subject {
	if !x.forwarder.quarantine.partsDisabled {
		fingerprints = append(fingerprints, quarantine.PartFingerprints(x.request.meta.Prefix)...)
	}
	return &quarantine.Subject{Account: uint32(route.NameHash(string(x.request.accountID()))), Fingerprints: fingerprints}
}

// checkQuarantine returns whether the request is held, or let through as a trial.
func (x *exchange) checkQuarantine(now time.Time) quarantine.Decision {
	h := x.forwarder.quarantine
	if h.disabled || h.table.Empty() {
		return quarantine.Decision{}
	}
	decision := h.table.Check(now, x.subject(), h.turn(now))
	for i := range decision.Records {
		h.heldRequests.enqueueWrite(&decision.Records[i])
		_ = h.log.Log("decision", "quarantine_trial", "request", x.request.meta.ID, "fingerprint", decision.Records[i].Fingerprint)
	}
	if decision.Held {
		_ = h.log.Log("decision", "quarantine_held", "request", x.request.meta.ID, "by", fmt.Sprint(decision.By), "retry_after", roundTime(decision.RetryAfter))
	}
	return decision
}

// clearQuarantine records that the request was answered successfully and so is not a poison request.
func (x *exchange) clearQuarantine() {
	h := x.forwarder.quarantine
	if h.disabled {
		return
	}
	for _, fingerprint := range h.table.RecordSuccess(clock.Now(), x.subject(), x.relay.generated) {
		h.heldRequests.enqueueRemoval(fingerprint)
		_ = h.log.Log("decision", "quarantine_ended", "request", x.request.meta.ID, "fingerprint", fingerprint, "why", "answered")
	}
}

// recordLostAttempt records, in the background, that the request's attempt was lost if err shows
// that the endpoint has closed the connection.
func (x *exchange) recordLostAttempt(to *roster.Entry, err error) {
	if !endpoint.ConnectionBroken(err) || x.forwarder.quarantine.disabled {
		return
	}
	lost := &lostAttempt{
		request: x.request.meta.ID, subject: *x.subjectOf([]quarantine.Fingerprint{x.fingerprint()}), account: x.request.accountID(),
		prompt: x.request.meta.Prefix, events: x.relay.sentEvents, began: x.attemptStarted, ended: clock.Now(),
	}
	go x.forwarder.quarantine.recordLost(to, lost)
}
