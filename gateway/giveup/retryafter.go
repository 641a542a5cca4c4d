package giveup

import (
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
)

// The times after which a return makes sense at the earliest, by what is known when a
// request is refused. The band in which the caller is told to come back begins there.
const (
	// retryNotReady is for a router that has not read the configuration or the
	// endpoint list yet.
	retryNotReady = 300 * time.Millisecond
	// retryNoEndpoint is for a service of which no endpoint can be reached, unless an
	// ejection or a rest ends later.
	retryNoEndpoint = 150 * time.Millisecond
	// retryUnlisted is for a service of which no endpoint is listed: one that starts writes
	// its entry first, and callers come back only a few times.
	retryUnlisted = time.Second
	// retryLoaded is for what ends soon, at a moment that is not known: load, a stale
	// configuration.
	retryLoaded = 100 * time.Millisecond
	// retryElsewhere is for a router that is stopping: others serve the request now.
	retryElsewhere = 10 * time.Millisecond
)

const (
	// returnShare is the part of a caller's remaining time within which it is told to
	// come back: callers honour a Retry-After up to a third of the time that remains to
	// them (the page of the protocol), and the response needs some of it to arrive.
	returnShare = 0.3
	// maxReturn is the latest return that a caller is told: sooner ones come in
	// higher waves.
	maxReturn = 5 * time.Second
	// fewAnswers is how many answers are assumed beside the recent ones, so that a lone
	// refusal is no crowd.
	fewAnswers = 4
)

// returnAfter returns the time after which a return makes sense, or zero if the
// configuration no longer allows the request.
func returnAfter(reason ryeford.Reason) time.Duration {
	switch reason {
	case ryeford.ReasonNotReady:
		return retryNotReady
	case ryeford.ReasonNoCandidate, ryeford.ReasonUnreachable:
		return retryNoEndpoint
	case ryeford.ReasonLeaving, ryeford.ReasonResting, ryeford.ReasonEvacuated:
		return retryElsewhere
	case ryeford.ReasonKeyRevoked, ryeford.ReasonRouteRemoved:
		return 0
	}
	return retryLoaded
}

// earliestReturn returns the time after which a return of a request that has not run
// makes sense.
func (r *Request) earliestReturn() time.Duration {
	var notRun *ryeford.NotRunError
	if !errors.As(r.Err, &notRun) {
		return retryLoaded
	}
	switch notRun.Reason {
	case ryeford.ReasonNoCandidate, ryeford.ReasonUnreachable:
		if r.Unlisted {
			return retryUnlisted
		}
		return max(notRun.RetryAfter, r.Unavailable)
	case ryeford.ReasonOverload:
		return max(notRun.RetryAfter, r.Resting) // an ejected endpoint may still be tried, a resting one not
	}
	return notRun.RetryAfter
}

// NoLimit is the remaining time of a caller that does not say how long it waits.
const NoLimit = time.Duration(math.MaxInt64)

// A Caller is what a refused caller's return goes by, beside the reason.
type Caller struct {
	Priority ryeford.Priority
	// InUse holds the priorities of the configuration in force, the highest first.
	InUse []ryeford.Priority
	// Left is for how long it still waits for a response, over all its returns. NoLimit
	// if it does not say.
	Left time.Duration
}

// rank returns how many of the priorities in use are higher than the caller's, and among
// how many ranks that is.
func (c *Caller) rank() (rank, of int) {
	for _, priority := range c.InUse {
		if priority > c.Priority {
			rank++
		}
	}
	return rank, max(len(c.InUse), rank+1)
}

// A Recent counts how other requests of the same service ended lately at this router.
type Recent struct {
	Refused, Answered int
}

// Counts returns what a request counts for that ends with a verdict: as refused, if its
// caller is told that it has not run, unless it is for the request alone.
func (v *Verdict) Counts() Recent {
	if v.Status == http.StatusServiceUnavailable && !v.Final {
		return Recent{Refused: 1}
	}
	return Recent{}
}

// refusedShare returns the part of recent requests that were refused, from 0 to 1, if one
// more is refused now.
func (r Recent) refusedShare() float64 {
	refused := r.Refused + 1
	return float64(refused) / float64(refused+r.Answered+fewAnswers)
}

// A Band is the span of time, from now, in which a caller is told to come back. The
// zero Band tells it nothing.
type Band struct {
	From, To time.Duration
}

// returnBand returns the Band of a caller for which a return makes sense after a time
// at the earliest:
//
// Returns are spread from that moment on over as much of the time in which callers
// honour a Retry-After as there are refusals among the recent requests. That span is
// divided among the priorities in use: the most urgent come back first, each priority
// before the next lower one.
//
// The reason is that a lone refusal should cost its caller little time, while callers
// that are refused in a crowd would be refused again if they came back together. A
// return later than callers honour is none, so the band begins no later than halfway.
//
// In an overload it begins no sooner than after the time for which the overload has lasted,
// up to the latest return: an overload that is long already is likely to go on, and callers
// that come back within it take the places of those who come for the first time.
func returnBand(earliest, overloaded time.Duration, caller Caller, recent Recent) Band {
	last := min(time.Duration(returnShare*float64(caller.Left)), maxReturn)
	if last <= 0 {
		return Band{}
	}
	first := max(min(earliest, last/2), min(overloaded, last))
	span := time.Duration(recent.refusedShare() * float64(last-first))
	rank, of := caller.rank()
	width := span / time.Duration(of)
	from := first + time.Duration(rank)*width
	return Band{From: from, To: from + width}
}
