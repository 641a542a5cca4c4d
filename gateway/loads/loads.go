// Package loads estimates the number of requests at each endpoint.
//
// It owns this router's requests in flight and the loads that endpoints report with their
// responses, to this router or to a peer. The caller provides the requests that peers
// report, pairs Begin with End, and removes endpoints that are gone. The package does no I/O.
// The rule is in estimate.go.
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

// reportTTL is how long an endpoint status report is kept. Its weight is an eighth by then.
const reportTTL = 3 * reportHalfLife

// highLoadFactor is the load above which a report is forwarded with priority, as a multiple of the mean.
const highLoadFactor = 1.5

// forwardTTL is how long an endpoint status report is forwarded to peers. Older ones are of little use
// and would displace newer ones.
const forwardTTL = 1500 * time.Millisecond

// A Table holds the known loads of all endpoints. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	local   map[ryeford.EndpointID]*localRequests // this router's requests in flight
	reports map[uint32]report                     // latest report of each endpoint, by Key
	prompts map[uint32]int                        // this router's requests in flight, by prompt
	totals  map[uint32]int                        // this router's requests in flight, by service as in a peers.Total
}

// localRequests are this router's requests in flight at an endpoint.
type localRequests struct {
	number  int
	service uint32 // hash of the service, as in a peers.Total
}

// A report is an endpoint status report.
type report struct {
	at       time.Time // when the endpoint reported
	requests int       // running and waiting, from all routers
	others   int       // those that were not this router's when the report was received
	slowdown slowdown  // as last reported to this router
}

// New returns a Table without endpoints.
func New() *Table {
	return &Table{local: make(map[ryeford.EndpointID]*localRequests), reports: make(map[uint32]report), prompts: make(map[uint32]int), totals: make(map[uint32]int)}
}

// Key returns the key of an endpoint in reports, given the uniform hash of its ID. It is half of the
// hash, which is shorter than the ID. Endpoints whose keys collide count as equally loaded; among
// 3,500 endpoints a collision is rare.
func Key(hash uint64) uint32 { return uint32(hash) }

// Begin counts a request that is sent to an endpoint of a service.
func (t *Table) Begin(id ryeford.EndpointID, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.local[id] == nil {
		t.local[id] = &localRequests{service: Key(route.NameHash(service))}
	}
	t.local[id].number++
	t.totals[t.local[id].service]++
}

// End counts a request that has ended.
func (t *Table) End(id ryeford.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	local := t.local[id]
	if local == nil {
		return
	}
	t.subtract(local.service, 1)
	if local.number--; local.number <= 0 {
		delete(t.local, id)
	}
}

// subtract subtracts requests from the total of a service.
func (t *Table) subtract(service uint32, requests int) {
	if t.totals[service] -= requests; t.totals[service] <= 0 {
		delete(t.totals, service)
	}
}

// BeginPrompt counts a request with a prompt, which is identified by the hash that places it on
// endpoints.
func (t *Table) BeginPrompt(prompt uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prompts[uint32(prompt)]++
}

// EndPrompt counts the end of a request with a prompt.
func (t *Table) EndPrompt(prompt uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.prompts[uint32(prompt)]--; t.prompts[uint32(prompt)] <= 0 {
		delete(t.prompts, uint32(prompt))
	}
}

// LocalPrompt returns the number of this router's requests in flight with a prompt.
func (t *Table) LocalPrompt(prompt uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prompts[uint32(prompt)]
}

// Demands returns this router's requests in flight by prompt, as they are sent to peers.
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

// LocalTotal returns the number of this router's requests in flight at all endpoints of a service.
func (t *Table) LocalTotal(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totals[Key(route.NameHash(service))]
}

// localAt returns the number of this router's requests in flight at an endpoint.
func (t *Table) localAt(id ryeford.EndpointID) int {
	if local := t.local[id]; local != nil {
		return local.number
	}
	return 0
}

// Report stores the load that an endpoint reported to this router. It does nothing if load is nil.
func (t *Table) Report(now time.Time, id ryeford.EndpointID, load *ryeford.EndpointLoad) {
	if load == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	requests := load.Running + load.Waiting
	t.reports[Key(route.NameHash(string(id)))] = report{
		at: now, requests: requests, others: max(0, requests-t.localAt(id)), slowdown: slowdown{at: now, factor: load.Slowdown},
	}
}

// Merge merges endpoint status reports that peers have received. Newer ones replace older ones.
func (t *Table) Merge(now time.Time, reports []peers.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		at := now.Add(-r.Age)
		if r.Age < reportTTL && at.After(t.reports[r.Endpoint].at) {
			t.reports[r.Endpoint] = report{at: at, requests: r.Requests, others: r.Requests, slowdown: t.reports[r.Endpoint].slowdown}
		}
	}
}

// Observe returns what is known here of an endpoint. The caller adds the requests that peers have
// reported. hash is the uniform hash of the endpoint's ID.
func (t *Table) Observe(now time.Time, id ryeford.EndpointID, hash uint64) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := Observation{Local: t.localAt(id)}
	if r, ok := t.reports[Key(hash)]; ok {
		o.Reported, o.Others, o.Age = true, float64(r.others), now.Sub(r.at)
		o.Slowdown = r.slowdown.expected(now)
	}
	return o
}

// Reports returns endpoint status reports to forward to peers: the n newest ones of high loads, which
// matter for the cap, and m random ones of the others.
func (t *Table) Reports(now time.Time, n, m int) []peers.Report {
	high, others := splitByLoad(t.forwardable(now))
	slices.SortFunc(high, func(a, b peers.Report) int { return cmp.Compare(a.Age, b.Age) })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(high[:min(n, len(high)):min(n, len(high))], others[:min(m, len(others))]...)
}

// forwardable returns the reports that are recent enough to be forwarded, and drops expired ones.
func (t *Table) forwardable(now time.Time) []peers.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var forwardable []peers.Report
	for key, r := range t.reports {
		switch age := now.Sub(r.at); {
		case age > reportTTL:
			delete(t.reports, key)
		case age <= forwardTTL:
			forwardable = append(forwardable, peers.Report{Endpoint: key, Requests: r.requests, Age: age})
		}
	}
	return forwardable
}

// splitByLoad separates the reports of high loads from the others.
func splitByLoad(reports []peers.Report) (high, others []peers.Report) {
	sum := 0
	for _, r := range reports {
		sum += r.Requests
	}
	from := highLoadFactor * float64(sum) / float64(max(1, len(reports)))
	for _, r := range reports {
		if float64(r.Requests) >= from {
			high = append(high, r)
		} else {
			others = append(others, r)
		}
	}
	return high, others
}

// Local returns this router's requests in flight, as they are sent to peers: the totals by service, and
// those at each endpoint. Unless all is true, endpoints that report their loads are left out.
func (t *Table) Local(all bool) (totals []peers.Total, local []peers.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, requests := range t.local {
		if _, reports := t.reports[Key(route.NameHash(string(id)))]; all || !reports {
			local = append(local, peers.Load{Endpoint: id, Requests: requests.number})
		}
	}
	for service, requests := range t.totals {
		totals = append(totals, peers.Total{Service: service, Requests: requests})
	}
	return totals, local
}

// Remove drops an endpoint that is gone.
func (t *Table) Remove(id ryeford.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if local := t.local[id]; local != nil {
		t.subtract(local.service, local.number)
		delete(t.local, id)
	}
	delete(t.reports, Key(route.NameHash(string(id))))
}
