package outlier

import "time"

// Limits for the ejection of endpoints.
const (
	// consecutiveFailures is how many failures in a row eject an endpoint. It exceeds the two
	// failures that a broken connection and the retry after it cause.
	consecutiveFailures = 3
	// failureShare, from 0 to 1, is the share of failures among the recent responses that
	// ejects an endpoint whose failures are not in a row.
	failureShare = 0.35
	// minResponses is the minimum weight of recent responses for failureShare to apply.
	minResponses = 8
	// halfLife is the time after which the weight of a response has halved.
	halfLife = 4 * time.Second
	// baseEjection is the duration of the first ejection. Each further one lasts twice as
	// long, up to maxEjection.
	baseEjection = 1500 * time.Millisecond
	maxEjection  = 6 * time.Second
	// maxSilence is how long an endpoint may leave a request without the first byte of a
	// response.
	maxSilence = time.Second
	// maxDoublings limits the shift in the duration of an ejection, so that it doesn't
	// overflow.
	maxDoublings = 8
	// negligibleWeight is the weight of responses below which a record counts as empty.
	negligibleWeight = 0.01
)

// Durations of ejections that a single event causes, regardless of the record.
const (
	// UnreachableEjection is for an endpoint that accepts no connection. It may be restarting.
	UnreachableEjection = 1500 * time.Millisecond
	// MisdirectedEjection is for an endpoint whose address responds as another endpoint, until
	// the list of endpoints is up to date.
	MisdirectedEjection = 5 * time.Second
)

// ejects reports whether an endpoint with this record, which has just failed, is ejected: for
// consecutive failures, or for its share of failures.
func (r *record) ejects() bool {
	if r.consecutive >= consecutiveFailures {
		return true
	}
	return r.responses >= minResponses && r.failures/r.responses >= failureShare
}

// ejectionDuration returns the duration of an ejection that follows earlier others in succession.
func ejectionDuration(earlier int) time.Duration {
	return min(maxEjection, baseEjection<<min(earlier, maxDoublings))
}

// silent reports whether an endpoint has left a request unanswered for longer than maxSilence and
// has begun no other response in that time. A zero lastResponse means that it has never begun one.
func silent(now, sent, lastResponse time.Time) bool {
	return now.Sub(sent) > maxSilence && now.Sub(lastResponse) > maxSilence
}

// A record summarizes the recent responses of one endpoint.
type record struct {
	consecutive int     // failures since the last success
	responses   float64 // decayed weight of responses, including failures
	failures    float64 // decayed weight of failures
	lastDecay   time.Time
}

// decay halves the weights for each half-life that has elapsed.
func (r *record) decay(now time.Time) {
	if r.lastDecay.IsZero() {
		r.lastDecay = now
		return
	}
	for now.Sub(r.lastDecay) >= halfLife {
		r.responses /= 2
		r.failures /= 2
		r.lastDecay = r.lastDecay.Add(halfLife)
		if r.responses < negligibleWeight {
			r.lastDecay = now
			return
		}
	}
}
