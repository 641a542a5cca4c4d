package peers

import "github.com/ryeford/ryeford"

// requests are a sender's requests in flight, as reported in a message.
type requests struct {
	loads    []Load
	complete bool // loads cover all endpoints
	totals   []Total
	demands  []Demand
}

func requestsOf(message *Message) requests {
	return requests{loads: message.Loads, complete: message.Complete, totals: message.Totals, demands: message.Demands}
}

// sums are the total requests of the members whose loads count. They are updated with each message,
// so that the cost of an estimate does not depend on the number of peers.
type sums struct {
	loads    map[ryeford.EndpointID]int
	totals   map[uint32]int // by service
	demands  map[uint32]int // by prompt
	counted  int            // members whose loads count
	complete int            // counted members that reported all endpoints
}

func newSums() sums {
	return sums{loads: make(map[ryeford.EndpointID]int), totals: make(map[uint32]int), demands: make(map[uint32]int)}
}

// add adds a member's requests, or subtracts them if sign is -1.
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

// A Sample is the subset of the live peers whose loads count, and its requests at a service.
type Sample struct {
	Alive    int // live peers
	Counted  int // live peers whose loads count
	Complete int // counted peers that reported all endpoints, including those that report their load
	Requests int // requests in flight of the counted peers at the service
}

// KnownFraction returns the fraction of the live peers whose requests at an endpoint are known.
// reports states whether the endpoint reports its load.
func (s *Sample) KnownFraction(reports bool) float64 {
	known := s.Counted
	if reports {
		known = s.Complete
	}
	if s.Alive == 0 {
		return 0
	}
	return min(1, float64(known)/float64(s.Alive))
}

// ExtrapolateDemand estimates the number of requests with a prompt that all peers have in flight,
// from the number at the counted peers. If not all live peers are counted, one request is subtracted
// first, because most prompts have few requests and a single one must not be extrapolated.
func (s *Sample) ExtrapolateDemand(requests int) float64 {
	if s.Counted < s.Alive {
		requests = max(0, requests-1)
	}
	return s.Extrapolate(requests)
}

// Extrapolate estimates the number of requests that all peers have in flight, from the number at the
// counted peers. It returns zero if no peer's loads count.
func (s *Sample) Extrapolate(requests int) float64 {
	if s.Counted == 0 {
		return 0
	}
	return float64(requests) * float64(s.Alive) / float64(s.Counted)
}

// MeanPerEndpoint estimates the mean number of requests of all peers at each of the service's
// endpoints. It returns zero if no peer's loads count.
func (s *Sample) MeanPerEndpoint(endpoints int) float64 {
	if endpoints == 0 {
		return 0
	}
	return s.Extrapolate(s.Requests) / float64(endpoints)
}
