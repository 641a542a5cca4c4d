package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/settings"
)

// These tests guard against responses that end with their connection, without a length or chunks: a crash of the
// endpoint ends them like a complete response.

// startUnframed starts a gateway with endpoints whose streams are unframed.
func startUnframed(t *testing.T, endpoints int) *fixture {
	t.Helper()
	f := newFixture(t, baseConfiguration(), func(s *settings.Gateway) { s.Bounds.Contact = 500 * time.Millisecond })
	for i := range endpoints {
		f.addEndpoint("model", fmt.Sprintf("m%d", i), 5).SetUnframed(true)
	}
	f.awaitReady(true)
	f.awaitEndpoints(endpoints)
	return f
}

// TestUnframedStreamOfCrash checks that a stream that a crash has ended is not told to be complete, that the crash is
// charged to its request, and that a resumable stream goes on elsewhere.
func TestUnframedStreamOfCrash(t *testing.T) {
	for _, events := range []int{0, 1} {
		t.Run(fmt.Sprintf("after %d events", events), func(t *testing.T) {
			f := startUnframed(t, 12)
			for _, server := range f.endpoints {
				server.SetCrashPoint(true, events)
			}
			for range 10 {
				got := f.do(f.request("POST", "/stream/a", "key-1", crashBody))
				assert.Assert(t, got.err != nil || got.status != 200, "told as complete: %q", got.body)
				time.Sleep(200 * time.Millisecond) // the crash is recorded
			}
			assert.Assert(t, f.crashedEndpoints() <= 3, "%d endpoints crashed", f.crashedEndpoints())
		})
	}
}

// TestUnframedStream checks that a stream that ends with its connection at a living endpoint is complete, and counts
// as a success.
func TestUnframedStream(t *testing.T) {
	f := startUnframed(t, 3)
	for range 5 {
		got := f.call("POST", "/stream/a")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(5))
	}
}

// TestUnframedStreamResumed checks that a resumable stream goes on at another endpoint after a crash.
func TestUnframedStreamResumed(t *testing.T) {
	f := startUnframed(t, 4)
	for _, id := range []string{"m0", "m1"} {
		f.endpoints[id].SetCrashPoint(true, 2)
	}
	for _, id := range []string{"m2", "m3"} {
		f.endpoints[id].SetCrashBody("")
	}
	for range 4 {
		got := f.do(f.request("POST", "/resume/a", "key-1", crashBody))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(5))
	}
}
