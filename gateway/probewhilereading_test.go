package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/roster"
)

// probeTimeout fails a test whose probe is never answered. No test of speed depends on it.
const probeTimeout = 20 * time.Second

// A gate blocks callers of pass while it is armed.
type gate struct {
	armed   bool
	reached chan struct{} // closed once a caller is blocked
	release chan struct{} // closed to unblock the caller
}

// pass returns immediately, or, if the gate is armed, once it is released.
func (h *gate) pass() {
	if h.armed {
		close(h.reached)
		<-h.release
	}
}

// A gatedSource is a source of configurations with a gate before it returns one, like a slow transfer
// or slow decoding.
type gatedSource struct {
	fakeConfigurationSource
	hold *gate
}

// Configuration implements ryeford.ConfigurationSource.
func (s *gatedSource) Configuration(ctx context.Context, known ryeford.KnownConfiguration) (ryeford.ConfigurationUpdate, error) {
	update, err := s.fakeConfigurationSource.Configuration(ctx, known)
	s.hold.pass()
	return update, err
}

// A gatedLogger is a logger with a gate at each line.
type gatedLogger struct {
	hold *gate
}

// Log implements log.Logger.
func (l *gatedLogger) Log(...any) error {
	l.hold.pass()
	return nil
}

// TestProbeWhileReading checks that readiness probes, route lookups and peers' confirmations are not
// blocked while the next configuration is read and decoded, put in force, or followed by the update
// callback.
func TestProbeWhileReading(t *testing.T) {
	for _, where := range []string{"read", "put in force", "update callback"} {
		t.Run(where, func(t *testing.T) {
			read, log, update := &gate{}, &gate{}, &gate{}
			f := newConfigurationFixture()
			source := &gatedSource{fakeConfigurationSource: fakeConfigurationSource{began: time.Now(), version: 1, revision: 5}, hold: read}
			f.configuration.source = source
			f.configuration.log = &gatedLogger{hold: log}
			f.configuration.onUpdate = update.pass
			assert.Assert(t, f.read(t.Context()))
			source.version, source.revision = 2, 6

			at := map[string]*gate{"read": read, "put in force": log, "update callback": update}[where]
			at.armed, at.reached, at.release = true, make(chan struct{}), make(chan struct{})
			ended := make(chan bool)
			go func() { ended <- f.read(t.Context()) }()
			<-at.reached
			answered := make(chan int)
			go func() { answered <- answerWhileReading(f.configuration) }()
			select {
			case status := <-answered:
				assert.Equal(t, status, http.StatusOK)
			case <-time.After(probeTimeout):
				t.Fatal("the probe was blocked by the read of the configuration")
			}
			at.armed = false
			close(at.release)
			assert.Assert(t, <-ended)
			assert.Equal(t, f.version(), int64(2))
		})
	}
}

// answerWhileReading does what other goroutines do concurrently with a read, and returns the status of
// a probe.
func answerWhileReading(c *configuration) int {
	list := roster.New()
	list.Apply(time.Now(), &ryeford.EndpointUpdate{Snapshot: true, Revision: 1}, time.Time{})
	probes := &probeHandler{path: "/ready", configuration: c, roster: list, drain: newDrain(time.Second, log.NewNopLogger()), log: log.NewNopLogger()}
	c.current().Route("host.example", "/path/")
	c.mergePeerConfirmation(time.Now(), netip.AddrPort{}, c.version(), 0)
	recorder := httptest.NewRecorder()
	probes.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/ready", nil))
	return recorder.Code
}
