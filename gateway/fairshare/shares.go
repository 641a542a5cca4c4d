package fairshare

import (
	"math"
	"slices"
)

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
	lateMinimum = 0.5
	// certainty is the number of standard deviations by which an account's work must exceed its fair share, so that
	// a few requests of a small account don't count as a surge.
	certainty = 0.5
)

// shareOf returns the probability with which a request is admitted, given the share of all work that may be admitted.
func (m *mix) shareOf(request *Request, share float64) float64 {
	if m.total <= 0 || share >= 1 {
		return min(1, share)
	}
	minimum := minimumShare * share
	fair := 1.0
	if room := m.room(request.Rank, share, minimum); room < m.ranks[request.Rank].all {
		fair = m.accountShare(request, room)
	}
	admitted := inTimeFirst(fair, m.accounts[request.account()].lateShare(), request.Late)
	if request.Late {
		minimum *= lateMinimum
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
// be. An account without known work gets all of it.
func (m *mix) accountShare(request *Request, room float64) float64 {
	works := m.works(request.Rank)
	level := fairLevel(works, room)
	admitted := 0.0
	for _, work := range works {
		admitted += work * shareBelow(level, work, request.Work)
	}
	share := shareBelow(level, m.accounts[request.account()].all, request.Work)
	if admitted > room {
		share *= room / admitted
	}
	return share
}

// works returns the work of the accounts of a priority in ascending order.
func (m *mix) works(rank int) []float64 {
	var works []float64
	for key, w := range m.accounts {
		if int(key.rank) == rank {
			works = append(works, w.all)
		}
	}
	slices.Sort(works)
	return works
}

// fairLevel returns the largest work of one account that is admitted whole, so that the accounts have no more than
// room together (max-min fairness). works is in ascending order.
func fairLevel(works []float64, room float64) float64 {
	for i, work := range works {
		if left := len(works) - i; work*float64(left) >= room {
			return room / float64(left)
		}
		room -= work
	}
	return room
}

// shareBelow returns the part of an account's work that is admitted if no account may have more than level. unit is
// the work of one request: the work of random arrivals has a standard deviation.
func shareBelow(level, work, unit float64) float64 {
	if work <= level+certainty*math.Sqrt(work*unit) {
		return 1
	}
	return level / work
}

// inTimeFirst returns the probability with which a request is admitted if a share of its account's work is. late
// reports that it can no longer be in time, and lateShare is the part of the work for which this holds.
func inTimeFirst(share, lateShare float64, late bool) float64 {
	inTime := 1 - lateShare
	switch {
	case late && share <= inTime:
		return 0
	case late:
		return min(1, (share-inTime)/lateShare)
	case share >= inTime:
		return 1
	}
	return share / inTime
}
