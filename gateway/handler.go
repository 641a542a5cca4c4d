package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/semaphore"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/admit"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/retry"
)

// A handler serves callers' HTTP: it reads a request, admits or refuses it
// (package admit), and has an exchange find the response.
type handler struct {
	protocol      ryeford.Protocol
	configuration *configuration
	roster        *roster.Roster
	drain         *drain
	initialSync   *initialSync
	bodies        *semaphore.Weighted // bytes of callers' bodies that are kept
	budgets       *retry.Windows
	durations     *durations
	forwarder     *forwarder
	log           log.Logger
	metrics       *telemetry.Set
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	h.drain.inFlight.Add(1)
	defer h.drain.inFlight.Add(-1)
	if h.drain.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	meta, err := h.protocol.ParseRequest(r.Header)
	if err != nil {
		h.refuse(w, r, meta, arrived, err)
		return
	}
	body, release, err := h.readBody(w, r)
	if err != nil {
		h.refuse(w, r, meta, arrived, err)
		return
	}
	defer release()
	h.initialSync.await(r.Context())
	q, err := h.admit(r, meta, arrived)
	if err != nil {
		h.refuse(w, r, meta, arrived, err)
		return
	}
	q.body = body
	q.hasBody = r.ContentLength != 0 || len(body) > 0 || r.Header.Get("Content-Length") != ""
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	h.forwarder.newExchange(q, r, w).serveUntil(ctx, h.drain.ending)
}

// readBody reads a request's body whole. The returned function gives back the part of
// the memory for bodies that it took.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, func(), error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, func() {}, nil
	}
	maxBody := admit.MaxBody(h.configuredMaxBody())
	size := admit.BodySize(r.ContentLength, maxBody)
	if !h.bodies.TryAcquire(size) {
		return nil, nil, admit.NoMemory()
	}
	release := func() { h.bodies.Release(size) }
	control := http.NewResponseController(w)
	// An error of setting a deadline means that the connection is closed already, which
	// reading it shows.
	_ = control.SetReadDeadline(time.Now().Add(admit.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		release()
		return nil, nil, admit.BodyFailure(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, release, nil
}

// configuredMaxBody returns the configuration's bound on a body in bytes, or zero.
func (h *handler) configuredMaxBody() int {
	if current := h.configuration.current(); current != nil {
		return current.Limits().MaxBody
	}
	return 0
}

// admit returns an admitted request with its route, client account and service. An
// error says why the request is refused.
func (h *handler) admit(r *http.Request, meta *ryeford.RequestMeta, arrived time.Time) (*request, error) {
	q := &request{meta: meta, arrived: arrived, catalog: h.configuration.current()}
	if err := admit.Check(h.lookUp(r, q)); err != nil {
		return nil, err
	}
	q.setAffinity()
	q.setService()
	q.budget = h.budgets.Of(q.service)
	q.budget.CountRequest(arrived)
	return q, nil
}

// lookUp looks up a request's route, with its deadline, and its client account, and
// returns what decides whether it is admitted.
func (h *handler) lookUp(r *http.Request, q *request) admit.State {
	state := admit.State{
		Configured: q.catalog != nil,
		Superseded: h.configuration.superseded(time.Now()),
		Listed:     h.roster.Known(),
		Reliable:   h.configuration.reliable(time.Now()),
	}
	if q.catalog == nil {
		return state
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if q.rule = q.catalog.Route(r.Host, path); q.rule == nil {
		return state
	}
	state.RouteFound = true
	q.setDeadline()
	state.NoTimeLeft = h.drain.stopping.Load() && !h.drain.leavesTimeFor(q, h.durations.slowest(q.rule))
	if q.catalog.Keyed() && !q.rule.Public {
		q.account = q.catalog.Account(q.meta.Key)
		state.NeedsKey = true
		state.KeyFound = q.account != nil
	}
	return state
}
