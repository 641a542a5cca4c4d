package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ryeford/ryeford/gateway/peers"
)

const (
	// maxSentAccounts is the number of accounts in a message.
	maxSentAccounts = 8
	// workUnits is the number of units of work in messages for one unit of Request.Work.
	workUnits = 16.0
	// maxReportFactor limits the work of a peer's report as a multiple of the mean of this router's and the
	// peers', so that one router's report can't shut an account out.
	maxReportFactor = 2.0
	// implausibleFactor is the multiple of that limit above which a report is implausible. Below it, its sender may just
	// have more requests than most.
	implausibleFactor = 16.0
)

// Mix returns what this router reports to its peers of its requests for a service, or nil if there were none.
func (t *Table) Mix(now time.Time, key uint32) *peers.Mix {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[key]
	if s == nil {
		return nil
	}
	s.decay(now)
	sent := &peers.Mix{}
	for rank, w := range s.own.ranks {
		if all := sentWork(w.all); all > 0 {
			sent.Ranks = append(sent.Ranks, peers.RankWork{Rank: uint8(rank), Work: all, Late: sentWork(w.late)})
		}
	}
	if len(sent.Ranks) == 0 {
		return nil
	}
	for key, w := range s.own.accounts {
		sent.Accounts = append(sent.Accounts, peers.AccountWork{Rank: key.rank, Account: key.hash, Work: sentWork(w.all)})
	}
	slices.SortFunc(sent.Accounts, func(a, b peers.AccountWork) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Account, b.Account))
	})
	sent.Accounts = sent.Accounts[:min(len(sent.Accounts), maxSentAccounts)]
	return sent
}

func sentWork(work float64) uint32 { return uint32(min(work*workUnits, math.MaxUint32)) }

// Merge merges a peer's mix. It returns false if the mix is invalid or implausible, and counts only in part.
func (t *Table) Merge(now time.Time, key uint32, sent *peers.Mix) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(now, key)
	if s == nil {
		return false
	}
	received, plausible := receivedMix(sent)
	if received.total <= 0 {
		return plausible
	}
	factor := 1.0
	limit := maxReportFactor * (s.own.total + s.peers.total) / (1 + s.reports)
	if received.total > limit {
		factor = max(1, limit) / received.total
		plausible = plausible && (limit <= 0 || received.total <= implausibleFactor*limit)
	}
	s.peers.merge(&received, factor)
	s.reports++
	return plausible
}

// receivedMix returns the mix of a message, and whether it is valid as a whole.
func receivedMix(sent *peers.Mix) (received mix, valid bool) {
	received, valid = newMix(), true
	for _, r := range sent.Ranks {
		if r.Rank >= maxRanks || r.Late > r.Work {
			valid = false
			continue
		}
		w := work{all: float64(r.Work) / workUnits, late: float64(r.Late) / workUnits}
		received.total += w.all
		received.ranks[r.Rank] = received.ranks[r.Rank].plus(w, 1)
	}
	for _, a := range sent.Accounts[:min(len(sent.Accounts), maxSentAccounts)] {
		all := float64(a.Work) / workUnits
		if a.Rank >= maxRanks || all > received.ranks[a.Rank].all {
			valid = false
			continue
		}
		key := account{rank: a.Rank, hash: a.Account}
		received.accounts[key] = received.accounts[key].plus(work{all: all, late: all * received.ranks[a.Rank].lateShare()}, 1)
	}
	return received, valid
}
