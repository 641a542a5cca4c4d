// Package loads estimates how many requests each endpoint has.
//
// It owns this router's own requests under way and what endpoints have reported of their loads
// with their responses, to this router or to a peer. It relies on the caller for what the
// peers report of their own requests, for pairing Begin with End, and for forgetting endpoints
// that are gone. It does no I/O. The rule is in estimate.go.
package loads

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/route"
)

// reportTTL is how long an endpoint's word of its load is kept: then it weighs an eighth.
const reportTTL = 3 * reportHalfLife

// highLoad is the load from which a report says more than most, in multiples of the mean.
const highLoad = 1.5

// passOnTTL is how long such a word is passed on to peers. What is older is of little use to
// them, and takes the place of what is newer.
const passOnTTL = 1500 * time.Millisecond

// A Table holds what is known of each endpoint's load. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	own     map[ryeford.EndpointID]*ownRequests // this router's requests under way
	reports map[uint32]report                   // the newest word of each endpoint, by Key
	prompts map[uint32]int                      // this router's requests under way, by prompt
	totals  map[uint32]int                      // the same, by service as in a peers.Total
}

// ownRequests are this router's requests under way at an endpoint.
type ownRequests struct {
	number  int
	service uint32 // as in a peers.Total
}

// A report is what an endpoint has reported of its load.
type report struct {
	at       time.Time // when it did
	requests int       // running and waiting, of all routers
	others   int       // of these, those that weren't this router's when it learnt of them
}

// New returns a Table without endpoints.
func New() *Table {
	return &Table{own: make(map[ryeford.EndpointID]*ownRequests), reports: make(map[uint32]report), prompts: make(map[uint32]int), totals: make(map[uint32]int)}
}

// Key returns by what reports name an endpoint, given the uniform hash of its ID: half of the
// hash, which is shorter than the ID. Of 3,500 endpoints two have the same one in a fleet of
// 700, and then pass for equally loaded.
func Key(hash uint64) uint32 { return uint32(hash) }

// Begin counts a request that is sent to an endpoint of a service.
func (t *Table) Begin(id ryeford.EndpointID, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.own[id] == nil {
		t.own[id] = &ownRequests{service: Key(route.NameHash(service))}
	}
	t.own[id].number++
	t.totals[t.own[id].service]++
}

// End counts a request that has ended.
func (t *Table) End(id ryeford.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.own[id]
	if own == nil {
		return
	}
	t.countOut(own.service, 1)
	if own.number--; own.number <= 0 {
		delete(t.own, id)
	}
}

// countOut takes requests of a service out of the total.
func (t *Table) countOut(service uint32, requests int) {
	if t.totals[service] -= requests; t.totals[service] <= 0 {
		delete(t.totals, service)
	}
}

// BeginPrompt counts a request with a prompt, which is named by the hash by which its
// endpoints are found.
func (t *Table) BeginPrompt(prompt uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prompts[uint32(prompt)]++
}

// EndPrompt counts that such a request has ended.
func (t *Table) EndPrompt(prompt uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.prompts[uint32(prompt)]--; t.prompts[uint32(prompt)] <= 0 {
		delete(t.prompts, uint32(prompt))
	}
}

// Prompt returns this router's requests under way with a prompt.
func (t *Table) Prompt(prompt uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prompts[uint32(prompt)]
}

// Demands returns this router's requests under way by prompt, as peers are sent them.
func (t *Table) Demands() []peers.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var demands []peers.Demand
	for prompt, requests := range t.prompts {
		demands = append(demands, peers.Demand{Prompt: prompt, Requests: requests})
	}
	slices.SortFunc(demands, func(a, b peers.Demand) int { return b.Requests - a.Requests })
	return demands[:min(len(demands), peers.MaxDemands)]
}

// Total returns this router's requests under way at all endpoints of a service.
func (t *Table) Total(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totals[Key(route.NameHash(service))]
}

// ownAt returns this router's requests under way at an endpoint.
func (t *Table) ownAt(id ryeford.EndpointID) int {
	if own := t.own[id]; own != nil {
		return own.number
	}
	return 0
}

// Report stores the load that an endpoint reported to this router, if it did: load may be nil.
func (t *Table) Report(now time.Time, id ryeford.EndpointID, load *ryeford.EndpointLoad) {
	if load == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	requests := load.Running + load.Waiting
	t.reports[Key(route.NameHash(string(id)))] = report{at: now, requests: requests, others: max(0, requests-t.ownAt(id))}
}

// Learn takes what peers have received of the loads of endpoints.
func (t *Table) Learn(now time.Time, reports []peers.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		at := now.Add(-r.Age)
		if r.Age < reportTTL && at.After(t.reports[r.Endpoint].at) {
			t.reports[r.Endpoint] = report{at: at, requests: r.Requests, others: r.Requests}
		}
	}
}

// Observe returns what is known of an endpoint here; the caller adds what peers have reported of
// their own requests. hash is that of the endpoint's ID.
func (t *Table) Observe(now time.Time, id ryeford.EndpointID, hash uint64) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := Observation{Own: t.ownAt(id)}
	if r, ok := t.reports[Key(hash)]; ok {
		o.Reports, o.Others, o.Age = true, float64(r.others), now.Sub(r.at)
	}
	return o
}

// Reports returns reports to pass on: at most n of high loads, which decide where the bound is
// passed, the newest ones; and at most m others, drawn at random.
func (t *Table) Reports(now time.Time, n, m int) []peers.Report {
	high, others := byHighLoad(t.fresh(now))
	slices.SortFunc(high, func(a, b peers.Report) int { return cmp.Compare(a.Age, b.Age) })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(high[:min(n, len(high)):min(n, len(high))], others[:min(m, len(others))]...)
}

// fresh returns the reports that are passed on.
func (t *Table) fresh(now time.Time) []peers.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []peers.Report
	for key, r := range t.reports {
		switch age := now.Sub(r.at); {
		case age > reportTTL:
			delete(t.reports, key)
		case age <= passOnTTL:
			fresh = append(fresh, peers.Report{Endpoint: key, Requests: r.requests, Age: age})
		}
	}
	return fresh
}

// byHighLoad divides reports into those of high loads and the others.
func byHighLoad(reports []peers.Report) (high, others []peers.Report) {
	sum := 0
	for _, r := range reports {
		sum += r.Requests
	}
	from := highLoad * float64(sum) / float64(max(1, len(reports)))
	for _, r := range reports {
		if float64(r.Requests) >= from {
			high = append(high, r)
		} else {
			others = append(others, r)
		}
	}
	return high, others
}

// Own returns this router's requests under way, as peers are sent them: the totals by service,
// and those at each endpoint, or only at those that don't report their loads.
func (t *Table) Own(all bool) (totals []peers.Total, own []peers.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, requests := range t.own {
		if _, reports := t.reports[Key(route.NameHash(string(id)))]; all || !reports {
			own = append(own, peers.Load{Endpoint: id, Requests: requests.number})
		}
	}
	for service, requests := range t.totals {
		totals = append(totals, peers.Total{Service: service, Requests: requests})
	}
	return totals, own
}

// Forget drops an endpoint that is gone.
func (t *Table) Forget(id ryeford.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if own := t.own[id]; own != nil {
		t.countOut(own.service, own.number)
		delete(t.own, id)
	}
	delete(t.reports, Key(route.NameHash(string(id))))
}
