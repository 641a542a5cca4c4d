package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// An engine that refuses a completion with 503 may say when it wants the next one. Nothing read that: the
// agent admitted each dispatch that came, and each was refused again and sent to another engine, for one of its
// account's budget: six of six dispatches reached an engine that had asked for a minute of rest.

// TestEngineAsksForRest checks that an agent sends nothing to an engine that has asked for rest before that is
// over, refuses what routers dispatch to it, and says when it is over.
func TestEngineAsksForRest(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	pool := ryeford.Pool{Model: "lira"}
	b := newBackend("endpoint-1.1", admission.Limits{Floor: 8, Capacity: 8, ShareFrom: 8}, 10)
	b.engine = engine.New(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	b.setServing(true, []ryeford.Pool{pool})
	a := testAgent(b)
	a.settings.Limits.FirstToken, a.settings.Limits.BetweenTokens = time.Minute, time.Minute
	dispatch := func(attempt string) (*run, *wire.Refused) {
		return a.admit(&wire.Dispatch{
			Attempt: ryeford.AttemptID(attempt), Account: "bank", Chat: "c1", Engine: b.id, Incarnation: a.incarnation, Share: 1,
			Completion: &ryeford.Completion{Attempt: ryeford.AttemptID(attempt), Pool: pool},
			Expires:    time.Now().Add(time.Minute), Forget: time.Now().Add(time.Hour),
		})
	}
	first, refused := dispatch("a0")
	assert.Assert(t, refused == nil)
	awaitFinished(t, first)
	for i := range 5 {
		r, refused := dispatch(fmt.Sprintf("a%d", i+1))
		if r != nil {
			awaitFinished(t, r)
			continue
		}
		assert.Equal(t, refused.Reason, ryeford.ReasonResting)
		assert.Assert(t, refused.RetryAfter > 0 && refused.RetryAfter <= time.Minute, "%s", refused.RetryAfter)
	}
	assert.Equal(t, calls.Load(), int64(1))
}

// TestServiceAsksForRest checks the same for a plain service, whose refusal is an answer that callers get.
func TestServiceAsksForRest(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	b := newBackend("endpoint-1.notes", admission.Limits{Floor: 8, Capacity: 8, ShareFrom: 8}, 10)
	b.service = engine.NewService(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	a := testAgent(b)
	a.settings.Limits.FirstToken, a.settings.Limits.BetweenTokens = time.Minute, time.Minute
	dispatch := func(attempt string) (*run, *wire.Refused) {
		return a.admit(&wire.Dispatch{
			Attempt: ryeford.AttemptID(attempt), Account: "bank", Engine: b.id, Incarnation: a.incarnation, Share: 1,
			Call:    &ryeford.Call{Attempt: ryeford.AttemptID(attempt), Method: http.MethodGet, Path: "/"},
			Expires: time.Now().Add(time.Minute), Forget: time.Now().Add(time.Hour),
		})
	}
	first, refused := dispatch("a0")
	assert.Assert(t, refused == nil)
	awaitFinished(t, first)
	chunks, err := first.log.Read(t.Context(), 0)
	assert.NilError(t, err)
	assert.Equal(t, chunks[0].Status, http.StatusServiceUnavailable)
	_, refused = dispatch("a1")
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, ryeford.ReasonResting)
	assert.Equal(t, calls.Load(), int64(1))
}

// awaitFinished waits until the answer of a run has ended.
func awaitFinished(t *testing.T, r *run) {
	t.Helper()
	for offset := int64(0); !r.log.Finished(); {
		chunks, err := r.log.Read(t.Context(), offset)
		assert.NilError(t, err)
		offset += int64(len(chunks))
	}
}
