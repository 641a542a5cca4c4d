package choice

// domainPenalty is how many requests of load an endpoint in another failure domain
// costs: below 1, so that the own domain only wins between nearly equal endpoints.
const domainPenalty = 0.6

// ByLoad chooses the least loaded endpoint; one in another failure domain counts as
// more loaded. Between equals it is the first one from index start on, wrapping
// around: a caller that counts start up spreads requests among them.
func ByLoad(candidates []Candidate, limits Limits, start int) Choice {
	result := newChoice(meansOf(candidates), &limits)
	result.Index, result.Reason = leastLoaded(candidates, start, &limits)
	return result
}

// leastLoaded returns the index of the healthy candidate with the lowest cost, or,
// if there is none, that of the unhealthy one: a request that may fail is better
// than one that surely does.
func leastLoaded(candidates []Candidate, start int, limits *Limits) (int, Reason) {
	if i := cheapest(candidates, start, false, limits); i >= 0 {
		return i, ReasonLeastLoaded
	}
	if i := cheapest(candidates, start, true, limits); i >= 0 {
		return i, ReasonLastResort
	}
	return -1, ReasonNone
}

// cheapest returns the index of the candidate with the lowest cost among those that
// are unhealthy, or those that are not, or -1.
func cheapest(candidates []Candidate, start int, unhealthy bool, limits *Limits) int {
	found, lowest := -1, 0.0
	for n := range candidates {
		i := (start + n) % len(candidates)
		c := &candidates[i]
		if c.Draining || c.Barred || c.Tried || c.Unhealthy != unhealthy {
			continue
		}
		if cost := limits.cost(c); found < 0 || cost < lowest {
			found, lowest = i, cost
		}
	}
	return found
}

// cost returns by what candidates are compared: requests of load, those that wait
// for a slot counted twice, and the penalty of another failure domain.
func (l *Limits) cost(c *Candidate) float64 {
	waiting := max(0, c.Load-float64(c.Slots))
	cost := c.Load + waiting
	if c.Domain != l.Domain {
		cost += domainPenalty
	}
	return cost
}
