package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/callermemory"
	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/platform"
	"github.com/ryeford/ryeford/retry"
)

// newRefusingHandler returns a handler that logs to b and can only refuse requests, because its
// forwarder lacks what exchanges need. It has a stale configuration with a public and a keyed
// route, and an empty endpoint list.
func newRefusingHandler(b *strings.Builder) *handler {
	h := &handler{
		forwarder: &forwarder{
			balancer:      &balancer{roster: roster.New()},
			protocol:      platform.Protocol{},
			configuration: newConfiguration(configurationOptions{term: time.Minute}),
			durations:     newDurations(),
			log:           log.NewLogfmtLogger(b),
			metrics:       telemetry.NewSet(),
			callerMemory:  callermemory.New(1000),
		},
		drain:       newDrain(8*time.Second, log.NewNopLogger()),
		initialSync: newInitialSync(0),
		budgets:     retry.NewWindows(retry.WindowLimits{Length: time.Second}),
	}
	h.configuration.inForce.Put(catalog.New(&ryeford.Configuration{
		Version:  1,
		Limits:   ryeford.RequestLimits{MaxBody: 100},
		Accounts: []ryeford.AccountRule{{Account: "bank", Keys: []string{"key"}}},
		Routes: []ryeford.RouteRule{
			{Name: "open", Host: "host", Prefix: "/open/", Public: true},
			{Name: "keyed", Host: "host", Prefix: "/keyed/"},
		},
	}))
	h.roster.Apply(time.Now(), &ryeford.EndpointUpdate{Snapshot: true, Revision: 1}, time.Time{})
	return h
}

// TestRefusals guards against a wrong status, header or log line for a refused request, and
// against one that stays counted as in flight.
func TestRefusals(t *testing.T) {
	fresh := func(h *handler) { h.configuration.lease.RenewRead(time.Now(), time.Now(), 0) }
	stop := func(h *handler) {
		fresh(h)
		requested := time.Now().Add(-h.drain.grace)
		h.drain.requestedAt.Store(&requested)
		h.drain.stopping.Store(true)
	}
	for _, row := range []struct {
		name   string
		change func(*handler)
		path   string
		key    string
		body   string
		status int
		reason string
		closes bool // the connection is closed
	}{
		{"no configuration", func(h *handler) { h.configuration = newConfiguration(configurationOptions{}) }, "/keyed/a", "key", "", 503, "not_ready", false},
		{"no list of endpoints", func(h *handler) { h.roster = roster.New() }, "/keyed/a", "key", "", 503, "not_ready", false},
		{"unknown route, stale", func(*handler) {}, "/none/a", "key", "", 503, "stale_configuration", true},
		{"unknown route", fresh, "/none/a", "key", "", 404, "input", false},
		{"key, stale", func(*handler) {}, "/keyed/a", "key", "", 503, "stale_configuration", true},
		{"unknown key", fresh, "/keyed/a", "other", "", 401, "input", false},
		{"no key", fresh, "/keyed/a", "", "", 401, "input", false},
		{"stopping", stop, "/keyed/a", "key", "", 503, "leaving", true},
		{"stopping, public route", stop, "/open/a", "", "", 503, "leaving", true},
		{"body too large", fresh, "/keyed/a", "key", strings.Repeat("x", 101), 413, "input", true},
		{"no memory for the body", func(h *handler) {
			fresh(h)
			h.callerMemory = callermemory.New(99)
		}, "/keyed/a", "key", strings.Repeat("x", 100), 503, "overload", false},
		{"no memory for the body, stale", func(h *handler) { h.callerMemory = callermemory.New(99) }, "/keyed/a", "key", strings.Repeat("x", 100), 503, "stale_configuration", true},
	} {
		t.Run(row.name, func(t *testing.T) {
			var b strings.Builder
			h := newRefusingHandler(&b)
			row.change(h)
			r := httptest.NewRequest(http.MethodPost, row.path, strings.NewReader(row.body))
			r.Host = "host"
			r.Header.Set("Ryeford-Request-Id", "r1")
			if row.key != "" {
				r.Header.Set("Authorization", "Bearer "+row.key)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			assert.Equal(t, w.Code, row.status)
			assert.Equal(t, w.Header().Get("Retry-After") != "", row.status == http.StatusServiceUnavailable)
			assert.Equal(t, w.Header().Get("Connection") == "close", row.closes)
			assert.Equal(t, w.Header().Get("Ryeford-Request-Id"), "r1")
			assert.Assert(t, strings.Contains(b.String(), "decision=refuse request=r1 "), b.String())
			assert.Assert(t, strings.Contains(b.String(), " reason="+row.reason+" "), b.String())
			assert.Equal(t, h.drain.inFlight.Load(), int64(0))
		})
	}
}
