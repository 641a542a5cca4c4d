package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// These tests guard against callers that wait for the end of a body that is not passed on: it may come without end.

// respondEndlessly returns a function that responds with a head and then with a body in chunks until the connection is
// closed: at once as many as the connection takes, or one after each pause.
func respondEndlessly(head string, pause time.Duration) func(conn net.Conn, id string) bool {
	return func(conn net.Conn, id string) bool {
		_, err := io.WriteString(conn, strings.ReplaceAll(head, "ID", id)+"Transfer-Encoding: chunked\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(conn, "1\r\nx\r\n")
			time.Sleep(pause)
		}
		return false
	}
}

// endlessPauses are the pauses between the chunks of endless bodies.
var endlessPauses = map[string]time.Duration{"at once": 0, "slowly": 5 * time.Millisecond}

// TestEndlessRefusal checks that a request that an endpoint refuses is served by another one, whatever follows the head of
// the refusal.
func TestEndlessRefusal(t *testing.T) {
	for name, pause := range endlessPauses {
		t.Run(name, func(t *testing.T) {
			f, scripted := startScripted(t, true, respondEndlessly("HTTP/1.1 503 Busy\r\n"+idFields+"Ryeford-Not-Run: 1\r\n", pause))
			for scripted.requests.Load() == 0 {
				got := f.call("POST", "/once/a")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
			}
		})
	}
}

// TestEndlessFailure checks the same for a request that may be repeated and that fails at an endpoint, on a route without
// a goal, so that no attempt has a timeout of its own.
func TestEndlessFailure(t *testing.T) {
	for name, pause := range endlessPauses {
		t.Run(name, func(t *testing.T) {
			config := baseConfiguration()
			for i := range config.Routes {
				config.Routes[i].GoalMs = 0
			}
			f := newFixture(t, config, nil)
			scripted := f.addScripted("plain", "scripted", respondEndlessly("HTTP/1.1 500 Failed\r\n"+idFields, pause))
			f.addEndpoint("plain", "sound", 0)
			f.awaitReady(true)
			f.awaitEndpoints(2)
			for scripted.requests.Load() == 0 {
				got := f.call("GET", "/safe/a")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
			}
		})
	}
}

// TestEndlessPromise checks that a caller whose request must not be repeated is answered at once if the response is none
// that it may get: a status that promises that it has not run, which the endpoint doesn't state.
func TestEndlessPromise(t *testing.T) {
	for name, pause := range endlessPauses {
		t.Run(name, func(t *testing.T) {
			f, _ := startScripted(t, false, respondEndlessly("HTTP/1.1 503 Busy\r\n"+idFields, pause))
			got := f.call("POST", "/once/a")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway, "504 would mean that the caller waited for its deadline")
		})
	}
}
