package choice

// capOffset is how many requests an endpoint may have beyond CapFactor times the
// mean. It keeps endpoints from being full while the mean is near zero. The platform's
// bound is 3; a router learns of the others' requests late, so it stays one below. The
// value is part of each row of docs/design.md from "full at 2 x mean + 2" on; 1 made
// no clear difference ("One constant at a time").
const capOffset = 2.0

// meanLoad returns the mean load, in requests, of the candidates that accept
// requests.
func meanLoad(candidates []Candidate) float64 {
	sum, n := 0.0, 0
	for i := range candidates {
		if candidates[i].Draining {
			continue
		}
		sum += candidates[i].Load
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// full returns the load, in requests, above which an endpoint is full.
func (l *Limits) full(mean float64) float64 { return l.CapFactor*mean + l.CapOffset }
