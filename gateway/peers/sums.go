package peers

import "github.com/ryeford/ryeford"

// A requests is what a message says of its sender's requests under way.
type requests struct {
	loads    []Load
	complete bool // loads are those at all endpoints
	totals   []Total
	demands  []Demand
}

func requestsOf(message *Message) requests {
	return requests{loads: message.Loads, complete: message.Complete, totals: message.Totals, demands: message.Demands}
}

// sums are the requests of the members whose loads count. They are kept from message to
// message so that an estimate costs the same however many peers there are.
type sums struct {
	loads    map[ryeford.EndpointID]int
	totals   map[uint32]int // by service
	demands  map[uint32]int // by prompt
	counted  int            // members
	complete int            // of these, those that reported all endpoints
}

func newSums() sums {
	return sums{loads: make(map[ryeford.EndpointID]int), totals: make(map[uint32]int), demands: make(map[uint32]int)}
}

// add adds a member's requests, or takes them out if sign is -1.
func (s *sums) add(r *requests, sign int) {
	for _, load := range r.loads {
		if s.loads[load.Endpoint] += sign * load.Requests; s.loads[load.Endpoint] == 0 {
			delete(s.loads, load.Endpoint)
		}
	}
	for _, total := range r.totals {
		if s.totals[total.Service] += sign * total.Requests; s.totals[total.Service] == 0 {
			delete(s.totals, total.Service)
		}
	}
	for _, demand := range r.demands {
		if s.demands[demand.Prompt] += sign * demand.Requests; s.demands[demand.Prompt] == 0 {
			delete(s.demands, demand.Prompt)
		}
	}
	s.counted += sign
	if r.complete {
		s.complete += sign
	}
}

// A Sample says which part of the peers those are whose loads count.
type Sample struct {
	Alive    int // peers
	Counted  int // of these, those whose loads count
	Complete int // of these, those that reported all endpoints, also of those that report
	Requests int // that the counted ones have under way at the service
}

// Share returns the part of the peers whose requests are known at an endpoint, which may be
// one that reports its load.
func (s *Sample) Share(reports bool) float64 {
	known := s.Counted
	if reports {
		known = s.Complete
	}
	if s.Alive == 0 {
		return 0
	}
	return min(1, float64(known)/float64(s.Alive))
}

// Demand estimates how many requests with a prompt all peers have under way of which the counted
// ones have some. One that a part of the peers has says nothing of the others: most prompts
// have few requests.
func (s *Sample) Demand(requests int) float64 {
	if s.Counted < s.Alive {
		requests = max(0, requests-1)
	}
	return s.All(requests)
}

// All estimates how many requests all peers have under way of which the counted ones have some,
// or returns zero if no peer's loads count.
func (s *Sample) All(requests int) float64 {
	if s.Counted == 0 {
		return 0
	}
	return float64(requests) * float64(s.Alive) / float64(s.Counted)
}

// Mean returns how many requests all peers together have at each of so many endpoints of the
// service, on average, or zero if no peer's loads count.
func (s *Sample) Mean(endpoints int) float64 {
	if endpoints == 0 {
		return 0
	}
	return s.All(s.Requests) / float64(endpoints)
}
