package choice

// domainPenalty is the cost, in requests of load, of an endpoint in another failure domain. It is
// below 1, so that the local domain is preferred only between nearly equal endpoints.
const domainPenalty = 0.6

// ByLoad chooses the endpoint with the lowest load; one in another failure domain counts as
// more loaded. Ties are resolved in favor of the first one from index start on, wrapping
// around: a caller that increments start spreads its requests among equal endpoints.
func ByLoad(candidates []Candidate, limits Limits, start int) Choice {
	result := newChoice(meansOf(candidates), &limits)
	result.Index, result.Reason = leastLoaded(candidates, start, &limits)
	return result
}

// leastLoaded returns the index of the healthy candidate with the lowest cost, or of the unhealthy
// one with the lowest cost if none is healthy: an attempt that may fail is better than none.
func leastLoaded(candidates []Candidate, start int, limits *Limits) (int, Reason) {
	if i := cheapest(candidates, start, false, limits); i >= 0 {
		return i, ReasonLeastLoaded
	}
	if i := cheapest(candidates, start, true, limits); i >= 0 {
		return i, ReasonLastResort
	}
	return -1, ReasonNone
}

// cheapest returns the index of the candidate with the lowest cost among the unhealthy or the
// healthy ones, or -1.
func cheapest(candidates []Candidate, start int, unhealthy bool, limits *Limits) int {
	found, lowest := -1, 0.0
	for n := range candidates {
		i := (start + n) % len(candidates)
		c := &candidates[i]
		if c.Draining || c.Excluded || c.Tried || c.Unhealthy != unhealthy {
			continue
		}
		if cost := limits.cost(c); found < 0 || cost < lowest {
			found, lowest = i, cost
		}
	}
	return found
}

// cost returns the cost of a candidate in requests of load. Requests that wait for a slot count
// twice, and another failure domain adds domainPenalty.
func (l *Limits) cost(c *Candidate) float64 {
	waiting := max(0, c.Load-float64(c.Slots))
	cost := c.effectiveLoad() + waiting
	if c.Domain != l.Domain {
		cost += domainPenalty
	}
	return cost
}
