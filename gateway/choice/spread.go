package choice

import (
	"cmp"
	"math"
	"slices"

	"github.com/ryeford/ryeford/route"
)

// Number of endpoints among which the requests with one prompt are spread.
//
// Rule: the requests are spread among as many of the first endpoints in the prompt's rendezvous
// order as its requests in flight need, if they take at most spreadFill of the room between the
// mean load and the cap. If some are full, further ones are added until the open ones outnumber the
// full ones by overflowMargin. The less loaded of two random endpoints is chosen.
//
// Why: routers are notified with a delay that an endpoint is full. If all of them moved on to the first
// endpoint that is not full, it would exceed the cap before any of them is notified, and so would
// the next one. The number of requests in flight with a prompt is known without this delay.

const (
	// spreadFill is the share of the room that the requests with one prompt may take.
	spreadFill = 0.5
	// overflowMargin is by how many the open endpoints must outnumber the full ones, if any are full.
	overflowMargin = 2
	// maxOrdered bounds how many endpoints of the rendezvous order are considered.
	maxOrdered = 256
)

// endpointsNeeded returns how many endpoints a prompt needs, given its requests in flight and the room
// at each endpoint, in requests.
func endpointsNeeded(inFlight, room float64) int {
	needed := math.Ceil(inFlight / max(1, spreadFill*room))
	return int(max(1, min(needed, maxOrdered)))
}

// spread returns the indices of the open candidates among which a prompt's requests are
// spread, and whether there are enough of them.
func spread(candidates []Candidate, key uint64, needed int, open func(*Candidate) bool) (indices []int, enough bool) {
	full := 0
	for n, i := range rendezvousOrder(candidates, key) {
		if !open(&candidates[i]) {
			full++
			continue
		}
		indices = append(indices, i)
		if n+1 >= needed && (full == 0 || len(indices) >= full+overflowMargin) {
			return indices, true
		}
	}
	return indices, false
}

// pickOfTwo draws two of the candidates in indices and returns the better one, or -1 if indices is
// empty. If withMissing is true, the prompt tokens that a candidate lacks are added to its load.
func pickOfTwo(candidates []Candidate, indices []int, random uint64, withMissing bool) int {
	if len(indices) == 0 {
		return -1
	}
	weight := func(c *Candidate) float64 {
		if withMissing {
			return requestTokens*c.effectiveLoad() + float64(c.MissingTokens)
		}
		return requestTokens * c.effectiveLoad()
	}
	a := indices[random%uint64(len(indices))]
	b := indices[route.KeyHash(random)%uint64(len(indices))]
	if weight(&candidates[b]) < weight(&candidates[a]) {
		return b
	}
	return a
}

// rendezvousOrder returns the indices of the usable candidates in the prompt's rendezvous order, at most
// maxOrdered.
func rendezvousOrder(candidates []Candidate, key uint64) []int {
	type scored struct {
		index int
		score uint64
	}
	ordered := make([]scored, 0, len(candidates))
	for i := range candidates {
		if candidates[i].usable() {
			ordered = append(ordered, scored{index: i, score: score(candidates, key, i)})
		}
	}
	slices.SortFunc(ordered, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ordered = ordered[:min(len(ordered), maxOrdered)]
	indices := make([]int, len(ordered))
	for n := range ordered {
		indices[n] = ordered[n].index
	}
	return indices
}
