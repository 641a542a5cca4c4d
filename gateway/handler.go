package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/admit"
	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/retry"
)

// A handler serves callers' HTTP requests: it reads a request, admits or refuses it (package
// admit), and runs an exchange that obtains the response.
type handler struct {
	*forwarder
	drain       *drain
	initialSync *initialSync
	budgets     *retry.Windows
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.drain.inFlight.Add(1)
	defer h.drain.inFlight.Add(-1)
	if h.drain.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	var err error
	q := &request{arrived: clock.Now()}
	if q.meta, err = h.protocol.ParseRequest(r.Header); err != nil {
		h.refuseUnread(w, r, q, err)
		return
	}
	if err := h.checkUnread(r, q); err != nil {
		h.refuseUnread(w, r, q, err)
		return
	}
	body, release, err := h.readBody(w, r, q)
	if err != nil {
		h.lookUp(r, q)
		h.refuseUnread(w, r, q, err)
		return
	}
	defer release()
	h.initialSync.await(r.Context(), q.callerTimeLeft())
	if err := h.admit(r, q); err != nil {
		h.refuse(w, r, q, err)
		return
	}
	q.body = body
	q.hasBody = r.ContentLength != 0 || len(body) > 0 || r.Header.Get("Content-Length") != ""
	ctx, cancel := context.WithTimeout(r.Context(), clock.Until(q.deadline))
	defer cancel()
	h.newExchange(q, r, w).serveUntil(ctx, h.drain.aborting)
}

// checkUnread returns the error with which a request is refused before its body is read, or
// nil. It accepts every request until the configuration and the endpoint list are loaded.
func (h *handler) checkUnread(r *http.Request, q *request) error {
	if r.ContentLength == 0 || h.configuration.current() == nil || !h.roster.Loaded() {
		return nil
	}
	h.lookUp(r, q)
	return admit.Check(h.admissionState(q))
}

// readBody reads a request's body into memory, for as long as its caller waits for a response.
// The returned function releases the memory that is reserved for the body.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request, q *request) ([]byte, func(), error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, func() {}, nil
	}
	maxBody := admit.MaxBody(h.configuredMaxBody())
	control := http.NewResponseController(w)
	held := h.callerMemory.NewAllocation(func() {
		h.recordSlowCaller(q.meta.ID, "body")
		_ = control.SetReadDeadline(endpoint.ExpiredDeadline)
	})
	if !held.Grow(clock.Now(), admit.BodySize(r.ContentLength, maxBody)) {
		return nil, nil, admit.NoMemory()
	}
	// SetReadDeadline fails only if the connection is closed; reading from it then fails too.
	_ = control.SetReadDeadline(time.Now().Add(admit.BodyTimeout(q.callerTimeLeft())))
	held.Wait(clock.Now())
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	held.Resume()
	switch {
	case held.Cut():
		return nil, nil, admit.NoMemory()
	case err != nil:
		held.Release()
		return nil, nil, admit.BodyFailure(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, held.Release, nil
}

// configuredMaxBody returns the configured limit on a body in bytes, or zero if there is none.
func (h *handler) configuredMaxBody() int {
	if current := h.configuration.current(); current != nil {
		return current.Limits().MaxBody
	}
	return 0
}

// admit sets a request's route, client account, service and retry budget. It returns an error
// if the request is refused.
func (h *handler) admit(r *http.Request, q *request) error {
	h.lookUp(r, q)
	if err := admit.Check(h.admissionState(q)); err != nil {
		return err
	}
	q.setAffinity()
	q.setService()
	q.budget = h.budgets.ForService(q.arrived, q.service)
	q.budget.CountRequest(q.arrived)
	return nil
}

// lookUp sets a request's route and client account from the current configuration.
func (h *handler) lookUp(r *http.Request, q *request) {
	if q.catalog = h.configuration.current(); q.catalog == nil {
		return
	}
	if q.rule = findRoute(q.catalog, r); q.rule != nil && q.needsKey() {
		q.account = q.catalog.Account(q.meta.Key)
	}
}

// findRoute returns the route that matches a request, or nil.
func findRoute(catalog *catalog.Catalog, r *http.Request) *ryeford.RouteRule {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return catalog.Route(r.Host, path)
}

// admissionState returns the inputs of the decision whether a request is admitted. It also
// sets the request's deadline if its route is known.
func (h *handler) admissionState(q *request) admit.State {
	state := admit.State{
		Configured:      q.catalog != nil,
		Superseded:      h.configuration.superseded(clock.Now()),
		EndpointsLoaded: h.roster.Loaded(),
		Reliable:        h.configuration.reliable(clock.Now()),
		ServesKeys:      h.configuration.servesKeys(clock.Now()),
	}
	if q.rule == nil {
		return state
	}
	state.RouteFound = true
	q.setDeadline()
	state.NoTimeLeft = h.drain.stopping.Load() && !h.drain.hasTimeFor(q, h.durations.slowest(q.rule))
	state.NeedsKey = q.needsKey()
	state.KeyFound = q.account != nil
	return state
}
