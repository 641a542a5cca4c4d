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

// probeTimeout ends a test whose probe is never answered. It decides no verdict on speed.
const probeTimeout = 20 * time.Second

// A gate holds up what passes it, once it is armed.
type gate struct {
	armed   bool
	reached chan struct{} // closed once something is held up
	release chan struct{} // closed to let it go on
}

// pass returns at once, or, if the hold is armed, once it is released.
func (h *gate) pass() {
	if h.armed {
		close(h.reached)
		<-h.release
	}
}

// A gatedSource is a source of configurations that a hold stops before it returns one, as
// one that is slow to come or to decode does.
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

// A gatedLogger is a log that a hold stops at each line.
type gatedLogger struct {
	hold *gate
}

// Log implements log.Logger.
func (l *gatedLogger) Log(...any) error {
	l.hold.pass()
	return nil
}

// TestProbeWhileReading checks that a readiness probe is answered, a route looked up and a
// peer's confirmation taken while the next configuration is read and decoded, while it is
// put in force, and while what follows is done: nothing of it holds a lock that these need.
// The probe is answered by the configuration in force, also if the next one never comes.
func TestProbeWhileReading(t *testing.T) {
	for _, where := range []string{"read", "put in force", "what follows"} {
		t.Run(where, func(t *testing.T) {
			read, log, update := &gate{}, &gate{}, &gate{}
			f := newConfigurationFixture()
			source := &gatedSource{fakeConfigurationSource: fakeConfigurationSource{began: time.Now(), version: 1, revision: 5}, hold: read}
			f.configuration.source = source
			f.configuration.log = &gatedLogger{hold: log}
			f.configuration.onUpdate = update.pass
			assert.Assert(t, f.read(t.Context()))
			source.version, source.revision = 2, 6

			at := map[string]*gate{"read": read, "put in force": log, "what follows": update}[where]
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
				t.Fatal("the probe waits for the configuration that is read")
			}
			at.armed = false
			close(at.release)
			assert.Assert(t, <-ended)
			assert.Equal(t, f.version(), int64(2))
		})
	}
}

// answerWhileReading does what other goroutines do meanwhile, and returns the status of a
// probe.
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
