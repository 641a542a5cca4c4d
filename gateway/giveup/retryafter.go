package giveup

import (
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
)

// Earliest retry times, by the reason of a refusal. The interval in which the caller
// should retry begins there.
const (
	// retryNotReady is for a router that has not read the configuration or the
	// endpoint list yet.
	retryNotReady = 300 * time.Millisecond
	// retryNoEndpoint is for a service whose endpoints can't be reached, unless an ejection or
	// a back-off ends later.
	retryNoEndpoint = 150 * time.Millisecond
	// retryUnlisted is for a service without listed endpoints: an endpoint that starts must be
	// listed first, and callers retry only a few times.
	retryUnlisted = time.Second
	// retryTransient is for conditions that end soon at an unknown time: overload, a stale
	// configuration.
	retryTransient = 100 * time.Millisecond
	// retryElsewhere is for a router that is shutting down: other routers serve the request now.
	retryElsewhere = 10 * time.Millisecond
)

const (
	// retryShare is the share of a caller's remaining time within which it is asked to
	// retry. Callers honor a Retry-After up to a third of their remaining time, and the response
	// needs some of it to arrive.
	retryShare = 0.3
	// maxRetryAfter limits the Retry-After, except of quarantined requests. A lower limit would
	// concentrate the retries.
	maxRetryAfter = 5 * time.Second
	// assumedAnswers is added to the number of recent answers, so that a single refusal does not
	// count as an overload.
	assumedAnswers = 4
)

// minRetryAfter returns the earliest time for a retry, or zero if the configuration no longer
// allows the request.
func minRetryAfter(reason ryeford.Reason) time.Duration {
	switch reason {
	case ryeford.ReasonNotReady:
		return retryNotReady
	case ryeford.ReasonNoCandidate, ryeford.ReasonUnreachable, ryeford.ReasonVersionUnknown, ryeford.ReasonVersionUnavailable:
		return retryNoEndpoint
	case ryeford.ReasonLeaving, ryeford.ReasonBackingOff, ryeford.ReasonEvacuated:
		return retryElsewhere
	case ryeford.ReasonKeyRevoked, ryeford.ReasonRouteRemoved:
		return 0
	}
	return retryTransient
}

// earliestRetry returns the earliest time for a retry of a request that has not run.
func (r *Request) earliestRetry() time.Duration {
	var notRun *ryeford.NotRunError
	if !errors.As(r.Err, &notRun) {
		return retryTransient
	}
	switch notRun.Reason {
	case ryeford.ReasonNoCandidate, ryeford.ReasonUnreachable:
		if r.Unlisted {
			return retryUnlisted
		}
		return max(notRun.RetryAfter, r.UnavailableFor)
	case ryeford.ReasonOverload:
		return max(notRun.RetryAfter, r.BackingOffFor) // an ejected endpoint may still be tried, one that backs off may not
	}
	return notRun.RetryAfter
}

// NoLimit is the remaining time of a caller that sends no deadline.
const NoLimit = time.Duration(math.MaxInt64)

// A Caller holds the properties of a refused caller that determine its retry interval.
type Caller struct {
	Priority ryeford.Priority
	// InUse holds the priorities of the configuration in force, the highest first.
	InUse []ryeford.Priority
	// Left is how long the caller still waits for a response, including its retries. It is NoLimit
	// if the caller sends no deadline.
	Left time.Duration
}

// rank returns how many of the priorities in use are higher than the caller's, and the number of
// ranks.
func (c *Caller) rank() (rank, of int) {
	for _, priority := range c.InUse {
		if priority > c.Priority {
			rank++
		}
	}
	return rank, max(len(c.InUse), rank+1)
}

// A RecentCounts counts how other requests of the same service recently ended at this router.
type RecentCounts struct {
	Refused, Answered int
}

// Counts returns what a request with this outcome adds to the recent counts. It counts as refused if
// the caller is notified that it has not run, except if it is quarantined.
func (o *Outcome) Counts() RecentCounts {
	if o.Status == http.StatusServiceUnavailable && !o.Final {
		return RecentCounts{Refused: 1}
	}
	return RecentCounts{}
}

// refusedShare returns the share of recent requests that were refused, from 0 to 1, including the
// current one.
func (r RecentCounts) refusedShare() float64 {
	refused := r.Refused + 1
	return float64(refused) / float64(refused+r.Answered+assumedAnswers)
}

// A RetryInterval is the interval, from now, in which a caller should retry. The zero RetryInterval
// gives no retry time.
type RetryInterval struct {
	From, To time.Duration
}

// retryInterval returns the interval in which a caller should retry, given the earliest time
// for a retry.
//
// Rule: retries are spread from the earliest time on over a share of the time in which callers
// honor a Retry-After. It is the share of refusals among the recent requests. This
// interval is divided among the priorities in use, the highest first.
//
// Why: a single refusal should delay its caller little, while many callers refused together
// would be refused again if they retried together. The interval begins no later than halfway,
// since callers don't honor later retry times.
//
// In an overload the interval begins no sooner than after the time for which the overload has
// lasted, up to the latest retry time. A long overload is likely to go on, and callers that
// retry during it take capacity from first requests.
func retryInterval(earliest, overloaded time.Duration, caller Caller, recent RecentCounts) RetryInterval {
	last := min(time.Duration(retryShare*float64(caller.Left)), maxRetryAfter)
	if last <= 0 {
		return RetryInterval{}
	}
	first := max(min(earliest, last/2), min(overloaded, last))
	interval := time.Duration(recent.refusedShare() * float64(last-first))
	rank, of := caller.rank()
	width := interval / time.Duration(of)
	from := first + time.Duration(rank)*width
	return RetryInterval{From: from, To: from + width}
}
