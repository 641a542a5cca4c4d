package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/route"
)

const (
	// bodyTime is how long a caller may take to send its body.
	bodyTime = 15 * time.Second
	// defaultDeadline holds where neither the caller nor the route says.
	defaultDeadline = 30 * time.Second
	// startingBody bounds a body while no configuration is known.
	startingBody = 4 << 20
)

// A request is one caller's request as it was read.
type request struct {
	meta     *ryeford.RequestMeta
	arrived  time.Time
	deadline time.Time
	catalog  *catalog.Catalog
	rule     *ryeford.RouteRule
	account  *ryeford.AccountRule // nil on public routes
	service  string
	body     []byte
	hasBody  bool
	// affinity is the hash of the prompt's last shared part; shared is false
	// where there is none.
	affinity uint64
	shared   bool
}

// keyed reports whether the request depends on a key.
func (q *request) keyed() bool { return q.account != nil }

// priority returns the priority of the request: its account's, or else its route's.
func (q *request) priority() ryeford.Priority {
	if q.account != nil && q.account.Priority != nil {
		return *q.account.Priority
	}
	return q.rule.Priority
}

// accountID returns the client account, or none.
func (q *request) accountID() ryeford.AccountID {
	if q.account == nil {
		return ""
	}
	return q.account.Account
}

// serveCaller answers one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	g.drain.inFlight.Add(1)
	defer g.drain.inFlight.Add(-1)
	if g.drain.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	meta, err := g.platform.Protocol.ParseRequest(r.Header)
	if err != nil {
		g.refuse(w, r, meta, arrived, err)
		return
	}
	body, release, err := g.readBody(w, r)
	if err != nil {
		g.refuse(w, r, meta, arrived, err)
		return
	}
	defer release()
	g.learned.await(r.Context())
	q, err := g.admit(r, meta, arrived)
	if err != nil {
		g.refuse(w, r, meta, arrived, err)
		return
	}
	q.body = body
	q.hasBody = r.ContentLength != 0 || len(body) > 0 || r.Header.Get("Content-Length") != ""
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	x := &exchange{gateway: g, request: q, http: r, tried: make(map[ryeford.EndpointID]bool)}
	x.serve(ctx, w)
}

// readBody reads a request's body whole. All bodies that are kept are bounded in
// sum; the returned function gives this one's part back.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, func(), error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, func() {}, nil
	}
	limit := int64(startingBody)
	if c := g.configuration.current(); c != nil && c.Limits().MaxBody > 0 {
		limit = int64(c.Limits().MaxBody)
	}
	size := r.ContentLength
	if size < 0 || size > limit {
		size = limit
	}
	if !g.bodies.TryAcquire(size) {
		return nil, nil, &ryeford.NotRunError{Reason: ryeford.ReasonOverload, RetryAfter: retryFull}
	}
	release := func() { g.bodies.Release(size) }
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if err != nil {
		release()
	}
	switch {
	case errors.As(err, &tooLarge):
		return nil, nil, &ryeford.InputError{Field: "body", Problem: "too large", Status: http.StatusRequestEntityTooLarge}
	case err != nil:
		return nil, nil, &ryeford.InputError{Field: "body", Problem: "incomplete", Status: http.StatusBadRequest}
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, release, nil
}

// admit finds a request's route and client account.
//
// A router that knows no configuration, or one that may be out of date, never
// says that a route or a key does not exist: it says that it can't tell yet.
func (g *Gateway) admit(r *http.Request, meta *ryeford.RequestMeta, arrived time.Time) (*request, error) {
	current := g.configuration.current()
	if current == nil || !g.roster.Known() {
		return nil, &ryeford.NotRunError{Reason: ryeford.ReasonNotReady, RetryAfter: retryNotReady}
	}
	fresh := g.configuration.reliable(time.Now())
	stale := &ryeford.NotRunError{Reason: ryeford.ReasonStaleConfiguration, RetryAfter: retryStale}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	rule := current.Route(r.Host, path)
	if rule == nil {
		if !fresh {
			return nil, stale
		}
		return nil, &ryeford.InputError{Field: "path", Problem: "no such route", Status: http.StatusNotFound}
	}
	if err := g.checkLeaving(arrived, rule); err != nil {
		return nil, err
	}
	q := &request{meta: meta, arrived: arrived, catalog: current, rule: rule}
	if current.Keyed() && !rule.Public {
		if !fresh {
			return nil, stale
		}
		if q.account = current.Account(meta.Key); q.account == nil {
			return nil, &ryeford.InputError{Field: "key", Problem: "unknown", Status: http.StatusUnauthorized}
		}
	}
	q.setDeadline()
	q.setAffinity()
	q.service = pickService(rule.Split, q.splitHash())
	g.window(q.service).Request(arrived)
	return q, nil
}

// checkLeaving refuses a request that may not be answered any more before the
// gateway has to end.
func (g *Gateway) checkLeaving(now time.Time, rule *ryeford.RouteRule) error {
	if !g.drain.leaving.Load() || g.drain.leavesTimeFor(now, g.durations.slowest(rule)) {
		return nil
	}
	return &ryeford.NotRunError{Reason: ryeford.ReasonLeaving, RetryAfter: retryStale}
}

// setDeadline sets the time until which the request is worked on.
func (q *request) setDeadline() {
	wait := defaultDeadline
	if q.rule.Timeout > 0 {
		wait = q.rule.Timeout
	}
	if q.meta.Timeout > 0 {
		wait = min(wait, q.meta.Timeout)
	}
	q.deadline = q.arrived.Add(wait)
}

// setAffinity finds the part of the prompt that brings the request to where its
// like have been: the last but one, which other requests share.
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

// splitHash returns the hash by which a split route's service is picked.
func (q *request) splitHash() uint64 {
	if q.shared {
		return q.affinity
	}
	return route.NameHash(string(q.meta.ID))
}

// pickService picks one of the services of a route by their weights.
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
