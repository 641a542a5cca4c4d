package gateway

import (
	"fmt"
	"strings"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/roster"
)

// choose chooses the endpoint of the next attempt, or nil if there is none, and the
// one from which it may fetch the cached part of the prompt, or nil.
func (x *exchange) choose() (to, source *roster.Entry) {
	q := x.request
	query := endpointQuery{service: q.service, affinity: q.affinity, tried: x.tried}
	if q.shared {
		query.shared = q.sharedParts()
	}
	selected := x.forwarder.choose(time.Now(), &query)
	if selected.to != nil {
		x.logChoice(&selected)
	}
	return selected.to, selected.source
}

// logChoice logs where an attempt goes and why.
func (x *exchange) logChoice(s *selection) {
	f, q := x.forwarder, x.request
	var sourceID ryeford.EndpointID
	if s.source != nil {
		sourceID = s.source.ID
	}
	_ = f.log.Log("decision", "send", "request", q.meta.ID, "route", q.rule.Name, "account", q.accountID(), "service", q.service,
		"endpoint", s.to.ID, "why", s.choice.Reason, "load", roundLoad(s.load), "mean", roundLoad(s.choice.Mean), "cap", roundLoad(s.choice.Cap), "candidates", s.candidates, "prompt", promptText(q.meta.Prefix), "source", sourceID,
		"sent", x.history.Sent, "unsent", x.history.Unsent, "version", q.catalog.Version(), "lease", f.configuration.leaseLeft())
}

// promptText returns the shared parts of a prompt as they are logged: ID and tokens
// of each.
func promptText(parts []ryeford.PromptPart) string {
	var b strings.Builder
	for i := 0; i+1 < len(parts); i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%x:%d", parts[i].ID, parts[i].Tokens)
	}
	return b.String()
}
