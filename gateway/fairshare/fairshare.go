// Package fairshare decides which requests are admitted while a service has too little room for all of them.
//
// It owns the work of recent requests by priority and client account: this router's, and what peers have reported.
// How much may be admitted is decided elsewhere, and passed in as a share. The package does no I/O. The rule is in
// shares.go.
package fairshare

import (
	"math"
	"sync"
	"time"

	"github.com/ryeford/ryeford/internal/decay"
)

const (
	// maxRanks is the number of distinct priorities.
	maxRanks = 10
	// maxAccounts bounds the accounts of a service that are tracked. The ones with the least work are dropped.
	maxAccounts = 64
	// maxServices bounds the services that are tracked.
	maxServices = 256
	// halfLife is the time after which work counts half.
	halfLife = 2 * time.Second
	// decayStep is how often work is decayed.
	decayStep = 20 * time.Millisecond
	// minWork is the decayed work below which an account or a service is dropped.
	minWork = 0.01
)

// A Request is what the decision depends on.
type Request struct {
	Rank    int     // number of priorities above the request's, from 0
	Account uint32  // hash of its client account
	Work    float64 // work that it takes, in a unit that is the same for all requests of the service
	Late    bool    // it can no longer be answered in time
}

// A Table holds the state of each service, by the hash of its name. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	services map[uint32]*service
}

// New returns a Table without services.
func New() *Table { return &Table{services: make(map[uint32]*service)} }

// A service is the state of one service.
type service struct {
	own, peers mix // decayed
	decayedAt  time.Time
	reports    float64 // decayed number of reports in peers
}

// Arrive counts the work of a request that arrives at a service.
func (t *Table) Arrive(now time.Time, key uint32, request Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.get(now, key); s != nil {
		request.clamp()
		s.own.add(&request)
	}
}

// ShareOf returns the probability with which a request is admitted, given the share of the service's work that may
// be admitted.
func (t *Table) ShareOf(now time.Time, key uint32, request Request, share float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(now, key)
	if s == nil {
		return share
	}
	request.clamp()
	all := s.combined()
	return all.shareOf(&request, share)
}

func (t *Table) get(now time.Time, key uint32) *service {
	s := t.services[key]
	if s == nil {
		if len(t.services) >= maxServices {
			t.removeIdle(now)
		}
		if len(t.services) >= maxServices {
			return nil
		}
		s = &service{own: newMix(), peers: newMix(), decayedAt: now}
		t.services[key] = s
	}
	s.decay(now)
	return s
}

// removeIdle removes the services without recent work.
func (t *Table) removeIdle(now time.Time) {
	for key, s := range t.services {
		s.decay(now)
		if s.own.total+s.peers.total < minWork {
			delete(t.services, key)
		}
	}
}

// account returns the key of the request's account.
func (r *Request) account() account { return account{rank: uint8(r.Rank), hash: r.Account} }

// clamp brings the fields into their ranges.
func (r *Request) clamp() {
	r.Rank = min(max(r.Rank, 0), maxRanks-1)
	if !(r.Work > 0) || math.IsInf(r.Work, 0) {
		r.Work = 1
	}
}

func (s *service) decay(now time.Time) {
	period := now.Sub(s.decayedAt)
	if period < decayStep {
		return
	}
	s.decayedAt = now
	factor := decay.Factor(period, halfLife)
	s.own.scale(factor)
	s.peers.scale(factor)
	s.reports *= factor
}

// combined returns this router's and the peers' work together.
func (s *service) combined() mix {
	all := newMix()
	all.merge(&s.own, 1)
	all.merge(&s.peers, 1)
	return all
}
