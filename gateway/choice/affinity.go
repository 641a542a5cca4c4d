package choice

import "github.com/ryeford/ryeford/route"

const (
	// requestTokens is how many missing tokens weigh as much as one request of load.
	requestTokens = 300
	// minGain is the least gain, in tokens, for which a request moves from the first endpoint to
	// another one, so that small differences in load do not move prompts.
	minGain = 300
	// maxReplacements is how many endpoints after the first are considered as a less loaded
	// replacement. With one alone, more requests exceed the operators' load bound.
	maxReplacements = 4
)

// A Prompt is the part of a request by which ByAffinity places it.
type Prompt struct {
	Key uint64 // hash of the prompt's last shared part
	// InFlight is the estimated number of requests with this prompt in flight, at all routers.
	InFlight float64
	// Means holds the mean loads of all endpoints if the candidates are only the first ones in
	// rendezvous order, nil if the candidates are complete.
	Means *Means
}

// means returns the mean loads to compare candidates with.
func (p *Prompt) means(candidates []Candidate) Means {
	if p.Means != nil {
		return *p.Means
	}
	return meansOf(candidates)
}

// ByAffinity chooses an endpoint by the hash of the prompt's last shared part, so that requests
// with the same prompt reach the same endpoint. It takes the first endpoint in rendezvous order,
// or one of the next if the difference in load outweighs the prompt tokens that it lacks. If the
// first is full or has no room, or if the prompt needs several endpoints, it picks one of several
// (spread.go). If none is open, it picks the least loaded one. random is a random number.
//
// Rendezvous hashing needs no coordination: routers with the same list of endpoints compute the
// same order, and an endpoint that joins or leaves moves only the prompts that it gains or loses.
func ByAffinity(candidates []Candidate, prompt Prompt, limits Limits, random uint64) Choice {
	means := prompt.means(candidates)
	result := newChoice(means, &limits)
	open := func(c *Candidate) bool { return c.usable() && !c.isFull(result.Cap) && c.hasRoom() }
	home := best(candidates, prompt.Key, -1, (*Candidate).usable)
	needed := endpointsNeeded(prompt.InFlight, result.Cap-means.Available)
	switch {
	case home >= 0 && needed == 1 && open(&candidates[home]):
		result.Index, result.Reason, result.Settled = home, ReasonHome, true
		if other := lessLoaded(candidates, prompt.Key, home, open); other >= 0 {
			result.Index, result.Reason = other, ReasonLighter
		}
	default:
		var indices []int
		indices, result.Settled = spread(candidates, prompt.Key, needed, open)
		result.Index = pickOfTwo(candidates, indices, random, needed == 1)
		result.Reason = ReasonSpill
		if result.Index == home {
			result.Reason = ReasonHome
		} else if needed > 1 {
			result.Reason = ReasonSpread
		}
	}
	if result.Index < 0 {
		result.Index, result.Reason = leastLoaded(candidates, 0, &limits)
	}
	result.setAlternate(candidates, prompt.Key)
	return result
}

// lessLoaded returns the less loaded candidate to use in place of the first one in rendezvous order, or
// -1. Among the next open candidates it picks the one with the greatest gain: the load difference,
// in tokens, minus the prompt tokens that it lacks. The gain must exceed minGain. The first
// candidate is assumed to hold the prompt, since other routers send requests with it there too.
func lessLoaded(candidates []Candidate, key uint64, first int, open func(*Candidate) bool) int {
	found, most := -1, float64(minGain)
	var next topCandidates
	for i := range candidates {
		if i != first && open(&candidates[i]) {
			next.add(i, score(candidates, key, i))
		}
	}
	for _, i := range next.indices[:next.n] {
		gain := requestTokens*(candidates[first].effectiveLoad()-candidates[i].effectiveLoad()) - float64(candidates[i].MissingTokens)
		if gain > most {
			found, most = i, gain
		}
	}
	return found
}

// A topCandidates holds the maxReplacements candidates with the highest scores, in descending order.
type topCandidates struct {
	n       int
	indices [maxReplacements]int
	scores  [maxReplacements]uint64
}

// add inserts a candidate by its rendezvous score.
func (f *topCandidates) add(index int, score uint64) {
	place := f.n
	for place > 0 && score > f.scores[place-1] {
		place--
	}
	if place == maxReplacements {
		return
	}
	f.n = min(f.n+1, maxReplacements)
	copy(f.indices[place+1:f.n], f.indices[place:])
	copy(f.scores[place+1:f.n], f.scores[place:])
	f.indices[place], f.scores[place] = index, score
}

// setAlternate sets the first other candidate in rendezvous order, draining ones included.
func (r *Choice) setAlternate(candidates []Candidate, key uint64) {
	r.Alternate = best(candidates, key, r.Index, func(c *Candidate) bool { return !c.Unhealthy })
	if r.Alternate >= 0 && r.Index >= 0 {
		r.AlternateFirst = score(candidates, key, r.Alternate) > score(candidates, key, r.Index)
	}
}

// best returns the first candidate in rendezvous order that is not except and for which allowed
// returns true, or -1.
func best(candidates []Candidate, key uint64, except int, allowed func(*Candidate) bool) int {
	found, highest := -1, uint64(0)
	for i := range candidates {
		if i == except || !allowed(&candidates[i]) {
			continue
		}
		if s := score(candidates, key, i); found < 0 || s > highest {
			found, highest = i, s
		}
	}
	return found
}

// score returns the rendezvous score of a candidate. The highest score is first in the order.
func score(candidates []Candidate, key uint64, i int) uint64 {
	return route.Mix(key, candidates[i].Hash)
}
