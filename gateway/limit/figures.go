package limit

import (
	"time"

	"github.com/ryeford/ryeford/gateway/peers"
)

// The units of the figures in messages.
const (
	arrivalUnits  = 100.0 // arrivals per second are sent in hundredths
	responseUnits = 16.0  // responses are sent in sixteenths
)

// sentFor is how long after its last arrival at this router a service is reported to peers. Routers without a
// request report zero for it, since the peers take means.
const sentFor = 30 * time.Second

// Figures returns what this router reports to its peers of its requests for each service.
func (t *Table) Figures(now time.Time) []peers.ServiceFigures {
	t.mu.Lock()
	defer t.mu.Unlock()
	var figures []peers.ServiceFigures
	for key, s := range t.services {
		if s.lastArrival.IsZero() || now.Sub(s.lastArrival) > sentFor {
			continue
		}
		s.times.own.decay(now)
		f := peers.ServiceFigures{Service: key, Arrivals: uint32(s.arrivals.rate(now) * arrivalUnits), Responses: uint32(s.times.own.weight * responseUnits)}
		if f.Responses > 0 {
			f.Mean = uint32(seconds(s.times.own.sum / s.times.own.weight).Microseconds())
		}
		figures = append(figures, f)
	}
	return figures
}

// Merge merges a peer's figures. It returns the number of those that are implausible, which count only up to a
// limit or not at all.
func (t *Table) Merge(now time.Time, figures []peers.ServiceFigures) (implausible int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range figures {
		f := &figures[i]
		s := t.get(now, f.Service)
		if s == nil {
			implausible++
			continue
		}
		if !s.arrivals.report(now, float64(f.Arrivals)/arrivalUnits) {
			implausible++
		}
		if !s.times.report(now, time.Duration(f.Mean)*time.Microsecond, float64(f.Responses)/responseUnits) {
			implausible++
		}
	}
	return implausible
}
