package loads

import (
	"time"

	"github.com/ryeford/ryeford/internal/decay"
)

// Slowdown of work at an endpoint.
//
// Rule: the expected slowdown is the one that the endpoint last reported to this router, which decays
// toward the usual speed. Peers are not sent it.
//
// Why: endpoints share their VMs with other work, so their speed changes several times a second. A
// report that a peer passes on would be out of date on arrival.

const (
	// usualSlowdown is the slowdown of an endpoint that works at its usual speed.
	usualSlowdown = 1.0
	// slowdownHalfLife is the time after which the difference from the usual speed has halved.
	slowdownHalfLife = 100 * time.Millisecond
)

// A slowdown is the slowdown that an endpoint has reported.
type slowdown struct {
	at     time.Time
	factor float64 // zero if it was not reported
}

// expected returns the expected slowdown at now, or zero if none was reported.
func (s slowdown) expected(now time.Time) float64 {
	if s.factor <= 0 {
		return 0
	}
	kept := decay.Factor(now.Sub(s.at), slowdownHalfLife)
	return usualSlowdown + kept*(s.factor-usualSlowdown)
}
