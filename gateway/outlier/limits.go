package outlier

import "time"

// The limits by which the gateway ejects endpoints. Other values of each made no
// difference beyond noise.
const (
	// consecutiveFailures is how many failures in a row eject an endpoint. Three
	// keep one broken connection, and the retry after it, from ejecting it.
	consecutiveFailures = 3
	// failureShare, from 0 to 1, is the share of failures among the recent
	// responses that ejects an endpoint whose failures are not in a row.
	failureShare = 0.35
	// minResponses is how many recent responses, with their decayed weights, that
	// share needs to mean anything.
	minResponses = 8
	// halfLife is the time after which a response weighs half.
	halfLife = 4 * time.Second
	// baseEjection is how long the first ejection lasts; each further one lasts
	// twice as long, up to maxEjection.
	baseEjection = 1500 * time.Millisecond
	maxEjection  = 6 * time.Second
	// maxSilence is how long an endpoint that has a request may send no first byte
	// of any response.
	maxSilence = time.Second
	// maxDoublings is the number of ejections after which the term no longer
	// doubles; it keeps the shift within a Duration.
	maxDoublings = 8
	// negligible is the decayed weight of responses below which a record counts as
	// empty.
	negligible = 0.01
)

// Ejections that one event causes by itself, whatever the record says.
const (
	// UnreachableEjection is how long an endpoint that accepts no connection is
	// ejected: it may just be starting again.
	UnreachableEjection = 1500 * time.Millisecond
	// MisdirectedEjection is how long an endpoint is ejected whose address answers
	// for another one: the list has to catch up.
	MisdirectedEjection = 5 * time.Second
)

// ejects reports whether an endpoint with this record, which has just failed, is
// ejected: for its failures in a row, or for the share of them.
func (r *record) ejects() bool {
	if r.consecutive >= consecutiveFailures {
		return true
	}
	return r.responses >= minResponses && r.failures/r.responses >= failureShare
}

// term returns how long an ejection lasts that follows so many others.
func term(earlier int) time.Duration {
	return min(maxEjection, baseEjection<<min(earlier, maxDoublings))
}

// silent reports whether an endpoint has left a request unanswered for too long
// and has begun no other response meanwhile. A zero lastResponse means that it
// has never begun one.
func silent(now, sent, lastResponse time.Time) bool {
	return now.Sub(sent) > maxSilence && now.Sub(lastResponse) > maxSilence
}

// A record is what the recent responses of one endpoint amount to.
type record struct {
	consecutive int     // failures since the last success
	responses   float64 // with decayed weights, failures included
	failures    float64 // with decayed weights
	decayed     time.Time
}

// decay halves the weight of responses for each half-life that has passed.
func (r *record) decay(now time.Time) {
	if r.decayed.IsZero() {
		r.decayed = now
		return
	}
	for now.Sub(r.decayed) >= halfLife {
		r.responses /= 2
		r.failures /= 2
		r.decayed = r.decayed.Add(halfLife)
		if r.responses < negligible {
			r.decayed = now
			return
		}
	}
}
