package choice

import "github.com/ryeford/ryeford/route"

// Of 150 and 300 more skew was left; with the first endpoint's own missing tokens counted,
// 300 and 300, 1000 and 600, and 300 and 0 read and moved more.
const (
	// requestTokens is how many tokens that an endpoint lacks weigh as much as one
	// request of load.
	requestTokens = 300
	// minGain is how many tokens another endpoint by affinity has to gain over the
	// first, so that requests do not move for a small difference.
	minGain = 300
	// lighterAmong is among how many of the endpoints that follow the first a lighter one is
	// looked for: one alone leaves more requests above the operators' bound.
	lighterAmong = 4
)

// A Prompt is what a request is sent by affinity for.
type Prompt struct {
	Key uint64 // the hash of its last shared part
	// UnderWay is the estimated number of requests with the prompt that are under way, of all
	// routers.
	UnderWay float64
	// Means are those of all endpoints, if the candidates are only the first by affinity; nil if
	// they are all.
	Means *Means
}

// means returns the mean loads by which the prompt's endpoint is chosen.
func (p *Prompt) means(candidates []Candidate) Means {
	if p.Means != nil {
		return *p.Means
	}
	return meansOf(candidates)
}

// ByAffinity chooses by the hash of the prompt's last shared part, so that requests
// with like prompts meet on one endpoint: the first endpoint in rendezvous order, or one
// of those that follow if the difference of their loads outweighs what that one lacks of the prompt. If
// the first one is full or has no room, or one endpoint is too few for the prompt, it is one of
// several (spread.go). If there is none, it is the least loaded one. drawn is a random number.
//
// Rendezvous hashing needs no agreement: every router that knows the same endpoints
// finds the same order, and an endpoint that joins or leaves moves only the prompts
// that it gains or loses.
func ByAffinity(candidates []Candidate, prompt Prompt, limits Limits, drawn uint64) Choice {
	means := prompt.means(candidates)
	result := newChoice(means, &limits)
	open := func(c *Candidate) bool { return c.usable() && !c.isFull(result.Cap) && c.hasRoom() }
	home := best(candidates, prompt.Key, -1, (*Candidate).usable)
	needed := widthNeeded(prompt.UnderWay, result.Cap-means.Sendable)
	switch {
	case home >= 0 && needed == 1 && open(&candidates[home]):
		result.Index, result.Reason, result.Settled = home, ReasonHome, true
		if other := lighter(candidates, prompt.Key, home, open); other >= 0 {
			result.Index, result.Reason = other, ReasonLighter
		}
	default:
		var indices []int
		indices, result.Settled = spread(candidates, prompt.Key, needed, open)
		result.Index = oneOf(candidates, indices, drawn, needed == 1)
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

// lighter returns the candidate that is taken in place of the first by affinity, or -1: of the next
// ones that are open, the one that gains most, if the requests that it has less, as tokens, exceed
// what it lacks of the prompt by minGain. The first counts as if it held the prompt, since other
// routers send requests with that prompt there too.
func lighter(candidates []Candidate, key uint64, first int, open func(*Candidate) bool) int {
	found, most := -1, float64(minGain)
	var next firstInOrder
	for i := range candidates {
		if i != first && open(&candidates[i]) {
			next.add(i, score(candidates, key, i))
		}
	}
	for _, i := range next.indices[:next.n] {
		gain := requestTokens*(candidates[first].Load-candidates[i].Load) - float64(candidates[i].MissingTokens)
		if gain > most {
			found, most = i, gain
		}
	}
	return found
}

// A firstInOrder holds the lighterAmong first of the candidates that are added, the first one first.
type firstInOrder struct {
	n       int
	indices [lighterAmong]int
	scores  [lighterAmong]uint64
}

// add adds a candidate with its rendezvous score.
func (f *firstInOrder) add(index int, score uint64) {
	place := f.n
	for place > 0 && score > f.scores[place-1] {
		place--
	}
	if place == lighterAmong {
		return
	}
	f.n = min(f.n+1, lighterAmong)
	copy(f.indices[place+1:f.n], f.indices[place:])
	copy(f.scores[place+1:f.n], f.scores[place:])
	f.indices[place], f.scores[place] = index, score
}

// setAlternate finds the best other candidate by affinity, draining ones included.
func (r *Choice) setAlternate(candidates []Candidate, key uint64) {
	r.Alternate = best(candidates, key, r.Index, func(c *Candidate) bool { return !c.Unhealthy })
	if r.Alternate >= 0 && r.Index >= 0 {
		r.AlternateFirst = score(candidates, key, r.Alternate) > score(candidates, key, r.Index)
	}
}

// best returns the first candidate in rendezvous order, apart from one, for which
// allowed returns true, or -1.
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

// score returns the rendezvous score of a candidate: the highest is first.
func score(candidates []Candidate, key uint64, i int) uint64 {
	return route.Mix(key, candidates[i].Hash)
}
