package gateway

import (
	"fmt"
	"strings"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/choice"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/clock"
)

// choose chooses the endpoint of the next attempt, and the one from which it may fetch the
// cached part of the prompt. Either may be nil.
func (x *exchange) choose() (to, source *roster.Entry) {
	q := x.request
	query := endpointQuery{service: q.service, rule: q.catalog.Service(q.service), affinity: q.affinity, tried: x.tried}
	if q.hasSharedPrefix {
		query.shared = q.sharedParts()
	}
	preferred := x.addStream(&query)
	selected := x.chooseUsable(&query)
	if selected.to == nil && preferred {
		query.stream = x.forwarder.streams.history.NewStreams(clock.Now(), query.service)
		selected = x.chooseUsable(&query)
	}
	if selected.to == nil {
		x.logNoChoice(&selected)
		return nil, nil
	}
	x.sentToHome = selected.choice.Reason == choice.ReasonHome
	x.logChoice(&selected)
	return selected.to, selected.source
}

// chooseUsable chooses among the endpoints at which an attempt may be made now.
func (x *exchange) chooseUsable(query *endpointQuery) selection {
	selected := x.forwarder.choose(clock.Now(), query)
	for selected.to != nil && !(x.mayAttempt(selected.to) && x.forwarder.takeTimeSlot(clock.Now(), selected.to, query.rule)) {
		x.tried[selected.to.ID] = true
		selected = x.forwarder.choose(clock.Now(), query)
	}
	return selected
}

// mayAttempt reports whether an attempt may be made at an endpoint.
func (x *exchange) mayAttempt(to *roster.Entry) bool {
	return x.history.MayTry(x.forwarder.detector.Unusable(clock.Now(), to.ID))
}

// logChoice logs the endpoint of an attempt and the reason for the choice.
func (x *exchange) logChoice(s *selection) {
	f, q := x.forwarder, x.request
	var sourceID ryeford.EndpointID
	if s.source != nil {
		sourceID = s.source.ID
	}
	_ = f.log.Log("decision", "send", "request", q.meta.ID, "route", q.rule.Name, "account", q.accountID(), "service", q.service,
		"endpoint", s.to.ID, "software", s.to.Software, "why", s.choice.Reason, "load", roundLoad(s.load), "mean", roundLoad(s.choice.Mean), "cap", roundLoad(s.choice.Cap), "candidates", s.candidates, "evacuated", s.excluded.evacuated, "cold", s.excluded.cold, "resting", s.excluded.backingOff, "other_version", s.excluded.otherVersion, "prompt", promptText(q.meta.Prefix), "source", sourceID,
		"sent", x.history.Sent, "unsent", x.history.Unsent, "version", q.catalog.Version(), "lease", f.configuration.leaseRemaining())
}

// logNoChoice logs that no endpoint may be sent the request now.
func (x *exchange) logNoChoice(s *selection) {
	f, q := x.forwarder, x.request
	_ = f.log.Log("decision", "no_endpoint", "request", q.meta.ID, "service", q.service, "candidates", s.candidates, "tried", len(x.tried), "evacuated", s.excluded.evacuated, "cold", s.excluded.cold, "resting", s.excluded.backingOff, "other_version", s.excluded.otherVersion)
}

// promptText formats the shared parts of a prompt for the log: ID and number of tokens of each.
func promptText(parts []ryeford.PromptPart) string {
	var texts []string
	for i := 0; i+1 < len(parts); i++ {
		texts = append(texts, fmt.Sprintf("%x:%d", parts[i].ID, parts[i].Tokens))
	}
	return strings.Join(texts, ",")
}
