package gateway

import (
	"time"

	"github.com/ryeford/ryeford/gateway/choice"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/route"
)

// maxTopEntries is how many endpoints are considered first, by rendezvous score, for a prompt. It
// limits the work that grows with the number of endpoints to one hash for each.
const maxTopEntries = 24

// A firstEndpoints holds the endpoints with the highest scores for a prompt, and the mean loads of
// all endpoints of the service.
type firstEndpoints struct {
	entries []*roster.Entry // unordered; nil if all endpoints have to be considered
	means   choice.Means
}

// firstByAffinity returns the first endpoints by affinity for a query's prompt. All endpoints have
// to be considered if there are few, or if no peer reports its requests: the mean load then comes
// from the endpoints' reports.
func (b *balancer) firstByAffinity(now time.Time, query *endpointQuery) firstEndpoints {
	serving, draining := b.roster.Serving(query.service), b.roster.Draining(query.service)
	sample := b.peers.Sample(now, query.service)
	if len(serving)+len(draining) <= maxTopEntries || sample.Counted == 0 {
		return firstEndpoints{}
	}
	cold := coldChecker{balancer: b, now: now, service: query.rule}
	total := sample.Extrapolate(sample.Requests) + float64(b.loads.LocalTotal(query.service))
	var first topEntries
	first.addAll(query.affinity, serving)
	first.addAll(query.affinity, draining)
	return firstEndpoints{
		entries: first.entries[:first.n:first.n],
		means: choice.Means{
			NotDraining: total / float64(max(1, len(serving))),
			Available:   total / float64(max(1, cold.countWarm(query.service))),
		},
	}
}

// A topEntries holds the maxTopEntries entries with the highest scores of those that were added.
type topEntries struct {
	n       int
	entries [maxTopEntries]*roster.Entry
	scores  [maxTopEntries]uint64
	lowest  int // index of the lowest score; valid once entries is full
}

// addAll adds entries with their rendezvous scores for a prompt.
func (t *topEntries) addAll(prompt uint64, entries []*roster.Entry) {
	for _, entry := range entries {
		t.add(entry, route.Mix(prompt, entry.Hash))
	}
}

func (t *topEntries) add(entry *roster.Entry, score uint64) {
	if t.n < maxTopEntries {
		t.entries[t.n], t.scores[t.n] = entry, score
		t.n++
	} else if score > t.scores[t.lowest] {
		t.entries[t.lowest], t.scores[t.lowest] = entry, score
	} else {
		return
	}
	for i := range t.n {
		if t.scores[i] < t.scores[t.lowest] {
			t.lowest = i
		}
	}
}
