package gateway

import (
	"fmt"
	"strings"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/choice"
	"github.com/ryeford/ryeford/gateway/roster"
)

// choose chooses the endpoint of the next try, or nil.
func (x *exchange) choose() (to, holder *roster.Entry) {
	g, q := x.forwarder, x.request
	now := time.Now()
	entries := g.roster.Serving(q.service)
	serving := len(entries)
	if q.shared {
		entries = append(entries[:serving:serving], g.roster.Draining(q.service)...)
	}
	candidates := x.candidates(now, entries, serving)
	chosen := x.pick(candidates)
	if chosen.Index < 0 {
		return nil, nil
	}
	if q.shared {
		holder = x.source(now, entries, &chosen)
	}
	x.noteChoice(candidates, &chosen, holder)
	return entries[chosen.Index], holder
}

// candidates returns what is known of some endpoints. Those behind the first
// serving ones are leaving.
func (x *exchange) candidates(now time.Time, entries []*roster.Entry, serving int) []choice.Candidate {
	g := x.forwarder
	held, sharedTokens := x.held(now)
	candidates := make([]choice.Candidate, 0, len(entries))
	for i, entry := range entries {
		told, known := g.gossip.table.Requests(now, entry.ID)
		load, hash := g.loads.Estimate(now, entry.ID, told, known)
		candidates = append(candidates, choice.Candidate{
			ID:            entry.ID,
			Domain:        entry.FailureDomain,
			Hash:          hash,
			Load:          load,
			Slots:         entry.Slots,
			Tried:         x.tried[entry.ID],
			Unhealthy:     !g.detector.Healthy(now, entry.ID),
			Draining:      i >= serving,
			MissingTokens: sharedTokens - held[entry.ID],
		})
	}
	return candidates
}

// pick chooses one of the candidates.
func (x *exchange) pick(candidates []choice.Candidate) choice.Choice {
	g, q := x.forwarder, x.request
	limits := choice.DefaultLimits(g.settings.Bounds.CapFactor, g.settings.FailureDomain)
	if q.shared {
		return choice.ByAffinity(candidates, q.affinity, limits)
	}
	return choice.ByLoad(candidates, limits, int(g.turn.Add(1)%(1<<30)))
}

// held returns how many tokens of the prompt's shared parts each endpoint is
// believed to hold, and how many there are.
func (x *exchange) held(now time.Time) (held map[ryeford.EndpointID]int, sharedTokens int) {
	if !x.request.shared {
		return nil, 0
	}
	shared := x.request.sharedParts()
	for i := range shared {
		sharedTokens += shared[i].Tokens
	}
	return x.forwarder.prefixes.HeldTokens(now, shared), sharedTokens
}

// source returns the endpoint from which the chosen one is to take what it lacks
// of the prompt, or nil: one that is known to hold the shared parts, or else the
// one before or behind it in the prompt's order, or else one that holds the
// beginning.
func (x *exchange) source(now time.Time, entries []*roster.Entry, chosen *choice.Choice) *roster.Entry {
	g, q := x.forwarder, x.request
	shared := q.sharedParts()
	target := entries[chosen.Index]
	best, depth := g.prefixes.Longest(now, shared, func(id ryeford.EndpointID) bool {
		entry := g.roster.Entry(id)
		return entry != nil && entry.Service == q.service && id != target.ID && g.detector.Healthy(now, id)
	})
	moved := chosen.Reason != choice.ReasonHome || chosen.AlternateFirst || !target.FirstSeen.IsZero()
	if chosen.Alternate >= 0 && depth < len(shared) && (moved || depth == 0) {
		return entries[chosen.Alternate]
	}
	return g.roster.Entry(best)
}

// noteChoice logs where a try goes and why.
func (x *exchange) noteChoice(candidates []choice.Candidate, chosen *choice.Choice, source *roster.Entry) {
	g, q := x.forwarder, x.request
	c := &candidates[chosen.Index]
	var sourceID ryeford.EndpointID
	if source != nil {
		sourceID = source.ID
	}
	_ = g.log.Log("decision", "send", "request", q.meta.ID, "route", q.rule.Name, "account", q.accountID(), "service", q.service,
		"endpoint", c.ID, "why", chosen.Reason, "load", roundLoad(c.Load), "mean", roundLoad(chosen.Mean), "cap", roundLoad(chosen.Cap), "candidates", len(candidates), "prompt", promptText(q.meta.Prefix), "source", sourceID,
		"sent", x.history.Sent, "unsent", x.history.Unsent, "version", q.catalog.Version(), "lease", g.configuration.leaseLeft())
}

// promptText returns the shared parts of a prompt as they are logged.
func promptText(parts []ryeford.PromptPart) string {
	var b strings.Builder
	for i := 0; i+1 < len(parts); i++ {
		fmt.Fprintf(&b, "%s%x:%d", comma(i), parts[i].ID, parts[i].Tokens)
	}
	return b.String()
}

// comma returns what stands before the i-th entry of a list.
func comma(i int) string {
	if i == 0 {
		return ""
	}
	return ","
}
