package fairshare

import "math"

// A mix is the work of recent requests by priority and account, in any unit.
type mix struct {
	total    float64
	ranks    [maxRanks]work
	accounts map[account]work
}

// work is the work of the requests of one priority or account.
type work struct {
	all  float64
	late float64 // part of all that can no longer be in time
}

func (w work) plus(v work, factor float64) work {
	return work{all: w.all + factor*v.all, late: w.late + factor*v.late}
}

// lateShare returns the part of the work that can no longer be in time.
func (w work) lateShare() float64 {
	if w.all <= 0 {
		return 0
	}
	return min(1, w.late/w.all)
}

// An account is a client account's requests of one priority.
type account struct {
	rank uint8
	hash uint32
}

func newMix() mix { return mix{accounts: make(map[account]work)} }

// add adds the work of a request.
func (m *mix) add(request *Request) {
	w := work{all: request.Work}
	if request.Late {
		w.late = request.Work
	}
	m.total += w.all
	m.ranks[request.Rank] = m.ranks[request.Rank].plus(w, 1)
	key := request.account()
	m.accounts[key] = m.accounts[key].plus(w, 1)
	m.limitAccounts()
}

// merge adds the work of another mix times factor.
func (m *mix) merge(other *mix, factor float64) {
	m.total += factor * other.total
	for i := range m.ranks {
		m.ranks[i] = m.ranks[i].plus(other.ranks[i], factor)
	}
	for key, w := range other.accounts {
		m.accounts[key] = m.accounts[key].plus(w, factor)
	}
	m.limitAccounts()
}

// limitAccounts drops the accounts with the least work beyond maxAccounts.
func (m *mix) limitAccounts() {
	for len(m.accounts) > maxAccounts {
		var least account
		lowest := math.Inf(1)
		for key, w := range m.accounts {
			if w.all < lowest {
				least, lowest = key, w.all
			}
		}
		delete(m.accounts, least)
	}
}

// scale multiplies all work by factor, and drops accounts with hardly any.
func (m *mix) scale(factor float64) {
	m.total *= factor
	for i := range m.ranks {
		m.ranks[i] = work{}.plus(m.ranks[i], factor)
	}
	for key, w := range m.accounts {
		m.accounts[key] = work{}.plus(w, factor)
		if w.all*factor < minWork {
			delete(m.accounts, key)
		}
	}
}
