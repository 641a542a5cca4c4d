package choice

import (
	"cmp"
	"math"
	"slices"

	"github.com/ryeford/ryeford/route"
)

// To how many endpoints the requests with one prompt go.
//
// Rule: to so many of the first in the prompt's rendezvous order that its requests under way
// fill part of the room between the mean load and the bound at each; and if some of
// these are full, to as many that follow and two more. Of two that are drawn the less loaded
// one is taken.
//
// Why: all routers learn at about the same time that an endpoint is full, or is no longer, and
// late. If each sent to the first that isn't full, that one would get whatever comes for
// the prompt until all have learnt of it, far above the bound; so would the next one. How
// many requests have the prompt is known without that detour. Until it is, the more
// endpoints are full, the wider its requests are spread.

const (
	// spreadFill is the part of the room that the requests of one prompt may take.
	spreadFill = 0.5
	// overflowMore is how many open endpoints are taken in beside one for each that is full.
	overflowMore = 2
	// maxOrdered bounds the work: how many endpoints of the order are looked at.
	maxOrdered = 256
)

// widthNeeded returns to how many endpoints a prompt's requests go, given how many are under
// way and the room at each endpoint, in requests.
func widthNeeded(underWay, room float64) int {
	needed := math.Ceil(underWay / max(1, spreadFill*room))
	return int(max(1, min(needed, maxOrdered)))
}

// spread returns the indices of the open candidates among which a prompt's requests are
// spread, and whether there are as many as it takes.
func spread(candidates []Candidate, key uint64, needed int, open func(*Candidate) bool) (indices []int, enough bool) {
	full := 0
	for n, i := range inOrderOf(candidates, key) {
		if !open(&candidates[i]) {
			full++
			continue
		}
		indices = append(indices, i)
		if n+1 >= needed && (full == 0 || len(indices) >= full+overflowMore) {
			return indices, true
		}
	}
	return indices, false
}

// oneOf returns the better one of two candidates that are drawn from some, or -1 if there are
// none. missing says that what they lack of the prompt counts beside their loads.
func oneOf(candidates []Candidate, indices []int, drawn uint64, missing bool) int {
	if len(indices) == 0 {
		return -1
	}
	weight := func(c *Candidate) float64 {
		if missing {
			return requestTokens*c.Load + float64(c.MissingTokens)
		}
		return requestTokens * c.Load
	}
	a := indices[drawn%uint64(len(indices))]
	b := indices[route.KeyHash(drawn)%uint64(len(indices))]
	if weight(&candidates[b]) < weight(&candidates[a]) {
		return b
	}
	return a
}

// inOrderOf returns the indices of the usable candidates that are first in a prompt's
// rendezvous order, maxOrdered at most.
func inOrderOf(candidates []Candidate, key uint64) []int {
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
