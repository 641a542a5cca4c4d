// Package loads estimates how many requests each endpoint has.
//
// It owns this router's own requests under way and the last load that each endpoint
// reported with a response. It relies on the caller for what the peers report, for
// pairing Begin with End, and for forgetting endpoints that are gone. It does no
// I/O.
package loads

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/peers"
)

const (
	// reportHalfLife is the time after which a reported load weighs half, unless a
	// newer one comes: the requests that it counted end meanwhile. 0.5, 0.8,
	// 1.5 and 3 s differ by less than noise, 0.5 s is the worst. Peers' own reports
	// overrule it.
	reportHalfLife = 1500 * time.Millisecond
	// negligible is the number of requests below which a report is no longer halved;
	// it bounds the loop for endpoints that have been idle for long.
	negligible = 0.1
)

// A Table holds what is known of each endpoint's load.
type Table struct {
	mu     sync.Mutex
	states map[ryeford.EndpointID]*state
}

type state struct {
	own        int     // this router's requests under way
	reported   float64 // by the endpoint: running and waiting, of all routers
	ownThen    int     // this router's requests under way at that time
	reportedAt time.Time
}

// New returns a Table without endpoints.
func New() *Table { return &Table{states: make(map[ryeford.EndpointID]*state)} }

func (t *Table) get(id ryeford.EndpointID) *state {
	s := t.states[id]
	if s == nil {
		s = &state{}
		t.states[id] = s
	}
	return s
}

// Begin counts a request that is sent to an endpoint.
func (t *Table) Begin(id ryeford.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(id).own++
}

// End counts a request that has ended.
func (t *Table) End(id ryeford.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[id]; s != nil && s.own > 0 {
		s.own--
	}
}

// Report stores the load that an endpoint reported, if it did: load may be nil.
func (t *Table) Report(now time.Time, id ryeford.EndpointID, load *ryeford.EndpointLoad) {
	if load == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	s.reported, s.ownThen, s.reportedAt = float64(load.Running+load.Waiting), s.own, now
}

// Estimate returns the estimated number of requests at an endpoint. peers is the
// estimated number of the other routers' requests there; peersKnown says whether any
// of them has reported lately.
func (t *Table) Estimate(now time.Time, id ryeford.EndpointID, peers float64, peersKnown bool) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	if peersKnown {
		return peers + float64(s.own)
	}
	return s.others(now) + float64(s.own)
}

// others estimates how many requests the other routers have at the endpoint, by its
// report: what it had beside this router's own, halved for each half-life since.
func (s *state) others(now time.Time) float64 {
	others := max(0, s.reported-float64(s.ownThen))
	for age := now.Sub(s.reportedAt); age > reportHalfLife && others > negligible; age -= reportHalfLife {
		others /= 2
	}
	return others
}

// Own returns this router's requests under way, by endpoint, as peers are sent them.
func (t *Table) Own() []peers.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own []peers.Load
	for id, s := range t.states {
		if s.own > 0 {
			own = append(own, peers.Load{Endpoint: id, Requests: s.own})
		}
	}
	return own
}

// Forget drops an endpoint that is gone.
func (t *Table) Forget(id ryeford.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.states, id)
}
