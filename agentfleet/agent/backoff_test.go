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

// A backoffTest is an agent with a backend whose server refuses all requests and asks for
// a back-off of one minute.
type backoffTest struct {
	t       *testing.T
	agent   *Agent
	backend *backend
	address netip.AddrPort // of the server
	calls   atomic.Int64   // received by the server
}

func newBackoffTest(t *testing.T) *backoffTest {
	b := &backoffTest{t: t, backend: newBackend("endpoint-1.1", admission.Limits{Floor: 8, Capacity: 8, ShareFrom: 8}, 10)}
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

// dispatch dispatches an attempt of a completion or a call. If it is admitted, dispatch
// waits until its answer has ended.
func (b *backoffTest) dispatch(attempt string, completion *ryeford.Completion, call *ryeford.Call) (*run, *wire.Refused) {
	admitted, refused := b.agent.admit(&wire.Dispatch{
		Attempt: ryeford.AttemptID(attempt), Account: "bank", Chat: "c1", Engine: b.backend.id, Incarnation: b.agent.incarnation, Share: 1,
		Completion: completion, Call: call,
		Expires: time.Now().Add(time.Minute), RetainUntil: time.Now().Add(time.Hour),
	})
	for offset := int64(0); admitted != nil && !admitted.log.Finished(); {
		chunks, err := admitted.log.Read(b.t.Context(), offset)
		assert.NilError(b.t, err)
		offset += int64(len(chunks))
	}
	return admitted, refused
}

// TestEngineBackoff checks that an agent sends no request to an engine that is backing
// off, and refuses dispatches with the remaining time.
func TestEngineBackoff(t *testing.T) {
	b := newBackoffTest(t)
	pool := ryeford.Pool{Model: "lira"}
	b.backend.engine = engine.New(b.address)
	b.backend.setServing(true, []ryeford.Pool{pool})
	for i := range 6 {
		attempt := fmt.Sprintf("a%d", i)
		_, refused := b.dispatch(attempt, &ryeford.Completion{Attempt: ryeford.AttemptID(attempt), Pool: pool}, nil)
		assert.Equal(t, refused != nil, i > 0)
		if refused != nil {
			assert.Equal(t, refused.Reason, ryeford.ReasonBackingOff)
			assert.Assert(t, refused.RetryAfter > 0 && refused.RetryAfter <= time.Minute, "%s", refused.RetryAfter)
		}
	}
	assert.Equal(t, b.calls.Load(), int64(1))
}

// TestServiceBackoff checks the same for a plain service, whose refusal is returned to the
// caller.
func TestServiceBackoff(t *testing.T) {
	b := newBackoffTest(t)
	b.backend.service = engine.NewService(b.address)
	call := &ryeford.Call{Attempt: "a0", Method: http.MethodGet, Path: "/"}
	first, refused := b.dispatch("a0", nil, call)
	assert.Assert(t, refused == nil)
	chunks, err := first.log.Read(t.Context(), 0)
	assert.NilError(t, err)
	assert.Equal(t, chunks[0].Status, http.StatusServiceUnavailable)
	_, refused = b.dispatch("a1", nil, call)
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, ryeford.ReasonBackingOff)
	assert.Equal(t, b.calls.Load(), int64(1))
}
