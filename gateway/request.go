package gateway

import (
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/retry"
	"github.com/ryeford/ryeford/route"
)

// defaultTimeout bounds a request if neither the caller nor the route does. Not
// measured.
const defaultTimeout = 30 * time.Second

// A request is one caller's request as it was read and admitted. It doesn't change
// while it is served.
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

// keyed reports whether the request was admitted for its key.
func (q *request) keyed() bool { return q.account != nil }

// priority returns the priority of the request: its account's, or else its route's.
func (q *request) priority() ryeford.Priority {
	if q.account != nil && q.account.Priority != nil {
		return *q.account.Priority
	}
	return q.rule.Priority
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
