package gateway

import (
	"net/http"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/outlier"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/retry"
)

// A rating is how the end of an attempt counts for the health of its endpoint.
type rating int

const (
	ratingNone        rating = iota
	ratingGood               // the endpoint answered
	ratingFailure            // the endpoint failed or refused the request
	ratingUnreachable        // the endpoint accepts no connection
	ratingMisdirected        // the address belongs to another endpoint
)

// An attemptEnd is what an attempt is rated by.
type attemptEnd struct {
	end    retry.End
	status int // of the response, or zero without one
	// full reports that the endpoint has at least one request for each of its slots.
	full bool
	// backoff reports that the endpoint refused the request with a Retry-After.
	backoff bool
	// blocked reports that the gateway did not send the request, because the endpoint was
	// excluded or the request must not be sent any more.
	blocked bool
	// ctxDone reports that the caller has disconnected or the request's deadline has passed.
	ctxDone bool
}

// rateAttempt returns the rating of an attempt's endpoint. A failure counts against the endpoint
// unless the gateway or the caller ended the attempt. A refusal counts as a failure unless the
// endpoint is full, because ejections during an overload would move its load to the other
// endpoints, or is backing off, because it is then excluded for just that time.
func rateAttempt(e attemptEnd) rating {
	switch {
	case e.end == retry.EndAnswered && e.status < http.StatusInternalServerError:
		return ratingGood
	case e.end == retry.EndRefused && e.status == http.StatusMisdirectedRequest:
		return ratingMisdirected
	case e.end == retry.EndRefused && (e.full || e.backoff):
		return ratingNone
	case e.end == retry.EndRefused:
		return ratingFailure
	case e.blocked || e.ctxDone:
		return ratingNone
	case e.end == retry.EndUnsent:
		return ratingUnreachable
	}
	return ratingFailure
}

func (r rating) report(detector *outlier.Detector, id ryeford.EndpointID) {
	now := clock.Now()
	switch r {
	case ratingGood:
		detector.RecordSuccess(now, id)
	case ratingFailure:
		detector.RecordFailure(now, id)
	case ratingUnreachable:
		detector.Eject(now, id, outlier.UnreachableEjection)
	case ratingMisdirected:
		detector.Eject(now, id, outlier.MisdirectedEjection)
	}
}
