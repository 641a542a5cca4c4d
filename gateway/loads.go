package gateway

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/route"
)

// reportHalfLife is the time in which what an endpoint told of its load counts
// half, once nothing newer comes.
const reportHalfLife = 1500 * time.Millisecond

// loads estimates the load of each endpoint: this router's requests, and those of
// the others: as they tell, or else as the endpoint told last.
type loads struct {
	mu     sync.Mutex
	states map[ryeford.EndpointID]*loadState
}

type loadState struct {
	hash     uint64
	own      int // this router's requests under way
	reported float64
	ownThen  int
	at       time.Time
}

// newLoads returns loads without endpoints.
func newLoads() *loads { return &loads{states: make(map[ryeford.EndpointID]*loadState)} }

// get returns the state of an endpoint.
func (l *loads) get(id ryeford.EndpointID) *loadState {
	s := l.states[id]
	if s == nil {
		s = &loadState{hash: route.NameHash(string(id))}
		l.states[id] = s
	}
	return s
}

// begin counts a request that is sent.
func (l *loads) begin(id ryeford.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(id).own++
}

// end counts a request that has ended.
func (l *loads) end(id ryeford.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.states[id]; s != nil && s.own > 0 {
		s.own--
	}
}

// report takes what an endpoint told of its load.
func (l *loads) report(now time.Time, id ryeford.EndpointID, load *ryeford.EndpointLoad) {
	if load == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(id)
	s.reported = float64(load.Running + load.Waiting)
	s.ownThen = s.own
	s.at = now
}

// estimate returns the hash of an endpoint and its estimated load. told is what
// the other routers tell of theirs, and known whether any of them does.
func (l *loads) estimate(now time.Time, id ryeford.EndpointID, told float64, known bool) (uint64, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(id)
	if known {
		return s.hash, told + float64(s.own)
	}
	others := max(0, s.reported-float64(s.ownThen))
	for age := now.Sub(s.at); age > reportHalfLife && others > 0.1; age -= reportHalfLife {
		others /= 2
	}
	return s.hash, others + float64(s.own)
}

// own returns this router's requests under way.
func (l *loads) own() []peers.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	var own []peers.Load
	for id, s := range l.states {
		if s.own > 0 {
			own = append(own, peers.Load{Endpoint: id, Requests: s.own})
		}
	}
	return own
}

// forget drops an endpoint.
func (l *loads) forget(id ryeford.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.states, id)
}
