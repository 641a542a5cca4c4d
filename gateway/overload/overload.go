// Package overload decides whether a request is sent while its service may have too little room for all.
//
// How much room there is follows from the loads that endpoints report (package occupancy) or, if they report
// none, from arrivals and response times (package limit). Which requests get it follows from priorities, client
// accounts and goals (package fairshare). The package also owns the recent timeouts of callers, from which it
// derives whether a request has come back too late to be in time. It does no I/O.
package overload

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/fairshare"
	"github.com/ryeford/ryeford/gateway/limit"
	"github.com/ryeford/ryeford/gateway/occupancy"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/route"
)

// mixSentFor is how long after an overload the work by priority and account is sent to peers.
const mixSentFor = 2 * time.Second

// Options switch parts of the decision off.
type Options struct {
	// Limits limits the requests for services whose endpoints report no load.
	Limits bool
	// FairShares gives the room to priorities, accounts and requests in time, instead of to all requests alike.
	FairShares bool
}

// A Request is what the decision depends on.
type Request struct {
	Service  string
	Route    string
	Priority ryeford.Priority
	Account  ryeford.AccountID
	Work     float64       // tokens of the prompt, or 1 for a request without one
	Goal     time.Duration // latency goal of its route, or zero
	Timeout  time.Duration // for which its caller says that it waits, or zero
}

// A Source is what a decision is based on.
type Source string

// The sources of decisions.
const (
	SourceNone    Source = "none"    // nothing is known of the service's room
	SourceReports Source = "reports" // loads reported by endpoints
	SourceTimes   Source = "times"   // arrivals and response times
)

// A Decision is the answer to a request, with the figures that led to it.
type Decision struct {
	Admitted bool
	Source   Source
	Share    float64 // share of all requests that the service has room for
	OwnShare float64 // probability with which this request is admitted
	Late     bool    // the request has come back too late to be answered in time
	Priority ryeford.Priority
	// Occupancy is in requests per slot, for SourceReports. Limit holds the figures for SourceTimes.
	Occupancy float64
	Limit     limit.Decision
}

// LogFields returns the figures that led to the decision, as keys and values of a log line.
func (d *Decision) LogFields() []any {
	fields := []any{"priority", d.Priority, "load_from", d.Source, "share", roundShare(d.Share), "own_share", roundShare(d.OwnShare), "late", d.Late}
	if d.Source == SourceReports {
		return append(fields, "occupancy", roundShare(d.Occupancy))
	}
	return append(fields, "limit", roundShare(d.Limit.Limit), "arrivals", roundShare(d.Limit.Arrivals), "mean", d.Limit.Mean.Round(time.Millisecond/10))
}

// roundShare rounds to three decimals.
func roundShare(x float64) float64 { return math.Round(1000*x) / 1000 }

// A Table holds the state of all services. It is safe for concurrent use.
type Table struct {
	options   Options
	occupancy *occupancy.Table
	limits    *limit.Table
	shares    *fairshare.Table
	timeouts  *timeouts
	refusals  *refusals
	random    func() float64 // from 0 to 1

	mu         sync.Mutex
	overloaded map[string]overload
	reporting  map[uint32]bool // services whose endpoints report loads
}

// An overload is a service's most recent decision with a share below one.
type overload struct {
	at    time.Time
	share float64
}

// New returns a Table without services.
func New(options Options) *Table {
	return &Table{
		options:    options,
		occupancy:  occupancy.New(),
		limits:     limit.New(),
		shares:     fairshare.New(),
		timeouts:   newTimeouts(),
		refusals:   newRefusals(),
		random:     rand.Float64,
		overloaded: make(map[string]overload),
		reporting:  make(map[uint32]bool),
	}
}

// key returns the key of a service in messages and tables.
func key(service string) uint32 { return uint32(route.NameHash(service)) }

// Admit decides whether a request that arrives may be sent. room returns what its service may have; it is called
// only if the endpoints report no load.
func (t *Table) Admit(now time.Time, request *Request, room func() limit.Room) Decision {
	d := t.share(now, request, room)
	d.OwnShare, d.Priority = d.Share, request.Priority
	if t.options.FairShares {
		d.Late = t.timeouts.late(now, request)
		r := fairRequest(request, d.Late)
		t.shares.Arrive(now, key(request.Service), r)
		if d.Share < 1 {
			d.OwnShare = t.shares.ShareOf(now, key(request.Service), r, d.Share)
		}
	}
	if d.Share < 1 {
		t.recordOverload(now, request.Service, d.Share)
	}
	d.Admitted = d.OwnShare >= 1 || t.random() < d.OwnShare
	return d
}

// share returns the Decision without the request's own part.
func (t *Table) share(now time.Time, request *Request, room func() limit.Room) Decision {
	load, known := t.occupancy.Occupancy(now, request.Service)
	switch {
	case known && t.options.FairShares:
		return Decision{Source: SourceReports, Share: occupancy.ShareAt(load), Occupancy: load}
	case known && t.occupancy.Full(now, request.Service):
		return Decision{Source: SourceReports, Share: 0, Occupancy: load}
	case known:
		return Decision{Source: SourceReports, Share: 1, Occupancy: load}
	case t.options.Limits && !t.isReporting(key(request.Service)):
		limited := t.limits.Arrive(now, key(request.Service), room())
		return Decision{Source: SourceTimes, Share: limited.Share, Limit: limited}
	}
	return Decision{Source: SourceNone, Share: 1}
}

func fairRequest(request *Request, late bool) fairshare.Request {
	return fairshare.Request{
		Rank:    int(ryeford.PriorityHighest - request.Priority),
		Account: uint32(route.NameHash(string(request.Account))),
		Work:    request.Work,
		Late:    late,
	}
}

func (t *Table) recordOverload(now time.Time, service string, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overloaded[service] = overload{at: now, share: share}
}

// LowestShare returns the lowest share of the requests that any service had room for in the last second, or one.
func (t *Table) LowestShare(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	lowest := 1.0
	for _, o := range t.overloaded {
		if now.Sub(o.at) <= time.Second {
			lowest = min(lowest, o.share)
		}
	}
	return lowest
}

// Begin counts an attempt that is sent to an endpoint of a service, and End one that has ended.
func (t *Table) Begin(service string) { t.occupancy.Begin(service) }

// End counts an attempt that has ended.
func (t *Table) End(service string) { t.occupancy.End(service) }

// Report records the load that an endpoint with some slots reported with a response. load may be nil.
func (t *Table) Report(now time.Time, service string, slots int, load *ryeford.EndpointLoad) {
	t.occupancy.Report(now, service, slots, load)
	if load != nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.reporting[key(service)] = true
	}
}

// isReporting reports whether an endpoint of a service has ever reported its load.
func (t *Table) isReporting(key uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reporting[key]
}

// Answered records how long an endpoint that reports no load took for a request.
func (t *Table) Answered(now time.Time, service string, took time.Duration) {
	t.limits.Answered(now, key(service), took)
}

// Rejected records that an endpoint that reports no load had no room for a request with some Decision.
func (t *Table) Rejected(now time.Time, service string, decision *Decision) {
	t.limits.Rejected(now, key(service), decision.Share)
}

// Refused records that a request for a service was refused because of its load, by this router or an endpoint.
func (t *Table) Refused(now time.Time, service string) { t.refusals.add(now, service) }

// RefusingFor returns for how long requests for a service have been refused because of its load, or zero.
func (t *Table) RefusingFor(now time.Time, service string) time.Duration {
	return t.refusals.duration(now, service)
}

// Figures returns what this router reports to its peers.
func (t *Table) Figures(now time.Time) []peers.ServiceFigures {
	if !t.options.Limits && !t.options.FairShares {
		return nil
	}
	figures := slices.DeleteFunc(t.limits.Figures(now), func(f peers.ServiceFigures) bool { return t.isReporting(f.Service) })
	for _, service := range t.recentlyOverloaded(now) {
		mix := t.shares.Mix(now, service)
		if mix == nil {
			continue
		}
		found := false
		for i := range figures {
			if figures[i].Service == service {
				figures[i].Mix, found = mix, true
			}
		}
		if !found {
			figures = append(figures, peers.ServiceFigures{Service: service, Mix: mix})
		}
	}
	return figures
}

// recentlyOverloaded returns the keys of the services whose mix is sent, and drops the others.
func (t *Table) recentlyOverloaded(now time.Time) []uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []uint32
	for service, o := range t.overloaded {
		if now.Sub(o.at) > mixSentFor {
			delete(t.overloaded, service)
			continue
		}
		keys = append(keys, key(service))
	}
	return keys
}

// Merge merges a peer's figures. It returns the number of those that are implausible.
func (t *Table) Merge(now time.Time, figures []peers.ServiceFigures) (implausible int) {
	for i := range figures {
		f := &figures[i]
		if f.Mix != nil && !t.shares.Merge(now, f.Service, f.Mix) {
			implausible++
		}
		if f.Arrivals == 0 && f.Mix != nil && f.Responses == 0 {
			continue // the service's endpoints report loads
		}
		implausible += t.limits.Merge(now, figures[i:i+1])
	}
	return implausible
}
