package gateway

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/backoff"
	"github.com/ryeford/ryeford/gateway/choice"
	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/gateway/limit"
	"github.com/ryeford/ryeford/gateway/loads"
	"github.com/ryeford/ryeford/gateway/outlier"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/prefixcache"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/gateway/slowstart"
	"github.com/ryeford/ryeford/gateway/streamversion"
	"github.com/ryeford/ryeford/settings"
)

// A balancer chooses the endpoint of an attempt. It collects the router's data on the
// endpoints for package choice, which implements the rules. The tables belong to other parts of
// the gateway; the balancer's only state is where the next search by load starts and when it first chose.
type balancer struct {
	roster   *roster.Roster // updated by endpointList
	detector *outlier.Detector
	backoffs *backoff.Table
	loads    *loads.Table
	prefixes *prefixcache.Index
	peers    *peers.Table // updated by gossip
	limits   choice.Limits

	slowStart *slowstart.Table
	clock     *freshness.SourceClock // time base of the time slots
	startup   *startup
	versions  *streamversion.History // updated by endpointList
	// minRouters is the minimum number of routers among which the request rate of a cold endpoint
	// is divided.
	minRouters int

	searchStart atomic.Uint64 // start index of the next search for the least loaded endpoint
	// firstChoiceAt is when the first endpoint was chosen, or nil before. The list may still grow until then.
	firstChoiceAt atomic.Pointer[time.Time]
}

// newBalancer returns a balancer without any endpoints.
func newBalancer(s *settings.Gateway) *balancer {
	return &balancer{
		roster:   roster.New(),
		detector: outlier.New(),
		backoffs: backoff.New(),
		loads:    loads.New(),
		prefixes: prefixcache.New(),
		peers:    peers.New(s.Peers.AddrPort, peers.DefaultLimits()),
		limits:   choice.Limits{CapFactor: s.Bounds.CapFactor, Domain: s.FailureDomain},

		slowStart:  slowstart.New(),
		clock:      &freshness.SourceClock{},
		startup:    newStartup(s),
		minRouters: s.Routing.Routers,
		versions:   streamversion.NewHistory(streamLimits(s), s.FirstStart),
	}
}

type endpointQuery struct {
	service string
	rule    *ryeford.ServiceRule // the operators' settings of the service
	// shared are the parts of the prompt that other requests may share. If there are any,
	// affinity is the hash of the last one.
	shared   []ryeford.PromptPart
	affinity uint64
	tried    map[ryeford.EndpointID]bool
	// stream excludes endpoints that may not write the next event of the request's stream.
	stream streamversion.Constraint
}

type selection struct {
	to         *roster.Entry // nil if no endpoint was chosen
	source     *roster.Entry // source of a cached prefix, or nil
	choice     choice.Choice
	load       float64 // estimated load of the chosen endpoint
	candidates int
	excluded   exclusionCounts // excluded candidates
}

// maxSearchStart bounds the start of a search so that it fits an int of any size.
const maxSearchStart = 1 << 30

// choose chooses an endpoint for an attempt: by affinity if the prompt has shared parts, for
// which draining endpoints may be sources, or else by load.
func (b *balancer) choose(now time.Time, query *endpointQuery) selection {
	if b.firstChoiceAt.Load() == nil {
		b.firstChoiceAt.CompareAndSwap(nil, &now)
	}
	if len(query.shared) == 0 {
		s := b.candidateSet(now, query, b.roster.Serving(query.service))
		return b.selected(now, query, s, choice.ByLoad(s.candidates, b.limits, int(b.searchStart.Add(1)%maxSearchStart)))
	}
	prompt := b.prompt(now, query)
	// The first endpoints by affinity may all be excluded for a stream that has begun.
	if first := b.firstByAffinity(now, query); first.entries != nil && !query.stream.Begun() {
		prompt.Means = &first.means
		s := b.candidateSet(now, query, first.entries)
		if chosen := choice.ByAffinity(s.candidates, prompt, b.limits, rand.Uint64()); chosen.Settled {
			return b.selected(now, query, s, chosen)
		}
		prompt.Means = nil
	}
	s := b.candidateSet(now, query, slices.Concat(b.roster.Serving(query.service), b.roster.Draining(query.service)))
	return b.selected(now, query, s, choice.ByAffinity(s.candidates, prompt, b.limits, rand.Uint64()))
}

// A candidateSet is the set of endpoints from which one is chosen.
type candidateSet struct {
	entries    []*roster.Entry
	candidates []choice.Candidate // one for each entry
	excluded   exclusionCounts
}

// selected converts a choice to a selection.
func (b *balancer) selected(now time.Time, query *endpointQuery, s candidateSet, chosen choice.Choice) selection {
	result := selection{choice: chosen, candidates: len(s.candidates), excluded: s.excluded}
	if chosen.Index < 0 {
		return result
	}
	result.to, result.load = s.entries[chosen.Index], s.candidates[chosen.Index].Load
	if len(query.shared) > 0 {
		result.source = b.source(now, query, s.entries, &chosen)
	}
	return result
}

// prompt returns what is known of a query's prompt.
func (b *balancer) prompt(now time.Time, query *endpointQuery) choice.Prompt {
	sample := b.peers.Sample(now, query.service)
	peers := sample.ExtrapolateDemand(b.peers.Demand(now, query.affinity))
	return choice.Prompt{Key: query.affinity, InFlight: peers + float64(b.loads.LocalPrompt(query.affinity))}
}

// room returns what a request's service may have: the slots of the endpoints that may be sent requests. They are zero,
// that is unknown, if one of these endpoints lists none.
func (b *balancer) room(now time.Time, q *request) limit.Room {
	sample := b.peers.Sample(now, q.service)
	room := limit.Room{Goal: q.catalog.ShortestGoal(q.service), Peers: sample.Alive}
	for _, entry := range b.roster.Serving(q.service) {
		if b.exclusionReason(now, entry) == "" && b.detector.Healthy(now, entry.ID) {
			if entry.Slots <= 0 {
				room.Slots = 0
				break
			}
			room.Slots += entry.Slots
		}
	}
	return room
}

// unavailableFor returns how long it takes until the first of a service's endpoints that accept
// requests is neither ejected nor backing off. It is zero if one is available, or if there are
// none.
func (b *balancer) unavailableFor(now time.Time, service string) time.Duration {
	return b.shortestWait(service, func(id ryeford.EndpointID) time.Duration {
		return max(b.detector.EjectedFor(now, id), b.backoffs.Remaining(now, id))
	})
}

// backingOffFor returns how long it takes until the first of a service's endpoints that accept requests ends its
// back-off. It is zero if one is not backing off, or if there are none.
func (b *balancer) backingOffFor(now time.Time, service string) time.Duration {
	return b.shortestWait(service, func(id ryeford.EndpointID) time.Duration { return b.backoffs.Remaining(now, id) })
}

// shortestWait returns the shortest duration that of returns for a service's endpoints that accept requests, or
// zero if there is none.
func (b *balancer) shortestWait(service string, of func(ryeford.EndpointID) time.Duration) time.Duration {
	var shortest time.Duration
	first := true
	for _, entry := range b.roster.Serving(service) {
		if !entry.Accepts() {
			continue
		}
		remaining := of(entry.ID)
		if remaining == 0 {
			return 0
		}
		if first || remaining < shortest {
			shortest, first = remaining, false
		}
	}
	return shortest
}

// candidateSet returns the given endpoints as candidates of a choice.
func (b *balancer) candidateSet(now time.Time, query *endpointQuery, entries []*roster.Entry) candidateSet {
	var cachedTokens map[ryeford.EndpointID]int // cached tokens of the prompt's shared parts
	if len(query.shared) > 0 {
		cachedTokens = b.prefixes.CachedTokens(now, query.shared)
	}
	tokens := 0
	for _, part := range query.shared {
		tokens += part.Tokens
	}
	sample := b.peers.Sample(now, query.service)
	cold := coldChecker{balancer: b, now: now, service: query.rule}
	mean := sample.MeanPerEndpoint(cold.countWarm(query.service))
	s := candidateSet{entries: entries, candidates: make([]choice.Candidate, 0, len(entries))}
	for _, entry := range entries {
		limited, allowed := cold.check(entry)
		expected := mean
		if limited {
			expected = 0
		}
		excluded := s.excluded.add(b.exclusionReason(now, entry), allowed)
		if query.stream.Begun() && !query.stream.Allows(b.softwareOf(entry)) {
			s.excluded.otherVersion++
			excluded = true
		}
		known := b.observe(now, entry, sample, expected)
		load, deviation := known.Estimate()
		s.candidates = append(s.candidates, choice.Candidate{
			ID:            entry.ID,
			Domain:        entry.FailureDomain,
			Hash:          entry.Hash,
			Load:          load,
			Deviation:     deviation,
			Slowdown:      known.Slowdown,
			Slots:         entry.Slots,
			Tried:         query.tried[entry.ID],
			Unhealthy:     !b.detector.Healthy(now, entry.ID),
			Draining:      !entry.Serving(),
			Excluded:      excluded,
			MissingTokens: tokens - cachedTokens[entry.ID],
		})
	}
	return s
}

// estimatedLoad returns the estimated number of requests at an endpoint.
func (b *balancer) estimatedLoad(now time.Time, entry *roster.Entry) float64 {
	sample := b.peers.Sample(now, entry.Service)
	known := b.observe(now, entry, sample, sample.MeanPerEndpoint(len(b.roster.Serving(entry.Service))))
	requests, _ := known.Estimate()
	return requests
}

// observe returns what is known of the load of an endpoint. sample is what peers report of their requests. mean is the
// expected number of the peers' requests at the endpoint.
func (b *balancer) observe(now time.Time, entry *roster.Entry, sample peers.Sample, mean float64) loads.Observation {
	known := b.loads.Observe(now, entry.ID, entry.Hash)
	known.PeerRequests, known.PeerShare, known.Mean = b.peers.Requests(now, entry.ID), sample.KnownFraction(known.Reported), mean
	return known
}

// source returns the endpoint from which the chosen one may fetch missing parts of the prompt,
// or nil.
func (b *balancer) source(now time.Time, query *endpointQuery, entries []*roster.Entry, chosen *choice.Choice) *roster.Entry {
	to := entries[chosen.Index]
	indexed, parts := b.prefixes.LongestPrefix(now, query.shared, func(id ryeford.EndpointID) bool {
		entry := b.roster.Entry(id)
		return entry != nil && entry.Service == query.service && !entry.Replaced && id != to.ID && b.detector.Healthy(now, id)
	})
	joined := to.FirstSeen.After(*b.firstChoiceAt.Load())
	if choice.FetchFromAlternate(chosen, parts, len(query.shared), joined) {
		return entries[chosen.Alternate]
	}
	return b.roster.Entry(indexed)
}
