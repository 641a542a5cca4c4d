package load

const (
	// enoughSamples is from how many samples on the estimate is trusted alone. Without
	// unit.
	minSamples = 8

	// saturatedProbes is after how many probes in a row, none of which admitted the
	// request, the fleet counts as saturated. Without unit. With 2 the worst
	// skew was 1.79 to 1.95.
	saturationProbes = 3

	// maxRaise is by how much probes may raise a good estimate, in requests: enough to
	// let a saturated fleet admit one more request to each engine. Worst skew
	// 1.56 without it, 1.51 with it (load-bound.txtar).
	maxIncrease = 0.5
)

// Probes are the loads that the candidates of one request reported, in requests. The
// zero Probes has none.
//
// Probes must not be used by two goroutines at once.
type Probes struct {
	sum       float64
	count     int
	saturated bool
}

// Add adds the load that a candidate had before the request.
func (p *Probes) Add(value float64) {
	p.sum += value
	p.count++
}

// MarkSaturated says that all candidates that there are have refused the request.
func (p *Probes) MarkSaturated() { p.saturated = true }

// Mean returns the mean load, in requests, that the next candidate is to admit against,
// given the model's estimate, known, and the number of samples that it rests on.
//
// It is the estimate, while that rests on enough samples and the request has few probes.
// Otherwise it is what the probes reported, if that is higher. They are no fair sample:
// probes go on because the candidates refused, and so these are the loaded ones. A good
// estimate is therefore raised by maxRaise at most.
//
// Without the raise a fleet that is full at a small bound stays there: its mean is a
// little below the bound, and the bound, in whole requests, does not grow.
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
