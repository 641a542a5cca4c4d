package fairshare

import "math"

// Rule: if only a share of the work may be admitted, it goes to the priorities in order. Within the first priority that
// can't be served whole, client accounts get max-min fair shares of the work. Within an account, requests that can
// still be in time go before those that can't. Every request has a least share.
//
// Why: the less urgent give way first, an account that sends many times its usual takes little from the others, and
// room is not spent on late answers while others could be in time. The least share keeps priorities and accounts from
// starving.

const (
	// minimumShare is the least share of a request, as a part of the share of all work.
	minimumShare = 0.25
	// lateMinimum is the least share of a request that can't be in time, as a part of minimumShare.
	lateMinimum = 0.25
	// certainty is the number of standard deviations by which an account's work must exceed its fair share, so that
	// a few requests of a small account don't count as a surge.
	certainty = 0.5
	// levelSteps is the number of bisections by which the fair level is found: to a thousandth of the largest work.
	levelSteps = 10
)

// shareOf returns the probability with which a request is admitted, given the share of all work that may be admitted.
func (m *mix) shareOf(request *Request, share float64) float64 {
	if m.total <= 0 || share >= 1 {
		return min(1, share)
	}
	minimum := minimumShare * share
	fair := 1.0
	if room := m.room(request.Rank, share, minimum); room < m.ranks[request.Rank].all {
		fair = m.accountShare(request, room, minimum)
	}
	admitted := inTimeFirst(fair, m.accounts[request.account()].lateShare(), lateMinimum*minimum, request.Late)
	if request.Late {
		return admitted
	}
	return max(minimum, admitted)
}

// room returns the work of a priority that may be admitted: what higher ones leave, less the least share of lower
// ones.
func (m *mix) room(rank int, share, minimum float64) float64 {
	room := share * m.total
	for i := range m.ranks {
		switch {
		case i < rank:
			room -= m.ranks[i].all
		case i > rank:
			room -= minimum * m.ranks[i].all
		}
	}
	return max(room, minimum*m.ranks[rank].all)
}

// accountShare returns the part of an account's work that is admitted if room is the work of its priority that may
// be, and minimum the least part of each account's. An account without known work gets all of it.
func (m *mix) accountShare(request *Request, room, minimum float64) float64 {
	level := fairLevel(m.works(request.Rank), room, minimum, request.Work)
	return max(minimum, shareBelow(level, m.accounts[request.account()].all, request.Work))
}

// works returns the work of each account of a priority.
func (m *mix) works(rank int) []float64 {
	var works []float64
	for key, w := range m.accounts {
		if int(key.rank) == rank {
			works = append(works, w.all)
		}
	}
	return works
}

// fairLevel returns the work that no account may exceed, so that the accounts have no more than room together (max-min
// fairness), except for the least part of each. unit is the work of one request.
func fairLevel(works []float64, room, minimum, unit float64) float64 {
	low, high := 0.0, 0.0
	for _, w := range works {
		high = max(high, w)
	}
	for range levelSteps {
		middle := (low + high) / 2
		admitted := 0.0
		for _, w := range works {
			admitted += w * max(minimum, shareBelow(middle, w, unit))
		}
		if admitted > room {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// shareBelow returns the part of an account's work w that is admitted if no account may have more than level. unit is
// the work of one request: the work of random arrivals has a standard deviation.
func shareBelow(level, w, unit float64) float64 {
	if w <= level+certainty*math.Sqrt(w*unit) {
		return 1
	}
	return level / w
}

// inTimeFirst returns the probability with which a request is admitted if a share of its account's work is. late
// reports that it can no longer be in time, lateShare is the part of the work for which this holds, and least is the
// least probability for these.
func inTimeFirst(share, lateShare, least float64, late bool) float64 {
	inTime := 1 - lateShare
	switch {
	case late && share <= inTime:
		return least
	case late:
		return min(1, max(least, (share-inTime)/lateShare))
	case inTime <= 0:
		return 1
	}
	return min(1, max(0, share-lateShare*least)/inTime)
}
