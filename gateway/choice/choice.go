// Package choice chooses the endpoint for one request. It does no I/O and keeps
// no state: the same inputs give the same choice.
package choice

import (
	"slices"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// A Candidate is an endpoint that a request may be sent to.
type Candidate struct {
	ID     ryeford.EndpointID
	Domain string
	// Hash is the uniform hash of the ID.
	Hash uint64
	// Load is the estimate of its requests, running and waiting.
	Load float64
	// Slots is how many requests it runs at once.
	Slots int
	// Tried says that the request was sent there before.
	Tried bool
	// Failing says that it is on the list but does not answer well.
	Failing bool
	// Leaving endpoints take no requests, but hold prompts.
	Leaving bool
	// Missing is how many tokens of the prompt's shared parts it is not known to
	// hold.
	Missing int
}

// Limits bound a choice.
type Limits struct {
	// CapFactor and CapOffset: an endpoint is full at CapFactor x the mean load
	// + CapOffset.
	CapFactor float64
	CapOffset float64
	// Domain is the failure domain of the router.
	Domain string
	// DomainPenalty is how many requests of load another failure domain costs.
	DomainPenalty float64
	// RequestTokens is how many missing tokens weigh as much as one request of
	// load, and MinGain by how many tokens the second of a prompt's order must be
	// cheaper than the first to be taken in its place.
	RequestTokens float64
	MinGain       float64
}

// A Reason says why an endpoint was chosen.
type Reason string

// The reasons.
const (
	ReasonHome    Reason = "home"    // the first of the prompt's order
	ReasonSpill   Reason = "spill"   // the first of the prompt's order that is not full
	ReasonLighter Reason = "lighter" // the next of the prompt's order, which is less loaded
	ReasonLeast   Reason = "least"   // the least loaded
	ReasonLast    Reason = "last"    // only failing ones are left
	ReasonNobody  Reason = "nobody"  // none is left
)

// A Choice is what was chosen.
type Choice struct {
	Index  int // of the candidates, or -1
	Reason Reason
	// Holder is the index of another candidate that is likely to hold the
	// prompt, or -1.
	Holder int
	// HolderFirst says that the holder stands before the chosen one in the
	// prompt's order.
	HolderFirst bool
	Mean        float64
	Cap         float64
}

// Affine chooses by the hash of the prompt's shared part: the first endpoint of
// its rendezvous order that is not full, or the next one where the difference of
// their loads outweighs what that one lacks of the prompt. Every router finds the
// same order.
func Affine(candidates []Candidate, key uint64, limits Limits) Choice {
	result := Choice{Index: -1, Holder: -1, Reason: ReasonNobody}
	result.Mean, result.Cap = bounds(candidates, limits)
	first := best(candidates, key, -1, usable)
	open := func(c *Candidate) bool { return usable(c) && c.Load <= result.Cap }
	result.Index = best(candidates, key, -1, open)
	next := best(candidates, key, result.Index, open)
	switch {
	case result.Index < 0:
		result.takeLeast(candidates, limits)
	case result.Index == first:
		result.Reason = ReasonHome
	default:
		result.Reason = ReasonSpill
	}
	if next >= 0 && lighter(&candidates[next], &candidates[result.Index], limits) {
		result.Index, result.Reason = next, ReasonLighter
	}
	// Who is likely to hold the prompt: the best other, the leaving ones included.
	result.Holder = best(candidates, key, result.Index, func(c *Candidate) bool { return !c.Failing })
	if result.Holder >= 0 && result.Index >= 0 {
		result.HolderFirst = score(candidates, key, result.Holder) > score(candidates, key, result.Index)
	}
	return result
}

// lighter reports whether the next of a prompt's order is to be taken in place of
// the first. The first counts as if it held the prompt: where it does not yet,
// other routers send the prompt's requests there too.
func lighter(next, first *Candidate, limits Limits) bool {
	gain := limits.RequestTokens*(first.Load-next.Load) - float64(next.Missing)
	return gain > limits.MinGain
}

// usable reports whether a candidate may take the request without need.
func usable(c *Candidate) bool { return !c.Leaving && !c.Tried && !c.Failing }

// best returns the first of a prompt's order for which allowed is true, or -1.
// The candidate without is passed over.
func best(candidates []Candidate, key uint64, without int, allowed func(*Candidate) bool) int {
	found, highest := -1, uint64(0)
	for i := range candidates {
		if i == without || !allowed(&candidates[i]) {
			continue
		}
		if s := score(candidates, key, i); found < 0 || s > highest {
			found, highest = i, s
		}
	}
	return found
}

// score returns the rank of a candidate in a prompt's order: the highest is first.
func score(candidates []Candidate, key uint64, i int) uint64 {
	return route.Mix(key, candidates[i].Hash)
}

// Least chooses the least loaded endpoint, those of the router's own failure
// domain first. turn moves the choice between equals.
func Least(candidates []Candidate, limits Limits, turn int) Choice {
	result := Choice{Index: -1, Holder: -1, Reason: ReasonNobody}
	result.Mean, result.Cap = bounds(candidates, limits)
	if len(candidates) > 0 {
		turn %= len(candidates)
		rotated := slices.Concat(candidates[turn:], candidates[:turn])
		result.takeLeast(rotated, limits)
		if result.Index >= 0 {
			result.Index = (result.Index + turn) % len(candidates)
		}
	}
	return result
}

// takeLeast chooses the least loaded endpoint; a failing one only where there is
// no other.
func (r *Choice) takeLeast(candidates []Candidate, limits Limits) {
	best := 0.0
	for _, failing := range []bool{false, true} {
		for i := range candidates {
			c := &candidates[i]
			if c.Leaving || c.Tried || c.Failing != failing {
				continue
			}
			cost := relativeLoad(c)
			if c.Domain != limits.Domain {
				cost += limits.DomainPenalty
			}
			if r.Index < 0 || cost < best {
				r.Index, best = i, cost
			}
		}
		if r.Index >= 0 {
			r.Reason = ReasonLeast
			if failing {
				r.Reason = ReasonLast
			}
			return
		}
	}
}

// relativeLoad returns the load of an endpoint; what exceeds its slots waits, and
// counts double.
func relativeLoad(c *Candidate) float64 {
	return c.Load + max(0, c.Load-float64(c.Slots))
}

// bounds returns the mean load and the load at which an endpoint is full.
func bounds(candidates []Candidate, limits Limits) (mean, full float64) {
	sum, n := 0.0, 0
	for i := range candidates {
		if candidates[i].Leaving {
			continue
		}
		sum += candidates[i].Load
		n++
	}
	if n > 0 {
		mean = sum / float64(n)
	}
	return mean, limits.CapFactor*mean + limits.CapOffset
}
