package gateway

import (
	"net/http"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/outlier"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/retry"
)

// A rating is what the end of an attempt says of its endpoint's health.
type rating int

const (
	ratingNone        rating = iota
	ratingGood               // it answered
	ratingFailure            // it failed, or refused the request
	ratingUnreachable        // it accepts no connection
	ratingMisdirected        // its address belongs to another endpoint
)

// An attemptEnd is what the rating of an attempt's endpoint goes by.
type attemptEnd struct {
	end    retry.End
	status int // of the response, or zero
	// full says that the endpoint has a request or more for each of its slots.
	full bool
	// rests says that the endpoint has refused the request and asked for rest.
	rests bool
	// withdrawn says that the gateway itself did not send the request, because the
	// endpoint is draining or the request must not be sent any more.
	withdrawn bool
	// over says that the caller has gone or that the request's deadline has passed.
	over bool
}

// rate returns the rating of an attempt's endpoint: a failure is held against it,
// unless the gateway or the caller ended the attempt. A refusal counts as one unless the
// endpoint is full: in an overload, ejected endpoints would leave their load to the others,
// above the bound. One that asks for rest is left out for just that time.
func rate(e attemptEnd) rating {
	switch {
	case e.end == retry.EndAnswered && e.status < http.StatusInternalServerError:
		return ratingGood
	case e.end == retry.EndRefused && e.status == http.StatusMisdirectedRequest:
		return ratingMisdirected
	case e.end == retry.EndRefused && (e.full || e.rests):
		return ratingNone
	case e.end == retry.EndRefused:
		return ratingFailure
	case e.withdrawn || e.over:
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
		detector.Succeeded(now, id)
	case ratingFailure:
		detector.Failed(now, id)
	case ratingUnreachable:
		detector.Eject(now, id, outlier.UnreachableEjection)
	case ratingMisdirected:
		detector.Eject(now, id, outlier.MisdirectedEjection)
	}
}
