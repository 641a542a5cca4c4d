package load

const (
	// minSamples is the number of samples from which the estimate is considered reliable.
	minSamples = 8

	// saturationProbes is the number of candidates that reported their load without
	// admitting the request after which the fleet is considered saturated.
	saturationProbes = 3

	// maxIncrease limits, in requests, how far probes raise a reliable estimate. It lets a
	// saturated fleet admit one more request to each engine.
	maxIncrease = 0.5
)

// Probes holds the loads, in requests, that the candidates of one request reported. The
// zero value is empty and ready to use.
//
// Probes is not safe for concurrent use.
type Probes struct {
	sum       float64
	count     int
	saturated bool
}

// Add adds the load of a candidate, without the request.
func (p *Probes) Add(value float64) {
	p.sum += value
	p.count++
}

// MarkSaturated records that all candidates have refused the request.
func (p *Probes) MarkSaturated() { p.saturated = true }

// Mean returns the mean load, in requests, that the next candidate uses for admission,
// given the model's estimate and the number of samples that it is based on.
//
// The result is the estimate if that is reliable and the request has few probes.
// Otherwise it is the mean of the probes, if that is higher. The probes are biased
// towards high loads, because only candidates that refused the request are included. A
// reliable estimate is therefore raised by at most maxIncrease.
//
// The increase is needed by a saturated fleet with a small bound: its mean stays slightly
// below the bound, and the bound, in whole requests, would never grow.
func (p *Probes) Mean(estimate float64, samples int) float64 {
	reliable := samples >= minSamples
	if p.count == 0 || (reliable && p.count < saturationProbes && !p.saturated) {
		return estimate
	}
	reported := p.sum / float64(p.count)
	if reliable {
		reported = min(reported, estimate+maxIncrease)
	}
	return max(estimate, reported)
}
