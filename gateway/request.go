package gateway

import (
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/gateway/overload"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/retry"
	"github.com/ryeford/ryeford/route"
)

// defaultTimeout applies if neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// A request is one caller's request. Its fields are set step by step until it is admitted;
// after that they do not change.
type request struct {
	meta     *ryeford.RequestMeta
	arrived  time.Time
	deadline time.Time
	catalog  *catalog.Catalog // in force when the request was admitted
	rule     *ryeford.RouteRule
	account  *ryeford.AccountRule // nil on public routes, and if requests carry no keys
	service  string
	budget   *retry.Window // the retry budget of the service
	body     []byte
	hasBody  bool // true also for an empty body that the caller sent explicitly
	// affinity is the hash that routes requests with the same prompt prefix to the same
	// endpoint. It is set only if hasSharedPrefix, that is if the prompt has a part that
	// other requests may share.
	affinity        uint64
	hasSharedPrefix bool
}

// needsKey reports whether the request's route needs a key. The route must be set.
func (q *request) needsKey() bool { return q.catalog.RequiresKey() && !q.rule.Public }

// admittedByKey reports whether the request was admitted by its key.
func (q *request) admittedByKey() bool { return q.account != nil }

// priority returns the priority of the request's account, or else that of its route. It is the
// default until the route is known.
func (q *request) priority() ryeford.Priority {
	switch {
	case q.account != nil && q.account.Priority != nil:
		return *q.account.Priority
	case q.rule != nil:
		return q.rule.Priority
	}
	return ryeford.PriorityDefault
}

// id returns the request's ID, or "" if it can't be parsed.
func (q *request) id() ryeford.RequestID {
	if q.meta == nil {
		return ""
	}
	return q.meta.ID
}

// caller returns what the Retry-After of a refusal depends on.
func (q *request) caller() giveup.Caller {
	caller := giveup.Caller{Priority: q.priority(), Left: q.callerTimeLeft()}
	if q.catalog != nil {
		caller.InUse = q.catalog.Priorities()
	}
	return caller
}

// load returns what the decision depends on whether the request's service has room for it.
func (q *request) load() *overload.Request {
	return &overload.Request{
		Service: q.service, Route: q.rule.Name, Priority: q.priority(), Account: q.accountID(), Work: q.work(),
		Goal: q.rule.Goal, Timeout: q.meta.Timeout,
	}
}

// work returns the request's work: the tokens of its prompt, or one if it has none.
func (q *request) work() float64 {
	tokens := 0
	for _, part := range q.meta.Prefix {
		tokens += part.Tokens
	}
	return float64(max(1, tokens))
}

// callerTimeLeft returns how long the caller still waits for a response. The request's deadline
// may be earlier.
func (q *request) callerTimeLeft() time.Duration {
	if q.meta == nil || q.meta.Timeout <= 0 {
		return giveup.NoLimit
	}
	return q.meta.Timeout - clock.Since(q.arrived)
}

// accountID returns the request's client account, or "".
func (q *request) accountID() ryeford.AccountID {
	if q.account == nil {
		return ""
	}
	return q.account.Account
}

// setDeadline sets the deadline from the shorter of the route's timeout and the caller's.
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

// setAffinity derives the affinity from the last part of the prompt that other requests may
// share, which is the last but one.
func (q *request) setAffinity() {
	parts := q.meta.Prefix
	if len(parts) < 2 {
		return
	}
	q.affinity = route.KeyHash(parts[len(parts)-2].ID)
	q.hasSharedPrefix = true
}

// sharedParts returns the parts of the prompt that other requests may share: all but the last.
func (q *request) sharedParts() []ryeford.PromptPart {
	return q.meta.Prefix[:len(q.meta.Prefix)-1]
}

// setService picks the service that serves the request. Requests with the same prompt prefix
// get the same service.
func (q *request) setService() {
	hash := q.affinity
	if !q.hasSharedPrefix {
		hash = route.NameHash(string(q.meta.ID))
	}
	q.service = pickService(q.rule.Split, hash)
}

// pickService picks one of a route's services by weight, or the first if all weights are zero.
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
