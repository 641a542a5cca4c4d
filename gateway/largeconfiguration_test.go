package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/settings"
)

// manyRoutes makes the configuration so large that its transfer over a slow link takes several times
// the store's timeout.
const manyRoutes = 1500

// largeConfiguration returns a version of baseConfiguration with manyRoutes more routes and the public
// route "added" at the end.
func largeConfiguration(version int64) *wire.Configuration {
	config := baseConfiguration()
	config.Version = version
	like := config.Routes[len(config.Routes)-1]
	for i := range manyRoutes {
		like.Name = fmt.Sprintf("route-%06d", i)
		like.Prefix = "/" + like.Name + "/"
		config.Routes = append(config.Routes, like)
	}
	return withAddedRoute(config)
}

// withAddedRoute appends a public route named "added" to a configuration.
func withAddedRoute(config *wire.Configuration) *wire.Configuration {
	added := config.Routes[4]
	added.Name, added.Prefix = "added", "/added/"
	config.Routes = append(config.Routes, added)
	return config
}

// A countingWriter writes a response and counts its bytes.
type countingWriter struct {
	http.ResponseWriter
	written *atomic.Int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.written.Add(int64(n))
	return n, err
}

// Unwrap returns the writer that an http.ResponseController flushes.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestLargeConfiguration checks that a configuration whose transfer takes longer than the store's
// timeout is put in force, and that an unchanged one is not transferred again.
func TestLargeConfiguration(t *testing.T) {
	f := startedFixture(t, func(s *settings.Gateway) { s.Routing.StoreTimeout = 500 * time.Millisecond })
	// The transfer of 0.33 MB of routes takes 1.7 s.
	f.storeRate.Store(200 << 10)
	f.putConfiguration(largeConfiguration(2))
	f.await("the added route", func() bool {
		return f.do(f.request("GET", "/added/a", "", "")).status == 200
	})

	// The link is fast again, so an unneeded transfer would complete.
	f.storeRate.Store(0)
	f.putConfiguration(largeConfiguration(3))
	f.awaitLog("version=3")
	calls, bytes := f.storeCalls.Load(), f.storeBytes.Load()
	f.await("ten more calls of the store", func() bool { return f.storeCalls.Load() >= calls+10 })
	f.awaitReady(true)
	size := int64(manyRoutes * 100)
	assert.Assert(t, f.storeBytes.Load()-bytes < size, "%d bytes transferred without a change", f.storeBytes.Load()-bytes)
}

// TestLongTransfer checks that a gateway that reads a change from the store itself serves no request
// by the old configuration longer than bounds.configuration after the change, regardless of how long
// the transfer takes.
func TestLongTransfer(t *testing.T) {
	const bound = 1500 * time.Millisecond
	for _, test := range []struct {
		name   string
		before *wire.Configuration
		change func(*settings.Gateway)
	}{
		{"from a large configuration", largeConfiguration(1), func(*settings.Gateway) {}},
		{"from a small configuration", withAddedRoute(baseConfiguration()), func(*settings.Gateway) {}},
		{"with a list of endpoints that is rarely read", largeConfiguration(1), func(s *settings.Gateway) {
			s.Routing.EndpointsWait, s.Routing.EndpointsSettle = 1500*time.Millisecond, time.Second
			s.Bounds.Contact = time.Second
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, test.before, func(s *settings.Gateway) {
				s.Bounds.Configuration = bound
				s.Routing.StoreTimeout = 2 * time.Second // allows for a busy machine
				test.change(s)
			})
			f.addEndpoint("plain", "p1", 0)
			f.awaitReady(true)
			f.awaitEndpoints(1)
			get := func() int { return f.do(f.request("GET", "/added/a", "", "")).status }
			assert.Equal(t, get(), http.StatusOK)

			// The transfer of 0.33 MB of routes takes more than 3 s.
			f.storeRate.Store(100 << 10)
			removed := largeConfiguration(2)
			removed.Routes = removed.Routes[:len(removed.Routes)-1]
			f.addEndpoint("plain", "p2", 0) // the next read of the list is delayed
			f.awaitEndpoints(2)
			f.putConfiguration(removed)
			accepted := time.Now()
			f.await("a 404 for the removed route", func() bool {
				sent := time.Now()
				status := get()
				assert.Assert(t, status != http.StatusOK || sent.Sub(accepted) < bound, "served %s after the route was removed", sent.Sub(accepted))
				return status == http.StatusNotFound
			})
			f.awaitReady(true)
		})
	}
}
