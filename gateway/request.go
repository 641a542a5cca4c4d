package gateway

import (
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/retry"
	"github.com/ryeford/ryeford/route"
)

// defaultTimeout bounds a request if neither the caller nor the route does.
const defaultTimeout = 30 * time.Second

// A request is one caller's request. What is read and looked up before it is admitted
// is missing as long as that has not happened; once it is served it doesn't change.
type request struct {
	meta     *ryeford.RequestMeta
	arrived  time.Time
	deadline time.Time
	catalog  *catalog.Catalog // in force when the request was admitted
	rule     *ryeford.RouteRule
	account  *ryeford.AccountRule // nil on public routes, and if requests carry no keys
	service  string
	budget   *retry.Window // of the service
	body     []byte
	hasBody  bool // the caller sent a body, though it may be empty
	// affinity is the hash by which requests with the same prompt prefix go to the
	// same endpoint. shared is false if the prompt shares no part with others.
	affinity uint64
	shared   bool
}

// needsKey reports whether the request's route, which is known, needs a key.
func (q *request) needsKey() bool { return q.catalog.Keyed() && !q.rule.Public }

// keyed reports whether the request was admitted for its key.
func (q *request) keyed() bool { return q.account != nil }

// priority returns the priority of the request: its account's, or else its route's. As
// long as the route is not known, it is the default.
func (q *request) priority() ryeford.Priority {
	switch {
	case q.account != nil && q.account.Priority != nil:
		return *q.account.Priority
	case q.rule != nil:
		return q.rule.Priority
	}
	return ryeford.PriorityDefault
}

// id returns the request's ID, or none if it can't be read.
func (q *request) id() ryeford.RequestID {
	if q.meta == nil {
		return ""
	}
	return q.meta.ID
}

// caller returns what the caller's return goes by if the request is refused now.
func (q *request) caller() giveup.Caller {
	caller := giveup.Caller{Priority: q.priority(), Left: q.callerLeft()}
	if q.catalog != nil {
		caller.InUse = q.catalog.Priorities()
	}
	return caller
}

// callerLeft returns for how long the caller still waits for a response. The request's
// deadline may be sooner.
func (q *request) callerLeft() time.Duration {
	if q.meta == nil || q.meta.Timeout <= 0 {
		return giveup.NoLimit
	}
	return q.meta.Timeout - clock.Since(q.arrived)
}

// accountID returns the request's client account, or none.
func (q *request) accountID() ryeford.AccountID {
	if q.account == nil {
		return ""
	}
	return q.account.Account
}

// setDeadline sets the time until which the request is served: the sooner of the
// route's timeout and the caller's.
func (q *request) setDeadline() {
	timeout := defaultTimeout
	if q.rule.Timeout > 0 {
		timeout = q.rule.Timeout
	}
	if q.meta.Timeout > 0 {
		timeout = min(timeout, q.meta.Timeout)
	}
	q.deadline = q.arrived.Add(timeout)
}

// setAffinity takes the affinity from the last part of the prompt that other requests
// share: the last but one.
func (q *request) setAffinity() {
	parts := q.meta.Prefix
	if len(parts) < 2 {
		return
	}
	q.affinity = route.KeyHash(parts[len(parts)-2].ID)
	q.shared = true
}

// sharedParts returns the parts of the prompt that other requests share: all but
// the last.
func (q *request) sharedParts() []ryeford.PromptPart {
	return q.meta.Prefix[:len(q.meta.Prefix)-1]
}

// setService picks the service that serves the request. Requests with the same prompt
// prefix get the same one.
func (q *request) setService() {
	hash := q.affinity
	if !q.shared {
		hash = route.NameHash(string(q.meta.ID))
	}
	q.service = pickService(q.rule.Split, hash)
}

// pickService picks one of the services of a route by their weights. If all weights
// are zero, it picks the first.
func pickService(split []ryeford.WeightedService, hash uint64) string {
	total := 0
	for _, part := range split {
		total += max(0, part.Weight)
	}
	if total == 0 {
		return split[0].Service
	}
	point := int(hash % uint64(total))
	for _, part := range split {
		if point -= max(0, part.Weight); point < 0 {
			return part.Service
		}
	}
	return split[len(split)-1].Service
}
