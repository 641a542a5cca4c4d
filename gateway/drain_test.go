package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestAwaitFailedProbes checks that a gateway that is shutting down continues 0.4 s after its second
// failed probe, or after 3.4 s without probes. Probes before the signal don't count.
func TestAwaitFailedProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(8*time.Second, log.NewNopLogger())
		d.countFailedProbe()
		d.countFailedProbe()
		d.stopping.Store(true)
		requested := time.Now()
		d.awaitFailedProbes(requested, requested.Add(time.Minute))
		assert.Equal(t, time.Since(requested), 3400*time.Millisecond)

		requested = time.Now()
		d.awaitFailedProbes(requested, requested.Add(2*time.Second))
		assert.Equal(t, time.Since(requested), 2*time.Second, "the grace period is short")

		d.countFailedProbe()
		requested = time.Now()
		time.AfterFunc(time.Second, d.countFailedProbe)
		d.awaitFailedProbes(requested, requested.Add(time.Minute))
		took := time.Since(requested)
		assert.Assert(t, took >= 1400*time.Millisecond && took <= 1450*time.Millisecond, "%s", took)
	})
}

// TestAwaitNoNewConnections checks that a gateway that is shutting down listens until no caller has
// connected for half a second, but no longer than until it must close.
func TestAwaitNoNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(8*time.Second, log.NewNopLogger())
		began := time.Now()
		d.awaitNoNewConnections(began.Add(5 * time.Second))
		assert.Equal(t, time.Since(began), time.Duration(0), "no caller has ever connected")

		d.recordConnection(nil, http.StateNew)
		time.AfterFunc(400*time.Millisecond, func() { d.recordConnection(nil, http.StateActive) })
		d.awaitNoNewConnections(began.Add(5 * time.Second))
		assert.Equal(t, time.Since(began), 550*time.Millisecond, "a request on an open connection is not a new connection")

		began = time.Now()
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					d.recordConnection(nil, http.StateNew)
				}
			}
		}()
		d.recordConnection(nil, http.StateNew)
		d.awaitNoNewConnections(began.Add(2 * time.Second))
		assert.Equal(t, time.Since(began), 2*time.Second, "callers keep connecting")
		close(stop)
	})
}

// TestDrainHasTimeFor checks that a request's remaining time ends when the gateway closes
// connections, 0.7 s before it is killed, minus the margin for the last bytes.
func TestDrainHasTimeFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(8*time.Second, log.NewNopLogger())
		requested := time.Now()
		d.requestedAt.Store(&requested)
		time.Sleep(3 * time.Second)
		q := &request{rule: &ryeford.RouteRule{Kind: ryeford.RouteStream}}
		q.deadline = requested.Add(7 * time.Second)
		assert.Assert(t, d.hasTimeFor(q, 0))
		q.deadline = requested.Add(7*time.Second + 1)
		assert.Assert(t, !d.hasTimeFor(q, 0), "the stream could be aborted")
		q.rule = &ryeford.RouteRule{Kind: ryeford.RouteAtMostOnce}
		assert.Assert(t, d.hasTimeFor(q, 2*time.Second), "the request is expected to complete")
	})
}
