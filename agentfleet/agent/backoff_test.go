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

// A restTest is an agent before a backend that refuses all and asks for a minute of rest.
type backOffTest struct {
	t       *testing.T
	agent   *Agent
	backend *backend
	address netip.AddrPort // of what the backend calls
	calls   atomic.Int64   // that have come there
}

func newBackOffTest(t *testing.T) *backOffTest {
	b := &backOffTest{t: t, backend: newBackend("endpoint-1.1", admission.Limits{Floor: 8, Capacity: 8, ShareFrom: 8}, 10)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b.calls.Add(1)
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	b.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	b.agent = testAgent(b.backend)
	b.agent.settings.Limits.FirstToken, b.agent.settings.Limits.BetweenTokens = time.Minute, time.Minute
	return b
}

// dispatch dispatches an attempt at a completion or a call, and waits until its answer has ended, if it is admitted.
func (b *backOffTest) dispatch(attempt string, completion *ryeford.Completion, call *ryeford.Call) (*run, *wire.Refused) {
	admitted, refused := b.agent.admit(&wire.Dispatch{
		Attempt: ryeford.AttemptID(attempt), Account: "bank", Chat: "c1", Engine: b.backend.id, Incarnation: b.agent.incarnation, Share: 1,
		Completion: completion, Call: call,
		Expires: time.Now().Add(time.Minute), Forget: time.Now().Add(time.Hour),
	})
	for offset := int64(0); admitted != nil && !admitted.log.Finished(); {
		chunks, err := admitted.log.Read(b.t.Context(), offset)
		assert.NilError(b.t, err)
		offset += int64(len(chunks))
	}
	return admitted, refused
}

// TestEngineAsksForRest checks that an agent sends nothing to an engine that has asked for rest before that is
// over, refuses what routers dispatch to it, and says when it is over.
func TestEngineBackOff(t *testing.T) {
	b := newBackOffTest(t)
	pool := ryeford.Pool{Model: "lira"}
	b.backend.engine = engine.New(b.address)
	b.backend.setServing(true, []ryeford.Pool{pool})
	for i := range 6 {
		attempt := fmt.Sprintf("a%d", i)
		_, refused := b.dispatch(attempt, &ryeford.Completion{Attempt: ryeford.AttemptID(attempt), Pool: pool}, nil)
		assert.Equal(t, refused != nil, i > 0)
		if refused != nil {
			assert.Equal(t, refused.Reason, ryeford.ReasonResting)
			assert.Assert(t, refused.RetryAfter > 0 && refused.RetryAfter <= time.Minute, "%s", refused.RetryAfter)
		}
	}
	assert.Equal(t, b.calls.Load(), int64(1))
}

// TestServiceAsksForRest checks the same for a plain service, whose refusal is an answer that callers get.
func TestServiceBackOff(t *testing.T) {
	b := newBackOffTest(t)
	b.backend.service = engine.NewService(b.address)
	call := &ryeford.Call{Attempt: "a0", Method: http.MethodGet, Path: "/"}
	first, refused := b.dispatch("a0", nil, call)
	assert.Assert(t, refused == nil)
	chunks, err := first.log.Read(t.Context(), 0)
	assert.NilError(t, err)
	assert.Equal(t, chunks[0].Status, http.StatusServiceUnavailable)
	_, refused = b.dispatch("a1", nil, call)
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, ryeford.ReasonResting)
	assert.Equal(t, b.calls.Load(), int64(1))
}
