package gateway

import (
	"time"

	"github.com/ryeford/ryeford/gateway/choice"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/route"
)

// lookedAt is how many endpoints of a prompt's order are looked at, unless the choice needs more: the
// work that grows with a service's endpoints is a hash of each then.
const lookedAt = 24

// A firstEndpoints is the first endpoints in a prompt's order, and the mean loads of all.
type firstEndpoints struct {
	entries []*roster.Entry // in no order; nil if all have to be looked at
	means   choice.Means
}

// firstByAffinity returns the first endpoints in the order of a query's prompt. All have to be looked
// at if there are few, or if no peer reports its requests: the mean load is then what the
// endpoints report.
func (b *balancer) firstByAffinity(now time.Time, query *endpointQuery) firstEndpoints {
	serving, draining := b.roster.Serving(query.service), b.roster.Draining(query.service)
	sample := b.peers.Sample(now, query.service)
	if len(serving)+len(draining) <= lookedAt || sample.Counted == 0 {
		return firstEndpoints{}
	}
	cold := coldness{balancer: b, now: now, service: query.rule}
	total := sample.All(sample.Requests) + float64(b.loads.Total(query.service))
	var first topEntries
	first.addAll(query.affinity, serving)
	first.addAll(query.affinity, draining)
	return firstEndpoints{
		entries: first.entries[:first.n:first.n],
		means: choice.Means{
			Counted:  total / float64(max(1, len(serving))),
			Sendable: total / float64(max(1, cold.countWarm(query.service))),
		},
	}
}

// A topEntries holds the entries of the lookedAt highest scores among those that are added.
type topEntries struct {
	n       int
	entries [lookedAt]*roster.Entry
	scores  [lookedAt]uint64
	lowest  int // the index of the lowest score, once there are lookedAt
}

// addAll adds entries with their rendezvous scores for a prompt.
func (t *topEntries) addAll(prompt uint64, entries []*roster.Entry) {
	for _, entry := range entries {
		t.add(entry, route.Mix(prompt, entry.Hash))
	}
}

func (t *topEntries) add(entry *roster.Entry, score uint64) {
	if t.n < lookedAt {
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
