package gateway

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/telemetry"
)

// An endpointStandIn is a list of endpoints that answers from a script, and then
// waits at each poll for as long as it may.
type endpointStandIn struct {
	answers []endpointAnswer
}

// An endpointAnswer is one answer, or the failure to give one.
type endpointAnswer struct {
	update ryeford.EndpointUpdate
	err    error
}

// Endpoints implements ryeford.EndpointSource.
func (s *endpointStandIn) Endpoints(ctx context.Context) (ryeford.EndpointUpdate, error) {
	return s.EndpointsSince(ctx, 0, time.Second)
}

// EndpointsSince implements ryeford.EndpointSource.
func (s *endpointStandIn) EndpointsSince(ctx context.Context, revision int64, wait time.Duration) (ryeford.EndpointUpdate, error) {
	if len(s.answers) == 0 {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		return ryeford.EndpointUpdate{Revision: revision}, ctx.Err()
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return answer.update, answer.err
}

// A forgottenMemory is a forgetter that records which endpoints were forgotten.
type forgottenMemory struct {
	forgotten []ryeford.EndpointID
}

// Forget implements forgetter.
func (m *forgottenMemory) Forget(id ryeford.EndpointID) { m.forgotten = append(m.forgotten, id) }

// snapshot returns an answer that lists some endpoints whole.
func snapshot(revision int64, ids ...ryeford.EndpointID) endpointAnswer {
	update := ryeford.EndpointUpdate{Snapshot: true, Revision: revision}
	for _, id := range ids {
		update.Present = append(update.Present, ryeford.Endpoint{ID: id, Service: "s"})
	}
	return endpointAnswer{update: update}
}

// TestEndpointListOutage checks that an endpoint that the first list after an outage
// lacks still accepts requests for a while, that one that a later list lacks accepts
// none, and that what is known of both is dropped with them.
func TestEndpointListOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &forgottenMemory{}
		updates := 0
		l := &endpointList{
			source: &endpointStandIn{answers: []endpointAnswer{
				snapshot(1, "a", "b", "c"),
				{err: errors.New("out")},
				snapshot(2, "a", "b"),
				{update: ryeford.EndpointUpdate{Revision: 3, Removed: []ryeford.EndpointID{"b"}}},
			}},
			wait:       time.Second,
			settle:     50 * time.Millisecond,
			revision:   &revision{},
			roster:     roster.New(roster.DefaultTTLs()),
			pool:       endpoint.New(nil),
			forgetters: []forgetter{m},
			outage:     newOutage("endpoints", func() time.Duration { return 0 }, log.NewNopLogger(), telemetry.NewSet()),
			onUpdate:   func() { updates++ },
			log:        log.NewNopLogger(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = l.run(ctx) }()
		go func() { _ = l.sweep(ctx) }()
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, l.revision.get(), int64(3))
		assert.Equal(t, updates, 3)
		assert.Assert(t, l.roster.Accepts("a"))
		assert.Assert(t, !l.roster.Accepts("b"), "a later list lacks it")
		assert.Assert(t, l.roster.Accepts("c"), "the first list after the outage lacks it")
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.Equal(t, l.roster.Len(), 1)
		assert.DeepEqual(t, m.forgotten, []ryeford.EndpointID{"b", "c"})
		cancel()
		synctest.Wait()
	})
}
